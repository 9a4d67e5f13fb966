"""Membership of a mesh, from a directory in the store and from gossip between nodes."""

import asyncio
import random
from collections.abc import Callable

import msgspec
from msgspec.structs import replace
from xxhash import xxh3_64_intdigest

from apricotwalk.border import KeyedRecord, KeyedStream, StoreError
from apricotwalk.core import Clock, Departure, Service, Supervisor, WireError, decode_payload
from apricotwalk.fleet._follower import RecordConsumer
from apricotwalk.fleet._store_backoff import StoreBackoff
from apricotwalk.fleet._store_era import StoreEra
from apricotwalk.membership import Member, MemberState, MemberTable
from apricotwalk.telemetry import DecisionLog

__all__ = ["FleetMembers"]

MICROSECONDS_PER_SECOND = 1_000_000
# The nodes write their records to a restored store at this mean interval, which is half of the
# smallest rate of writes that the operators' stores accept.
REWRITE_SECONDS_PER_MEMBER = 0.005

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Member)


class FleetMembers(RecordConsumer, Service):
    """Holds the members of every service and publishes the record of this node.

    Parameters
    ----------
    own : Member
        Initial record of this node.
    stream : KeyedStream
        Directory of members, keyed by instance.
    log : DecisionLog
        Records every change.
    clock : Clock
        Source of time.
    generator : random.Random
        Source of jitter, which spreads the writes of many nodes.
    store_era : StoreEra
        Newest known era of the store.

    Notes
    -----
    Each node writes only its own record, whenever that changes.  Of two records of an instance,
    the one with the larger incarnation wins.  An incarnation is the wall-clock time of the change
    in microseconds.  A node that receives a record of its own with a larger incarnation, written
    before its clock was set back, continues from that incarnation and writes its record again.

    The record also states which backend server is leaving, so that what one process of a node has
    acknowledged binds the next one, see `on_own_history`.
    """

    def __init__(
        self,
        own: Member,
        stream: KeyedStream,
        log: DecisionLog,
        clock: Clock,
        generator: random.Random,
        store_era: StoreEra,
    ) -> None:
        self.own = own
        self._store_era = store_era
        self._rewrite_timer: asyncio.TimerHandle | None = None
        self._stream = stream
        self._log = log
        self._clock = clock
        self._random = generator
        self._tables_by_service: dict[str, MemberTable] = {}
        self._members_by_instance: dict[str, Member] = {}
        self._digest: int | None = None
        self._was_read_back = False
        self._needs_write = asyncio.Event()
        self._supervisor = Supervisor("fleet members")
        self.on_first_write: Callable[[], None] = lambda: None
        self.on_own_history: Callable[[Member | None], None] = lambda record: None
        self._has_written = False
        self.count_write: Callable[[], None] = lambda: None
        self.on_own_change: Callable[[Member], None] = lambda member: None
        self.on_member_change: Callable[[Member], None] = lambda member: None

    async def start(self) -> None:
        """Start writing the record of this node to the directory."""
        self._supervisor.run_loop("write", self._write_on_change)

    async def close(self) -> None:
        """Stop writing to the directory."""
        if self._rewrite_timer is not None:
            self._rewrite_timer.cancel()
        await self._supervisor.close()

    def members(self, service: str) -> list[Member]:
        """Return the members of `service` that accept work."""
        table = self._tables_by_service.get(service)
        return table.usable() if table is not None else []

    def all_members(self) -> list[Member]:
        """Return the records of all known members, whatever their state."""
        return list(self._members_by_instance.values())

    def digest(self) -> int:
        """Return a 32-bit hash that is equal on nodes that hold the same records."""
        if self._digest is None:
            rows = sorted(
                (member.instance, member.incarnation, int(member.state))
                for member in self._members_by_instance.values()
            )
            # 32 bits suffice and halve the size of the digest in a ping.
            self._digest = xxh3_64_intdigest(_encoder.encode(rows)) & 0xFFFF_FFFF
        return self._digest

    def announce(self, state: MemberState, reason: str) -> None:
        """Change the state of this node and publish it immediately."""
        if self.own.state is state and self.own.instance in self._members_by_instance:
            return
        self._update_own(state, reason)

    def announce_departure(self, departure: Departure) -> None:
        """Publish that the backend server is leaving, for other nodes and the next process."""
        if self.own.departure == departure:
            return
        self.own = replace(self.own, departure=departure)
        self._update_own(MemberState.LEAVING, "the backend server leaves")

    def handle_restoration(self) -> None:
        """Write the record of this node again, because a restored store may have lost it.

        Notes
        -----
        Every node does so, whether or not it reads the directory in the near future.
        """
        if self.own.instance not in self._members_by_instance:
            return
        if self._rewrite_timer is not None:
            self._rewrite_timer.cancel()
        max_delay = REWRITE_SECONDS_PER_MEMBER * len(self._members_by_instance)
        self._rewrite_timer = asyncio.get_running_loop().call_later(
            self._random.uniform(0.0, max_delay), self._needs_write.set
        )

    def apply_record(self, record: KeyedRecord) -> bool:
        """Apply a record of the directory; see `RecordConsumer.apply_record`."""
        if record.value is None:
            return self._apply_deletion(record.key)
        try:
            member = decode_payload(_decoder, record.value, "member record")
            if member.instance != record.key:
                raise WireError(f"record of {member.instance!r} under the key of another instance")
        except WireError as error:
            self._reject(record.key, "store", str(error))
            return False
        return self.apply(member, "store")

    def apply_snapshot(self, records: tuple[KeyedRecord, ...]) -> bool:
        """Apply the whole directory, and write the record of this node again if it is missing."""
        had_updates = super().apply_snapshot(records)
        own = self._members_by_instance.get(self.own.instance)
        if own is not None and self.own.instance not in {record.key for record in records}:
            self._needs_write.set()
        self.on_own_history(None)
        return had_updates

    def apply(self, member: Member, source: str) -> bool:
        """Apply the record of another member if it is newer; return whether it was.

        Notes
        -----
        A record without a port is rejected, because no node that can be called has written it.
        """
        if not member.address.port:
            self._reject(member.instance, source, f"address {member.address} has no port")
            return False
        if member.instance == self.own.instance:
            self._reconcile_own(member)
            return False
        previous = self._members_by_instance.get(member.instance)
        if previous is not None and not member.supersedes(previous):
            return False
        if previous is not None and member.departure is None:
            # A node that has just started does not know yet what its last process acknowledged.
            member = replace(member, departure=previous.departure)
        self._update_tables(member, previous)
        self._log.record_state_change(
            "member-changed",
            member=member.instance,
            service=member.service,
            state=member.state.name.lower(),
            incarnation=member.incarnation,
            source=source,
        )
        self.on_member_change(member)
        return True

    def _reject(self, instance: str, source: str, detail: str) -> None:
        self._log.record_rejection(
            "member-record-rejected", key=instance, source=source, detail=detail
        )

    def _update_tables(self, member: Member, previous: Member | None) -> None:
        if previous is not None and previous.service != member.service:
            self._tables_by_service[previous.service].remove(previous.instance)
        table = self._tables_by_service.get(member.service)
        if table is None:
            table = MemberTable(member.service, self._clock)
            self._tables_by_service[member.service] = table
        table.merge(member)
        self._members_by_instance[member.instance] = member
        self._digest = None

    def _reconcile_own(self, received: Member) -> None:
        """Ensure that the current record of this node is the newest one in the directory.

        Notes
        -----
        An earlier process of this node may have used a larger incarnation.  An append whose answer
        was lost may be stored seconds later, after a newer record.
        """
        self.on_own_history(received)
        if received.departure is not None and self.own.departure is None:
            self.own = replace(self.own, departure=received.departure)
        if received == self.own:
            self._was_read_back = True
        elif self._was_read_back and self.own.supersedes(received):
            self._needs_write.set()
        if received.supersedes(self.own) and received != self.own:
            own = replace(self.own, incarnation=received.incarnation)
            self.own = own
            if own.instance in self._members_by_instance:
                self._update_own(
                    own.state, "an earlier record of this node has a larger incarnation"
                )

    def _apply_deletion(self, instance: str) -> bool:
        """Remove a member whose record was deleted, and return whether it was known."""
        if instance == self.own.instance:
            if instance in self._members_by_instance:
                self._needs_write.set()
            return False
        member = self._members_by_instance.pop(instance, None)
        if member is None:
            return False
        self._tables_by_service[member.service].remove(instance)
        self._digest = None
        self._log.record_state_change("member-dropped", member=instance)
        return True

    def _update_own(self, state: MemberState, reason: str) -> None:
        previous = self._members_by_instance.get(self.own.instance)
        now = int(self._clock.wall() * MICROSECONDS_PER_SECOND)
        incarnation = max(now, self.own.incarnation + 1)
        self.own = replace(self.own, state=state, incarnation=incarnation)
        self._was_read_back = False
        self._update_tables(self.own, previous)
        self._log.record_state_change("own-state", state=state.name.lower(), reason=reason)
        self._needs_write.set()
        self.on_own_change(self.own)

    async def _write_on_change(self) -> None:
        backoff = StoreBackoff(self._random)
        while True:
            await self._needs_write.wait()
            self._needs_write.clear()
            own = self.own
            self.count_write()
            try:
                era = await self._stream.put(KeyedRecord(own.instance, _encoder.encode(own)))
                self._store_era.observe(era, "store")
                backoff.reset()
                if not self._has_written:
                    self._has_written = True
                    self.on_first_write()
            except StoreError as error:
                self._log.record_state_change("own-record-unwritten", detail=str(error))
                self._needs_write.set()
                await backoff.wait()
