"""Structured log lines on standard output, rate-limited and written without blocking."""

import asyncio
import os
import time
from collections import deque
from contextlib import suppress

import msgspec

from apricotwalk.core import Clock, Service, Supervisor

__all__ = ["DecisionLog"]

# The rate allows about one line per request at the traffic of an ordinary node.
MAX_LINES_PER_SECOND = 150.0
# A burst may have the lines of two seconds at the maximum rate.
MAX_BURST_LINE_COUNT = 300.0
# Lines accumulate in memory when the reader of the descriptor has stopped reading, so their size is
# limited.
MAX_BACKLOG_BYTES = 262_144
# The lines of one interval are written together.
FLUSH_INTERVAL_SECONDS = 0.1
# A pipe on Linux has this capacity by default.
MAX_WRITE_BYTES = 65_536


class DecisionLog(Service):
    """Writes a JSON line for each decision on a request and each state change.

    Parameters
    ----------
    instance, availability_zone : str
        Location of the process, included in every line.
    clock : Clock
        Source of time for the rate limit.
    descriptor : int
        File descriptor to write to; standard output by default.

    Notes
    -----
    Lines are buffered and written without blocking ten times a second.  Lines omitted because
    of the rate limit or because the buffer is full are counted and reported by kind in a
    ``lines-omitted`` line, so that gaps are visible.  Decisions draw from a token bucket of 300
    lines that is refilled with 150 lines a second.
    """

    def __init__(
        self, instance: str, availability_zone: str, clock: Clock, descriptor: int = 1
    ) -> None:
        self._location_fields = {"instance": instance, "zone": availability_zone}
        self._clock = clock
        self._descriptor = descriptor
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._lines: deque[bytes] = deque()
        self._backlog_bytes = 0
        self._unwritten = b""
        self._tokens = MAX_BURST_LINE_COUNT
        self._last_refill = clock.monotonic()
        self._omitted_count_by_kind: dict[str, int] = {}
        self._supervisor = Supervisor("decision log")

    async def start(self) -> None:
        """Start to write buffered lines periodically."""
        with suppress(OSError):
            os.set_blocking(self._descriptor, False)
        self._supervisor.run_loop("flush", self._flush_forever)

    async def close(self) -> None:
        """Stop the periodic writes and write as much as possible without blocking."""
        await self._supervisor.close()
        self._report_omitted()
        self.flush()

    def record_decision(
        self, kind: str, request_id: str, *, is_routine: bool = False, **fields: object
    ) -> None:
        """Record a decision on a request, subject to the rate limit.

        Parameters
        ----------
        kind : str
            Name of the event.
        request_id : str
            Identifier of the caller's attempt.
        is_routine : bool
            Whether the decision reports no failure; routine lines can use only half of the
            burst, so that the rest remains for other lines.
        **fields
            Further fields of the line.
        """
        if self._has_token(kind, MAX_BURST_LINE_COUNT / 2 if is_routine else 0.0):
            self._append_line({"event": kind, "request": request_id, **fields})

    def record_state_change(self, kind: str, **fields: object) -> None:
        """Record a state change of the process; the rate limit does not apply."""
        self._append_line({"event": kind, **fields})

    def record_rejection(self, kind: str, **fields: object) -> None:
        """Record that foreign input was rejected, subject to the rate limit.

        Notes
        -----
        A writer that repeats malformed input could otherwise displace every other line.
        """
        if self._has_token(kind, 0.0):
            self._append_line({"event": kind, **fields})

    def flush(self) -> None:
        """Write as many buffered lines as possible without blocking."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_chunk()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self._discard_all()  # the reader has closed the descriptor
                return
            self._unwritten = self._unwritten[written:]

    def _next_chunk(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            line = self._lines.popleft()
            size += len(line)
            parts.append(line)
        self._backlog_bytes -= size
        return b"".join(parts)

    def _append_line(self, fields: dict[str, object]) -> None:
        line = (
            self._encoder.encode({"time": time.time(), **self._location_fields, **fields}) + b"\n"
        )
        if self._backlog_bytes + len(line) > MAX_BACKLOG_BYTES:
            kind = str(fields["event"])
            self._omitted_count_by_kind[kind] = self._omitted_count_by_kind.get(kind, 0) + 1
            return
        self._lines.append(line)
        self._backlog_bytes += len(line)

    def _has_token(self, kind: str, reserved_tokens: float) -> bool:
        """Consume a token for a line, or count the line as omitted if none is available."""
        if self._acquire_token(reserved_tokens):
            return True
        self._omitted_count_by_kind[kind] = self._omitted_count_by_kind.get(kind, 0) + 1
        return False

    def _acquire_token(self, reserved_tokens: float) -> bool:
        now = self._clock.monotonic()
        refill_tokens = (now - self._last_refill) * MAX_LINES_PER_SECOND
        self._tokens = min(MAX_BURST_LINE_COUNT, self._tokens + refill_tokens)
        self._last_refill = now
        if self._tokens < reserved_tokens + 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _report_omitted(self) -> None:
        if self._omitted_count_by_kind:
            omitted_count_by_kind, self._omitted_count_by_kind = self._omitted_count_by_kind, {}
            self._append_line({"event": "lines-omitted", "count_by_kind": omitted_count_by_kind})

    def _discard_all(self) -> None:
        self._lines.clear()
        self._unwritten = b""
        self._backlog_bytes = 0

    async def _flush_forever(self) -> None:
        flush_count = 0
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            flush_count += 1
            if flush_count % 10 == 0:
                self._report_omitted()
            self.flush()
