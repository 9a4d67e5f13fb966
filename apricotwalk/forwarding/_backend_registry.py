"""State of the backend server beside the node."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from apricotwalk.border import Heartbeat, HeartbeatCall, MeshSettings
from apricotwalk.core import Clock, Departure, ServerNotice
from apricotwalk.forwarding._announcements import ServerAnnouncement
from apricotwalk.telemetry import DecisionLog

__all__ = ["BackendRegistry", "KnownServer"]

# Departed incarnations are remembered so that their late heartbeats are ignored.  Heartbeats are
# at most seconds late, so a short history suffices.
DEPARTED_HISTORY_COUNT = 16
# Reports that were held up on their way arrive together, while a server that is not leaving sends
# them at the interval of heartbeats, which is longer.
MIN_REPORT_GAP_SECONDS = 1.0
MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class KnownServer:
    """The incarnation of the backend server that may receive work.

    Parameters
    ----------
    server : str
        Identifier of the incarnation.
    slots : int
        Number of requests that it runs concurrently.
    started_ms : int
        Unix time of its start in milliseconds, or 0 if no heartbeat has stated it yet.
    """

    server: str
    slots: int
    started_ms: int = 0

    def is_same_start(self, server: str, started_ms: int) -> bool:
        """Return whether another description of a server can be of this start of it."""
        if server != self.server:
            return False
        return started_ms == self.started_ms or 0 in (started_ms, self.started_ms)


class BackendRegistry:
    """Decides from heartbeats which incarnation of the backend server may receive work.

    Parameters
    ----------
    settings : MeshSettings
        Service and address that a heartbeat must state.
    log : DecisionLog
        Records each change.
    clock : Clock
        Source of time.

    Notes
    -----
    An incarnation that started later replaces an earlier one, and within an incarnation the
    heartbeat with the larger sequence number wins, so a heartbeat delayed by a partition changes
    nothing.  A node that has just started knows no server until a heartbeat or a health check
    reports one.  It defers these until `settle` is called, because an earlier process may have
    acknowledged that the server is leaving, and a report of the time before that can be late.  That
    acknowledgement is not recorded anywhere if the store was unavailable and every other node has
    ended too, so the server also has to confirm the first report: by a health check, by a further
    report, or by having started after this process.  The limit that the server announced reaches
    such a node with the first request of each node that knows it.
    """

    def __init__(
        self, settings: MeshSettings, log: DecisionLog, clock: Clock, is_settled: bool = True
    ) -> None:
        self.settings = settings
        self._log = log
        self._clock = clock
        self._newest_heartbeat: Heartbeat | None = None
        self._departed: deque[Departure] = deque(maxlen=DEPARTED_HISTORY_COUNT)
        self.current: KnownServer | None = None
        self.is_leaving = False
        self.leaving_since = 0.0
        self._last_known: KnownServer | None = None
        self._has_answered = False
        self.announced_rate: float | None = None
        self._is_rate_readable = True
        self._is_settled = self._is_confirmed = is_settled
        self._created_ms = clock.wall() * MILLISECONDS_PER_SECOND
        self._first_report_at = 0.0
        self._deferred_heartbeat: Heartbeat | None = None
        self._deferred_probe: tuple[str, int] | None = None
        self.on_change: Callable[[], None] = lambda: None
        self.on_restart: Callable[[], None] = lambda: None
        self.on_departure: Callable[[Departure], None] = lambda departure: None
        self.server_known = asyncio.Event()

    def handle_call(self, call: HeartbeatCall) -> None:
        """Apply a heartbeat or departure notice of a backend server."""
        if call.heartbeat is None:
            self._handle_departure(call.server, call.started_ms)
        else:
            self._handle_heartbeat(call.heartbeat)

    def register_probed(self, server: str, slots: int) -> None:
        """Register a server that a health check found ready before its first heartbeat."""
        if not (self._is_settled and self._is_confirmed):
            self._deferred_probe = (server, slots)
            self.confirm("health check")
            return
        if self._departed and self._departed[-1].server == server:
            return  # a health check does not tell whether it is a later start of this server
        if self._newest_heartbeat is None and self.current is None and not self.is_leaving:
            self._set_current(KnownServer(server, slots), "health check")

    def record_answer(self, known_server: KnownServer, announcement: ServerAnnouncement) -> None:
        """Apply what a server announced in an answer; a former server's answer has no effect."""
        current = self.current
        if current is None or not current.is_same_start(
            known_server.server, known_server.started_ms
        ):
            return
        self._has_answered = True
        if announcement.has_readable_rate:
            self._set_announced_rate(announcement.requests_per_second)
        elif self._is_rate_readable:
            self._log.record_state_change("server-limit-unreadable", server=current.server)
        self._is_rate_readable = announcement.has_readable_rate
        if announcement.is_leaving:
            # Until a heartbeat states the start, the time of the first such answer bounds it.  That
            # of later ones would only fill the history.
            started_ms = current.started_ms or int(self._clock.wall() * MILLISECONDS_PER_SECOND)
            if not self.is_leaving or current.started_ms:
                self._depart(current.server, started_ms, "announced in an answer")

    def notice(self) -> ServerNotice | None:
        """Return what the current server announces, or None if that is nothing."""
        current = self.current
        if current is None or (self.announced_rate is None and not self.is_leaving):
            return None
        return ServerNotice(
            current.server, current.started_ms, self.announced_rate, self.is_leaving
        )

    def apply_notice(self, notice: ServerNotice) -> None:
        """Apply a notice of the current server from another node.

        Notes
        -----
        The limit of a notice counts only until the server itself has answered this process,
        because it may have lapsed.  A server that leaves does not return, so that always counts.
        """
        current = self.current
        if current is None or not current.is_same_start(notice.server, notice.started_ms):
            return
        if notice.is_leaving:
            started_ms = current.started_ms or notice.started_ms
            self._depart(current.server, started_ms, "announced earlier to another node")
        if not self._has_answered:
            self._set_announced_rate(notice.requests_per_second)

    def restore_departure(self, departure: Departure) -> None:
        """Apply a departure that an earlier process of this node has acknowledged."""
        if departure in self._departed:
            return
        self._departed.append(departure)
        current, newest = self.current, self._newest_heartbeat
        sequence = newest.sequence if newest is not None else 0
        if current is not None and departure.includes(current.server, current.started_ms, sequence):
            self._start_leaving("acknowledged by an earlier process")

    def settle(self, reason: str) -> None:
        """Apply what was deferred until the departures acknowledged earlier were known."""
        if self._is_settled:
            return
        self._is_settled = True
        self._log.record_state_change("server-history-known", reason=reason)
        self._apply_deferred()

    def confirm(self, reason: str) -> None:
        """Apply what was deferred until the server showed that it is not leaving."""
        if self._is_confirmed:
            return
        self._is_confirmed = True
        self._log.record_state_change("server-confirmed", reason=reason)
        self._apply_deferred()

    @property
    def awaits_confirmation(self) -> bool:
        """Whether a server has reported itself and has not confirmed the report yet."""
        return self._deferred_heartbeat is not None and not self._is_confirmed

    def _apply_deferred(self) -> None:
        if not (self._is_settled and self._is_confirmed):
            return
        heartbeat, self._deferred_heartbeat = self._deferred_heartbeat, None
        probe, self._deferred_probe = self._deferred_probe, None
        if heartbeat is not None and (probe is None or probe[0] == heartbeat.server):
            self._handle_heartbeat(heartbeat)
        elif probe is not None:
            self.register_probed(*probe)

    def mark_lost(self, reason: str) -> None:
        """Mark the server as lost until a newer heartbeat or a health check reports it."""
        if self.current is None:
            return
        self._log.record_state_change("server-lost", server=self.current.server, reason=reason)
        self.current = None
        self.server_known.clear()
        self.on_change()

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        if not self._matches_settings(heartbeat) or self._is_stale(heartbeat):
            return
        is_trusted = self._is_settled and self._is_confirmed
        if not is_trusted and not heartbeat.is_leaving:
            self._defer(heartbeat)
            return
        self._newest_heartbeat = heartbeat
        if heartbeat.is_leaving:
            self.on_departure(Departure(heartbeat.server, heartbeat.started_ms, heartbeat.sequence))
            self._start_leaving("draining")
            return
        known = KnownServer(heartbeat.server, heartbeat.slots, heartbeat.started_ms)
        if known != self.current or self.is_leaving:
            self._set_current(known, "heartbeat")

    def _defer(self, heartbeat: Heartbeat) -> None:
        deferred = self._deferred_heartbeat
        now = self._clock.monotonic()
        if deferred is None:
            self._first_report_at = now
        elif (heartbeat.started_ms, heartbeat.sequence) <= (deferred.started_ms, deferred.sequence):
            return
        self._deferred_heartbeat = heartbeat
        if heartbeat.started_ms >= self._created_ms:
            self.confirm("started after this process")
        elif deferred is not None and now - self._first_report_at >= MIN_REPORT_GAP_SECONDS:
            self.confirm("further report")

    def _matches_settings(self, heartbeat: Heartbeat) -> bool:
        if (
            heartbeat.service == self.settings.service
            and heartbeat.address == self.settings.backend
        ):
            return True
        self._log.record_state_change(
            "heartbeat-rejected",
            server=heartbeat.server,
            service=heartbeat.service,
            address=str(heartbeat.address),
            reason="service or address differs from the settings of this instance",
        )
        return False

    def _is_stale(self, heartbeat: Heartbeat) -> bool:
        report = (heartbeat.server, heartbeat.started_ms, heartbeat.sequence)
        if any(departure.includes(*report) for departure in self._departed):
            return True
        newest = self._newest_heartbeat
        if newest is None:
            return False
        if (heartbeat.server, heartbeat.started_ms) == (newest.server, newest.started_ms):
            return heartbeat.sequence <= newest.sequence
        return heartbeat.started_ms < newest.started_ms

    def _handle_departure(self, server: str, started_ms: int) -> None:
        newest = self._newest_heartbeat
        if newest is not None and newest.server != server:
            return
        if started_ms and newest is not None and started_ms < newest.started_ms:
            return
        if newest is None and self.current is not None and self.current.server != server:
            return
        if not started_ms and newest is not None:
            started_ms = newest.started_ms
        # Without a stated start, every start up to now is meant.
        started_ms = started_ms or int(self._clock.wall() * MILLISECONDS_PER_SECOND)
        self._depart(server, started_ms, "departed")

    def _depart(self, server: str, started_ms: int, reason: str) -> None:
        """Mark a server as leaving, whatever later heartbeats of this start of it state."""
        departure = Departure(server, started_ms)
        if departure not in self._departed:
            self._departed.append(departure)
        self.on_departure(departure)
        self._start_leaving(reason)

    def _start_leaving(self, reason: str) -> None:
        if self.is_leaving:
            return
        self.is_leaving = True
        self.leaving_since = self._clock.monotonic()
        server = self.current.server if self.current is not None else ""
        self._log.record_state_change("server-leaving", server=server, reason=reason)
        self.on_change()

    def _set_announced_rate(self, requests_per_second: float | None) -> None:
        previous = self.announced_rate
        if requests_per_second == previous:
            return
        self.announced_rate = requests_per_second
        self._log.record_state_change(
            "server-limit-changed",
            server=self.current.server if self.current is not None else "",
            requests_per_second=requests_per_second,
            former=previous,
        )
        self.on_change()

    def _set_current(self, known: KnownServer, source: str) -> None:
        previous = self.current
        last = self._last_known
        if last is None or not last.is_same_start(known.server, known.started_ms):
            self.announced_rate = None
            self._has_answered = False
            if last is not None and not self.is_leaving:
                self.on_restart()
        self.current = self._last_known = known
        self.is_leaving = False
        self.server_known.set()
        self._log.record_state_change(
            "server-known",
            server=known.server,
            slots=known.slots,
            former=previous.server if previous is not None else "",
            source=source,
        )
        self.on_change()
