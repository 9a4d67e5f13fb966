"""Execution of one soak run."""

import asyncio
import random
import time
from dataclasses import dataclass
from pathlib import Path

from apricotwalk_lab.processes import loopback_host
from apricotwalk_lab.soak._callers import Callers
from apricotwalk_lab.soak._checks import check
from apricotwalk_lab.soak._demanding_callers import DemandingCallers
from apricotwalk_lab.soak._faults import FaultInjector
from apricotwalk_lab.soak._fleet import NodeInstance
from apricotwalk_lab.soak._plan import RECOVERY_SECONDS, SoakPlan
from apricotwalk_lab.soak._records import Records
from apricotwalk_lab.soak._store import StoreStandIn

__all__ = ["SoakReport", "run_soak"]

# The stand-in store listens on this port; each node connects to it through its own link.
STORE_STAND_IN_PORT = 9000
CALLERS_PER_NODE = 2
CALLER_REQUESTS_PER_SECOND = 6.0
START_TIMEOUT_SECONDS = 30.0
# Service has recovered when at least this share of the requests of one window succeeded.
SERVED_SHARE = 0.9
WINDOW_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class SoakReport:
    """Result of a run.

    Parameters
    ----------
    seed : int
        Seed of the run.
    tries, served : int
        Number of requests that callers sent, and of those that succeeded.
    recovery_seconds : float
        Time from the end of the last fault until service had recovered, in seconds.
    broken : tuple of str
        One line for each violated guarantee or unexpected exit, and one if service did not recover.
    """

    seed: int
    tries: int
    served: int
    recovery_seconds: float
    broken: tuple[str, ...]


async def run_soak(plan: SoakPlan, directory: Path) -> SoakReport:
    """Run a plan with its own node processes, which write to the existing `directory`."""
    run = _Run(plan, directory)
    await run.start()
    try:
        return await run.execute()
    finally:
        await run.close()


class _Run:
    def __init__(self, plan: SoakPlan, directory: Path) -> None:
        self._plan = plan
        self._records = Records()
        self._epoch = time.monotonic()
        generator = random.Random(plan.seed + 1)
        # The hosts of one run differ only in the last octet of their address.
        network = loopback_host().rpartition(".")[0]
        self._store = StoreStandIn(f"{network}.250", STORE_STAND_IN_PORT)
        self._instances = [
            NodeInstance(
                f"n{number}",
                service,
                f"{network}.{number + 1}",
                (f"{network}.250", STORE_STAND_IN_PORT),
                directory,
                self._records,
                self._clock,
                random.Random(generator.random()),
            )
            for number, service in enumerate(plan.services)
        ]
        hosts = [instance.host for instance in self._instances]
        self._callers = Callers(
            hosts,
            CALLERS_PER_NODE,
            CALLER_REQUESTS_PER_SECOND,
            self._records,
            self._clock,
            generator,
        )
        self._demanding_callers = DemandingCallers(
            hosts, self._records, self._clock, random.Random(plan.seed + 2)
        )
        self._faults = FaultInjector(
            self._instances,
            self._store,
            self._callers,
            self._records,
            self._clock,
            set(plan.services),
        )

    async def start(self) -> None:
        """Start the store and the instances, and publish the first configuration."""
        await self._store.start()
        self._faults.publish()
        for instance in self._instances:
            await instance.start()

    async def close(self) -> None:
        """Stop the callers, the instances and the store."""
        await self._demanding_callers.close()
        await self._callers.close()
        for instance in self._instances:
            await instance.close()
        await self._store.close()

    async def execute(self) -> SoakReport:
        """Inject the faults of the plan and check the records."""
        await self._callers.start()
        await self._wait_for_service(START_TIMEOUT_SECONDS)
        self._reset_measurement()
        await self._demanding_callers.start()
        async with asyncio.TaskGroup() as group:
            for fault in self._plan.faults:
                group.create_task(self._faults.inject(fault))
        faults_ended_at = self._clock()
        has_recovered = await self._wait_for_service(RECOVERY_SECONDS)
        recovery = self._clock() - faults_ended_at
        self._records.callers_closed_at = self._clock()
        await self._callers.close()
        await self._demanding_callers.close()
        broken = check(
            self._plan, self._records, [instance.started_at for instance in self._instances]
        )
        broken += [line for instance in self._instances for line in instance.unexpected_exits]
        if not has_recovered:
            broken.append(
                f"service had not recovered {recovery:.0f} s after the end of the last fault"
            )
        tries = self._records.tries
        served = sum(request.is_served for request in tries)
        return SoakReport(self._plan.seed, len(tries), served, recovery, tuple(broken))

    def _clock(self) -> float:
        return time.monotonic() - self._epoch

    def _reset_measurement(self) -> None:
        """Set time zero of the plan to now and discard the requests recorded so far."""
        shift = self._clock()
        self._epoch += shift
        self._records.tries.clear()
        self._records.executions_by_request.clear()
        for instance in self._instances:
            instance.started_at[:] = [at - shift for at in instance.started_at]
        published = self._records.published_at_by_version
        for version in published:
            published[version] -= shift

    async def _wait_for_service(self, timeout_seconds: float) -> bool:
        deadline = self._clock() + timeout_seconds
        while self._clock() < deadline:
            began = self._clock()
            await asyncio.sleep(WINDOW_SECONDS)
            ended = [
                request
                for request in self._records.tries
                if request.ended and request.sent >= began
            ]
            served = sum(request.is_served for request in ended)
            nodes_with_answers = {request.node for request in ended}
            if len(nodes_with_answers) == len(self._instances) and served >= SERVED_SHARE * len(
                ended
            ):
                return True
        return False
