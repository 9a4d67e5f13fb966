"""Following of the configuration stream, by the log and by peers."""

import asyncio
import math
import random
from collections.abc import Callable

from msgspec import structs

from apricotwalk.configuration._messages import ConfigurationRecord
from apricotwalk.configuration._rule import NO_SPREAD, PUSH_YOUNG_PULL_OLD, SpreadRule
from apricotwalk.configuration._spread import ConfigurationSpread, SpreadTarget
from apricotwalk.control import ControlSocket
from apricotwalk.core import Clock, LogServiceError, Service, Supervisor
from apricotwalk.logservice import LogRecord, LogService
from apricotwalk.policy import (
    CONFIGURATION_STREAM,
    LogReplay,
    Outcome,
    OutcomeKind,
    PolicyState,
    Snapshot,
    encode_record,
    split_snapshot,
)
from apricotwalk.settings import Address
from apricotwalk.telemetry import EventLog

__all__ = ["ConfigurationFollower"]

SHORTEST_LOG_AGE_SECONDS = 1.0
LONGEST_LOG_AGE_SECONDS = 2.0
LATENESS = 10.0
LOG_AGE_SHARE_OF_RETENTION = 0.25
SHORTEST_PAUSE_SECONDS = 0.05
FIRST_BACKOFF_SECONDS = 0.25
LONGEST_BACKOFF_SECONDS = 5.0
SNAPSHOT_RETRY_SECONDS = 15.0
EARLIEST_SNAPSHOT_SHARE = 0.3
LATEST_SNAPSHOT_SHARE = 0.5
FIRST_SNAPSHOT_SHARE = 0.2
LONGEST_APPEND_SHARE = 0.05
LONGEST_APPEND_SECONDS = 30.0
PART_PAUSE_SECONDS = 0.05
APPEND_TRIES = 3


