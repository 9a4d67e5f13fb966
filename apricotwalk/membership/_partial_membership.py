"""Membership by partial views: own group, called services and a random peer sample."""

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
    MAX_ANSWER_MEMBER_COUNT,
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
SMALL_SAMPLE_COUNT = 6
SEED_SHARE = 0.1
WATCH_IDLE_TIMEOUT_SECONDS = 600.0
REGISTRATION_RETRY_SECONDS = 2.0
RECONCILE_INTERVAL_SECONDS = 5.0
REGISTRATION_SHARE_OF_RETENTION = 0.4
OUTSIDE_GROUP_SHARE = 0.2
LOOKUP_PEER_COUNT = 4


class PartialMembership(Membership, ControlHandler):
    """Tracks the members of this node's service and of the called services only.

    Parameters
    ----------
    own : Member
        Initial record of this node.
    socket : ControlSocket
        Socket for the membership messages.
    directory : Directory
        Directory streams in the log service.
    seeds : sequence of Address
        Addresses of nodes to contact while no other is known, and occasionally afterwards.
    watched_services : sequence of str
        Services that are watched permanently, from the start.
    retention_seconds : float
        Retention period of the log service.
    events : EventLog
        Log of joins and state changes.
    generator : random.Random
        Source of randomness.
    clock : Clock
        Source of time.
    detects_failures : bool
        False only in a test run that disables failure detection: silent members then stay in use.
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
            self._own, socket, events, generator, clock, detects_failures, self._notify_watchers
        )
        self._watchers = Watchers(clock)
        self._watches_by_service: dict[str, Watch] = {}
        self._sample_answers: PendingAnswers[SampleMessage] = PendingAnswers()
        self._announced = asyncio.Event()
        self._supervisor = Supervisor("membership")
        socket.register(ControlKind.MEMBERSHIP, self)

    async def start(self) -> None:
        """Start probing, peer sampling and registration, and watch `watched_services`."""
        await self._group.start()
        self._supervisor.run_loop("sample", self._exchange_samples)
        self._supervisor.run_loop("register", self._register)
        self._supervisor.run_loop("reconcile", self._reconcile)
        for service in self._watched_services:
            self._watch(service)

    async def close(self) -> None:
        """Stop all loops and close the group."""
        await self._supervisor.close()
        await self._group.close()

    def add_piggyback(self, piggyback: Piggyback) -> None:
        """Carry the state of another component between the members of this node's service."""
        self._group.piggybacks.append(piggyback)

    def members(self, service: str) -> list[Member]:
        """Return the members of `service` that accept new work, this node included."""
        if service == self._own.member.service:
            return self._group.table.usable()
        return self._watch(service).table.usable()

    async def find(self, service: str, timeout_seconds: float) -> list[Member]:
        """Return the members of `service`; wait up to `timeout_seconds` if none is known yet."""
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
        """Publish that this node's backend server offers `service`, or no service if empty."""
        if self._own.member.service == service and self._own.member.state is MemberState.ALIVE:
            return
        previous_table = self._group.table
        self._group.join(service)
        if previous_table.service and previous_table.service != service:
            others = [
                m for m in previous_table.present() if m.instance != self._own.member.instance
            ]
            self._watch(previous_table.service).add_members(others)
        if service:
            self._close_watch(service)
            self._announced.set()

    def leave(self) -> None:
        """Publish to the group and to every watcher that this node accepts no new work."""
        if self._own.member.service:
            self._group.leave()

    def known_count(self) -> int:
        """Return the number of known members, this node included."""
        instances = {self._own.member.instance}
        for table in self._tables():
            instances.update(member.instance for member in table.present())
        return len(instances)

    def handle_control(self, body: bytes, sender: Sender) -> None:
        """Dispatch one membership message; see `ControlHandler.handle_control`."""
        message = decode_membership(body)
        if isinstance(message, ProbeMessage):
            self._group.handle_probe(message, sender)
        elif isinstance(message, AckMessage):
            self._group.handle_ack(message, sender)
        elif isinstance(message, WatchMessage):
            self._answer_watch(message, sender)
        elif isinstance(message, WatchAnswerMessage):
            self._handle_watch_answer(message, sender)
        elif isinstance(message, ChangesMessage):
            self._handle_changes(message)
        elif isinstance(message, IndirectProbeMessage):
            self._group.handle_indirect_probe(message, sender)
        else:
            self._handle_sample(message, sender)

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
                self._watch_lookup_peers,
                self._clock,
                self._random,
                self._detects_failures,
            )
            self._watches_by_service[service] = watch
            self._supervisor.run_loop(f"watch {service}", lambda: self._follow(watch))
        watch.last_used = self._clock.monotonic()
        return watch

    def _close_watch(self, service: str) -> None:
        watch = self._watches_by_service.pop(service, None)
        if watch is not None:
            watch.is_closed = True
            for member in watch.table.present():
                self._group.apply_update(member)

    async def _follow(self, watch: Watch) -> None:
        is_permanent = watch.service in self._watched_services
        await watch.follow(float("inf") if is_permanent else WATCH_IDLE_TIMEOUT_SECONDS)
        if self._watches_by_service.get(watch.service) is watch:
            del self._watches_by_service[watch.service]

    def _lookup_peers(self) -> list[Address]:
        peers = self.sample.choose(LOOKUP_PEER_COUNT)
        if self._seeds:
            peers.append(self._random.choice(self._seeds))
        return peers

    def _watch_lookup_peers(self) -> list[Address]:
        """Return nodes that may watch the same services: one of the own group and random peers."""
        members = self._group.choose_others(1)
        return [*(member.address for member in members), *self._lookup_peers()]

    def _answer_watch(self, message: WatchMessage, sender: Sender) -> None:
        table = self._table_of(message.service)
        if table is None or not table.present():
            answer = WatchAnswerMessage(message.service, 0, 0)
        else:
            interval = self._subscribe(message, sender)
            digest = table.digest()
            members = None
            if digest != message.digest:
                members = _select_answer_members(table.present(), sender.instance)
            answer = WatchAnswerMessage(message.service, digest, round(interval * 1000), members)
        self._socket.send(sender.address, ControlKind.MEMBERSHIP, answer)

    def _subscribe(self, message: WatchMessage, sender: Sender) -> float:
        if message.subscribes and message.service == self._own.member.service:
            return self._watchers.add(sender.address)
        return 0.0

    def _handle_watch_answer(self, message: WatchAnswerMessage, sender: Sender) -> None:
        for member in message.members or ():
            self._add_to_small_sample(member)
        if message.service == self._own.member.service:
            for member in message.members or ():
                self._group.apply_update(member)
            return
        watch = self._watches_by_service.get(message.service)
        if watch is not None:
            watch.handle_answer(message, sender.address)

    def _handle_changes(self, message: ChangesMessage) -> None:
        for member in message.changes:
            if member.service == self._own.member.service:
                self._group.apply_update(member)
            elif (watch := self._watches_by_service.get(member.service)) is not None:
                watch.handle_change(member)

    def _notify_watchers(self, member: Member) -> None:
        self._add_to_small_sample(member)
        message = ChangesMessage([member])
        for address in self._watchers.current():
            self._socket.send(address, ControlKind.MEMBERSHIP, message)

    def _add_to_small_sample(self, member: Member) -> None:
        if len(self.sample) < SMALL_SAMPLE_COUNT and member.state is MemberState.ALIVE:
            self.sample.add(Peer(member.address, member.region))

    async def _register(self) -> None:
        await self._announced.wait()
        while True:
            self._announced.clear()
            interval = await self._register_once()
            with suppress(TimeoutError):
                async with asyncio.timeout(interval * self._random.uniform(0.8, 1.2)):
                    await self._announced.wait()

    async def _register_once(self) -> float:
        member = self._own.member
        if not member.service:
            return self._retention_seconds * REGISTRATION_SHARE_OF_RETENTION
        is_listed = await self._append_own_record(member)
        await self._join_group(member.service)
        if not is_listed:
            return REGISTRATION_RETRY_SECONDS
        return self._retention_seconds * REGISTRATION_SHARE_OF_RETENTION

    async def _append_own_record(self, member: Member) -> bool:
        """Append this node's record; return False if the log service is unavailable.

        The append precedes the read, so that of two nodes that start at the same time the one
        that appends later finds the other.
        """
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
            if not addresses or self._random.random() < OUTSIDE_GROUP_SHARE:
                addresses = self._lookup_peers()
            if service and addresses:
                digest = self._group.table.digest()
                message = WatchMessage(service, digest, subscribes=False)
                address = self._random.choice(addresses)
                self._socket.send(address, ControlKind.MEMBERSHIP, message)

    async def _join_group(self, service: str) -> None:
        lookup = Lookup(service, self._directory, self._lookup_peers, self._clock)
        while True:
            for address in await lookup.next_batch():
                message = WatchMessage(service, 0, subscribes=False)
                self._socket.send(address, ControlKind.MEMBERSHIP, message)
            await asyncio.sleep(SAMPLE_TIMEOUT_SECONDS)
            if self._group.has_others() or not lookup.has_unqueried:
                break
        self._group.publish_own_record()

    async def _exchange_samples(self) -> None:
        while True:
            await self._exchange_sample()
            is_small = len(self.sample) < SMALL_SAMPLE_COUNT
            interval = SAMPLE_INTERVAL_SECONDS / (5 if is_small else 1)
            await asyncio.sleep(interval * self._random.uniform(0.8, 1.2))

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

        if await self._sample_answers.request(partner, send, SAMPLE_TIMEOUT_SECONDS) is None:
            self.sample.remove(partner)

    def _handle_sample(self, message: SampleMessage, sender: Sender) -> None:
        if message.is_answer:
            self._sample_answers.resolve(sender.address, message)
        else:
            answer = SampleMessage(self.sample.to_send(), is_answer=True)
            self._socket.send(sender.address, ControlKind.MEMBERSHIP, answer)
        for peer in reversed(message.peers):
            self.sample.add(peer)


def _select_answer_members(members: list[Member], watcher: str) -> list[Member]:
    if len(members) <= MAX_ANSWER_MEMBER_COUNT:
        return members
    ranked = sorted(members, key=lambda m: xxh3_64_intdigest(f"{watcher} {m.instance}".encode()))
    return ranked[:MAX_ANSWER_MEMBER_COUNT]
