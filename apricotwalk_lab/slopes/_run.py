"""Measurements of a fleet of light nodes at one size."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from statistics import fmean

import msgspec
from tornado.httpclient import AsyncHTTPClient

from apricotwalk.core import LogServiceError
from apricotwalk.logservice import HttpLogService
from apricotwalk.policy import (
    CONFIGURATION_STREAM,
    Customer,
    PolicyRecord,
    Route,
    Template,
    encode_record,
)
from apricotwalk.settings import Address
from apricotwalk_lab.measure import IdleMeter
from apricotwalk_lab.slopes._collector import Collector
from apricotwalk_lab.slopes._faults import (
    PartitionFigures,
    ReplacementFigures,
    choose_fault_targets,
    freeze_one,
    kill_one,
    partition_regions,
    replace_consecutively,
)
from apricotwalk_lab.slopes._fleet import LightFleet
from apricotwalk_lab.slopes._messages import OutageFigures, Report, SizeFigures
from apricotwalk_lab.slopes._polling import POLL_INTERVAL_SECONDS, wait_for
from apricotwalk_lab.slopes._usage import cpu_seconds, resident_megabytes
from apricotwalk_lab.slopes.light_node import CUSTOMER
from apricotwalk_lab.standins.log_service import Faults

__all__ = ["Plan", "measure", "measure_outage", "measure_replacements", "measure_partition"]

START_TIMEOUT_SECONDS = 70.0
SETTLE_SECONDS = 8.0
IDLE_WINDOW_SECONDS = 20.0
IN_FORCE_TIMEOUT_SECONDS = 20.0
KILL_COUNT = 4
REPORT_WAIT_SECONDS = 2.0
CHANGE_COUNT = 3
NODE_STARTS_PER_SECOND = 30
OUTAGE_ONSET_SECONDS = 6.0
OUTAGE_WINDOW_SECONDS = 20.0


@dataclass(frozen=True, slots=True)
class Plan:
    """Size and parameters of the fleet to measure.

    Parameters
    ----------
    nodes : int
        Number of light nodes.
    loss : float
        Share of received datagrams that are dropped, between 0 and 1.
    rule : str
        Name of the gossip rule for configuration; a key of `RULES_BY_NAME`.
    called : int
        Number of services that each node calls.
    seed : int
        Seed of the choice of called services and of the random numbers of the nodes.
    """

    nodes: int
    loss: float
    rule: str
    called: int
    seed: int


class _LogCounts(msgspec.Struct):
    appends: int
    reads: int
    refused: int


async def measure(plan: Plan) -> SizeFigures:
    """Measure a fleet while idle, during configuration changes, kills and a freeze.

    Raises
    ------
    TimeoutError
        If the fleet does not start within 70 s, or a change is not in force on every node within
        20 s.
    """
    async with _running_fleet(plan) as run:
        figures = await _measure_started(run.fleet, run.collector, run.log_service)
    figures.loss, figures.rule, figures.called = plan.loss, plan.rule, plan.called
    return figures


async def measure_replacements(plan: Plan, count: int) -> ReplacementFigures:
    """Start a fleet and replace `count` of its nodes one after another.

    Raises
    ------
    TimeoutError
        If the fleet does not start within 70 s.
    """
    async with _running_fleet(plan) as run:
        return await replace_consecutively(run.fleet, run.collector, count)


async def measure_outage(plan: Plan) -> OutageFigures:
    """Start a fleet and measure an outage of the log service.

    Raises
    ------
    TimeoutError
        If the fleet does not start within 70 s, or a change after the outage is not in force on
        every node within 20 s.
    """
    async with _running_fleet(plan) as run:
        before = await _log_counts(run.fleet)
        await _set_log_faults(run.fleet, Faults(is_down=True))
        await asyncio.sleep(OUTAGE_ONSET_SECONDS)
        onset = await _log_counts(run.fleet)
        await asyncio.sleep(OUTAGE_WINDOW_SECONDS)
        after = await _log_counts(run.fleet)
        await _set_log_faults(run.fleet, Faults())
        in_force = await _measure_change(run.fleet, run.collector, run.log_service, 2)
    return OutageFigures(
        plan.nodes,
        onset.refused - before.refused,
        round((after.refused - onset.refused) / OUTAGE_WINDOW_SECONDS, 2),
        round(in_force, 2),
    )


async def measure_partition(plan: Plan) -> PartitionFigures:
    """Start a fleet and measure a network partition between its two regions.

    Raises
    ------
    TimeoutError
        If the fleet does not start within 70 s, or membership does not converge within 60 s
        before the partition or during it.
    """
    async with _running_fleet(plan) as run:
        return await partition_regions(run.fleet, run.collector)


@dataclass(frozen=True, slots=True)
class _Run:
    fleet: LightFleet
    collector: Collector
    log_service: HttpLogService


@asynccontextmanager
async def _running_fleet(plan: Plan) -> AsyncIterator[_Run]:
    collector = Collector()
    fleet = LightFleet(
        plan.nodes, plan.loss, await collector.start(), plan.rule, plan.called, plan.seed
    )
    log_service = HttpLogService(Address.parse(fleet.log_address))
    try:
        await _start_fleet(fleet, collector, log_service)
        yield _Run(fleet, collector, log_service)
    finally:
        fleet.close()
        collector.close()
        log_service.close()


async def _start_fleet(
    fleet: LightFleet, collector: Collector, log_service: HttpLogService
) -> None:
    fleet.start_log_service()
    route = Route("read", "GET", "/", "service-0", 0, deadline_ms=100.0)
    await _publish(log_service, Template("slope", 1, [route]))
    await _publish(log_service, Customer(CUSTOMER, 1, "slope", 1))
    for instance in fleet.settings_by_instance:
        fleet.start_node(instance)
        await asyncio.sleep(1 / NODE_STARTS_PER_SECOND)
    await wait_for(START_TIMEOUT_SECONDS, lambda: _is_in_force_everywhere(fleet, collector, 1))
    await asyncio.sleep(SETTLE_SECONDS)


async def _measure_started(
    fleet: LightFleet, collector: Collector, log_service: HttpLogService
) -> SizeFigures:
    size = len(fleet.settings_by_instance)
    processes = [process.pid for process in fleet.processes_by_instance.values()]
    meter = IdleMeter()
    cpu_before = sum(cpu_seconds(pid) for pid in processes)
    reports_before = dict(collector.reports_by_instance)
    log_before = await _log_counts(fleet)
    began = time.monotonic()
    await asyncio.sleep(IDLE_WINDOW_SECONDS)
    window_seconds = time.monotonic() - began
    cpu_used_seconds = sum(cpu_seconds(pid) for pid in processes) - cpu_before
    log_after = await _log_counts(fleet)
    reports = dict(collector.reports_by_instance)
    idle_percent = 100 * meter.idle_share()
    received = _growth(reports_before, reports, lambda report: report.received_bytes)
    datagrams = _growth(reports_before, reports, lambda report: report.received_datagrams)
    resident = fmean(resident_megabytes(pid) for pid in processes)
    in_force = [
        await _measure_change(fleet, collector, log_service, version)
        for version in range(2, 2 + CHANGE_COUNT)
    ]
    await asyncio.sleep(REPORT_WAIT_SECONDS)
    changed = dict(collector.reports_by_instance)
    payloads = _growth(reports, changed, lambda report: report.payload_messages)
    targets = choose_fault_targets(fleet, KILL_COUNT + 1)
    killed = [await kill_one(fleet, collector, instance) for instance in targets[1:]]
    frozen, resumed = await freeze_one(fleet, collector, targets[0])
    return SizeFigures(
        nodes=size,
        loss=0.0,
        rule="",
        called=0,
        bytes_per_second=round(received / size / window_seconds, 1),
        datagrams_per_second=round(datagrams / size / window_seconds, 2),
        cpu_percent=round(100 * cpu_used_seconds / size / window_seconds, 3),
        resident_megabytes=round(resident, 1),
        known_members=round(fmean(report.known_members for report in reports.values()), 1),
        in_force_seconds=[round(seconds, 2) for seconds in in_force],
        payloads_per_change=round(payloads / size / CHANGE_COUNT, 2),
        log_reads_per_second=round((log_after.reads - log_before.reads) / window_seconds, 2),
        log_appends_per_second=round((log_after.appends - log_before.appends) / window_seconds, 2),
        killed_out_of_use_seconds=[round(seconds, 2) for seconds in killed],
        frozen_out_of_use_seconds=round(frozen, 2),
        woken_in_use_seconds=round(resumed, 2),
        machine_idle_percent=round(idle_percent, 1),
    )


def _growth(
    before: dict[str, Report], after: dict[str, Report], value: Callable[[Report], int]
) -> int:
    return sum(value(report) - value(before[name]) for name, report in after.items())


async def _measure_change(
    fleet: LightFleet, collector: Collector, log_service: HttpLogService, version: int
) -> float:
    began = time.monotonic()
    await _publish(log_service, Customer(CUSTOMER, version, "slope", 1))
    await wait_for(
        IN_FORCE_TIMEOUT_SECONDS, lambda: _is_in_force_everywhere(fleet, collector, version)
    )
    reports = [collector.reports_by_instance[name] for name in fleet.processes_by_instance]
    return max(report.in_force_at for report in reports) - began


def _is_in_force_everywhere(fleet: LightFleet, collector: Collector, version: int) -> bool:
    reports = collector.reports_by_instance
    return all(
        name in reports and reports[name].version >= version for name in fleet.processes_by_instance
    )


async def _publish(log_service: HttpLogService, record: PolicyRecord) -> None:
    async with asyncio.timeout(START_TIMEOUT_SECONDS):
        while True:
            try:
                await log_service.append(CONFIGURATION_STREAM, [encode_record(record)])
                return
            except LogServiceError:
                await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def _set_log_faults(fleet: LightFleet, faults: Faults) -> None:
    url = f"http://{fleet.log_address}/faults"
    await AsyncHTTPClient().fetch(url, method="POST", body=msgspec.json.encode(faults))


async def _log_counts(fleet: LightFleet) -> _LogCounts:
    response = await AsyncHTTPClient().fetch(f"http://{fleet.log_address}/faults")
    return msgspec.json.decode(response.body, type=_LogCounts)
