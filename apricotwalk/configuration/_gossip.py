"""Gossip of configuration records between nodes."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from msgspec import Struct

from apricotwalk.configuration._history import RecordHistory
from apricotwalk.configuration._messages import (
    ConfigurationRecord,
    PullMessage,
    RecordsMessage,
    SnapshotPartMessage,
    SnapshotPullMessage,
    VersionMessage,
    decode_configuration,
)
from apricotwalk.configuration._snapshots import SnapshotReceiver, SnapshotSender
from apricotwalk.configuration._strategy import GossipStrategy
from apricotwalk.control import ControlHandler, ControlKind, ControlSocket, Sender
from apricotwalk.core import Clock, PolicyError, Service, Supervisor, WireError
from apricotwalk.policy import PolicyState, Snapshot
from apricotwalk.settings import Address

__all__ = ["ConfigurationGossip", "GossipDelegate"]

MAX_AGE_SECONDS = 1e6
MIN_AGE_IMPROVEMENT_MS = 500


class GossipDelegate(ABC):
    """Supplies the local state to the gossip and applies what peers send."""

    @property
    @abstractmethod
    def state(self) -> PolicyState:
        """The configuration in force."""

    @abstractmethod
    def apply_records(self, records: list[ConfigurationRecord], rounds: int) -> None:
        """Apply consecutive records from a peer, which `rounds` nodes have pushed so far."""

    @abstractmethod
    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a snapshot received from a peer.

        Raises
        ------
        PolicyError
            If the snapshot is invalid or would lower the version of a customer.
        """


