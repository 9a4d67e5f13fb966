"""Replication of the configuration stream, from the log service and from peers."""

import asyncio
import math
import random
from collections.abc import Callable

from msgspec import structs

from apricotwalk.configuration._gossip import ConfigurationGossip, GossipDelegate
from apricotwalk.configuration._messages import ConfigurationRecord
from apricotwalk.configuration._strategy import NO_GOSSIP, PUSH_YOUNG_PULL_OLD, GossipStrategy
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

MIN_LOG_AGE_SECONDS = 1.0
MAX_LOG_AGE_SECONDS = 2.0
READ_DELAY_DISTRIBUTION_RATE = 10.0
LOG_AGE_RETENTION_FRACTION = 0.25
MIN_PAUSE_SECONDS = 0.05
INITIAL_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 5.0
SNAPSHOT_RETRY_SECONDS = 15.0
MIN_SNAPSHOT_RETENTION_FRACTION = 0.3
MAX_SNAPSHOT_RETENTION_FRACTION = 0.5
FIRST_SNAPSHOT_RETENTION_FRACTION = 0.2
MAX_APPEND_RETENTION_FRACTION = 0.05
MAX_APPEND_SECONDS = 30.0
PART_PAUSE_SECONDS = 0.05
APPEND_ATTEMPT_COUNT = 3