class ConfigurationFollower(Service, SpreadTarget):
    """Applies the records of the configuration stream in log order.

    Parameters
    ----------
    log_service : LogService
        Where the records come from.
    socket : ControlSocket
        Carries the exchange with peers.
    choose_peers : callable
        Returns so many random peers.
    retention_seconds : float
        How long the log service keeps a record.
    events : EventLog
        Receives accepted and rejected records.
    clock : Clock
        Source of time.
    generator : random.Random
        Source of randomness.
    rule : SpreadRule
        When records are pushed and asked for.
    is_monotonic : bool
        False only in a proof: a peer's older snapshot is then taken as well.
    spreads : bool
        False only in a proof: records then come from the log alone.

    Notes
    -----
    A node reads the log only when it has heard for 1 s to 2 s of no node that read it to
    its end.  While the log is up, no configuration is therefore older than 2 s plus one
    read, and while news of a read spreads, few nodes read.  Nobody is chosen to read.  Short
    waits are exponentially rarer than long ones, so even in a large fleet only a few nodes
    read before the news of the first one reaches them [1]_.

    A node whose own last read failed reads again only when it has heard for as long of no
    other node that failed, so while the log is down few nodes try it.  A node whose reads
    succeed ignores such news, because only the way of the other may be broken.

    A snapshot is appended in good time before the newest one expires by the first node whose
    random time comes; the others see it and wait again.  It is appended in parts of bounded
    size and counts only when all of them are in the log.  A part may be there twice, and of
    two nodes that append at once the later one gives up when the other's is complete.

    References
    ----------
    .. [1] J. Nonnenmacher, E. Biersack, "Scalable Feedback for Large Groups", IEEE/ACM
       Transactions on Networking 7(3), 1999.
    """

    def __init__(
        self,
        log_service: LogService,
        socket: ControlSocket,
        choose_peers: Callable[[int], list[Address]],
        retention_seconds: float,
        events: EventLog,
        clock: Clock,
        generator: random.Random,
        rule: SpreadRule = PUSH_YOUNG_PULL_OLD,
        is_monotonic: bool = True,
        spreads: bool = True,
    ) -> None:
        self._replay = LogReplay()
        self._log_service = log_service
        self._retention_seconds = retention_seconds
        self._events = events
        self._clock = clock
        self._random = generator
        self._is_monotonic = is_monotonic
        self._spreads = spreads
        self._is_log_down = False
        self._snapshot_due_at = 0.0
        self._snapshots_seen = 0
        self._supervisor = Supervisor("configuration")
        rule = rule if spreads else NO_SPREAD
        self.gossip = ConfigurationSpread(
            socket, choose_peers, self, rule, clock, generator, is_monotonic
        )

    @property
    def state(self) -> PolicyState:
        """The configuration in force."""
        return self._replay.state

    @property
    def has_configuration(self) -> bool:
        """Whether some customer is in force, so that an unknown one is known to be unknown."""
        return bool(self.state.policies_by_customer)

    async def start(self) -> None:
        """Begin to follow the stream."""
        first_share = FIRST_SNAPSHOT_SHARE * self._random.uniform(0.25, 1.0)
        self._snapshot_due_at = self._clock.wall() + first_share * self._retention_seconds
        self._supervisor.run_loop("follow", self._follow)
        self._supervisor.run_loop("snapshot", self._append_snapshots)
        if self._spreads:
            await self.gossip.start()

    async def close(self) -> None:
        """Stop following."""
        await self.gossip.close()
        await self._supervisor.close()

    def take_records(self, records: list[ConfigurationRecord], rounds: int) -> None:
        """Apply records that a peer has sent; see `SpreadTarget.take_records`."""
        if records and records[0].offset == self.state.next_offset:
            self._replay.discard_gap()
        if self._replay.has_gap:
            return
        taken = [self._take_next(record.offset, record.value) for record in records]
        self.gossip.push([record for record in taken if record is not None], rounds)

    def take_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a snapshot that a peer has sent; see `SpreadTarget.take_snapshot`."""
        if self._is_monotonic and snapshot.next_offset <= self.state.next_offset:
            return
        self._replay.install(snapshot, self._is_monotonic)
        self._events.announce("snapshot-installed", next_offset=snapshot.next_offset)

    async def _follow(self) -> None:
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            await self._wait_for_old_news()
            try:
                await self._read_to_end()
            except LogServiceError as error:
                self._handle_failed_read(error)
                await asyncio.sleep(backoff * self._random.uniform(0.5, 1.5))
                backoff = min(2 * backoff, LONGEST_BACKOFF_SECONDS)
                continue
            backoff = FIRST_BACKOFF_SECONDS
            self._note_log_up()

    async def _wait_for_old_news(self) -> None:
        longest = min(LONGEST_LOG_AGE_SECONDS, LOG_AGE_SHARE_OF_RETENTION * self._retention_seconds)
        shortest = min(SHORTEST_LOG_AGE_SECONDS, longest / 2)
        threshold = shortest + (longest - shortest) * self._draw_delay_fraction()
        while (remaining := threshold - self._newest_report_age()) > 0:
            await asyncio.sleep(max(SHORTEST_PAUSE_SECONDS, remaining))

    def _draw_delay_fraction(self) -> float:
        """Return a number from 0 to 1, of which small ones are exponentially rarer."""
        share = self._random.random()
        return math.log1p(share * math.expm1(LATENESS)) / LATENESS

    def _newest_report_age(self) -> float:
        """Return the age of the newest news that makes an own read needless."""
        if self._is_log_down:
            return min(self.gossip.log_age(), self.gossip.failure_age())
        return self.gossip.log_age()

    async def _read_to_end(self) -> None:
        while True:
            page = await self._log_service.read(CONFIGURATION_STREAM, self._replay.next_offset)
            self._replay.detect_gap(page.first_offset)
            self._take_page(page.records)
            if not page.records or self._replay.next_offset >= page.next_offset:
                break
        if not self._replay.has_gap:
            self.gossip.note_log_read()

    def _take_page(self, records: list[LogRecord]) -> None:
        taken = [self._take_next(record.offset, bytes(record.value)) for record in records]
        self.gossip.push([record for record in taken if record is not None], 0)

    def _take_next(self, offset: int, value: bytes) -> ConfigurationRecord | None:
        had_gap = self._replay.has_gap
        if not had_gap and offset != self._replay.next_offset:
            return None
        outcomes = self._replay.apply(offset, value)
        for outcome in outcomes:
            self._report(outcome)
        if had_gap:
            return None
        snapshot = outcomes[0].snapshot
        if snapshot is not None:
            value = encode_record(snapshot)
        record = ConfigurationRecord(offset, value)
        self.gossip.history.add(record)
        return record

    def _report(self, outcome: Outcome) -> None:
        if outcome.kind is OutcomeKind.SNAPSHOT_PART:
            self._await_other_parts()
            return
        if outcome.snapshot is not None:
            self._snapshots_seen += 1
            self._postpone_snapshot(outcome.snapshot.taken_at)
        if outcome.reason:
            self._events.announce(outcome.kind, offset=outcome.offset, reason=outcome.reason)
        else:
            self._events.announce(outcome.kind, offset=outcome.offset)

    def _postpone_snapshot(self, taken_at: float) -> None:
        share = self._random.uniform(EARLIEST_SNAPSHOT_SHARE, LATEST_SNAPSHOT_SHARE)
        self._snapshot_due_at = taken_at + share * self._retention_seconds

    def _await_other_parts(self) -> None:
        """Leave the node that has begun to append a snapshot the time to end."""
        longest = LONGEST_APPEND_SHARE * self._retention_seconds
        pause = min(longest, LONGEST_APPEND_SECONDS) * self._random.uniform(0.5, 1.5)
        self._snapshot_due_at = max(self._snapshot_due_at, self._clock.wall() + pause)

    async def _append_snapshots(self) -> None:
        while True:
            remaining = self._snapshot_due_at - self._clock.wall()
            if remaining > 0:
                await asyncio.sleep(remaining)
                continue
            await self._append_snapshot()

    async def _append_snapshot(self) -> None:
        now = self._clock.wall()
        self._postpone_snapshot(now)
        if self._replay.has_gap or not self.state.templates_by_name:
            return
        if self.gossip.is_log_down():
            self._retry_snapshot(now)
            return
        publish_id = f"{self._random.getrandbits(64):016x}"
        snapshot = structs.replace(self.state.snapshot(now), publish_id=publish_id)
        try:
            is_whole = await self._append_parts(split_snapshot(snapshot))
        except LogServiceError:
            self._retry_snapshot(now)
            return
        kind = "snapshot-appended" if is_whole else "snapshot-abandoned"
        self._events.announce(kind, next_offset=snapshot.next_offset)

    async def _append_parts(self, parts: list[Snapshot]) -> bool:
        """Append every part unless another node's snapshot is complete first."""
        seen_before = self._snapshots_seen
        for part in parts:
            if part.part:
                await asyncio.sleep(PART_PAUSE_SECONDS)
            if self._snapshots_seen != seen_before:
                return False
            await self._append_part(encode_record(part))
        return True

    async def _append_part(self, value: bytes) -> None:
        for attempt in range(1, APPEND_TRIES + 1):
            try:
                await self._log_service.append(CONFIGURATION_STREAM, [value])
                return
            except LogServiceError:
                if attempt == APPEND_TRIES:
                    raise

    def _retry_snapshot(self, now: float) -> None:
        self._snapshot_due_at = now + SNAPSHOT_RETRY_SECONDS * self._random.uniform(0.5, 1.5)

    def _handle_failed_read(self, error: LogServiceError) -> None:
        self.gossip.note_log_failed()
        if not self._is_log_down:
            self._events.announce("log-unavailable", detail=str(error))
        self._is_log_down = True

    def _note_log_up(self) -> None:
        if self._is_log_down:
            self._events.announce("log-available")
        self._is_log_down = False
