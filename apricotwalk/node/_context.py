"""Dependencies that the services of a node share."""

import random
import time
from dataclasses import dataclass, field

from apricotwalk.control import KeyRing
from apricotwalk.core import Clock, MechanismSwitches, SystemClock
from apricotwalk.logservice import HttpLogService
from apricotwalk.membership import Member
from apricotwalk.settings import Address, NodeSettings
from apricotwalk.telemetry import EventLog, HybridClock, Metrics

__all__ = ["NodeContext", "create_node_context"]

MICROSECONDS_PER_SECOND = 1_000_000
REQUEST_LOG_LEVELS = ("TRACE", "DEBUG")


@dataclass(frozen=True, slots=True)
class NodeContext:
    """Settings, clock, random generator, telemetry and log service client of one node.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings of the node.
    own_member : Member
        Initial membership record of the node.
    events : EventLog
        Event log of the node.
    metrics : Metrics
        Counters, sent to the statsd collector if one is configured.
    log_service : HttpLogService
        Client of the platform's log service.
    keys : KeyRing
        Keys that authenticate messages between nodes.
    switches : MechanismSwitches
        Mechanisms that are enabled.
    clock : Clock
        Source of time.
    generator : random.Random
        Source of randomness.
    """

    settings: NodeSettings
    own_member: Member
    events: EventLog
    metrics: Metrics
    log_service: HttpLogService
    keys: KeyRing
    switches: MechanismSwitches
    clock: Clock = field(default_factory=SystemClock)
    generator: random.Random = field(default_factory=random.Random)

    def close(self) -> None:
        """Close the connections to the log service and the metrics collector."""
        self.log_service.close()
        self.metrics.close()


def create_node_context(settings: NodeSettings) -> NodeContext:
    """Create the shared dependencies of a node from its settings.

    Notes
    -----
    The incarnation of the membership record is the wall clock time in microseconds.
    """
    clock = SystemClock()
    events = EventLog(
        settings.instance,
        settings.availability_zone,
        HybridClock(clock),
        writes_requests=settings.log_level in REQUEST_LOG_LEVELS,
    )
    own_member = Member(
        instance=settings.instance,
        service="",
        availability_zone=settings.availability_zone,
        region=settings.region,
        address=Address.parse(settings.listen.advertised or settings.listen.peers),
        incarnation=int(time.time() * MICROSECONDS_PER_SECOND),
    )
    return NodeContext(
        settings=settings,
        own_member=own_member,
        events=events,
        metrics=Metrics(settings.statsd),
        log_service=HttpLogService(Address.parse(settings.log_service)),
        keys=KeyRing(settings.keys),
        switches=MechanismSwitches(settings.disabled_mechanisms),
        clock=clock,
    )
