"""Runs one scenario on a running fleet and collects what callers and servers recorded."""

import asyncio
import time
from dataclasses import dataclass

from apricotwalk_lab.cities import City
from apricotwalk_lab.load import LoadGenerator, RequestRecord, streams_of
from apricotwalk_lab.measure._machine import IdleMeter
from apricotwalk_lab.measure._scenarios import SLOWDOWN_FACTOR, Scenario, Times
from apricotwalk_lab.processes import Fleet
from apricotwalk_lab.standins.backend_server import Control, Execution

__all__ = ["Cell", "CellResult", "run_cell"]

SETTLE_POLL_SECONDS = 0.1
SETTLE_TIMEOUT_SECONDS = 2.5
CLOCK_MARGIN_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Cell:
    """One combination of city, scenario, variant and seed.

    Parameters
    ----------
    city : City
        City whose fleet runs.
    scenario : Scenario
        Trigger and caller behavior.
    variant : str
        Name of the variant; a key of `VARIANTS`.
    seed : int
        Seed of the arrivals.
    times : Times
        When the trigger begins and ends and the load stops.
    """

    city: City
    scenario: Scenario
    variant: str
    seed: int
    times: Times

    @property
    def name(self) -> str:
        """Name for files of this cell, unique within a run."""
        return f"{self.city.name}-{self.scenario.short_name}-{self.variant}-{self.seed}"


@dataclass(slots=True)
class CellResult:
    """Outcome of one cell.

    Parameters
    ----------
    cell : Cell
        The cell that was run.
    records : list of RequestRecord
        One record per request, written by the load generator.
    executions : list of Execution
        Executions on all backend servers that began during the cell.
    idle_share : float
        Idle share of the machine while the load ran, between 0 and 1.
    is_settled : bool
        Whether all executions ended within 2.5 s of the last answer.
    """

    cell: Cell
    records: list[RequestRecord]
    executions: list[Execution]
    idle_share: float
    is_settled: bool


async def run_cell(fleet: Fleet, cell: Cell) -> CellResult:
    """Run one cell on a started fleet and return the requests and executions it recorded."""
    began = time.time() - CLOCK_MARGIN_SECONDS
    meter = IdleMeter()
    generator = LoadGenerator(
        [instance.callers for instance in fleet.instances_by_name.values()],
        streams_of(cell.city),
        cell.scenario.surges(cell.city, cell.times),
        cell.scenario.policy,
        cell.seed,
    )
    trigger = _Trigger(fleet, cell)
    try:
        records, _ = await asyncio.gather(generator.run(cell.times.stop), trigger.run())
    finally:
        await generator.close()
    idle_share = meter.idle_share()
    is_settled = await _settle(fleet)
    executions = trigger.executions + await _executions(fleet, list(fleet.instances_by_name))
    recent = [execution for execution in executions if execution.began >= began]
    return CellResult(cell, records, recent, idle_share, is_settled)


class _Trigger:
    """Injects the faults of a scenario and removes them."""

    def __init__(self, fleet: Fleet, cell: Cell) -> None:
        self.executions: list[Execution] = []
        self._fleet = fleet
        self._cell = cell

    async def run(self) -> None:
        """Inject the faults when the trigger begins and remove them when it ends."""
        times = self._cell.times
        began = time.monotonic()
        await asyncio.sleep(times.begin)
        await self._begin()
        await asyncio.sleep(max(0.0, began + times.end - time.monotonic()))
        await self._end()

    async def _begin(self) -> None:
        if self._cell.scenario.loses_zone:
            lost = self._lost_instances()
            self.executions = await _executions(self._fleet, lost)
            for name in lost:
                await self._fleet.kill(name)
            return
        for name, control in self._controls().items():
            await self._fleet.control_backend(name, control)

    async def _end(self) -> None:
        if self._cell.scenario.loses_zone:
            for name in self._lost_instances():
                self._fleet.start_node(name)
                self._fleet.start_backend(name)
            return
        for name in self._controls():
            await self._fleet.control_backend(name, Control())

    def _lost_instances(self) -> list[str]:
        zone = self._cell.city.fleet.availability_zones[0]
        plans = self._cell.city.plans()
        return [plan.name for plan in plans if plan.availability_zone == zone]

    def _controls(self) -> dict[str, Control]:
        scenario = self._cell.scenario
        if scenario.slows_deep_service:
            deep = self._cell.city.fleet.deep_service
            plans = [plan for plan in self._cell.city.plans() if plan.service == deep]
            return {plan.name: Control(slowdown=SLOWDOWN_FACTOR) for plan in plans}
        if scenario.misreports_load:
            services = [service.name for service in self._cell.city.fleet.services]
            misreporting = Control(slowdown=SLOWDOWN_FACTOR, reported_load=0.0)
            return {f"{service}-1": misreporting for service in services}
        return {}


async def _settle(fleet: Fleet) -> bool:
    deadline = time.monotonic() + SETTLE_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        executions = await _executions(fleet, list(fleet.instances_by_name))
        if all(execution.ended for execution in executions):
            return True
        await asyncio.sleep(SETTLE_POLL_SECONDS)
    return False


async def _executions(fleet: Fleet, names: list[str]) -> list[Execution]:
    executions_by_server = await asyncio.gather(*(fleet.executions(name) for name in names))
    return [execution for executions in executions_by_server for execution in executions]
