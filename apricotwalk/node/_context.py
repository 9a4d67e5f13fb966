"""What every part of a node is built on."""

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
    """Settings, clocks, randomness, events and the log service of one node.

    Parameters
    ----------
    settings : NodeSettings
        Everything the node has to be told.
    own : Member
        First membership record of the node.
    events : EventLog
        Receives the node's events.
    metrics : Metrics
        Receives the node's counters.
    log_service : HttpLogService
        The platform's log service.
    keys : KeyRing
        Keys that nodes share.
    switches : MechanismSwitches
        Mechanisms that are on.
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
        """Release the connections to the log service and the collector of metrics."""
        self.log_service.close()
        self.metrics.close()


def create_node_context(settings: NodeSettings) -> NodeContext:
    """Return the foundation of a node with these settings."""
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
