"""Failure detection and gossip among the nodes of one service."""

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
INDIRECT_PROBE_TIMEOUT_SECONDS = 0.4
CROSS_REGION_ALLOWANCE_SECONDS = 0.4
INDIRECT_PROBE_COUNT = 2
SUSPICION_TIMEOUT_SECONDS = 1.5
MAX_LOCAL_STALL_SECONDS = 0.5
RECONNECT_INTERVAL_SECONDS = 5.0
NOTIFICATION_FANOUT_COUNT = 6
PROBE_COUNT_PER_OWN_RECORD = 8


class Group(Service):
    """Probes the other members of this node's service and gossips state changes.

    Parameters
    ----------
    own : OwnRecord
        Record of this node.
    socket : ControlSocket
        Socket for the membership messages.
    events : EventLog
        Log of joins and state changes.
    generator : random.Random
        Source of randomness.
    clock : Clock
        Source of time.
    detects_failures : bool
        False only in a test run that disables failure detection: silent members then stay in use.
    on_change : callable
        Called with each changed record.

    Notes
    -----
    A member that answers neither a direct nor an indirect probe is suspected and immediately
    taken out of use.  It is declared dead after 1.5 s unless it refutes the suspicion with a
    record of a higher incarnation.  A probe that took far longer than its time-outs is
    discarded, because then this node itself was paused and the silence proves nothing.

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
        self._probe_order: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._supervisor = Supervisor("group")

    async def start(self) -> None:
        """Start the probe and reconnect loops."""
        self._supervisor.run_loop("probe", self._probe_round_robin)
        self._supervisor.run_loop("reconnect", self._reconnect)

    async def close(self) -> None:
        """Cancel all probes and loops."""
        for task in self._tasks:
            task.cancel()
        await self._supervisor.close()

    def join(self, service: str) -> None:
        """Join the group of `service`, or of no service if it is empty."""
        if self._own.member.service:
            self.leave()
        if service != self.table.service:
            self.table = MemberTable(service, self._clock)
            self._changes = ChangeQueue()
        self._own.set_service(service)
        if service:
            self.publish_own_record()

    def leave(self) -> None:
        """Publish to some members that this node accepts no new work."""
        self._own.leave()
        self.publish_own_record()

    def publish_own_record(self) -> None:
        """Apply this node's changed record to the table and send it to several members."""
        self.apply_update(self._own.member)
        self.send_own_record(self.choose_others(NOTIFICATION_FANOUT_COUNT))

    def has_others(self) -> bool:
        """Return whether the table holds another member that is not dead."""
        return bool(self._others())

    def choose_others(self, count: int) -> list[Member]:
        """Return up to `count` random other members of the group that are not dead."""
        others = self._others()
        return self._random.sample(others, min(count, len(others)))

    def send_own_record(self, members: list[Member]) -> None:
        """Send this node's record to `members`."""
        for member in members:
            self._send(member.address, ChangesMessage([self._own.member]))

    def apply_update(self, member: Member) -> None:
        """Merge a received record; refute a conflicting record of this node."""
        if member.instance == self._own.member.instance and member != self._own.member:
            if self._own.refute(member):
                self.publish_own_record()
            return
        known = self.table.members_by_instance.get(member.instance)
        if not self.table.merge(member):
            return
        if known is None:
            self._events.record_state_change(
                "member-joined", member=member.instance, service=member.service
            )
        elif known.state is not member.state:
            self._events.record_state_change(
                "member-state", member=member.instance, state=member.state.name
            )
        self._changes.add(member, len(self.table.members_by_instance))
        self._on_change(member)

    def handle_probe(self, message: ProbeMessage, sender: Sender) -> None:
        """Acknowledge a probe.

        If the held record of the sender is not ALIVE, the acknowledgement carries it, so that
        the sender can refute it.
        """
        self._apply_contents(message)
        known = self.table.members_by_instance.get(sender.instance)
        refutable = [known] if known is not None and known.state is not MemberState.ALIVE else []
        ack = AckMessage(
            message.sequence, self._changes_to_send(refutable), self._piggyback_contents()
        )
        self._send(sender.address, ack)

    def handle_ack(self, message: AckMessage, sender: Sender) -> None:
        """Apply the changes of an acknowledgement and complete its probe."""
        self._apply_contents(message)
        self._acks.resolve(message.sequence, message)

    def handle_indirect_probe(self, message: IndirectProbeMessage, sender: Sender) -> None:
        """Probe a member on behalf of the sender and forward the acknowledgement."""
        self._spawn(self._relay_probe(message, sender.address))

    def _spawn(self, body: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(body)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay_probe(self, message: IndirectProbeMessage, requester: Address) -> None:
        timeout = PROBE_TIMEOUT_SECONDS + CROSS_REGION_ALLOWANCE_SECONDS
        ack = await self._send_probe(message.target, [], timeout)
        if ack is not None:
            self._send(requester, AckMessage(message.sequence, ack.changes))

    async def _probe_round_robin(self) -> None:
        while True:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS * self._random.uniform(0.9, 1.1))
            self._expire_suspicions()
            target = self._next_target()
            if target is not None:
                self._spawn(self._probe(target))

    async def _probe(self, target: Member) -> None:
        began = self._clock.monotonic()
        is_remote = target.region != self._own.member.region
        allowance = CROSS_REGION_ALLOWANCE_SECONDS if is_remote else 0.0
        refutable = [target] if target.state is not MemberState.ALIVE else []
        if (
            await self._send_probe(target.address, refutable, PROBE_TIMEOUT_SECONDS + allowance)
            is not None
        ):
            return
        if await self._probe_indirectly(target, allowance) or not self._detects_failures:
            return
        expected_seconds = PROBE_TIMEOUT_SECONDS + INDIRECT_PROBE_TIMEOUT_SECONDS + 2 * allowance
        if self._clock.monotonic() - began > expected_seconds + MAX_LOCAL_STALL_SECONDS:
            return
        if target.state in (MemberState.ALIVE, MemberState.LEAVING):
            state = MemberState.DEAD if target.state.value else MemberState.SUSPECTED
            self._mark_unresponsive(msgspec.structs.replace(target, state=state))

    def _mark_unresponsive(self, record: Member) -> None:
        """Apply a suspected or dead record and send it to several members, which notify callers."""
        self.apply_update(record)
        for member in self.choose_others(NOTIFICATION_FANOUT_COUNT):
            self._send(member.address, ChangesMessage([record]))

    async def _probe_indirectly(self, target: Member, allowance: float) -> bool:
        sequence = self._next_sequence()

        def send() -> None:
            others = [m for m in self.choose_others(INDIRECT_PROBE_COUNT + 1) if m != target]
            for helper in others[:INDIRECT_PROBE_COUNT]:
                self._send(helper.address, IndirectProbeMessage(sequence, target.address))
            self._send(target.address, ProbeMessage(sequence, [self._own.member, target]))

        timeout = INDIRECT_PROBE_TIMEOUT_SECONDS + allowance
        return await self._acks.request(sequence, send, timeout) is not None

    async def _send_probe(
        self, address: Address, refutable: list[Member], timeout_seconds: float
    ) -> AckMessage | None:
        sequence = self._next_sequence()
        probe = ProbeMessage(sequence, self._changes_to_send(refutable), self._piggyback_contents())
        return await self._acks.request(
            sequence, lambda: self._send(address, probe), timeout_seconds
        )

    async def _reconnect(self) -> None:
        while True:
            await asyncio.sleep(RECONNECT_INTERVAL_SECONDS)
            self.table.expire_tombstones()
            dead = self.table.in_state(MemberState.DEAD)
            if dead:
                target = self._random.choice(dead)
                timeout = PROBE_TIMEOUT_SECONDS + CROSS_REGION_ALLOWANCE_SECONDS
                await self._send_probe(target.address, [target], timeout)

    def _expire_suspicions(self) -> None:
        for member in self.table.in_state(MemberState.SUSPECTED):
            if self.table.seconds_since_change(member.instance) > SUSPICION_TIMEOUT_SECONDS:
                self.apply_update(msgspec.structs.replace(member, state=MemberState.DEAD))

    def _next_target(self) -> Member | None:
        others_by_instance = {member.instance: member for member in self._others()}
        if not self._probe_order:
            self._probe_order = list(others_by_instance)
            self._random.shuffle(self._probe_order)
        while self._probe_order:
            member = others_by_instance.get(self._probe_order.pop())
            if member is not None:
                return member
        return None

    def _others(self) -> list[Member]:
        return [m for m in self.table.present() if m.instance != self._own.member.instance]

    def _apply_contents(self, message: ProbeMessage | AckMessage) -> None:
        for member in message.changes:
            self.apply_update(member)
        for piggyback, content in zip(self.piggybacks, message.piggyback, strict=False):
            if content:
                piggyback.incoming(content)

    def _changes_to_send(self, refutable: list[Member]) -> list[Member]:
        changes = [*refutable, *self._changes.next_batch()]
        if self._sequence % PROBE_COUNT_PER_OWN_RECORD == 0 and self._own.member not in changes:
            changes.append(self._own.member)
        return changes

    def _piggyback_contents(self) -> list[bytes]:
        return [piggyback.outgoing() for piggyback in self.piggybacks]

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _send(self, address: Address, message: msgspec.Struct) -> None:
        self._socket.send(address, ControlKind.MEMBERSHIP, message)
