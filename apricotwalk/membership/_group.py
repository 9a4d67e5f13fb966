"""The group of nodes beside the servers of one service, which watch each other."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from apricotwalk.control import ControlKind, ControlSocket, Sender
from apricotwalk.core import Clock, Service, Supervisor
from apricotwalk.membership._changes import ChangeQueue
from apricotwalk.membership._interface import Piggyback
from apricotwalk.membership._member import Member, MemberState
from apricotwalk.membership._messages import (
    AckMessage,
    ChangesMessage,
    IndirectProbeMessage,
    ProbeMessage,
)
from apricotwalk.membership._own_record import OwnRecord
from apricotwalk.membership._pending_answers import PendingAnswers
from apricotwalk.membership._table import MemberTable
from apricotwalk.settings import Address
from apricotwalk.telemetry import EventLog

__all__ = ["Group"]

PROBE_INTERVAL_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.2
INDIRECT_TIMEOUT_SECONDS = 0.4
REMOTE_EXTRA_SECONDS = 0.4
INDIRECT_PROBES = 2
SUSPICION_SECONDS = 1.5
STALL_SECONDS = 0.5
RECONNECT_INTERVAL_SECONDS = 5.0
NOTICE_FANOUT = 6
PROBES_PER_OWN_RECORD = 8


class Group(Service):
    """Probes the other members of this node's service and spreads what changes.

    Parameters
    ----------
    own : OwnRecord
        Record of this node.
    socket : ControlSocket
        Carries the messages.
    events : EventLog
        Receives joins, suspicions and losses.
    generator : random.Random
        Source of randomness.
    clock : Clock
        Source of time.
    detects_failures : bool
        False only in a proof: silent members are then kept for ever.
    on_change : callable
        Called with each record that has changed.

    Notes
    -----
    A member that answers neither a probe nor an indirect one is suspected and out of use at
    once.  It is declared dead after 1.5 s, unless it refutes the suspicion by a record with a
    higher incarnation.  A node that was stopped itself draws no conclusion from silence.

    References
    ----------
    .. [1] A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style
       Process Group Membership Protocol", DSN 2002.
    .. [2] A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More
       Accurate Failure Detection", DSN-W 2018.
    """

    def __init__(
        self,
        own: OwnRecord,
        socket: ControlSocket,
        events: EventLog,
        generator: random.Random,
        clock: Clock,
        detects_failures: bool,
        on_change: Callable[[Member], None],
    ) -> None:
        self.table = MemberTable("", clock)
        self.piggybacks: list[Piggyback] = []
        self._own = own
        self._socket = socket
        self._events = events
        self._random = generator
        self._clock = clock
        self._detects_failures = detects_failures
        self._on_change = on_change
        self._changes = ChangeQueue()
        self._acks: PendingAnswers[AckMessage] = PendingAnswers()
        self._sequence = 0
        self._round: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._supervisor = Supervisor("group")

    async def start(self) -> None:
        """Begin to probe."""
        self._supervisor.run_loop("probe", self._probe_in_turn)
        self._supervisor.run_loop("reconnect", self._reconnect)

    async def close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()
        await self._supervisor.close()

    def join(self, service: str) -> None:
        """Offer `service` from now on, or nothing if it is empty."""
        if self._own.member.service:
            self.leave()
        if service != self.table.service:
            self.table = MemberTable(service, self._clock)
            self._changes = ChangeQueue()
        self._own.offer(service)
        if service:
            self.tell_own()

    def leave(self) -> None:
        """Tell the group in one message each that this node takes no new work."""
        self._own.leave()
        self.tell_own()

    def tell_own(self) -> None:
        """Take this node's changed record into the table and tell it to several members."""
        self.take(self._own.member)
        self.notify(self.choose_others(NOTICE_FANOUT))

    def has_others(self) -> bool:
        """Return whether another member of the group is known that is not dead."""
        return bool(self._others())

    def choose_others(self, count: int) -> list[Member]:
        """Return up to `count` other members of the group at random."""
        others = self._others()
        return self._random.sample(others, min(count, len(others)))

    def notify(self, members: list[Member]) -> None:
        """Tell this node's record to `members`."""
        for member in members:
            self._send(member.address, ChangesMessage([self._own.member]))

    def take(self, member: Member) -> None:
        """Merge a record that was heard of."""
        if member.instance == self._own.member.instance and member != self._own.member:
            if self._own.refute(member):
                self.tell_own()
            return
        known = self.table.members_by_instance.get(member.instance)
        if not self.table.merge(member):
            return
        if known is None:
            self._events.announce("member-joined", member=member.instance, service=member.service)
        elif known.state is not member.state:
            self._events.announce("member-state", member=member.instance, state=member.state.name)
        self._changes.add(member, len(self.table.members_by_instance))
        self._on_change(member)

    def handle_probe(self, message: ProbeMessage, sender: Sender) -> None:
        """Answer a probe."""
        self._take_all(message)
        known = self.table.members_by_instance.get(sender.instance)
        doubted = [known] if known is not None and known.state is not MemberState.ALIVE else []
        ack = AckMessage(message.sequence, self._outgoing_changes(doubted), self._outgoing())
        self._send(sender.address, ack)

    def handle_ack(self, message: AckMessage, sender: Sender) -> None:
        """Take the answer to a probe."""
        self._take_all(message)
        self._acks.resolve(message.sequence, message)

    def handle_indirect_probe(self, message: IndirectProbeMessage, sender: Sender) -> None:
        """Probe a member on behalf of another."""
        self._spawn(self._relay(message, sender.address))

    def _spawn(self, body: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(body)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(self, message: IndirectProbeMessage, asker: Address) -> None:
        timeout = PROBE_TIMEOUT_SECONDS + REMOTE_EXTRA_SECONDS
        ack = await self._ask(message.target, [], timeout)
        if ack is not None:
            self._send(asker, AckMessage(message.sequence, ack.changes))

    async def _probe_in_turn(self) -> None:
        while True:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS * self._random.uniform(0.9, 1.1))
            self._bury_suspects()
            target = self._next_target()
            if target is not None:
                self._spawn(self._probe(target))

    async def _probe(self, target: Member) -> None:
        began = self._clock.monotonic()
        is_remote = target.region != self._own.member.region
        extra = REMOTE_EXTRA_SECONDS if is_remote else 0.0
        doubted = [target] if target.state is not MemberState.ALIVE else []
        if await self._ask(target.address, doubted, PROBE_TIMEOUT_SECONDS + extra) is not None:
            return
        if await self._probe_indirectly(target, extra) or not self._detects_failures:
            return
        expected = PROBE_TIMEOUT_SECONDS + INDIRECT_TIMEOUT_SECONDS + 2 * extra
        if self._clock.monotonic() - began > expected + STALL_SECONDS:
            return
        if target.state in (MemberState.ALIVE, MemberState.LEAVING):
            state = MemberState.DEAD if target.state.value else MemberState.SUSPECTED
            self._declare(msgspec.structs.replace(target, state=state))

    def _declare(self, doubted: Member) -> None:
        """Take a member out of use and tell several others at once, who tell their callers."""
        self.take(doubted)
        for member in self.choose_others(NOTICE_FANOUT):
            self._send(member.address, ChangesMessage([doubted]))

    async def _probe_indirectly(self, target: Member, extra: float) -> bool:
        sequence = self._next_sequence()

        def send() -> None:
            others = [m for m in self.choose_others(INDIRECT_PROBES + 1) if m != target]
            for helper in others[:INDIRECT_PROBES]:
                self._send(helper.address, IndirectProbeMessage(sequence, target.address))
            self._send(target.address, ProbeMessage(sequence, [self._own.member, target]))

        timeout = INDIRECT_TIMEOUT_SECONDS + extra
        return await self._acks.ask(sequence, send, timeout) is not None

    async def _ask(
        self, address: Address, doubted: list[Member], timeout_seconds: float
    ) -> AckMessage | None:
        sequence = self._next_sequence()
        probe = ProbeMessage(sequence, self._outgoing_changes(doubted), self._outgoing())
        return await self._acks.ask(sequence, lambda: self._send(address, probe), timeout_seconds)

    async def _reconnect(self) -> None:
        while True:
            await asyncio.sleep(RECONNECT_INTERVAL_SECONDS)
            self.table.expire_tombstones()
            dead = self.table.in_state(MemberState.DEAD)
            if dead:
                target = self._random.choice(dead)
                timeout = PROBE_TIMEOUT_SECONDS + REMOTE_EXTRA_SECONDS
                await self._ask(target.address, [target], timeout)

    def _bury_suspects(self) -> None:
        for member in self.table.in_state(MemberState.SUSPECTED):
            if self.table.held_for(member.instance) > SUSPICION_SECONDS:
                self.take(msgspec.structs.replace(member, state=MemberState.DEAD))

    def _next_target(self) -> Member | None:
        others_by_instance = {member.instance: member for member in self._others()}
        if not self._round:
            self._round = list(others_by_instance)
            self._random.shuffle(self._round)
        while self._round:
            member = others_by_instance.get(self._round.pop())
            if member is not None:
                return member
        return None

    def _others(self) -> list[Member]:
        return [m for m in self.table.present() if m.instance != self._own.member.instance]

    def _take_all(self, message: ProbeMessage | AckMessage) -> None:
        for member in message.changes:
            self.take(member)
        for piggyback, content in zip(self.piggybacks, message.piggyback, strict=False):
            if content:
                piggyback.incoming(content)

    def _outgoing_changes(self, doubted: list[Member]) -> list[Member]:
        changes = [*doubted, *self._changes.take()]
        if self._sequence % PROBES_PER_OWN_RECORD == 0 and self._own.member not in changes:
            changes.append(self._own.member)
        return changes

    def _outgoing(self) -> list[bytes]:
        return [piggyback.outgoing() for piggyback in self.piggybacks]

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _send(self, address: Address, message: msgspec.Struct) -> None:
        self._socket.send(address, ControlKind.MEMBERSHIP, message)