class ConfigurationGossip(Service, ControlHandler):
    """Polls random peers for newer records and pushes new records to peers.

    Parameters
    ----------
    socket : ControlSocket
        Carries the messages.
    choose_peers : callable
        Function that returns the given number of random peers.
    delegate : GossipDelegate
        Holds the local state and applies what peers send.
    strategy : GossipStrategy
        Fanout, number of rounds and interval of the gossip.
    clock : Clock
        Source of time.
    generator : random.Random
        Source of randomness.
    is_monotonic : bool
        Whether an older configuration of a peer is ignored.  False only in test runs that disable
        this protection: it is then requested.

    Notes
    -----
    Version and record messages contain the time since some node read the log to its end.  A
    node that has applied at least as much as the sender adopts this age if it is lower than
    its own, so it need not read the log while the age is low.  Like a record, the age of a new
    read is pushed for a limited number of rounds.  The age of a failed read spreads in the same
    way until a read succeeds.
    """

    def __init__(
        self,
        socket: ControlSocket,
        choose_peers: Callable[[int], list[Address]],
        delegate: GossipDelegate,
        strategy: GossipStrategy,
        clock: Clock,
        generator: random.Random,
        is_monotonic: bool = True,
    ) -> None:
        self.history = RecordHistory()
        self.payload_messages = 0
        self._socket = socket
        self._choose_peers = choose_peers
        self._delegate = delegate
        self._strategy = strategy
        self._clock = clock
        self._random = generator
        self._is_monotonic = is_monotonic
        self._log_read_at = -MAX_AGE_SECONDS
        self._log_failed_at = -MAX_AGE_SECONDS
        self._snapshot_sender = SnapshotSender(clock)
        self._snapshot_receiver = SnapshotReceiver()
        self._supervisor = Supervisor("spread")

    async def start(self) -> None:
        """Register for configuration messages and start to poll peers."""
        self._socket.register(ControlKind.CONFIGURATION, self)
        self._supervisor.run_loop("ask", self._poll_peers)

    async def close(self) -> None:
        """Stop polling peers."""
        await self._supervisor.close()

    def log_age(self) -> float:
        """Return the time in seconds since some node read the log to the local offset."""
        return self._clock.monotonic() - self._log_read_at

    def mark_log_read(self) -> None:
        """Record that this node has read the log to its end, and push the age to a few peers."""
        self._log_read_at = self._clock.monotonic()
        self._push_ages(0)

    def failure_age(self) -> float:
        """Return the time in seconds since some node failed to read the log."""
        return self._clock.monotonic() - self._log_failed_at

    def is_log_down(self) -> bool:
        """Return whether the newest known read of the log failed."""
        return self._log_failed_at > self._log_read_at

    def mark_log_failed(self) -> None:
        """Record that this node failed to read the log, and push the age to a few peers."""
        self._log_failed_at = self._clock.monotonic()
        self._push_ages(0)

    def push(self, records: list[ConfigurationRecord], rounds: int) -> None:
        """Push new records to a few peers unless the limit of push rounds is reached."""
        if rounds >= self._strategy.push_rounds or not records:
            return
        message = RecordsMessage(
            records, self._delegate.state.next_offset, self._age_ms(), rounds + 1
        )
        for address in self._choose_peers(self._strategy.fanout):
            self._send_records(address, message)

    def handle_control(self, body: bytes, sender: Sender) -> None:
        """Handle one configuration message; see `ControlHandler.handle_control`."""
        message = decode_configuration(body)
        if isinstance(message, VersionMessage):
            self._handle_version(message, sender.address)
        elif isinstance(message, RecordsMessage):
            self._handle_records(message, sender.address)
        elif isinstance(message, PullMessage):
            self._send_records_from(message.from_offset, sender.address)
        elif isinstance(message, SnapshotPullMessage):
            part = self._snapshot_sender.part(message, self._delegate.state)
            if part is not None:
                self._send(sender.address, part)
        else:
            self._handle_snapshot_part(message, sender.address)

    async def _poll_peers(self) -> None:
        while True:
            for address in self._choose_peers(1):
                self._send(address, self._version_message(is_question=True))
            await asyncio.sleep(self._strategy.interval_seconds * self._random.uniform(0.8, 1.2))

    def _handle_version(self, message: VersionMessage, address: Address) -> None:
        is_newer_failure = self._merge_failure_age(message)
        own_offset = self._delegate.state.next_offset
        if message.next_offset > own_offset:
            self._send(address, PullMessage(own_offset))
            return
        if message.next_offset < own_offset:
            if not self._is_monotonic:
                self._send(address, SnapshotPullMessage(0, 0))
            elif message.is_question:
                self._send_records_from(message.next_offset, address)
            return
        own_age_ms = self._age_ms()
        self._merge_log_age(message.next_offset, message.log_age_ms)
        is_newer_read = own_age_ms - message.log_age_ms > MIN_AGE_IMPROVEMENT_MS
        if message.rounds and (is_newer_read or is_newer_failure):
            self._push_ages(message.rounds)
        if message.is_question and own_age_ms < message.log_age_ms:
            self._send(address, self._version_message(is_question=False))

    def _handle_records(self, message: RecordsMessage, address: Address) -> None:
        offset_before = self._delegate.state.next_offset
        if message.records and message.records[0].offset > offset_before:
            self._send(address, PullMessage(offset_before))
            return
        self._delegate.apply_records(message.records, message.rounds)
        self._merge_log_age(message.next_offset, message.log_age_ms)
        offset_after = self._delegate.state.next_offset
        if offset_before < offset_after < message.next_offset:
            self._send(address, PullMessage(offset_after))

    def _handle_snapshot_part(self, message: SnapshotPartMessage, address: Address) -> None:
        try:
            received = self._snapshot_receiver.add_part(message)
            if isinstance(received, SnapshotPullMessage):
                self._send(address, received)
            else:
                self._delegate.apply_snapshot(received)
        except (ValueError, PolicyError) as error:
            raise WireError(f"refused snapshot: {error}") from error

    def _send_records_from(self, offset: int, address: Address) -> None:
        if offset >= self._delegate.state.next_offset:
            return
        records = self.history.since(offset)
        if records is None:
            part = self._snapshot_sender.part(SnapshotPullMessage(0, 0), self._delegate.state)
            if part is not None:
                self._send(address, part)
            return
        next_offset = self._delegate.state.next_offset
        self._send_records(address, RecordsMessage(records, next_offset, self._age_ms(), 0))

    def _merge_log_age(self, sender_offset: int, age_ms: int) -> None:
        if sender_offset <= self._delegate.state.next_offset:
            read_at = self._clock.monotonic() - max(0, age_ms) / 1000
            self._log_read_at = max(self._log_read_at, read_at)

    def _merge_failure_age(self, message: VersionMessage) -> bool:
        """Update the time of the newest failed read; return whether it advanced by over 0.5 s."""
        if message.failure_age_ms is None:
            return False
        failed_at = self._clock.monotonic() - max(0, message.failure_age_ms) / 1000
        is_newer = failed_at - self._log_failed_at > MIN_AGE_IMPROVEMENT_MS / 1000
        self._log_failed_at = max(self._log_failed_at, failed_at)
        return is_newer

    def _push_ages(self, rounds: int) -> None:
        if rounds >= self._strategy.age_rounds:
            return
        message = self._version_message(is_question=False, rounds=rounds + 1)
        for address in self._choose_peers(self._strategy.age_fanout):
            self._send(address, message)

    def _version_message(self, is_question: bool, rounds: int = 0) -> VersionMessage:
        next_offset = self._delegate.state.next_offset
        failure_age_ms = round(self.failure_age() * 1000) if self.is_log_down() else None
        return VersionMessage(next_offset, self._age_ms(), is_question, rounds, failure_age_ms)

    def _age_ms(self) -> int:
        return round(min(self.log_age(), MAX_AGE_SECONDS) * 1000)

    def _send_records(self, address: Address, message: RecordsMessage) -> None:
        self.payload_messages += 1
        self._send(address, message)

    def _send(self, address: Address, message: Struct) -> None:
        self._socket.send(address, ControlKind.CONFIGURATION, message)
