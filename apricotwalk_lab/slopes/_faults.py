"""Injects faults into light nodes and measures how soon other nodes detect them."""

import asyncio
import math
import time

from msgspec import Struct

from apricotwalk_lab.slopes._collector import Collector
from apricotwalk_lab.slopes._fleet import LightFleet
from apricotwalk_lab.slopes._polling import wait_for

__all__ = [
    "ReplacementFigures",
    "PartitionFigures",
    "choose_fault_targets",
    "freeze_one",
    "kill_one",
    "replace_consecutively",
    "partition_regions",
]

IN_USE_TIMEOUT_SECONDS = 15.0
FROZEN_SECONDS = 4.0
REPLACEMENT_PAUSE_SECONDS = 0.3
SETTLED_TIMEOUT_SECONDS = 30.0
PARTITION_SECONDS = 20.0
HEALED_TIMEOUT_SECONDS = 60.0


class ReplacementFigures(Struct):
    """Figures of consecutive node replacements.

    Parameters
    ----------
    replacements : int
        Number of nodes that were killed and replaced.
    settled_seconds : float
        Time from 0.3 s after the last replacement until every node uses as many members as
        there are; infinite if that took longer than 30 s.
    wrong_nodes : int
        Number of nodes that used a wrong number of members at the end.
    known_members : float
        Mean number of members that a node knows at the end.
    """

    replacements: int
    settled_seconds: float
    wrong_nodes: int
    known_members: float


class PartitionFigures(Struct):
    """Figures of a network partition between regions.

    Parameters
    ----------
    apart_seconds : float
        Time from the start of the partition until every node uses as many members as its own
        region has.
    healed_seconds : float
        Time from the end of the partition until every node uses the members of all regions
        again; infinite if that took longer than 60 s.  The partition ends 20 s after every node
        has stopped using the members of other regions.
    """

    apart_seconds: float
    healed_seconds: float


def choose_fault_targets(fleet: LightFleet, count: int) -> list[str]:
    """Choose up to `count` nodes of different services that have callers, the newest first."""
    targets_by_service: dict[str, str] = {}
    for name, settings in reversed(fleet.settings_by_instance.items()):
        if fleet.callers_of(settings.service):
            targets_by_service.setdefault(settings.service, name)
    return list(targets_by_service.values())[:count]


async def kill_one(fleet: LightFleet, collector: Collector, instance: str) -> float:
    """Kill a node and measure how soon its callers stop using it.

    Returns
    -------
    float
        Seconds until no caller uses the node; infinite if that took longer than 15 s.
    """
    callers = _live_callers(fleet, instance)
    began = time.monotonic()
    fleet.kill_node(instance)
    return await _seconds_until_unused(collector, callers, instance, began)


async def freeze_one(fleet: LightFleet, collector: Collector, instance: str) -> tuple[float, float]:
    """Freeze a node, resume it and measure how soon its callers stop and resume using it.

    Returns
    -------
    tuple of float
        Seconds from the freeze until no caller uses the node, and from its resumption until
        all callers use it again; infinite if that took longer than 15 s.
    """
    callers = _live_callers(fleet, instance)
    began = time.monotonic()
    fleet.freeze_node(instance)
    lost = await _seconds_until_unused(collector, callers, instance, began)
    await asyncio.sleep(max(0.0, FROZEN_SECONDS - lost))
    resumed = time.monotonic()
    fleet.resume_node(instance)

    def found_at(caller: str) -> float:
        report = collector.reports_by_instance[caller]
        lost_at = report.lost_at_by_instance.get(instance, 0.0)
        found_at = report.found_at_by_instance.get(instance, 0.0)
        return found_at if found_at > max(lost_at, began) else math.inf

    try:
        await wait_for(IN_USE_TIMEOUT_SECONDS, lambda: all(found_at(c) < math.inf for c in callers))
    except TimeoutError:
        return lost, math.inf
    return lost, max(0.0, max(map(found_at, callers), default=resumed) - resumed)


async def replace_consecutively(
    fleet: LightFleet, collector: Collector, count: int
) -> ReplacementFigures:
    """Replace `count` nodes one after another and wait until membership has converged."""
    for index in range(count):
        names = list(fleet.settings_by_instance)
        fleet.replace_node(names[index % len(names)])
        await asyncio.sleep(REPLACEMENT_PAUSE_SECONDS)
    began = time.monotonic()
    settled = math.inf
    try:
        await wait_for(
            SETTLED_TIMEOUT_SECONDS, lambda: not _nodes_with_wrong_members(fleet, collector)
        )
        settled = time.monotonic() - began
    except TimeoutError:
        pass
    reports = [collector.reports_by_instance[name] for name in fleet.settings_by_instance]
    known = sum(report.known_members for report in reports) / len(reports)
    wrong = len(_nodes_with_wrong_members(fleet, collector))
    return ReplacementFigures(count, round(settled, 1), wrong, round(known, 1))


async def partition_regions(fleet: LightFleet, collector: Collector) -> PartitionFigures:
    """Partition the regions for 20 s, heal them and wait until membership has converged.

    Raises
    ------
    TimeoutError
        If membership does not converge within 60 s before the partition or during it.
    """
    await wait_for(HEALED_TIMEOUT_SECONDS, lambda: not _nodes_with_wrong_members(fleet, collector))
    began = time.monotonic()
    fleet.toggle_partition()
    await wait_for(
        HEALED_TIMEOUT_SECONDS,
        lambda: not _nodes_with_wrong_members(fleet, collector, is_partitioned=True),
    )
    isolated = time.monotonic() - began
    await asyncio.sleep(PARTITION_SECONDS)
    began = time.monotonic()
    fleet.toggle_partition()
    try:
        await wait_for(
            HEALED_TIMEOUT_SECONDS, lambda: not _nodes_with_wrong_members(fleet, collector)
        )
    except TimeoutError:
        return PartitionFigures(round(isolated, 1), math.inf)
    return PartitionFigures(round(isolated, 1), round(time.monotonic() - began, 1))


def _nodes_with_wrong_members(
    fleet: LightFleet, collector: Collector, is_partitioned: bool = False
) -> list[str]:
    wrong = []
    for name, settings in fleet.settings_by_instance.items():
        report = collector.reports_by_instance.get(name)
        expected = sum(
            other.service in settings.called_services
            for other in fleet.settings_by_instance.values()
            if not is_partitioned or other.region == settings.region
        )
        if report is None or report.used_members != expected:
            wrong.append(name)
    return wrong


def _live_callers(fleet: LightFleet, instance: str) -> list[str]:
    service = fleet.settings_by_instance[instance].service
    callers = fleet.callers_of(service)
    return [name for name in callers if name != instance and name in fleet.processes_by_instance]


async def _seconds_until_unused(
    collector: Collector, callers: list[str], instance: str, began: float
) -> float:
    def lost_at(caller: str) -> float:
        return collector.reports_by_instance[caller].lost_at_by_instance.get(instance, 0.0)

    try:
        await wait_for(IN_USE_TIMEOUT_SECONDS, lambda: all(lost_at(c) > began for c in callers))
    except TimeoutError:
        return math.inf
    return max(map(lost_at, callers), default=began) - began
