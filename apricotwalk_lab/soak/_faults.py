"""Injection of the faults of a plan."""

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

import msgspec

from apricotwalk_lab.soak._callers import Callers
from apricotwalk_lab.soak._fleet import NodeInstance
from apricotwalk_lab.soak._plan import Fault, FaultKind
from apricotwalk_lab.soak._platform import (
    CONFIGURATION_KEY,
    MEMBERS_TOPIC,
    OPERATOR_TOPIC,
    configuration,
)
from apricotwalk_lab.soak._records import Records
from apricotwalk_lab.soak._store import StoreStandIn

__all__ = ["FaultInjector"]

STORE_DELAY_SECONDS = 0.3
BURST_FACTOR = 6.0
# A slow server takes longer than this for a request, so the next node ends while it runs.
KILL_INTERVAL_SECONDS = 0.15
# The operator notices a restoration and stores its newest version again after this time.
REPUBLISH_SECONDS = 0.5


class FaultInjector:
    """Inject each fault at its time and revert it when it ends.

    Parameters
    ----------
    instances : list of NodeInstance
        Instances of the run.
    store : StoreStandIn
        Store that the nodes connect to.
    callers : Callers
        Callers whose request rate rises during a burst.
    records : Records
        Collects the publication time of each configuration version.
    clock : callable
        Returns the time since the callers started, in seconds.
    services : set of str
        Services that the configuration names.
    """

    def __init__(
        self,
        instances: list[NodeInstance],
        store: StoreStandIn,
        callers: Callers,
        records: Records,
        clock: Callable[[], float],
        services: set[str],
    ) -> None:
        self._instances = instances
        self._store = store
        self._callers = callers
        self._records = records
        self._clock = clock
        self._services = services
        self._active_counts: Counter[tuple[FaultKind, int]] = Counter()
        self._version = 0
        self._newest_value = b""

    def publish(self) -> None:
        """Publish the next version of the configuration."""
        self._version += 1
        value = configuration(self._version, self._services)
        self._store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, value)
        self._newest_value = value
        self._records.published_at_by_version[self._version] = self._clock()
        self._callers.newest_version = self._version

    async def restore_store(self, age_seconds: float) -> None:
        """Restore the store from a copy, and store the newest version again."""
        self._store.restore(age_seconds)
        await asyncio.sleep(REPUBLISH_SECONDS)
        self._store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, self._newest_value)

    def _put_odd_entries(self) -> None:
        """Store entries of another writer among the records of the members."""
        address = {"host": "127.0.0.1", "port": 65_536}
        values = {
            "odd-nesting": b"\x91" * 100_000,
            "odd-number": msgspec.msgpack.encode(["odd-number", "menu", "z", "r", {}, 2**64 - 1]),
            "odd-port": msgspec.msgpack.encode(["odd-port", "menu", "z", "r", address, 1, 0]),
            "odd & text": b'{"service":' + b"[" * 100_000,
        }
        for key, value in values.items():
            self._store.put(MEMBERS_TOPIC, key, value)

    async def _kill_nodes_in_turn(self) -> None:
        """Kill the nodes while requests run long, so that a request loses several connections."""
        for instance in self._instances:
            instance.server.is_slow = True
        for instance in self._instances:
            instance.send(signal.SIGKILL)
            await asyncio.sleep(KILL_INTERVAL_SECONDS)
        for instance in self._instances:
            instance.server.is_slow = False

    async def inject(self, fault: Fault) -> None:
        """Wait until a fault is due, apply it, and revert it after its duration."""
        await asyncio.sleep(max(0.0, fault.at - self._clock()))
        if fault.kind is FaultKind.STORE_RESTORED:
            await self.restore_store(fault.seconds)
            return
        if fault.kind is FaultKind.ODD_ENTRIES:
            self._put_odd_entries()
            return
        if fault.kind is FaultKind.NODES_KILLED_IN_TURN:
            await self._kill_nodes_in_turn()
            return
        one_time = self._one_time_faults().get(fault.kind)
        if one_time is not None:
            await one_time(self._instances[fault.node])
            return
        key = (fault.kind, fault.node)
        self._active_counts[key] += 1
        self._update_lasting_fault(fault)
        try:
            await asyncio.sleep(fault.seconds)
        finally:
            self._active_counts[key] -= 1
            self._update_lasting_fault(fault)

    def _one_time_faults(self) -> dict[FaultKind, Callable[[NodeInstance], Awaitable[None]]]:
        return {
            FaultKind.NODE_TERMINATED: lambda instance: instance.terminate(),
            FaultKind.NODE_TERMINATED_WHILE_FULL: lambda instance: instance.terminate(),
            FaultKind.NODE_KILLED: _send_signal(signal.SIGKILL),
            FaultKind.NODE_RELOADED: _send_signal(signal.SIGHUP),
            FaultKind.SERVER_CRASHED: lambda instance: instance.server.crash(),
            FaultKind.SERVER_REPLACED: lambda instance: instance.server.replace(),
            FaultKind.SERVER_LINK_RESET: _as_async(
                lambda instance: instance.server_link.reset_connections()
            ),
            FaultKind.STORE_FORGETS: _as_async(lambda instance: self._store.drop_history()),
            FaultKind.CONFIGURATION_CHANGED: _as_async(lambda instance: self.publish()),
        }

    def _update_lasting_fault(self, fault: Fault) -> None:
        """Set the state that a lasting fault controls from the faults that are active now."""
        instance = self._instances[fault.node]
        is_active = self._active_counts[(fault.kind, fault.node)] > 0
        is_active_anywhere = any(
            count for key, count in self._active_counts.items() if key[0] is fault.kind
        )
        match fault.kind:
            case FaultKind.NODE_FROZEN:
                instance.send(signal.SIGSTOP if is_active else signal.SIGCONT)
            case FaultKind.SERVER_SLOW:
                instance.server.is_slow = is_active
            case FaultKind.SERVERS_FULL:
                for each in self._instances:
                    each.server.is_full = is_active_anywhere
            case FaultKind.SERVER_LIMITED:
                instance.server.set_limited(is_active)
            case FaultKind.ANSWERS_LOST:
                instance.server.loses_answers = is_active
            case FaultKind.ANSWERS_CUT:
                instance.server.cuts_answers = is_active
            case FaultKind.HEADS_CUT:
                instance.server.cuts_heads = is_active
            case FaultKind.REFUSALS_REPEATED:
                instance.server.repeats_refusals = is_active
            case FaultKind.ANSWERS_ENDLESS:
                instance.server.sends_endless_answers = is_active
            case FaultKind.SERVER_LINK_SILENT:
                if is_active:
                    instance.server_link.blackhole_connections()
            case FaultKind.STORE_DOWN:
                self._store.is_down = is_active_anywhere
            case FaultKind.STORE_SLOW:
                self._store.delay_seconds = STORE_DELAY_SECONDS if is_active_anywhere else 0.0
            case FaultKind.STORE_ANSWERS_LOST:
                self._store.loses_answers = is_active_anywhere
            case FaultKind.STORE_LINK_CUT:
                instance.store_link.faults.is_cut = is_active
            case FaultKind.STORE_LINK_CUT_BACK:
                instance.store_link.faults.is_return_cut = is_active
            case FaultKind.BURST:
                self._callers.rate_factor = BURST_FACTOR if is_active_anywhere else 1.0


def _send_signal(number: signal.Signals) -> Callable[[NodeInstance], Awaitable[None]]:
    return _as_async(lambda instance: instance.send(number))


def _as_async(action: Callable[[NodeInstance], None]) -> Callable[[NodeInstance], Awaitable[None]]:
    async def apply(instance: NodeInstance) -> None:
        action(instance)

    return apply
