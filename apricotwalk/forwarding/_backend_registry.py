"""What is known of the backend server beside the node."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from apricotwalk.border import Heartbeat, HeartbeatCall, MeshSettings
from apricotwalk.core import Clock
from apricotwalk.telemetry import DecisionLog

__all__ = ["BackendRegistry", "KnownServer"]

# Incarnations that are gone are remembered so long against late heartbeats, which come seconds
# late at most.
GONE_MEMORY_COUNT = 16


@dataclass(frozen=True, slots=True)
class KnownServer:
    """The incarnation of the backend server that may get work.

    Parameters
    ----------
    server : str
        Its identifier.
    slots : int
        Requests that it runs at once.
    """

    server: str
    slots: int


class BackendRegistry:
    """Decides from heartbeats which incarnation of the backend server may get work.

    Parameters
    ----------
    settings : MeshSettings
        Service and address that the server must have.
    log : DecisionLog
        Receives each change.
    clock : Clock
        Source of time.

    Notes
    -----
    A later start replaces an earlier one, and within a start the larger sequence counts, so a
    heartbeat that a partition has held back changes nothing.  After a node has started it knows
    of no server until it hears of one, so what an earlier process acknowledged still holds.
    """

    def __init__(self, settings: MeshSettings, log: DecisionLog, clock: Clock) -> None:
        self.settings = settings
        self._log = log
        self._clock = clock
        self._newest: Heartbeat | None = None
        self._gone: list[tuple[str, int]] = []
        self.current: KnownServer | None = None
        self.is_leaving = False
        self.left_at = 0.0
        self.on_change: Callable[[], None] = lambda: None
        self.known = asyncio.Event()

    def handle_call(self, call: HeartbeatCall) -> None:
        """Take a call of a backend server."""
        if call.heartbeat is None:
            self._take_departure(call.server, call.started_ms)
        else:
            self._take_heartbeat(call.heartbeat)

    def register_probed(self, server: str, slots: int) -> None:
        """Take a server that a health check has found ready, before its first heartbeat."""
        if self._newest is None and self.current is None and not self.is_leaving:
            self._use(KnownServer(server, slots), "health check")

    def lose(self, reason: str) -> None:
        """Take note that the server is gone until it is heard of again."""
        if self.current is None:
            return
        self._log.believe("server-lost", server=self.current.server, reason=reason)
        self.current = None
        self.known.clear()
        self.on_change()

    def _take_heartbeat(self, beat: Heartbeat) -> None:
        if not self._is_expected(beat) or self._is_stale(beat):
            return
        self._newest = beat
        if beat.is_leaving:
            self._leave("draining")
            return
        known = KnownServer(beat.server, beat.slots)
        if known != self.current or self.is_leaving:
            self._use(known, "heartbeat")

    def _is_expected(self, beat: Heartbeat) -> bool:
        if beat.service == self.settings.service and beat.address == self.settings.backend:
            return True
        self._log.believe(
            "heartbeat-rejected",
            server=beat.server,
            service=beat.service,
            address=str(beat.address),
            reason="another service or address than this instance has",
        )
        return False

    def _is_stale(self, beat: Heartbeat) -> bool:
        if (beat.server, beat.started_ms) in self._gone:
            return True
        newest = self._newest
        if newest is None:
            return False
        if (beat.server, beat.started_ms) == (newest.server, newest.started_ms):
            return beat.sequence <= newest.sequence
        return beat.started_ms < newest.started_ms

    def _take_departure(self, server: str, started_ms: int) -> None:
        newest = self._newest
        if newest is not None and newest.server != server:
            return
        if started_ms and newest is not None and started_ms < newest.started_ms:
            return
        if newest is None and self.current is not None and self.current.server != server:
            return
        gone = (server, started_ms or (newest.started_ms if newest is not None else 0))
        self._gone = [*self._gone[-GONE_MEMORY_COUNT:], gone]
        self._leave("departed")

    def _leave(self, reason: str) -> None:
        if self.is_leaving:
            return
        self.is_leaving = True
        self.left_at = self._clock.monotonic()
        server = self.current.server if self.current is not None else ""
        self._log.believe("server-leaving", server=server, reason=reason)
        self.on_change()

    def _use(self, known: KnownServer, source: str) -> None:
        former = self.current
        self.current = known
        self.is_leaving = False
        self.known.set()
        self._log.believe(
            "server-known",
            server=known.server,
            slots=known.slots,
            former=former.server if former is not None else "",
            source=source,
        )
        self.on_change()
