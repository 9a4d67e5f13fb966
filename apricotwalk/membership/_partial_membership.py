"""Membership by partial views: the own group, the called services and a random sample."""

import asyncio
import random
from collections.abc import Sequence
from contextlib import suppress

from xxhash import xxh3_64_intdigest

from apricotwalk.control import ControlHandler, ControlKind, ControlSocket, Sender
from apricotwalk.core import Clock, LogServiceError, Supervisor
from apricotwalk.membership._directory import Directory
from apricotwalk.membership._group import Group
from apricotwalk.membership._interface import Membership, Piggyback
from apricotwalk.membership._lookup import Lookup
from apricotwalk.membership._member import Member, MemberState
from apricotwalk.membership._messages import (
    LARGEST_ANSWER_MEMBERS,
    AckMessage,
    ChangesMessage,
    IndirectProbeMessage,
    Peer,
    ProbeMessage,
    SampleMessage,
    WatchAnswerMessage,
    WatchMessage,
    decode_membership,
)
from apricotwalk.membership._own_record import OwnRecord
from apricotwalk.membership._pending_answers import PendingAnswers
from apricotwalk.membership._sample import PeerSample
from apricotwalk.membership._table import MemberTable
from apricotwalk.membership._watch import Watch
from apricotwalk.membership._watchers import Watchers
from apricotwalk.settings import Address
from apricotwalk.telemetry import EventLog

__all__ = ["PartialMembership"]

SAMPLE_INTERVAL_SECONDS = 5.0
SAMPLE_TIMEOUT_SECONDS = 0.5
SMALL_SAMPLE = 6
SEED_SHARE = 0.1
IDLE_WATCH_SECONDS = 600.0
REGISTRATION_RETRY_SECONDS = 2.0
RECONCILE_INTERVAL_SECONDS = 5.0
REGISTRATION_SHARE_OF_RETENTION = 0.4
OUTSIDE_SHARE = 0.2
LOOKUP_PEERS = 4


