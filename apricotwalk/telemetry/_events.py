"""The events of one process, kept for the time line and written as log lines."""

from collections import deque

import msgspec
from loguru import logger
from msgspec import Struct

from apricotwalk.telemetry._hybrid_clock import HybridClock

__all__ = ["Event", "EventLog"]

KEPT_EVENTS = 4096


class Event(Struct, frozen=True, array_like=True):
    """Something that happened in one process.

    Parameters
    ----------
    stamp : int
        Hybrid logical time.
    kind : str
        What happened, such as ``"call-shed"``.
    request_id : str
        The request it belongs to, or an empty string.
    fields : dict
        Further facts.
    """

    stamp: int
    kind: str
    request_id: str = ""
    fields: dict[str, object] = {}


_encoder = msgspec.msgpack.Encoder(enc_hook=str)
_decoder = msgspec.msgpack.Decoder(Event)


class EventLog:
    """Keeps the newest events of a process in bounded memory.

    Parameters
    ----------
    instance, availability_zone : str
        Where the process runs.
    clock : HybridClock
        Source of stamps.
    writes_requests : bool
        Whether events of single requests are written as log lines too, at level DEBUG.

    Notes
    -----
    Events are kept encoded: smaller than objects, and no work for the garbage collector.
    """

    def __init__(
        self,
        instance: str,
        availability_zone: str,
        clock: HybridClock,
        writes_requests: bool = False,
    ) -> None:
        self.instance = instance
        self.availability_zone = availability_zone
        self.clock = clock
        self._writes_requests = writes_requests
        self._events: deque[bytes] = deque(maxlen=KEPT_EVENTS)

    def record(self, kind: str, request_id: str = "", **fields: object) -> None:
        """Keep an event of a single request; by default it is not written to the log."""
        self._keep(Event(self.clock.now(), kind, request_id, fields))
        if self._writes_requests:
            self._write("DEBUG", kind, request_id, fields)

    def record_state_change(self, kind: str, **fields: object) -> None:
        """Keep an event of the process itself and write it as a log line."""
        self._keep(Event(self.clock.now(), kind, "", fields))
        self._write("INFO", kind, "", fields)

    def _write(self, level: str, kind: str, request_id: str, fields: dict[str, object]) -> None:
        facts = {"cause": "", **fields, "request": request_id}
        bound = logger.bind(instance=self.instance, zone=self.availability_zone, **facts)
        bound.log(level, kind)

    def newest(self, request_id: str = "", limit: int = KEPT_EVENTS) -> list[Event]:
        """Return the newest events in order, all or those of one request."""
        events = [_decoder.decode(encoded) for encoded in self._events]
        matching = [e for e in events if not request_id or e.request_id == request_id]
        return matching[-limit:]

    def _keep(self, event: Event) -> None:
        self._events.append(_encoder.encode(event))
