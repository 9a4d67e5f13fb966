"""Outcomes of keyed work, stored by the owner of the keys."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from apricotwalk.core import CallFailure, Clock, Verdict

__all__ = ["RESEND_WINDOW_SECONDS", "KeyRecord", "OutcomeStore"]

RESEND_WINDOW_SECONDS = 600.0
MAX_RECORD_COUNT = 20_000
MAX_KEPT_BYTES = 8 * 1024 * 1024

Result = TypeVar("Result")


class KeyRecord(Generic[Result]):
    """State and outcome of the work of one key.

    Parameters
    ----------
    work_digest : int
        Digest of the first request that was received with the key.
    last_used_at : float
        Monotonic time of the last change or use, in seconds.
    """

    __slots__ = (
        "failure",
        "last_used_at",
        "result",
        "retries_left",
        "starts",
        "task",
        "work_digest",
    )

    def __init__(self, work_digest: int, last_used_at: float) -> None:
        self.work_digest = work_digest
        self.last_used_at = last_used_at
        self.starts = 0
        self.retries_left: int | None = None
        self.task: asyncio.Task[Result] | None = None
        self.result: Result | None = None
        self.failure: CallFailure | None = None

    @property
    def is_running(self) -> bool:
        """Whether the work is running."""
        return self.task is not None

    @property
    def is_settled(self) -> bool:
        """Whether the work has an outcome and must not be started again."""
        return self.result is not None or self.failure is not None


class OutcomeStore(Generic[Result]):
    """Executes the work of each key at most once and replays its outcome.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    result_bytes : callable
        Function that returns the size of a result in bytes.
    max_record_count : int
        Number of records at which new keys are rejected.
    max_kept_bytes : int
        Total size of results, in bytes, above which the least recently used ones are dropped;
        their records stay.

    Notes
    -----
    A record is kept for at least the resend window after its last use.
    Work that may have run is never started again.  Work that has not run may be started
    again; the retries of all starts are counted against the retry budget of the first one.
    """

    def __init__(
        self,
        clock: Clock,
        result_bytes: Callable[[Result], int],
        max_record_count: int = MAX_RECORD_COUNT,
        max_kept_bytes: int = MAX_KEPT_BYTES,
    ) -> None:
        self._clock = clock
        self._result_bytes = result_bytes
        self._max_record_count = max_record_count
        self._max_kept_bytes = max_kept_bytes
        self._kept_bytes = 0
        self._running_count = 0
        self._records_by_key: OrderedDict[str, KeyRecord[Result]] = OrderedDict()

    @property
    def running_count(self) -> int:
        """Number of keys whose work is running."""
        return self._running_count

    def find(self, key: str) -> KeyRecord[Result] | None:
        """Return the record of `key`, or None if there is none or it has expired."""
        self._expire()
        return self._records_by_key.get(key)

    def find_or_create(self, key: str, work_digest: int) -> KeyRecord[Result]:
        """Return the record of `key`; create it if there is none.

        Raises
        ------
        CallFailure
            If the key was used with a different request before, or the store is full.
        """
        record = self.find(key)
        if record is None:
            record = self._add(key, work_digest)
        if record.work_digest != work_digest:
            raise CallFailure(
                Verdict.MAY_HAVE_RUN, "key-reused", "the key came with another request before", 422
            )
        self._mark_used(key, record)
        return record

    def discard(self, key: str) -> None:
        """Delete the record of a key that this node does not own, unless its work was started."""
        record = self._records_by_key.get(key)
        if record is not None and not record.starts:
            del self._records_by_key[key]

    async def run(
        self, key: str, record: KeyRecord[Result], work: Callable[[], Awaitable[Result]]
    ) -> Result:
        """Return the outcome of the work of a key; start the work unless it was started before.

        Raises
        ------
        CallFailure
            If the work failed, now or in an earlier start that may have run.
        """
        if record.failure is not None:
            raise _copy(record.failure)
        if record.result is not None:
            return record.result
        if record.task is None:
            record.starts += 1
            self._running_count += 1
            record.task = asyncio.create_task(self._run_once(key, record, work))
            record.task.add_done_callback(_consume_result)
        return await asyncio.shield(record.task)

    async def _run_once(
        self, key: str, record: KeyRecord[Result], work: Callable[[], Awaitable[Result]]
    ) -> Result:
        try:
            record.result = await work()
        except CallFailure as failure:
            if not failure.verdict.is_safe_to_repeat:
                record.failure = failure
            raise
        except BaseException as error:
            record.failure = CallFailure(
                Verdict.MAY_HAVE_RUN, "internal-error", f"the work broke off: {error!r}", 500
            )
            raise record.failure from error
        finally:
            record.task = None
            self._running_count -= 1
            self._mark_used(key, record)
        self._kept_bytes += self._result_bytes(record.result)
        self._evict_results()
        return record.result

    def _add(self, key: str, work_digest: int) -> KeyRecord[Result]:
        if len(self._records_by_key) >= self._max_record_count:
            raise CallFailure(
                Verdict.NOT_RUN, "keys-exhausted", "this node holds as many keys as it can", 503
            )
        record: KeyRecord[Result] = KeyRecord(work_digest, self._clock.monotonic())
        self._records_by_key[key] = record
        return record

    def _mark_used(self, key: str, record: KeyRecord[Result]) -> None:
        record.last_used_at = self._clock.monotonic()
        if key in self._records_by_key:
            self._records_by_key.move_to_end(key)

    def _expire(self) -> None:
        cutoff = self._clock.monotonic() - RESEND_WINDOW_SECONDS
        while self._records_by_key:
            key, record = next(iter(self._records_by_key.items()))
            if record.last_used_at >= cutoff:
                return
            if record.is_running:
                self._mark_used(key, record)
                continue
            del self._records_by_key[key]
            if record.result is not None:
                self._kept_bytes -= self._result_bytes(record.result)

    def _evict_results(self) -> None:
        if self._kept_bytes <= self._max_kept_bytes:
            return
        for record in self._records_by_key.values():
            if record.result is None:
                continue
            self._kept_bytes -= self._result_bytes(record.result)
            record.result = None
            record.failure = CallFailure(
                Verdict.MAY_HAVE_RUN, "answer-dropped", "it has run; its answer is not kept", 409
            )
            if self._kept_bytes <= self._max_kept_bytes:
                return


def _copy(failure: CallFailure) -> CallFailure:
    return CallFailure(
        failure.verdict, failure.cause, failure.detail, failure.status, failure.retry_after
    )


def _consume_result(task: "asyncio.Task[Result]") -> None:
    if not task.cancelled():
        task.exception()
