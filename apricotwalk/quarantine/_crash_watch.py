"""Attribution of crashes of the local backend server to requests."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from types import TracebackType
from typing import Protocol

from apricotwalk.core import CallFailure, Suspect, Verdict
from apricotwalk.quarantine._registry import QuarantineRegistry

__all__ = ["CrashWatch"]

# A server that crashes can lose its connections shortly before its listener.
RECHECK_DELAYS_SECONDS = (0.02, 0.08)
# Reports of crashes that happen at the same time on several nodes reach the others within this
# time, also while the nodes are busy.
REPORT_SETTLING_SECONDS = 0.1
# A server that crashes after the caller of a request has left is missed by the next request, or
# reports its new start, within this time.
ABANDONED_RETENTION_SECONDS = 5.0
# More requests than this are rarely abandoned within the retention time at one server.
MAX_ABANDONED_COUNT = 256


class _Backend(Protocol):
    async def is_listening(self) -> bool:
        """Return whether the backend server accepts connections, or True if that is uncertain."""


class CrashWatch:
    """Tracks the requests that a backend server executes and reports them when it crashes.

    Parameters
    ----------
    instance : str
        Name of this instance, which is part of each crash identifier.
    registry : QuarantineRegistry
        Registry to which suspects are reported.
    notify_peers : callable
        Called with the service and all reported suspects after a crash, so that other nodes are
        notified immediately.

    Notes
    -----
    Each request that is being executed during a crash may have caused it and becomes a suspect.
    From then on, suspects are executed one at a time.  If a suspect is being executed during a
    further crash, only the suspect is reported.

    A request whose connection broke while the server still listened is reported as well if the
    server stops listening within `RECHECK_DELAYS_SECONDS`.  So is one that was abandoned, because
    its caller left or its deadline passed, shortly before a crash: the server may have continued to
    execute it.
    """

    def __init__(
        self,
        instance: str,
        registry: QuarantineRegistry,
        notify_peers: Callable[[str, list[Suspect]], None],
    ) -> None:
        self.registry = registry
        self._instance = instance
        self._notify_peers = notify_peers
        self._fingerprints_by_call_id: dict[str, int] = {}
        self._suspect_lock = asyncio.Lock()
        self._crash_check_lock = asyncio.Lock()
        self._crash_count = 0
        self._broken_fingerprints: set[int] = set()
        self._recheck: asyncio.Task[None] | None = None
        self._abandoned: deque[tuple[float, int]] = deque(maxlen=MAX_ABANDONED_COUNT)

    def suspect_slot(self, fingerprint: int, timeout_seconds: float) -> "_SuspectSlot":
        """Return a context that lets only one suspected request be executed at a time.

        Requests that are not suspected enter it without waiting.

        Raises
        ------
        CallFailure
            On entry, with verdict ``NOT_RUN``, if the request is quarantined or waits longer
            than `timeout_seconds`.
        """
        return _SuspectSlot(self, fingerprint, timeout_seconds)

    def run(self, call_id: str, fingerprint: int, service: str, backend: _Backend) -> "_WatchedRun":
        """Return a context that reports the request on a crash and clears its suspicion on success.

        The body must raise for an answer that rejects the request, and reset `has_executed` of the
        context for one that does not show whether the server executed the whole request.

        Raises
        ------
        CallFailure
            With verdict ``MAY_HAVE_RUN`` and cause ``server-crashed``, in place of an incomplete
            answer, if the server crashed; on entry, with verdict ``NOT_RUN``, if the request is
            quarantined.
        """
        return _WatchedRun(self, call_id, fingerprint, service, backend)

    async def acquire_suspect_slot(self, fingerprint: int, timeout_seconds: float) -> bool:
        """Wait for the slot if the request is suspected, and return whether it must be released."""
        self.refuse_quarantined(fingerprint)
        if not self.registry.is_suspected(fingerprint):
            return False
        await self._acquire_suspect_lock(timeout_seconds)
        try:
            await self._await_other_reports(fingerprint, timeout_seconds)
            self.refuse_quarantined(fingerprint)
        except BaseException:
            self.release_suspect_slot()
            raise
        return True

    async def _await_other_reports(self, fingerprint: int, timeout_seconds: float) -> None:
        """Wait until reports about attempts that ran at the same time have arrived.

        Notes
        -----
        Two attempts that crash two servers together would otherwise both be repeated, each on a
        node that knows of one crash only.
        """
        settling_seconds = REPORT_SETTLING_SECONDS - self.registry.seconds_since_report(fingerprint)
        if 0.0 < settling_seconds < timeout_seconds:
            await asyncio.sleep(settling_seconds)

    def release_suspect_slot(self) -> None:
        """Release the slot, so that the next suspect can be executed."""
        self._suspect_lock.release()

    def begin(self, call_id: str, fingerprint: int) -> None:
        """Record that the execution of a request starts.

        Raises
        ------
        CallFailure
            With verdict ``NOT_RUN`` if the request is quarantined.
        """
        self.refuse_quarantined(fingerprint)
        self._fingerprints_by_call_id[call_id] = fingerprint

    def end(self, call_id: str) -> None:
        """Record that the execution of a request has ended."""
        self._fingerprints_by_call_id.pop(call_id, None)

    def abandon(self, call_id: str) -> None:
        """Record that nobody waits any longer for a request that the server may still execute."""
        fingerprint = self._fingerprints_by_call_id.get(call_id)
        if fingerprint is not None:
            self._abandoned.append((time.monotonic(), fingerprint))

    def report_lost_server(self, service: str) -> None:
        """Report the requests that may have crashed a server that was found gone or started anew.

        Notes
        -----
        Without such a request there is nothing to report: the server may have been stopped.
        """
        if self._fingerprints_by_call_id or self._recently_abandoned():
            self._notify_peers(service, self._report_running())

    def _recently_abandoned(self) -> set[int]:
        oldest = time.monotonic() - ABANDONED_RETENTION_SECONDS
        while self._abandoned and self._abandoned[0][0] < oldest:
            self._abandoned.popleft()
        return {fingerprint for _, fingerprint in self._abandoned}

    async def _acquire_suspect_lock(self, timeout_seconds: float) -> None:
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._suspect_lock.acquire()
        except TimeoutError as error:
            raise CallFailure(
                Verdict.NOT_RUN, "deadline-passed", "waited behind a suspected request", 504
            ) from error

    async def has_crashed(self, call_id: str, service: str, backend: _Backend) -> bool:
        """Return whether an incomplete answer is due to a crash, and report the crash once."""
        async with self._crash_check_lock:
            if call_id not in self._fingerprints_by_call_id:
                return True
            if await backend.is_listening():
                self._recheck_later(self._fingerprints_by_call_id[call_id], service, backend)
                return False
            self._notify_peers(service, self._report_running())
            return True

    def _recheck_later(self, fingerprint: int, service: str, backend: _Backend) -> None:
        self._broken_fingerprints.add(fingerprint)
        if self._recheck is None or self._recheck.done():
            loop = asyncio.get_running_loop()
            self._recheck = loop.create_task(self._recheck_listener(service, backend))

    async def _recheck_listener(self, service: str, backend: _Backend) -> None:
        """Report a crash that shows only after the connections of the server have broken."""
        try:
            for delay_seconds in RECHECK_DELAYS_SECONDS:
                await asyncio.sleep(delay_seconds)
                async with self._crash_check_lock:
                    if not self._broken_fingerprints:
                        return  # reported with a crash that another request has shown
                    if not await backend.is_listening():
                        self._notify_peers(service, self._report_running())
                        return
        finally:
            self._broken_fingerprints.clear()

    def _report_running(self) -> list[Suspect]:
        """Report the requests that may have caused a crash and return their entries."""
        self._crash_count += 1
        running = {
            *self._fingerprints_by_call_id.values(),
            *self._broken_fingerprints,
            *self._recently_abandoned(),
        }
        self._broken_fingerprints.clear()
        self._abandoned.clear()
        suspects = {suspect for suspect in running if self.registry.is_suspected(suspect)}
        reported = suspects or running
        for fingerprint in reported:
            self.registry.report(fingerprint, f"{self._instance}#{self._crash_count}")
        self._fingerprints_by_call_id.clear()
        return [entry for fingerprint in reported for entry in self.registry.find(fingerprint)]

    def refuse_quarantined(self, fingerprint: int) -> None:
        """Raise `CallFailure` with verdict ``NOT_RUN`` if a request is quarantined."""
        if self.registry.is_quarantined(fingerprint):
            raise CallFailure(
                Verdict.NOT_RUN,
                "quarantined",
                "this request has crashed backend servers and is not run any more",
                422,
            )


class _SuspectSlot:
    """Asynchronous context of `CrashWatch.suspect_slot`."""

    __slots__ = ("_crash_watch", "_fingerprint", "_is_acquired", "_timeout_seconds")

    def __init__(self, crash_watch: CrashWatch, fingerprint: int, timeout_seconds: float) -> None:
        self._crash_watch = crash_watch
        self._fingerprint = fingerprint
        self._timeout_seconds = timeout_seconds
        self._is_acquired = False

    async def __aenter__(self) -> None:
        self._is_acquired = await self._crash_watch.acquire_suspect_slot(
            self._fingerprint, self._timeout_seconds
        )

    async def __aexit__(self, *error: object) -> None:
        if self._is_acquired:
            self._crash_watch.release_suspect_slot()


class _WatchedRun:
    """Asynchronous context of `CrashWatch.run`."""

    __slots__ = ("_backend", "_call_id", "_crash_watch", "_fingerprint", "_service", "has_executed")

    def __init__(
        self,
        crash_watch: CrashWatch,
        call_id: str,
        fingerprint: int,
        service: str,
        backend: _Backend,
    ) -> None:
        self._crash_watch = crash_watch
        self._call_id = call_id
        self._fingerprint = fingerprint
        self._service = service
        self._backend = backend
        self.has_executed = True

    async def __aenter__(self) -> "_WatchedRun":
        self._crash_watch.begin(self._call_id, self._fingerprint)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        try:
            if error is None:
                if self.has_executed:
                    self._crash_watch.registry.clear(self._fingerprint)
            elif isinstance(error, CallFailure) and error.cause == "answer-incomplete":
                await self._raise_if_crashed(error)
            elif isinstance(error, asyncio.CancelledError):
                self._crash_watch.abandon(self._call_id)
        finally:
            self._crash_watch.end(self._call_id)

    async def _raise_if_crashed(self, failure: CallFailure) -> None:
        if await self._crash_watch.has_crashed(self._call_id, self._service, self._backend):
            raise CallFailure(
                Verdict.MAY_HAVE_RUN, "server-crashed", "the backend server crashed", 502
            ) from failure
