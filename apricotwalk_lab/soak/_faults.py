"""Brings the faults of a plan about."""

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

from apricotwalk_lab.soak._callers import Callers
from apricotwalk_lab.soak._fleet import NodeInstance
from apricotwalk_lab.soak._pages import CONFIGURATION_KEY, OPERATOR_TOPIC, configuration
from apricotwalk_lab.soak._plan import Fault, FaultKind
from apricotwalk_lab.soak._records import Records
from apricotwalk_lab.soak._store import StoreStandIn

__all__ = ["FaultInjector"]

STORE_DELAY_SECONDS = 0.3
BURST_FACTOR = 6.0


class FaultInjector:
    """Applies each fault at its time and takes it back.

    Parameters
    ----------
    places : list of NodePlace
        The instances.
    store : StoreStandIn
        The store.
    callers : Callers
        Callers, for bursts.
    records : Records
        Receives the versions that are published.
    clock : callable
        Seconds since callers began.
    services : set of str
        Services of the configuration.
    """

    def __init__(
        self,
        places: list[NodeInstance],
        store: StoreStandIn,
        callers: Callers,
        records: Records,
        clock: Callable[[], float],
        services: set[str],
    ) -> None:
        self._places = places
        self._store = store
        self._callers = callers
        self._records = records
        self._clock = clock
        self._services = services
        self._active: Counter[tuple[FaultKind, int]] = Counter()
        self._version = 0

    def publish(self) -> None:
        """Write the next version of the configuration."""
        self._version += 1
        value = configuration(self._version, self._services)
        self._store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, value)
        self._records.published_at_by_version[self._version] = self._clock()
        self._callers.newest_version = self._version

    async def play(self, fault: Fault) -> None:
        """Wait for the time of a fault, and apply it for as long as it lasts."""
        await asyncio.sleep(max(0.0, fault.at - self._clock()))
        single = self._single_events().get(fault.kind)
        if single is not None:
            await single(self._places[fault.node])
            return
        key = (fault.kind, fault.node)
        self._active[key] += 1
        self._switch(fault)
        try:
            await asyncio.sleep(fault.seconds)
        finally:
            self._active[key] -= 1
            self._switch(fault)

    def _single_events(self) -> dict[FaultKind, Callable[[NodeInstance], Awaitable[None]]]:
        return {
            FaultKind.NODE_TERMINATED: lambda place: place.terminate(),
            FaultKind.NODE_KILLED: _signal(signal.SIGKILL),
            FaultKind.NODE_RELOADED: _signal(signal.SIGHUP),
            FaultKind.SERVER_CRASHED: lambda place: place.server.crash(),
            FaultKind.SERVER_REPLACED: lambda place: place.server.replace(),
            FaultKind.SERVER_LINK_RESET: _call(lambda place: place.server_link.reset_connections()),
            FaultKind.STORE_FORGETS: _call(lambda place: self._store.forget()),
            FaultKind.CONFIGURATION_CHANGED: _call(lambda place: self.publish()),
        }

    def _switch(self, fault: Fault) -> None:
        """Make the system show the lasting faults that are active."""
        place = self._places[fault.node]
        here = self._active[(fault.kind, fault.node)] > 0
        anywhere = any(count for key, count in self._active.items() if key[0] is fault.kind)
        match fault.kind:
            case FaultKind.NODE_FROZEN:
                place.send(signal.SIGSTOP if here else signal.SIGCONT)
            case FaultKind.SERVER_SLOW:
                place.server.is_slow = here
            case FaultKind.ANSWERS_LOST:
                place.server.loses_answers = here
            case FaultKind.ANSWERS_CUT:
                place.server.cuts_answers = here
            case FaultKind.SERVER_LINK_SILENT:
                if here:
                    place.server_link.blackhole_connections()
            case FaultKind.STORE_DOWN:
                self._store.is_down = anywhere
            case FaultKind.STORE_SLOW:
                self._store.delay_seconds = STORE_DELAY_SECONDS if anywhere else 0.0
            case FaultKind.STORE_ANSWERS_LOST:
                self._store.loses_answers = anywhere
            case FaultKind.STORE_LINK_CUT:
                place.store_link.faults.is_cut = here
            case FaultKind.STORE_LINK_CUT_BACK:
                place.store_link.faults.is_cut_back = here
            case FaultKind.BURST:
                self._callers.speed = BURST_FACTOR if anywhere else 1.0


def _signal(number: signal.Signals) -> Callable[[NodeInstance], Awaitable[None]]:
    return _call(lambda place: place.send(number))


def _call(change: Callable[[NodeInstance], None]) -> Callable[[NodeInstance], Awaitable[None]]:
    async def apply(place: NodeInstance) -> None:
        change(place)

    return apply
