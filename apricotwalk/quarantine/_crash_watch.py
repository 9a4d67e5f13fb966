"""Tells which request crashed the backend server beside this node."""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Protocol

from apricotwalk.core import CallFailure, Verdict
from apricotwalk.quarantine._registry import QuarantineRegistry

__all__ = ["CrashWatch"]


class _Backend(Protocol):
    async def is_listening(self) -> bool:
        """Return whether the backend server accepts connections; unsure counts as yes."""


class CrashWatch:
    """Follows what runs on a backend server and reports it when the server crashes.

    Parameters
    ----------
    instance : str
        Name of this instance, part of each crash's identifier.
    board : QuarantineBoard
        Where suspects are reported.
    spread : callable
        Called after a report with the service, to tell other nodes at once.

    Notes
    -----
    When several requests run during a crash each may have caused it.  From then on suspects
    run one at a time, and if a suspect runs during a further crash it alone is reported.
    """

    def __init__(
        self, instance: str, board: QuarantineRegistry, spread: Callable[[str], None]
    ) -> None:
        self.registry = board
        self._instance = instance
        self._spread = spread
        self._fingerprints_by_call_id: dict[str, int] = {}
        self._suspect_turn = asyncio.Lock()
        self._judging = asyncio.Lock()
        self._crash_count = 0

    def suspect_slot(self, fingerprint: int, longest_seconds: float) -> "_Turn":
        """Wait, if a request is suspected, until no other suspect runs.

        Raises
        ------
        CallFailure
            With verdict ``NOT_RUN`` if the request is quarantined or waits too long; on entry.
        """
        return _Turn(self, fingerprint, longest_seconds)

    def run(self, call_id: str, fingerprint: int, service: str, backend: _Backend) -> "_WatchedRun":
        """Report the request if the server crashes meanwhile, and clear it if it completes.

        Raises
        ------
        CallFailure
            ``MAY_HAVE_RUN`` with cause ``server-crashed`` in place of a broken answer;
            ``NOT_RUN`` on entry if the request is quarantined.
        """
        return _WatchedRun(self, call_id, fingerprint, service, backend)

    async def enter_turn(self, fingerprint: int, longest_seconds: float) -> bool:
        """Begin a turn and return whether it has to be given back."""
        self.refuse_quarantined(fingerprint)
        if not self.registry.is_suspected(fingerprint):
            return False
        await self._take_turn(longest_seconds)
        try:
            self.refuse_quarantined(fingerprint)
        except CallFailure:
            self.leave_turn()
            raise
        return True

    def leave_turn(self) -> None:
        """Let the next suspect run."""
        self._suspect_turn.release()

    def begin(self, call_id: str, fingerprint: int) -> None:
        """Take note that a request begins to run."""
        self.refuse_quarantined(fingerprint)
        self._fingerprints_by_call_id[call_id] = fingerprint

    def end(self, call_id: str) -> None:
        """Take note that a request runs no more."""
        self._fingerprints_by_call_id.pop(call_id, None)

    async def _take_turn(self, longest_seconds: float) -> None:
        try:
            async with asyncio.timeout(longest_seconds):
                await self._suspect_turn.acquire()
        except TimeoutError as error:
            raise CallFailure(
                Verdict.NOT_RUN, "deadline-passed", "waited behind a suspected request", 504
            ) from error

    async def has_crashed(self, call_id: str, service: str, backend: _Backend) -> bool:
        """Return whether a broken answer means a crash, and report it if nobody has yet."""
        async with self._judging:
            if call_id not in self._fingerprints_by_call_id:
                return True
            if await backend.is_listening():
                return False
            self._report_running()
            self._spread(service)
            return True

    def _report_running(self) -> None:
        self._crash_count += 1
        running = set(self._fingerprints_by_call_id.values())
        suspects = {each for each in running if self.registry.is_suspected(each)}
        for fingerprint in suspects or running:
            self.registry.report(fingerprint, f"{self._instance}#{self._crash_count}")
        self._fingerprints_by_call_id.clear()

    def refuse_quarantined(self, fingerprint: int) -> None:
        """Raise `CallFailure` with verdict ``NOT_RUN`` if a request is quarantined."""
        if self.registry.is_quarantined(fingerprint):
            raise CallFailure(
                Verdict.NOT_RUN,
                "quarantined",
                "this request has crashed backend servers and is not run any more",
                422,
            )


class _Turn:
    """Asynchronous context of `CrashWatch.suspect_slot`."""

    __slots__ = ("_fingerprint", "_is_taken", "_longest_seconds", "_watch")

    def __init__(self, watch: CrashWatch, fingerprint: int, longest_seconds: float) -> None:
        self._watch = watch
        self._fingerprint = fingerprint
        self._longest_seconds = longest_seconds
        self._is_taken = False

    async def __aenter__(self) -> None:
        self._is_taken = await self._watch.enter_turn(self._fingerprint, self._longest_seconds)

    async def __aexit__(self, *error: object) -> None:
        if self._is_taken:
            self._watch.leave_turn()


class _WatchedRun:
    """Asynchronous context of `CrashWatch.run`."""

    __slots__ = ("_backend", "_call_id", "_fingerprint", "_service", "_watch")

    def __init__(
        self,
        watch: CrashWatch,
        call_id: str,
        fingerprint: int,
        service: str,
        backend: _Backend,
    ) -> None:
        self._watch = watch
        self._call_id = call_id
        self._fingerprint = fingerprint
        self._service = service
        self._backend = backend

    async def __aenter__(self) -> None:
        self._watch.begin(self._call_id, self._fingerprint)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        try:
            if error is None:
                self._watch.registry.clear(self._fingerprint)
            elif isinstance(error, CallFailure) and error.cause == "answer-incomplete":
                await self._raise_if_crashed(error)
        finally:
            self._watch.end(self._call_id)

    async def _raise_if_crashed(self, failure: CallFailure) -> None:
        if await self._watch.has_crashed(self._call_id, self._service, self._backend):
            raise CallFailure(
                Verdict.MAY_HAVE_RUN, "server-crashed", "the backend server crashed", 502
            ) from failure
