"""Exchange of configuration records with other nodes."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec

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
from apricotwalk.configuration._rule import SpreadRule
from apricotwalk.configuration._snapshots import SnapshotReceiver, SnapshotSender
from apricotwalk.control import ControlHandler, ControlKind, ControlSocket, Sender
from apricotwalk.core import Clock, PolicyError, Service, Supervisor, WireError
from apricotwalk.policy import PolicyState, Snapshot
from apricotwalk.settings import Address

__all__ = ["ConfigurationSpread", "SpreadTarget"]

LONGEST_AGE_SECONDS = 1e6
LEAST_NEWS_MS = 500


class SpreadTarget(ABC):
    """Takes what peers send."""

    @property
    @abstractmethod
    def state(self) -> PolicyState:
        """The configuration in force."""

    @abstractmethod
    def take_records(self, records: list[ConfigurationRecord], rounds: int) -> None:
        """Apply records that a peer has sent."""

    @abstractmethod
    def take_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a snapshot that a peer has sent.

        Raises
        ------
        PolicyError
            If it is older than what is held or breaks a rule.
        """


class ConfigurationSpread(Service, ControlHandler):
    """Asks random peers for newer records and pushes new ones.

    Parameters
    ----------
    socket : ControlSocket
        Carries the messages.
    choose_peers : callable
        Returns so many random peers.
    target : SpreadTarget
        Takes what peers send.
    rule : SpreadRule
        When to push and to ask.
    clock : Clock
        Source of time.
    generator : random.Random
        Source of randomness.
    is_monotonic : bool
        False only in a proof: an older configuration is then asked for as well.

    Notes
    -----
    Each message says how long ago some node read the log to its end.  A node that holds as
    much as the sender takes that age over, so nodes with fresh news need not read the log.  News
    of a read is pushed while it is young, like a record.  News of a failed read spreads in the
    same way until a read succeeds.
    """

    def __init__(
        self,
        socket: ControlSocket,
        choose_peers: Callable[[int], list[Address]],
        target: SpreadTarget,
        rule: SpreadRule,
        clock: Clock,
        generator: random.Random,
        is_monotonic: bool = True,
    ) -> None:
        self.history = RecordHistory()
        self.payload_messages = 0
        self._socket = socket
        self._choose_peers = choose_peers
        self._target = target
        self._rule = rule
        self._clock = clock
        self._random = generator
        self._is_monotonic = is_monotonic
        self._log_read_at = -LONGEST_AGE_SECONDS
        self._log_failed_at = -LONGEST_AGE_SECONDS
        self._snapshot_sender = SnapshotSender(clock)
        self._snapshot_receiver = SnapshotReceiver()
        self._supervisor = Supervisor("spread")

    async def start(self) -> None:
        """Begin to ask peers and to answer them."""
        self._socket.register(ControlKind.CONFIGURATION, self)
        self._supervisor.run_loop("ask", self._ask_peers)

    async def close(self) -> None:
        """Stop."""
        await self._supervisor.close()

    def log_age(self) -> float:
        """Return the seconds since some node read the log to the offset held here."""
        return self._clock.monotonic() - self._log_read_at

    def note_log_read(self) -> None:
        """Take note that this node has read the log to its end, and tell a few peers."""
        self._log_read_at = self._clock.monotonic()
        self._push_ages(0)

    def failure_age(self) -> float:
        """Return the seconds since some node failed to read the log."""
        return self._clock.monotonic() - self._log_failed_at

    def is_log_down(self) -> bool:
        """Return whether the newest news of the log is that of a failed read."""
        return self._log_failed_at > self._log_read_at

    def note_log_failed(self) -> None:
        """Take note that this node has failed to read the log, and tell a few peers."""
        self._log_failed_at = self._clock.monotonic()
        self._push_ages(0)

    def push(self, records: list[ConfigurationRecord], rounds: int) -> None:
        """Send records that are new to this node to a few peers while they are young."""
        if rounds >= self._rule.push_rounds or not records:
            return
        message = RecordsMessage(
            records, self._target.state.next_offset, self._age_ms(), rounds + 1
        )
        for address in self._choose_peers(self._rule.fanout):
            self._send_records(address, message)

    def handle_control(self, body: bytes, sender: Sender) -> None:
        """Take one message; see `ControlHandler.handle_control`."""
        message = decode_configuration(body)
        if isinstance(message, VersionMessage):
            self._answer_version(message, sender.address)
        elif isinstance(message, RecordsMessage):
            self._take_records(message, sender.address)
        elif isinstance(message, PullMessage):
            self._send_since(message.from_offset, sender.address)
        elif isinstance(message, SnapshotPullMessage):
            part = self._snapshot_sender.part(message, self._target.state)
            if part is not None:
                self._send(sender.address, part)
        else:
            self._take_snapshot_part(message, sender.address)

    async def _ask_peers(self) -> None:
        while True:
            for address in self._choose_peers(1):
                self._send(address, self._version_message(is_question=True))
            await asyncio.sleep(self._rule.interval_seconds * self._random.uniform(0.8, 1.2))

    def _answer_version(self, message: VersionMessage, address: Address) -> None:
        is_new_failure = self._take_failure(message)
        own_offset = self._target.state.next_offset
        if message.next_offset > own_offset:
            self._send(address, PullMessage(own_offset))
            return
        if message.next_offset < own_offset:
            if not self._is_monotonic:
                self._send(address, SnapshotPullMessage(0, 0))
            elif message.is_question:
                self._send_since(message.next_offset, address)
            return
        own_age_ms = self._age_ms()
        self._take_age(message.next_offset, message.log_age_ms)
        is_new_read = own_age_ms - message.log_age_ms > LEAST_NEWS_MS
        if message.rounds and (is_new_read or is_new_failure):
            self._push_ages(message.rounds)
        if message.is_question and own_age_ms < message.log_age_ms:
            self._send(address, self._version_message(is_question=False))

    def _take_records(self, message: RecordsMessage, address: Address) -> None:
        held_before = self._target.state.next_offset
        if message.records and message.records[0].offset > held_before:
            self._send(address, PullMessage(held_before))
            return
        self._target.take_records(message.records, message.rounds)
        self._take_age(message.next_offset, message.log_age_ms)
        held = self._target.state.next_offset
        if held_before < held < message.next_offset:
            self._send(address, PullMessage(held))

    def _take_snapshot_part(self, message: SnapshotPartMessage, address: Address) -> None:
        try:
            taken = self._snapshot_receiver.take(message)
            if isinstance(taken, SnapshotPullMessage):
                self._send(address, taken)
            else:
                self._target.take_snapshot(taken)
        except (msgspec.MsgspecError, ValueError, PolicyError) as error:
            raise WireError(f"refused snapshot: {error}") from error

    def _send_since(self, offset: int, address: Address) -> None:
        if offset >= self._target.state.next_offset:
            return
        records = self.history.since(offset)
        if records is None:
            part = self._snapshot_sender.part(SnapshotPullMessage(0, 0), self._target.state)
            if part is not None:
                self._send(address, part)
            return
        next_offset = self._target.state.next_offset
        self._send_records(address, RecordsMessage(records, next_offset, self._age_ms(), 0))

    def _take_age(self, sender_offset: int, age_ms: int) -> None:
        if sender_offset <= self._target.state.next_offset:
            read_at = self._clock.monotonic() - max(0, age_ms) / 1000
            self._log_read_at = max(self._log_read_at, read_at)

    def _take_failure(self, message: VersionMessage) -> bool:
        """Take over a failed read and return whether it is news."""
        if message.failure_age_ms is None:
            return False
        failed_at = self._clock.monotonic() - max(0, message.failure_age_ms) / 1000
        is_news = failed_at - self._log_failed_at > LEAST_NEWS_MS / 1000
        self._log_failed_at = max(self._log_failed_at, failed_at)
        return is_news

    def _push_ages(self, rounds: int) -> None:
        if rounds >= self._rule.news_rounds:
            return
        message = self._version_message(is_question=False, rounds=rounds + 1)
        for address in self._choose_peers(self._rule.news_fanout):
            self._send(address, message)

    def _version_message(self, is_question: bool, rounds: int = 0) -> VersionMessage:
        next_offset = self._target.state.next_offset
        failure_age_ms = round(self.failure_age() * 1000) if self.is_log_down() else None
        return VersionMessage(next_offset, self._age_ms(), is_question, rounds, failure_age_ms)

    def _age_ms(self) -> int:
        return round(min(self.log_age(), LONGEST_AGE_SECONDS) * 1000)

    def _send_records(self, address: Address, message: RecordsMessage) -> None:
        self.payload_messages += 1
        self._send(address, message)

    def _send(self, address: Address, message: msgspec.Struct) -> None:
        self._socket.send(address, ControlKind.CONFIGURATION, message)
