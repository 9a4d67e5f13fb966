"""One run of a soak."""

import asyncio
import random
import time
from dataclasses import dataclass
from pathlib import Path

from apricotwalk_lab.processes import loopback_host
from apricotwalk_lab.soak._callers import Callers
from apricotwalk_lab.soak._checks import check
from apricotwalk_lab.soak._faults import FaultInjector
from apricotwalk_lab.soak._fleet import NodeInstance
from apricotwalk_lab.soak._plan import RECOVERY_SECONDS, SoakPlan
from apricotwalk_lab.soak._records import Records
from apricotwalk_lab.soak._store import StoreStandIn

__all__ = ["SoakReport", "run_soak"]

# Of the stand-in; nodes reach it over links of their own.
STORE_STAND_IN_PORT = 9000
CALLERS_PER_NODE = 2
CALLER_RATE = 6.0
START_LIMIT_SECONDS = 30.0
# Service is back when so much of what was asked in a window succeeded.
SERVED_SHARE = 0.9
WINDOW_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class SoakReport:
    """What a run showed.

    Parameters
    ----------
    seed : int
        The run.
    tries, served : int
        Requests of callers, and those that succeeded.
    recovery_seconds : float
        Time from the end of the last fault until service was back.
    broken : tuple of str
        A line for each promise that was broken.
    """

    seed: int
    tries: int
    served: int
    recovery_seconds: float
    broken: tuple[str, ...]


async def run_soak(plan: SoakPlan, directory: Path) -> SoakReport:
    """Play a plan with processes of its own; their output goes to `directory`, which exists."""
    run = _Run(plan, directory)
    await run.start()
    try:
        return await run.play()
    finally:
        await run.close()


class _Run:
    def __init__(self, plan: SoakPlan, directory: Path) -> None:
        self._plan = plan
        self._records = Records()
        self._began = time.monotonic()
        chance = random.Random(plan.seed + 1)
        # Hosts of one run share all but the last part of their address.
        network = loopback_host().rpartition(".")[0]
        self._store = StoreStandIn(f"{network}.250", STORE_STAND_IN_PORT)
        self._places = [
            NodeInstance(
                f"n{number}",
                service,
                f"{network}.{number + 1}",
                (f"{network}.250", STORE_STAND_IN_PORT),
                directory,
                self._records,
                self._clock,
                random.Random(chance.random()),
            )
            for number, service in enumerate(plan.services)
        ]
        hosts = [place.host for place in self._places]
        self._callers = Callers(
            hosts, CALLERS_PER_NODE, CALLER_RATE, self._records, self._clock, chance
        )
        self._faults = FaultInjector(
            self._places,
            self._store,
            self._callers,
            self._records,
            self._clock,
            set(plan.services),
        )

    async def start(self) -> None:
        """Start everything but the callers."""
        await self._store.start()
        self._faults.publish()
        for place in self._places:
            await place.start()

    async def close(self) -> None:
        """End everything that was started."""
        await self._callers.close()
        for place in self._places:
            await place.close()
        await self._store.close()

    async def play(self) -> SoakReport:
        """Play the plan and judge what was seen."""
        await self._callers.start()
        await self._wait_for_service(START_LIMIT_SECONDS)
        self._begin_counting()
        async with asyncio.TaskGroup() as group:
            for fault in self._plan.faults:
                group.create_task(self._faults.play(fault))
        healed = self._clock()
        is_back = await self._wait_for_service(RECOVERY_SECONDS)
        recovery = self._clock() - healed
        await self._callers.close()
        broken = check(self._plan, self._records, [place.started_at for place in self._places])
        broken += [line for place in self._places for line in place.own_ends]
        if not is_back:
            broken.append(f"service is not back {recovery:.0f} s after the last fault")
        tries = self._records.tries
        served = sum(entry.is_served for entry in tries)
        return SoakReport(self._plan.seed, len(tries), served, recovery, tuple(broken))

    def _clock(self) -> float:
        return time.monotonic() - self._began

    def _begin_counting(self) -> None:
        """Let the time of the plan begin, and forget what came before."""
        shift = self._clock()
        self._began += shift
        self._records.tries.clear()
        self._records.executions_by_request.clear()
        for place in self._places:
            place.started_at[:] = [at - shift for at in place.started_at]
        published = self._records.published_at_by_version
        for version in published:
            published[version] -= shift

    async def _wait_for_service(self, limit_seconds: float) -> bool:
        give_up = self._clock() + limit_seconds
        while self._clock() < give_up:
            began = self._clock()
            await asyncio.sleep(WINDOW_SECONDS)
            ended = [entry for entry in self._records.tries if entry.ended and entry.sent >= began]
            served = sum(entry.is_served for entry in ended)
            asking = {entry.node for entry in ended}
            if len(asking) == len(self._places) and served >= SERVED_SHARE * len(ended):
                return True
        return False