class ConfigurationFollower(Service, GossipDelegate):
    """Applies the records of the configuration stream in log order.

    Parameters
    ----------
    log_service : LogService
        Stores the configuration stream.
    socket : ControlSocket
        Carries the gossip messages.
    choose_peers : callable
        Function that returns the given number of random peers.
    retention_seconds : float
        Time for which the log service keeps a record, in seconds.
    events : EventLog
        Receives an event for each accepted and each rejected record.
    clock : Clock
        Source of time.
    generator : random.Random
        Source of randomness.
    strategy : GossipStrategy
        Fanout, number of rounds and interval of the gossip.
    is_monotonic : bool
        Whether an older snapshot of a peer is ignored.  False only in test runs that disable this
        protection.
    spreads : bool
        Whether records are exchanged with peers.  False only in test runs that disable gossip:
        records then come from the log alone.

    Notes
    -----
    A node reads the log only if for 1 s to 2 s it has received no report that some node read
    the log to its end.  While the log is available, the configuration of a node is therefore
    at most 2 s plus the duration of one read old.  While reports of a read spread, few nodes
    read; no reader is elected.  The delay is drawn from a truncated exponential distribution
    in which short delays are rare, so even in a large fleet only a few nodes read before the
    report of the first read reaches them [1]_.

    A node whose own last read failed also waits for the same time after each report of a
    failed read, so few nodes read while the log is down.  A node whose reads succeed ignores
    these reports, because only the connection of the other node may be broken.

    Each node schedules its next snapshot at a random time well before the newest snapshot
    expires.  The first node whose time is due appends one, and the other nodes reschedule
    theirs when they read it.  A snapshot is appended in parts of bounded size and is valid
    only when all parts are in the log.  A part may be in the log twice.  If two nodes append
    snapshots concurrently, a node stops when it reads a complete snapshot of the other.

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
        strategy: GossipStrategy = PUSH_YOUNG_PULL_OLD,
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
        self._seen_snapshot_count = 0
        self._supervisor = Supervisor("configuration")
        strategy = strategy if spreads else NO_GOSSIP
        self.gossip = ConfigurationGossip(
            socket, choose_peers, self, strategy, clock, generator, is_monotonic
        )

    @property
    def state(self) -> PolicyState:
        """The configuration in force."""
        return self._replay.state

    @property
    def has_configuration(self) -> bool:
        """Whether any customer is in force; without one, a customer cannot be called unknown."""
        return bool(self.state.policies_by_customer)

    async def start(self) -> None:
        """Start to read the stream, to append snapshots and to gossip."""
        first_fraction = FIRST_SNAPSHOT_RETENTION_FRACTION * self._random.uniform(0.25, 1.0)
        self._snapshot_due_at = self._clock.wall() + first_fraction * self._retention_seconds
        self._supervisor.run_loop("follow", self._follow)
        self._supervisor.run_loop("snapshot", self._append_snapshots)
        if self._spreads:
            await self.gossip.start()

    async def close(self) -> None:
        """Stop all tasks of the follower."""
        await self.gossip.close()
        await self._supervisor.close()

    def apply_records(self, records: list[ConfigurationRecord], rounds: int) -> None:
        """Apply records received from a peer; see `GossipDelegate.apply_records`."""
        if records and records[0].offset == self.state.next_offset:
            self._replay.discard_gap()
        if self._replay.has_gap:
            return
        applied = [self._apply_next(record.offset, record.value) for record in records]
        self.gossip.push([record for record in applied if record is not None], rounds)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a snapshot received from a peer; see `GossipDelegate.apply_snapshot`."""
        if self._is_monotonic and snapshot.next_offset <= self.state.next_offset:
            return
        self._replay.install(snapshot, self._is_monotonic)
        self._events.record_state_change("snapshot-installed", next_offset=snapshot.next_offset)

    async def _follow(self) -> None:
        backoff = INITIAL_BACKOFF_SECONDS
        while True:
            await self._wait_until_read_due()
            try:
                await self._read_to_end()
            except LogServiceError as error:
                self._handle_failed_read(error)
                await asyncio.sleep(backoff * self._random.uniform(0.5, 1.5))
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
                continue
            backoff = INITIAL_BACKOFF_SECONDS
            self._handle_successful_read()

    async def _wait_until_read_due(self) -> None:
        max_age = min(MAX_LOG_AGE_SECONDS, LOG_AGE_RETENTION_FRACTION * self._retention_seconds)
        min_age = min(MIN_LOG_AGE_SECONDS, max_age / 2)
        threshold = min_age + (max_age - min_age) * self._draw_delay_fraction()
        while (remaining := threshold - self._newest_report_age()) > 0:
            await asyncio.sleep(max(MIN_PAUSE_SECONDS, remaining))

    def _draw_delay_fraction(self) -> float:
        """Return a random number from 0 to 1 whose density grows exponentially."""
        fraction = self._random.random()
        return (
            math.log1p(fraction * math.expm1(READ_DELAY_DISTRIBUTION_RATE))
            / READ_DELAY_DISTRIBUTION_RATE
        )

    def _newest_report_age(self) -> float:
        """Return the age in seconds of the newest report that makes a read unnecessary."""
        if self._is_log_down:
            return min(self.gossip.log_age(), self.gossip.failure_age())
        return self.gossip.log_age()

    async def _read_to_end(self) -> None:
        while True:
            page = await self._log_service.read(CONFIGURATION_STREAM, self._replay.next_offset)
            self._replay.detect_gap(page.first_offset)
            self._apply_page(page.records)
            if not page.records or self._replay.next_offset >= page.next_offset:
                break
        if not self._replay.has_gap:
            self.gossip.mark_log_read()

    def _apply_page(self, records: list[LogRecord]) -> None:
        applied = [self._apply_next(record.offset, bytes(record.value)) for record in records]
        self.gossip.push([record for record in applied if record is not None], 0)

    def _apply_next(self, offset: int, value: bytes) -> ConfigurationRecord | None:
        had_gap = self._replay.has_gap
        if not had_gap and offset != self._replay.next_offset:
            return None
        outcomes = self._replay.apply(offset, value)
        for outcome in outcomes:
            self._log_outcome(outcome)
        if had_gap:
            return None
        snapshot = outcomes[0].snapshot
        if snapshot is not None:
            value = encode_record(snapshot)
        record = ConfigurationRecord(offset, value)
        self.gossip.history.add(record)
        return record

    def _log_outcome(self, outcome: Outcome) -> None:
        if outcome.kind is OutcomeKind.SNAPSHOT_PART:
            self._defer_snapshot()
            return
        if outcome.snapshot is not None:
            self._seen_snapshot_count += 1
            self._schedule_snapshot(outcome.snapshot.taken_at)
        if outcome.reason:
            self._events.record_state_change(
                outcome.kind, offset=outcome.offset, reason=outcome.reason
            )
        else:
            self._events.record_state_change(outcome.kind, offset=outcome.offset)

    def _schedule_snapshot(self, taken_at: float) -> None:
        fraction = self._random.uniform(
            MIN_SNAPSHOT_RETENTION_FRACTION, MAX_SNAPSHOT_RETENTION_FRACTION
        )
        self._snapshot_due_at = taken_at + fraction * self._retention_seconds

    def _defer_snapshot(self) -> None:
        """Postpone the snapshot so that the node that appends one has time to finish."""
        max_pause = MAX_APPEND_RETENTION_FRACTION * self._retention_seconds
        pause = min(max_pause, MAX_APPEND_SECONDS) * self._random.uniform(0.5, 1.5)
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
        self._schedule_snapshot(now)
        if self._replay.has_gap or not self.state.templates_by_name:
            return
        if self.gossip.is_log_down():
            self._schedule_snapshot_retry(now)
            return
        publish_id = f"{self._random.getrandbits(64):016x}"
        snapshot = structs.replace(self.state.snapshot(now), publish_id=publish_id)
        try:
            is_complete = await self._append_parts(split_snapshot(snapshot))
        except LogServiceError:
            self._schedule_snapshot_retry(now)
            return
        kind = "snapshot-appended" if is_complete else "snapshot-abandoned"
        self._events.record_state_change(kind, next_offset=snapshot.next_offset)

    async def _append_parts(self, parts: list[Snapshot]) -> bool:
        """Append all parts; return False if another node completes a snapshot first."""
        seen_at_start = self._seen_snapshot_count
        for part in parts:
            if part.part:
                await asyncio.sleep(PART_PAUSE_SECONDS)
            if self._seen_snapshot_count != seen_at_start:
                return False
            await self._append_part(encode_record(part))
        return True

    async def _append_part(self, value: bytes) -> None:
        for attempt in range(1, APPEND_ATTEMPT_COUNT + 1):
            try:
                await self._log_service.append(CONFIGURATION_STREAM, [value])
                return
            except LogServiceError:
                if attempt == APPEND_ATTEMPT_COUNT:
                    raise

    def _schedule_snapshot_retry(self, now: float) -> None:
        self._snapshot_due_at = now + SNAPSHOT_RETRY_SECONDS * self._random.uniform(0.5, 1.5)

    def _handle_failed_read(self, error: LogServiceError) -> None:
        self.gossip.mark_log_failed()
        if not self._is_log_down:
            self._events.record_state_change("log-unavailable", detail=str(error))
        self._is_log_down = True

    def _handle_successful_read(self) -> None:
        if self._is_log_down:
            self._events.record_state_change("log-available")
        self._is_log_down = False
