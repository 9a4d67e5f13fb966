"""Membership of a mesh: a directory in the store, and news between nodes."""

import asyncio
import random
from collections.abc import Callable

import msgspec
from msgspec.structs import replace
from xxhash import xxh3_64_intdigest

from apricotwalk.border import KeyedRecord, KeyedStream, StoreError
from apricotwalk.core import Clock, Service, Supervisor
from apricotwalk.fleet._follower import RecordConsumer
from apricotwalk.fleet._store_backoff import StoreBackoff
from apricotwalk.membership import Member, MemberState, MemberTable
from apricotwalk.telemetry import DecisionLog

__all__ = ["FleetMembers"]

MICROSECONDS_PER_SECOND = 1_000_000

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Member)


class FleetMembers(RecordConsumer, Service):
    """Holds the members of every service and says what this node is.

    Parameters
    ----------
    own : Member
        First record of this node.
    stream : KeyedStream
        The directory, keyed by instance.
    log : DecisionLog
        Receives every change.
    clock : Clock
        Source of time.
    generator : random.Random
        Spreads the attempts of many nodes.

    Notes
    -----
    Each node writes its own record alone, when it changes.  Records with the larger incarnation
    win.  An incarnation is the calendar time of a change; a node that hears of a larger one of
    its own, from before its clock was set back, takes the next number and writes again.
    """

    def __init__(
        self,
        own: Member,
        stream: KeyedStream,
        log: DecisionLog,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self.own = own
        self._stream = stream
        self._log = log
        self._clock = clock
        self._random = generator
        self._tables_by_service: dict[str, MemberTable] = {}
        self._members_by_instance: dict[str, Member] = {}
        self._digest: int | None = None
        self._was_read_back = False
        self._is_unwritten = asyncio.Event()
        self._supervisor = Supervisor("fleet members")
        self.on_own_change: Callable[[Member], None] = lambda member: None
        self.on_member_change: Callable[[Member], None] = lambda member: None

    async def start(self) -> None:
        """Begin to keep this node's record in the directory."""
        self._supervisor.run_loop("write", self._keep_written)

    async def close(self) -> None:
        """Stop writing."""
        await self._supervisor.close()

    def members(self, service: str) -> list[Member]:
        """Return the members of `service` that take work."""
        table = self._tables_by_service.get(service)
        return table.usable() if table is not None else []

    def all_members(self) -> list[Member]:
        """Return every record that is held."""
        return list(self._members_by_instance.values())

    def digest(self) -> int:
        """Return a number that is equal on two nodes that hold the same records."""
        if self._digest is None:
            rows = sorted(
                (m.instance, m.incarnation, int(m.state))
                for m in self._members_by_instance.values()
            )
            # 32 bits suffice and take half the room in a ping.
            self._digest = xxh3_64_intdigest(_encoder.encode(rows)) & 0xFFFF_FFFF
        return self._digest

    def announce(self, state: MemberState, reason: str) -> None:
        """Change what this node says of itself, and say it at once."""
        if self.own.state is state and self.own.instance in self._members_by_instance:
            return
        self._write_own(state, reason)

    def apply_record(self, record: KeyedRecord) -> bool:
        """Take a record of the directory; see `RecordConsumer.apply_record`."""
        if record.value is None:
            return self._take_drop(record.key)
        try:
            member = _decoder.decode(record.value)
        except (msgspec.MsgspecError, ValueError) as error:
            self._log.believe("member-record-rejected", key=record.key, detail=str(error))
            return False
        return self.apply(member, "store")

    def apply_snapshot(self, records: tuple[KeyedRecord, ...]) -> bool:
        """Take the whole directory; a record of this node that is missing is written again."""
        had_updates = super().apply_snapshot(records)
        own = self._members_by_instance.get(self.own.instance)
        if own is not None and self.own.instance not in {record.key for record in records}:
            self._is_unwritten.set()
        return had_updates

    def apply(self, member: Member, source: str) -> bool:
        """Take a record if it is newer than the one held; return whether it was."""
        if member.instance == self.own.instance:
            self._defend(member)
            return False
        known = self._members_by_instance.get(member.instance)
        if known is not None and not member.supersedes(known):
            return False
        self._hold(member, known)
        self._log.believe(
            "member-changed",
            member=member.instance,
            service=member.service,
            state=member.state.name.lower(),
            incarnation=member.incarnation,
            source=source,
        )
        self.on_member_change(member)
        return True

    def _hold(self, member: Member, known: Member | None) -> None:
        if known is not None and known.service != member.service:
            self._tables_by_service[known.service].remove(known.instance)
        table = self._tables_by_service.get(member.service)
        if table is None:
            table = MemberTable(member.service, self._clock)
            self._tables_by_service[member.service] = table
        table.merge(member)
        self._members_by_instance[member.instance] = member
        self._digest = None

    def _defend(self, heard: Member) -> None:
        """Keep this node's newest record the newest in the directory.

        Notes
        -----
        An earlier start may have used a larger incarnation, and an append whose answer was lost
        may be stored seconds later, behind a newer one.
        """
        if heard == self.own:
            self._was_read_back = True
        elif self._was_read_back and self.own.supersedes(heard):
            self._is_unwritten.set()
        if heard.supersedes(self.own) and heard != self.own:
            own = replace(self.own, incarnation=heard.incarnation)
            self.own = own
            if own.instance in self._members_by_instance:
                self._write_own(own.state, "an older record of this node was newer")

    def _take_drop(self, instance: str) -> bool:
        """Forget a member whose record is gone, and return whether it was known."""
        if instance == self.own.instance:
            if instance in self._members_by_instance:
                self._is_unwritten.set()
            return False
        member = self._members_by_instance.pop(instance, None)
        if member is None:
            return False
        self._tables_by_service[member.service].remove(instance)
        self._digest = None
        self._log.believe("member-dropped", member=instance)
        return True

    def _write_own(self, state: MemberState, reason: str) -> None:
        known = self._members_by_instance.get(self.own.instance)
        now = int(self._clock.wall() * MICROSECONDS_PER_SECOND)
        incarnation = max(now, self.own.incarnation + 1)
        self.own = replace(self.own, state=state, incarnation=incarnation)
        self._was_read_back = False
        self._hold(self.own, known)
        self._log.believe("own-state", state=state.name.lower(), reason=reason)
        self._is_unwritten.set()
        self.on_own_change(self.own)

    async def _keep_written(self) -> None:
        pause = StoreBackoff(self._random)
        while True:
            await self._is_unwritten.wait()
            self._is_unwritten.clear()
            own = self.own
            try:
                await self._stream.put(KeyedRecord(own.instance, _encoder.encode(own)))
                pause.reset()
            except StoreError as error:
                self._log.believe("own-record-unwritten", detail=str(error))
                self._is_unwritten.set()
                await pause.wait()
