"""Structured log lines on standard output, bounded in volume and never waited for."""

import asyncio
import os
import time
from collections import deque
from contextlib import suppress

import msgspec

from apricotwalk.core import Clock, Service, Supervisor

__all__ = ["DecisionLog"]

# About one line a request at the traffic of an ordinary node; a burst is cut to this.
LINES_PER_SECOND = 150.0
# Two seconds of the usual bound.
LARGEST_BURST_LINES = 300.0
# What a reader that has stopped reading may cost in memory.
LARGEST_BACKLOG_BYTES = 262_144
# Lines of a tenth of a second are written together.
FLUSH_SECONDS = 0.1
# What a pipe of the kernel holds.
LARGEST_WRITE_BYTES = 65_536


class DecisionLog(Service):
    """Writes one JSON line for each decision.

    Parameters
    ----------
    instance, availability_zone : str
        Where the process runs; part of every line.
    clock : Clock
        Source of time.
    descriptor : int
        Where lines are written; standard output by default.

    Notes
    -----
    Lines are collected and written without blocking ten times a second.  Lines beyond the rate
    and lines that the reader does not take are counted and reported by kind in a line of their
    own, so that a gap is visible.
    """

    def __init__(
        self, instance: str, availability_zone: str, clock: Clock, descriptor: int = 1
    ) -> None:
        self._place = {"instance": instance, "zone": availability_zone}
        self._clock = clock
        self._descriptor = descriptor
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._lines: deque[bytes] = deque()
        self._backlog_bytes = 0
        self._rest = b""
        self._tokens = LARGEST_BURST_LINES
        self._refilled = clock.monotonic()
        self._omitted_by_kind: dict[str, int] = {}
        self._supervisor = Supervisor("decision log")

    async def start(self) -> None:
        """Begin to write."""
        with suppress(OSError):
            os.set_blocking(self._descriptor, False)
        self._supervisor.run_loop("flush", self._flush_forever)

    async def close(self) -> None:
        """Write what the reader takes at once."""
        await self._supervisor.close()
        self._report_omitted()
        self.flush()

    def record_decision(
        self, kind: str, request_id: str, *, is_routine: bool = False, **facts: object
    ) -> None:
        """Write a decision on one request, unless the rate is used up.

        Parameters
        ----------
        kind : str
            What was decided.
        request_id : str
            The caller's try.
        is_routine : bool
            Whether nothing went wrong; such lines leave half of a burst to the others.
        """
        if not self._take_token(LARGEST_BURST_LINES / 2 if is_routine else 0.0):
            self._omitted_by_kind[kind] = self._omitted_by_kind.get(kind, 0) + 1
            return
        self._add({"event": kind, "request": request_id, **facts})

    def record_state_change(self, kind: str, **facts: object) -> None:
        """Write a change of what the process believes, at any rate."""
        self._add({"event": kind, **facts})

    def flush(self) -> None:
        """Write as much as the reader takes without waiting."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._next_chunk()
            try:
                written = os.write(self._descriptor, self._rest)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self._drop_all()  # nobody can read any more
                return
            self._rest = self._rest[written:]

    def _next_chunk(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while self._lines and size < LARGEST_WRITE_BYTES:
            line = self._lines.popleft()
            size += len(line)
            parts.append(line)
        self._backlog_bytes -= size
        return b"".join(parts)

    def _add(self, facts: dict[str, object]) -> None:
        line = self._encoder.encode({"time": time.time(), **self._place, **facts}) + b"\n"
        if self._backlog_bytes + len(line) > LARGEST_BACKLOG_BYTES:
            kind = str(facts["event"])
            self._omitted_by_kind[kind] = self._omitted_by_kind.get(kind, 0) + 1
            return
        self._lines.append(line)
        self._backlog_bytes += len(line)

    def _take_token(self, kept_back: float) -> bool:
        now = self._clock.monotonic()
        gained = (now - self._refilled) * LINES_PER_SECOND
        self._tokens = min(LARGEST_BURST_LINES, self._tokens + gained)
        self._refilled = now
        if self._tokens < kept_back + 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _report_omitted(self) -> None:
        if self._omitted_by_kind:
            omitted, self._omitted_by_kind = self._omitted_by_kind, {}
            self._add({"event": "lines-omitted", "count_by_kind": omitted})

    def _drop_all(self) -> None:
        self._lines.clear()
        self._rest = b""
        self._backlog_bytes = 0

    async def _flush_forever(self) -> None:
        rounds = 0
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            rounds += 1
            if rounds % 10 == 0:
                self._report_omitted()
            self.flush()