class PartialMembership(Membership, ControlHandler):
    """Holds the members of the own service and of the called ones, and no others.

    Parameters
    ----------
    own : Member
        First record of this node.
    socket : ControlSocket
        Carries the messages.
    directory : Directory
        Directory streams in the log.
    seeds : sequence of Address
        Nodes to contact while no other is known.
    watched_services : sequence of str
        Services that are watched from the start and never given up.
    retention_seconds : float
        How long the log service keeps a record.
    events : EventLog
        Receives joins, suspicions and losses.
    generator : random.Random
        Source of randomness.
    clock : Clock
        Source of time.
    detects_failures : bool
        False only in a proof.
    """

    def __init__(
        self,
        own: Member,
        socket: ControlSocket,
        directory: Directory,
        seeds: Sequence[Address],
        watched_services: Sequence[str],
        retention_seconds: float,
        events: EventLog,
        generator: random.Random,
        clock: Clock,
        detects_failures: bool = True,
    ) -> None:
        self.sample = PeerSample(Peer(own.address, own.region), generator)
        self._own = OwnRecord(own)
        self._socket = socket
        self._directory = directory
        self._seeds = [seed for seed in seeds if seed != own.address]
        self._watched_services = watched_services
        self._retention_seconds = retention_seconds
        self._events = events
        self._random = generator
        self._clock = clock
        self._detects_failures = detects_failures
        self._group = Group(
            self._own, socket, events, generator, clock, detects_failures, self._tell_watchers
        )
        self._watchers = Watchers(clock)
        self._watches_by_service: dict[str, Watch] = {}
        self._sample_answers: PendingAnswers[SampleMessage] = PendingAnswers()
        self._announced = asyncio.Event()
        self._supervisor = Supervisor("membership")
        socket.register(ControlKind.MEMBERSHIP, self)

    async def start(self) -> None:
        """Begin to probe, to watch and to sample."""
        await self._group.start()
        self._supervisor.run_loop("sample", self._exchange_samples)
        self._supervisor.run_loop("register", self._register)
        self._supervisor.run_loop("reconcile", self._reconcile)
        for service in self._watched_services:
            self._watch(service)

    async def close(self) -> None:
        """Stop."""
        await self._supervisor.close()
        await self._group.close()

    def add_piggyback(self, piggyback: Piggyback) -> None:
        """Let another part's state travel between the members of this node's service."""
        self._group.piggybacks.append(piggyback)

    def members(self, service: str) -> list[Member]:
        """Return the members of `service` that take new work, this node included."""
        if service == self._own.member.service:
            return self._group.table.usable()
        return self._watch(service).table.usable()

    async def find(self, service: str, timeout_seconds: float) -> list[Member]:
        """Return the members of `service`, looking them up if it was never called before."""
        members = self.members(service)
        if members or service == self._own.member.service:
            return members
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._watch(service).has_members.wait()
        except TimeoutError:
            return []
        return self.members(service)

    def announce(self, service: str) -> None:
        """Say that the backend server beside this node offers `service`, or none if empty."""
        if self._own.member.service == service and self._own.member.state is MemberState.ALIVE:
            return
        former = self._group.table
        self._group.join(service)
        if former.service and former.service != service:
            others = [m for m in former.present() if m.instance != self._own.member.instance]
            self._watch(former.service).add_members(others)
        if service:
            self._end_watch(service)
            self._announced.set()

    def leave(self) -> None:
        """Tell the group and every watcher in one message each."""
        if self._own.member.service:
            self._group.leave()

    def known_count(self) -> int:
        """Return the number of members that this node holds, itself included."""
        instances = {self._own.member.instance}
        for table in self._tables():
            instances.update(member.instance for member in table.present())
        return len(instances)

    def handle_control(self, body: bytes, sender: Sender) -> None:
        """Take one message; see `ControlHandler.handle_control`."""
        message = decode_membership(body)
        if isinstance(message, ProbeMessage):
            self._group.handle_probe(message, sender)
        elif isinstance(message, AckMessage):
            self._group.handle_ack(message, sender)
        elif isinstance(message, WatchMessage):
            self._answer_watch(message, sender)
        elif isinstance(message, WatchAnswerMessage):
            self._take_watch_answer(message, sender)
        elif isinstance(message, ChangesMessage):
            self._take_changes(message)
        elif isinstance(message, IndirectProbeMessage):
            self._group.handle_indirect_probe(message, sender)
        else:
            self._take_sample(message, sender)

    def _tables(self) -> list[MemberTable]:
        return [self._group.table, *(w.table for w in self._watches_by_service.values())]

    def _table_of(self, service: str) -> MemberTable | None:
        if service == self._own.member.service:
            return self._group.table
        watch = self._watches_by_service.get(service)
        return watch.table if watch is not None else None

    def _watch(self, service: str) -> Watch:
        watch = self._watches_by_service.get(service)
        if watch is None:
            watch = Watch(
                service,
                self._socket,
                self._directory,
                self._peers_of_callers,
                self._clock,
                self._random,
                self._detects_failures,
            )
            self._watches_by_service[service] = watch
            self._supervisor.run_loop(f"watch {service}", lambda: self._follow(watch))
        watch.last_used = self._clock.monotonic()
        return watch

    def _end_watch(self, service: str) -> None:
        watch = self._watches_by_service.pop(service, None)
        if watch is not None:
            watch.is_closed = True
            for member in watch.table.present():
                self._group.take(member)

    async def _follow(self, watch: Watch) -> None:
        is_kept = watch.service in self._watched_services
        await watch.follow(float("inf") if is_kept else IDLE_WATCH_SECONDS)
        if self._watches_by_service.get(watch.service) is watch:
            del self._watches_by_service[watch.service]

    def _lookup_peers(self) -> list[Address]:
        peers = self.sample.choose(LOOKUP_PEERS)
        if self._seeds:
            peers.append(self._random.choice(self._seeds))
        return peers

    def _peers_of_callers(self) -> list[Address]:
        """Return nodes that may call the same services: one of the own group, then random ones."""
        members = self._group.choose_others(1)
        return [*(member.address for member in members), *self._lookup_peers()]

    def _answer_watch(self, message: WatchMessage, sender: Sender) -> None:
        table = self._table_of(message.service)
        if table is None or not table.present():
            answer = WatchAnswerMessage(message.service, 0, 0)
        else:
            interval = self._interval_of(message, sender)
            digest = table.digest()
            members = None
            if digest != message.digest:
                members = _subset(table.present(), sender.instance)
            answer = WatchAnswerMessage(message.service, digest, round(interval * 1000), members)
        self._socket.send(sender.address, ControlKind.MEMBERSHIP, answer)

    def _interval_of(self, message: WatchMessage, sender: Sender) -> float:
        if message.subscribes and message.service == self._own.member.service:
            return self._watchers.add(sender.address)
        return 0.0

    def _take_watch_answer(self, message: WatchAnswerMessage, sender: Sender) -> None:
        for member in message.members or ():
            self._meet(member)
        if message.service == self._own.member.service:
            for member in message.members or ():
                self._group.take(member)
            return
        watch = self._watches_by_service.get(message.service)
        if watch is not None:
            watch.handle_answer(message, sender.address)

    def _take_changes(self, message: ChangesMessage) -> None:
        for member in message.changes:
            if member.service == self._own.member.service:
                self._group.take(member)
            elif (watch := self._watches_by_service.get(member.service)) is not None:
                watch.handle_change(member)

    def _tell_watchers(self, member: Member) -> None:
        self._meet(member)
        message = ChangesMessage([member])
        for address in self._watchers.current():
            self._socket.send(address, ControlKind.MEMBERSHIP, message)

    def _meet(self, member: Member) -> None:
        if len(self.sample) < SMALL_SAMPLE and member.state is MemberState.ALIVE:
            self.sample.add(Peer(member.address, member.region))

    async def _register(self) -> None:
        await self._announced.wait()
        while True:
            self._announced.clear()
            pause = await self._register_once()
            with suppress(TimeoutError):
                async with asyncio.timeout(pause * self._random.uniform(0.8, 1.2)):
                    await self._announced.wait()

    async def _register_once(self) -> float:
        member = self._own.member
        if not member.service:
            return self._retention_seconds * REGISTRATION_SHARE_OF_RETENTION
        is_listed = await self._append_own(member)
        await self._enter_group(member.service)
        if not is_listed:
            return REGISTRATION_RETRY_SECONDS
        return self._retention_seconds * REGISTRATION_SHARE_OF_RETENTION

    async def _append_own(self, member: Member) -> bool:
        """Append before reading: of two nodes that start at once, the later one sees the other."""
        try:
            await self._directory.append(member)
        except LogServiceError:
            return False
        return True

    async def _reconcile(self) -> None:
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_SECONDS * self._random.uniform(0.8, 1.2))
            service = self._own.member.service
            others = [m for m in self._group.table.present() if m is not self._own.member]
            addresses = [member.address for member in others]
            if not addresses or self._random.random() < OUTSIDE_SHARE:
                addresses = self._lookup_peers()
            if service and addresses:
                digest = self._group.table.digest()
                message = WatchMessage(service, digest, subscribes=False)
                address = self._random.choice(addresses)
                self._socket.send(address, ControlKind.MEMBERSHIP, message)

    async def _enter_group(self, service: str) -> None:
        lookup = Lookup(service, self._directory, self._lookup_peers, self._clock)
        while True:
            for address in await lookup.next_batch():
                message = WatchMessage(service, 0, subscribes=False)
                self._socket.send(address, ControlKind.MEMBERSHIP, message)
            await asyncio.sleep(SAMPLE_TIMEOUT_SECONDS)
            if self._group.has_others() or not lookup.has_unqueried:
                break
        self._group.tell_own()

    async def _exchange_samples(self) -> None:
        while True:
            await self._exchange_sample()
            is_small = len(self.sample) < SMALL_SAMPLE
            pause = SAMPLE_INTERVAL_SECONDS / (5 if is_small else 1)
            await asyncio.sleep(pause * self._random.uniform(0.8, 1.2))

    async def _exchange_sample(self) -> None:
        oldest = self.sample.oldest()
        address = oldest.address if oldest is not None else None
        if self._seeds and (address is None or self._random.random() < SEED_SHARE):
            address = self._random.choice(self._seeds)
        if address is None:
            return
        partner = address

        def send() -> None:
            message = SampleMessage(self.sample.to_send())
            self._socket.send(partner, ControlKind.MEMBERSHIP, message)

        if await self._sample_answers.ask(partner, send, SAMPLE_TIMEOUT_SECONDS) is None:
            self.sample.remove(partner)

    def _take_sample(self, message: SampleMessage, sender: Sender) -> None:
        if message.is_answer:
            self._sample_answers.resolve(sender.address, message)
        else:
            answer = SampleMessage(self.sample.to_send(), is_answer=True)
            self._socket.send(sender.address, ControlKind.MEMBERSHIP, answer)
        for peer in reversed(message.peers):
            self.sample.add(peer)


def _subset(members: list[Member], watcher: str) -> list[Member]:
    if len(members) <= LARGEST_ANSWER_MEMBERS:
        return members
    ranked = sorted(members, key=lambda m: xxh3_64_intdigest(f"{watcher} {m.instance}".encode()))
    return ranked[:LARGEST_ANSWER_MEMBERS]
