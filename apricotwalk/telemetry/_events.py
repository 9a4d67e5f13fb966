"""Events of one process, stored for the timeline and written as log lines."""

from collections import deque

import msgspec
from loguru import logger
from msgspec import Struct

from apricotwalk.telemetry._hybrid_clock import HybridClock

__all__ = ["Event", "EventLog"]

MAX_EVENT_COUNT = 4096


class Event(Struct, frozen=True, array_like=True):
    """An event in one process.

    Parameters
    ----------
    stamp : int
        Hybrid logical time.
    kind : str
        Name of the event, such as ``"call-shed"``.
    request_id : str
        Identifier of the request concerned, or an empty string.
    fields : dict
        Further fields.
    """

    stamp: int
    kind: str
    request_id: str = ""
    fields: dict[str, object] = {}


_encoder = msgspec.msgpack.Encoder(enc_hook=str)
_decoder = msgspec.msgpack.Decoder(Event)


class EventLog:
    """Stores the most recent events of a process, at most 4096, to bound the memory.

    Parameters
    ----------
    instance, availability_zone : str
        Location of the process.
    clock : HybridClock
        Source of time stamps.
    writes_requests : bool
        Whether request events are also written as log lines, at level DEBUG.

    Notes
    -----
    Events are stored encoded, because bytes use less memory than objects and need no traversal
    by the garbage collector.
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
        self._events: deque[bytes] = deque(maxlen=MAX_EVENT_COUNT)

    def record(self, kind: str, request_id: str = "", **fields: object) -> None:
        """Record a request event; it is written as a log line only if `writes_requests` is set."""
        self._append(Event(self.clock.now(), kind, request_id, fields))
        if self._writes_requests:
            self._write_line("DEBUG", kind, request_id, fields)

    def record_state_change(self, kind: str, **fields: object) -> None:
        """Record a state change of the process and write it as a log line."""
        self._append(Event(self.clock.now(), kind, "", fields))
        self._write_line("INFO", kind, "", fields)

    def _write_line(
        self, level: str, kind: str, request_id: str, fields: dict[str, object]
    ) -> None:
        line_fields = {"cause": "", **fields, "request": request_id}
        bound = logger.bind(instance=self.instance, zone=self.availability_zone, **line_fields)
        bound.log(level, kind)

    def newest(self, request_id: str = "", limit: int = MAX_EVENT_COUNT) -> list[Event]:
        """Return the most recent events in order, of one request if `request_id` is not empty."""
        events = [_decoder.decode(encoded) for encoded in self._events]
        matching = [e for e in events if not request_id or e.request_id == request_id]
        return matching[-limit:]

    def _append(self, event: Event) -> None:
        self._events.append(_encoder.encode(event))
