"""Members, configuration and following of the store in a mesh."""

import asyncio
import random

from msgspec.structs import replace

from apricotwalk.border import KeyedRecord
from apricotwalk.core import ManualClock
from apricotwalk.fleet import (
    ConfigurationHolder,
    FleetMembers,
    ReadingSchedule,
    StreamFollower,
)
from apricotwalk.fleet._members import _encoder
from apricotwalk.membership import Member, MemberState
from apricotwalk.settings import Address
from apricotwalk.telemetry import DecisionLog
from tests.mesh_fakes import FakeStream, new_configuration, new_route


def quiet_log():
    return DecisionLog("n", "z", ManualClock(), descriptor=-1)


def member_of(instance, incarnation=1, service="menu", state=MemberState.ALIVE):
    return Member(instance, service, "z", "r", Address("127.0.0.1", 7), incarnation, state)


def members_of(instance="own", stream=None, clock=None):
    own = member_of(instance, 10, state=MemberState.DEAD)
    return FleetMembers(
        own, stream or FakeStream(), quiet_log(), clock or ManualClock(), random.Random(1)
    )


def test_newest_record_of_a_member_is_kept_in_any_order():
    members = members_of()
    members.apply(member_of("a", 5), "store")
    members.apply(member_of("a", 4, state=MemberState.LEAVING), "peer")
    assert [m.incarnation for m in members.members("menu")] == [5]
    members.apply(member_of("a", 5, state=MemberState.LEAVING), "peer")
    assert members.members("menu") == []
    members.apply(member_of("a", 6, service="roster"), "store")
    assert members.members("menu") == []
    assert len(members.members("roster")) == 1


def test_unreadable_member_records_are_ignored():
    members = members_of()
    for value in (b"", b"\xc1", b"text", _encoder.encode([1, 2, 3])):
        members.apply_record(KeyedRecord("a", value))
    assert members.all_members() == []


def test_two_nodes_with_the_same_records_have_the_same_digest():
    first, second = members_of(), members_of()
    for members, order in ((first, ("a", "b")), (second, ("b", "a"))):
        for instance in order:
            members.apply(member_of(instance), "peer")
    assert first.digest() == second.digest()
    second.apply(member_of("c"), "peer")
    assert first.digest() != second.digest()


def test_node_whose_clock_was_set_back_exceeds_its_earlier_incarnation():
    members = members_of()
    members.announce(MemberState.ALIVE, "test")
    members.apply(replace(members.own, incarnation=10**18, state=MemberState.LEAVING), "store")
    assert members.own.incarnation > 10**18
    assert members.own.state is MemberState.ALIVE
    assert members.members("menu") == [members.own]


def test_own_record_that_was_lost_or_superseded_is_written_again(run):
    async def body():
        stream = FakeStream()
        members = members_of(stream=stream)
        stream.is_down = True
        await members.start()
        members.announce(MemberState.ALIVE, "test")
        while not stream.put_count:
            await asyncio.sleep(0.01)
        stream.is_down = False
        await written(stream, 1)
        first = stream.records[0]
        members.apply_record(first)
        # An append whose answer was lost is stored behind the newest record.
        late = replace(members.own, incarnation=members.own.incarnation - 1)
        members.apply_record(KeyedRecord("own", _encoder.encode(late)))
        await written(stream, 2)
        # The store has forgotten this node.
        members.apply_snapshot(())
        await written(stream, 3)
        assert {record.value for record in stream.records} == {first.value}
        await members.close()

    async def written(stream, count):
        while len(stream.records) < count:
            await asyncio.sleep(0.01)

    run(body())


def holder_of(*configurations):
    by_value = {str(each.version).encode(): each for each in configurations}
    return ConfigurationHolder(
        lambda key, value: by_value.get(value) if key == "config" else None,
        quiet_log(),
    )


def test_configuration_version_is_replaced_only_by_a_newer_one():
    routes = new_route("menu", "menu-svc")
    holder = holder_of(*(new_configuration(version, routes) for version in (3, 7, 9)))
    for value, version in ((b"7", 7), (b"3", 7), (b"7", 7), (b"9", 9), (b"7", 9)):
        holder.apply_record(KeyedRecord("config", value))
        assert holder.version == version
    holder.apply_record(KeyedRecord("config", None))
    holder.apply_record(KeyedRecord("other", b"9"))
    assert holder.version == 9


def test_stream_follower_resumes_after_an_outage_and_after_lost_history(run):
    async def body():
        stream = FakeStream()
        versions = [new_configuration(n, new_route("menu", "menu-svc")) for n in range(1, 6)]
        holder = holder_of(*versions)
        schedule = ReadingSchedule("own", list, 1.0, 0.2, random.Random(1))
        follower = StreamFollower("c", stream, holder, quiet_log(), random.Random(1), schedule)
        stream.add(KeyedRecord("config", b"1"))
        await follower.start()
        await in_force(holder, 1)
        stream.add(KeyedRecord("config", b"2"))
        await in_force(holder, 2)
        stream.set_unavailable()
        while follower.is_connected:
            await asyncio.sleep(0.01)
        stream.add(KeyedRecord("config", b"3"))
        stream.first_offset = 3
        stream.is_down = False
        await in_force(holder, 3)
        stream.add(KeyedRecord("config", b"4"))
        await in_force(holder, 4)
        assert follower.is_connected
        await follower.close()

    async def in_force(holder, version):
        while holder.version < version:
            await asyncio.sleep(0.01)

    run(body())
