"""Tests of the members and the configuration of a mesh, and of following the store's streams."""

import asyncio
import random

from msgspec.structs import replace

from apricotwalk.border import KeyedRecord
from apricotwalk.core import ManualClock, SystemClock
from apricotwalk.fleet import (
    ConfigurationHolder,
    FleetMembers,
    Freshness,
    ReadingSchedule,
    StoreEra,
    StreamFollower,
)
from apricotwalk.fleet._members import _encoder
from apricotwalk.membership import Member, MemberState
from apricotwalk.settings import Address
from apricotwalk.telemetry import DecisionLog
from tests.mesh_fakes import FakeStream, new_configuration, new_route


def new_discarding_log():
    return DecisionLog("n", "z", ManualClock(), descriptor=-1)


def new_member(instance, incarnation=1, service="menu", state=MemberState.ALIVE):
    return Member(instance, service, "z", "r", Address("127.0.0.1", 7), incarnation, state)


def new_members(instance="own", stream=None, clock=None):
    own = new_member(instance, 10, state=MemberState.DEAD)
    return FleetMembers(
        own,
        stream or FakeStream(),
        new_discarding_log(),
        clock or ManualClock(),
        random.Random(1),
        StoreEra(new_discarding_log()),
    )


def test_newest_record_of_a_member_is_kept_in_any_order():
    members = new_members()
    members.apply(new_member("a", 5), "store")
    members.apply(new_member("a", 4, state=MemberState.LEAVING), "peer")
    assert [m.incarnation for m in members.members("menu")] == [5]
    members.apply(new_member("a", 5, state=MemberState.LEAVING), "peer")
    assert members.members("menu") == []
    members.apply(new_member("a", 6, service="roster"), "store")
    assert members.members("menu") == []
    assert len(members.members("roster")) == 1


def test_unreadable_member_records_are_ignored():
    members = new_members()
    for value in (b"", b"\xc1", b"text", _encoder.encode([1, 2, 3])):
        members.apply_record(KeyedRecord("a", value))
    assert members.all_members() == []


def test_two_nodes_with_the_same_records_have_the_same_digest():
    first, second = new_members(), new_members()
    for members, order in ((first, ("a", "b")), (second, ("b", "a"))):
        for instance in order:
            members.apply(new_member(instance), "peer")
    assert first.digest() == second.digest()
    second.apply(new_member("c"), "peer")
    assert first.digest() != second.digest()


def test_node_whose_clock_was_set_back_exceeds_its_earlier_incarnation():
    members = new_members()
    members.announce(MemberState.ALIVE, "test")
    members.apply(replace(members.own, incarnation=10**18, state=MemberState.LEAVING), "store")
    assert members.own.incarnation > 10**18
    assert members.own.state is MemberState.ALIVE
    assert members.members("menu") == [members.own]


def test_own_record_that_was_lost_or_superseded_is_written_again(run):
    async def body():
        stream = FakeStream()
        members = new_members(stream=stream)
        stream.is_down = True
        await members.start()
        members.announce(MemberState.ALIVE, "test")
        while not stream.put_count:
            await asyncio.sleep(0.01)
        stream.is_down = False
        await wait_for_records(stream, 1)
        first = stream.records[0]
        members.apply_record(first)
        # An append whose response was lost is stored after the newest record.
        superseded = replace(members.own, incarnation=members.own.incarnation - 1)
        members.apply_record(KeyedRecord("own", _encoder.encode(superseded)))
        await wait_for_records(stream, 2)
        # The store has lost the record of this node.
        members.apply_snapshot(())
        await wait_for_records(stream, 3)
        assert {record.value for record in stream.records} == {first.value}
        await members.close()

    async def wait_for_records(stream, count):
        while len(stream.records) < count:
            await asyncio.sleep(0.01)

    run(body())


def new_holder(*configurations):
    by_value = {str(each.version).encode(): each for each in configurations}
    return ConfigurationHolder(
        lambda key, value: by_value.get(value) if key == "config" else None,
        new_discarding_log(),
    )


def test_configuration_version_is_replaced_only_by_a_newer_one():
    routes = new_route("menu", "menu-svc")
    holder = new_holder(*(new_configuration(version, routes) for version in (3, 7, 9)))
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
        holder = new_holder(*versions)
        schedule = ReadingSchedule(
            "own", lambda: [new_member("own")], 1.0, 0.2, random.Random(1), 3
        )
        follower = StreamFollower(
            "c",
            stream,
            holder,
            new_discarding_log(),
            random.Random(1),
            schedule,
            StoreEra(new_discarding_log()),
            Freshness(SystemClock(), 1.0),
        )
        stream.add(KeyedRecord("config", b"1"))
        await follower.start()
        await wait_for_version(holder, 1)
        stream.add(KeyedRecord("config", b"2"))
        await wait_for_version(holder, 2)
        stream.set_unavailable()
        while follower.is_connected:
            await asyncio.sleep(0.01)
        stream.add(KeyedRecord("config", b"3"))
        stream.first_offset = 3
        stream.is_down = False
        await wait_for_version(holder, 3)
        stream.add(KeyedRecord("config", b"4"))
        await wait_for_version(holder, 4)
        assert follower.is_connected
        await follower.close()

    async def wait_for_version(holder, version):
        while holder.version < version:
            await asyncio.sleep(0.01)

    run(body())
