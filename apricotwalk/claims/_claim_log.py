"""Ownership of keys that callers choose, decided by the order of the log."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

import msgspec
from msgspec import Struct

from apricotwalk.claims._outcomes import RESEND_WINDOW_SECONDS
from apricotwalk.claims._owner import ClaimOwner
from apricotwalk.core import (
    Clock,
    LogServiceError,
    Service,
    Supervisor,
    WireError,
    decode_payload,
)
from apricotwalk.logservice import LogPage, LogRecord, LogService
from apricotwalk.telemetry import EventLog

__all__ = ["ClaimLog", "ClaimRecord"]

MAX_BATCH_KEY_COUNT = 500
PAGE_RECORD_COUNT = 1000
MAX_KNOWN_KEY_COUNT = 100_000
RENEWAL_RETENTION_FRACTION = 0.5
APPEND_INTERVAL_SECONDS = 0.05
RENEWAL_CHECK_SECONDS = 5.0


class ClaimRecord(Struct, frozen=True):
    """A log record in which one node claims a batch of keys.

    Parameters
    ----------
    owner : ClaimOwner
        The node that claims the keys.
    keys : list of int
        Digests of the claimed keys.
    """

    owner: ClaimOwner
    keys: list[int]


_decoder = msgspec.json.Decoder(ClaimRecord)


@dataclass(slots=True)
class _Claim:
    """A claim record read from the log; all the keys that it claims refer to it."""

    owner: ClaimOwner
    offset: int
    keys: list[int]


@dataclass(slots=True)
class _OwnBatch:
    """A batch of keys that this node owns, with the time and offset of its latest append."""

    keys: list[int]
    claimed_at: float
    appended_at: float
    offset: int


@dataclass(slots=True)
class _Shard:
    """The claims of one service that were read so far, and the keys whose claims are pending."""

    stream: str
    next_offset: int = 0
    claims_by_key: dict[int, _Claim] = field(default_factory=dict)
    retained_claims: deque[_Claim] = field(default_factory=deque)
    own_batches: deque[_OwnBatch] = field(default_factory=deque)
    pending_by_key: dict[int, "asyncio.Future[ClaimOwner]"] = field(default_factory=dict)


class ClaimLog(Service):
    """Appends claims to the log and reads back which claim of each key came first.

    Parameters
    ----------
    log_service : LogService
        Stores the claims, in one stream for each service.
    owner : ClaimOwner
        Identity of this run of this node.
    clock : Clock
        Source of monotonic time.
    events : EventLog
        Receives an event for each outage of the log and each record that cannot be decoded.
    retention_seconds : float
        Time for which the log keeps a record, in seconds.
    append_interval_seconds : float
        Minimum time between two appends, in seconds.  Claims that are requested in the
        meantime share the next append.

    Notes
    -----
    The first claim of a key in its stream determines the owner, so all nodes that have read
    past that claim agree and ownership never moves.  If the answer to an append is lost,
    reading the stream shows whether the append took effect.  An append that takes effect after
    the caller got an error makes this node the owner of a key whose work it has not started,
    which is harmless.

    One append is in flight at a time; claims that are requested meanwhile share the next one.
    Until the resend window ends, claims are appended again before the log drops them.  A
    process that has ended cannot renew its claims, so no key is claimed where the configured
    retention of the log is shorter than the resend window.

    References
    ----------
    .. [1] M. Balakrishnan, D. Malkhi, T. Wobber et al., "Tango: Distributed Data Structures
       over a Shared Log", SOSP 2013.
    """

    def __init__(
        self,
        log_service: LogService,
        owner: ClaimOwner,
        clock: Clock,
        events: EventLog,
        retention_seconds: float = 86_400.0,
        append_interval_seconds: float = APPEND_INTERVAL_SECONDS,
    ) -> None:
        self._append_interval_seconds = append_interval_seconds
        self._renewal_seconds = retention_seconds * RENEWAL_RETENTION_FRACTION
        self._is_retention_short = retention_seconds < RESEND_WINDOW_SECONDS
        self._log_service = log_service
        self._owner = owner
        self._clock = clock
        self._events = events
        self._shards_by_stream: dict[str, _Shard] = {}
        self._has_pending = asyncio.Event()
        self._supervisor = Supervisor("claims")
        self._interned_owners: dict[ClaimOwner, ClaimOwner] = {}
        self._retention_short_until = 0.0
        self.append_count = 0

    async def start(self) -> None:
        """Start the tasks that append and renew claims."""
        self._supervisor.run_loop("append", self._append_forever)
        self._supervisor.run_loop("renew", self._renew_forever)

    async def close(self) -> None:
        """Stop the tasks and fail all pending claims."""
        await self._supervisor.close()
        for shard in self._shards_by_stream.values():
            self._fail_pending(shard, list(shard.pending_by_key), "the node is closing")

    def known_owner(self, service: str, key: int) -> ClaimOwner | None:
        """Return the owner of a key according to the records read so far, or None."""
        claim = self._shard_of(service).claims_by_key.get(key)
        return claim.owner if claim else None

    async def find_owner(self, service: str, key: int) -> ClaimOwner:
        """Return the owner of a key; claim the key for this node if it has no owner.

        Raises
        ------
        LogServiceError
            If the owner cannot be determined from the log; the claim may still take effect.
        """
        shard = self._shard_of(service)
        known = shard.claims_by_key.get(key)
        if known is not None:
            return known.owner
        if self._is_retention_short or self._clock.monotonic() < self._retention_short_until:
            raise LogServiceError("the log forgets claims before the resend window ends")
        if self._known_key_count() >= MAX_KNOWN_KEY_COUNT:
            raise LogServiceError("this node holds as many claims as it can")
        pending = shard.pending_by_key.get(key)
        if pending is None:
            pending = asyncio.get_running_loop().create_future()
            pending.add_done_callback(_consume_result)
            shard.pending_by_key[key] = pending
            self._has_pending.set()
        return await asyncio.shield(pending)

    def _known_key_count(self) -> int:
        return sum(len(shard.claims_by_key) for shard in self._shards_by_stream.values())

    def _shard_of(self, service: str) -> _Shard:
        stream = f"claims.{service}"
        return self._shards_by_stream.setdefault(stream, _Shard(stream))

    async def _append_forever(self) -> None:
        while True:
            shards = [shard for shard in self._shards_by_stream.values() if shard.pending_by_key]
            if not shards:
                self._has_pending.clear()
                await self._has_pending.wait()
            for shard in shards:
                await self._claim_batch(shard)
                await asyncio.sleep(self._append_interval_seconds)

    async def _renew_forever(self) -> None:
        while True:
            await asyncio.sleep(min(RENEWAL_CHECK_SECONDS, self._renewal_seconds / 4))
            for shard in list(self._shards_by_stream.values()):
                try:
                    await self.renew(shard.stream)
                except LogServiceError as error:
                    self._events.record_state_change("claims-unavailable", detail=str(error))

    async def renew(self, stream: str) -> None:
        """Append again those claims of a stream that the log would soon drop.

        Raises
        ------
        LogServiceError
            If the log is not available; the next renewal retries the append.
        """
        shard = self._shards_by_stream[stream]
        now = self._clock.monotonic()
        for batch in shard.own_batches:
            is_within_window = now - batch.claimed_at < RESEND_WINDOW_SECONDS
            if is_within_window and now - batch.appended_at >= self._renewal_seconds:
                record = msgspec.json.encode(ClaimRecord(self._owner, batch.keys))
                batch.offset = await self._log_service.append(stream, [record])
                batch.appended_at = now

    async def _claim_batch(self, shard: _Shard) -> None:
        keys = list(shard.pending_by_key)[:MAX_BATCH_KEY_COUNT]
        try:
            await self._append(shard, keys)
            await self._read_to_end(shard)
        except LogServiceError as error:
            self._events.record_state_change("claims-unavailable", detail=str(error))
            self._fail_pending(shard, keys, str(error))
            return
        for key in keys:
            self._resolve(shard, key)

    async def _append(self, shard: _Shard, keys: list[int]) -> None:
        record = msgspec.json.encode(ClaimRecord(self._owner, keys))
        self.append_count += 1
        try:
            await self._log_service.append(shard.stream, [record])
        except LogServiceError as error:
            if not error.may_have_taken_effect:
                raise

    async def _read_to_end(self, shard: _Shard) -> None:
        while True:
            page = await self._log_service.read(shard.stream, shard.next_offset, PAGE_RECORD_COUNT)
            if page.next_offset < shard.next_offset:
                raise LogServiceError(f"{shard.stream} went back to {page.next_offset}")
            for record in page.records:
                self._apply(shard, record)
            shard.next_offset = max(shard.next_offset, page.first_offset)
            self._evict_expired(shard, page)
            if shard.next_offset >= page.next_offset or not page.records:
                return

    def _apply(self, shard: _Shard, record: LogRecord) -> None:
        shard.next_offset = record.offset + 1
        try:
            claims = decode_payload(_decoder, record.value, "claims")
        except WireError as error:
            self._events.record_state_change(
                "record-unreadable", offset=record.offset, reason=str(error)
            )
            return
        owner = self._interned_owners.setdefault(claims.owner, claims.owner)
        claim = _Claim(owner, record.offset, [])
        new_keys = [key for key in claims.keys if key not in shard.claims_by_key]
        for key in claims.keys:
            if shard.claims_by_key.setdefault(key, claim).owner == owner:
                shard.claims_by_key[key] = claim
                claim.keys.append(key)
        shard.retained_claims.append(claim)
        if owner == self._owner and new_keys:
            now = self._clock.monotonic()
            shard.own_batches.append(_OwnBatch(new_keys, now, now, record.offset))

    def _evict_expired(self, shard: _Shard, page: LogPage) -> None:
        cutoff = self._clock.monotonic() - RESEND_WINDOW_SECONDS
        while shard.own_batches and shard.own_batches[0].claimed_at < cutoff:
            shard.own_batches.popleft()
        if any(batch.offset < page.first_offset for batch in shard.own_batches):
            self._events.record_state_change("claims-retention-short", stream=shard.stream)
            self._retention_short_until = self._clock.monotonic() + RESEND_WINDOW_SECONDS
        while shard.retained_claims and shard.retained_claims[0].offset < page.first_offset:
            evicted = shard.retained_claims.popleft()
            for key in evicted.keys:
                if shard.claims_by_key.get(key) is evicted:
                    del shard.claims_by_key[key]

    def _resolve(self, shard: _Shard, key: int) -> None:
        claim = shard.claims_by_key.get(key)
        if claim is None:
            self._fail_pending(shard, [key], "the claim was not found in the log")
            return
        pending = shard.pending_by_key.pop(key)
        if not pending.done():
            pending.set_result(claim.owner)

    def _fail_pending(self, shard: _Shard, keys: list[int], detail: str) -> None:
        for key in keys:
            pending = shard.pending_by_key.pop(key)
            if not pending.done():
                pending.set_exception(LogServiceError(detail, True))


def _consume_result(future: "asyncio.Future[ClaimOwner]") -> None:
    if not future.cancelled():
        future.exception()
