"""Tests of a store that is restored from a copy and so loses what it had acknowledged."""

import asyncio
import random

from hypothesis import given
from hypothesis import strategies as st

from apricotwalk.border import HistoryLostError, KeyedRecord
from apricotwalk.core import ManualClock
from apricotwalk.fleet import Freshness, StoreEra, StreamFollower
from apricotwalk.fleet._reading_schedule import NextRead
from apricotwalk.membership import MemberState
from tests.mesh_fakes import FakeStream, new_configuration, new_route
from tests.mesh_harness import DISPATCH, MENU, running_mesh
from tests.test_fleet import new_discarding_log, new_holder, new_members

MENU_ROUTE = new_route("menu", "menu-svc")
WAIT_SECONDS = 10.0


class ImmediateSchedule:
    """Schedule without pauses; a read returns at once."""

    def next_read(self, had_records, had_updates):
        return NextRead(0.0, 0.0)

    def is_long_poller(self):
        return True


def new_follower(stream, holder):
    log = new_discarding_log()
    return StreamFollower(
        "c",
        stream,
        holder,
        log,
        random.Random(1),
        ImmediateSchedule(),
        StoreEra(log),
        Freshness(ManualClock(), 0.0),
    )


async def read(follower):
    """Read once, and once more if the history was lost."""
    try:
        await follower._read_once()
    except HistoryLostError:
        follower._offset = None
        await follower._read_once()


def test_version_stored_again_below_the_offset_of_a_reader_is_not_missed(run):
    async def body():
        stream = FakeStream()
        holder = new_holder(*(new_configuration(n, MENU_ROUTE) for n in (1, 2, 3)))
        follower = new_follower(stream, holder)
        stream.add(KeyedRecord("config", b"1"))
        stream.add(KeyedRecord("config", b"2"))
        await read(follower)
        stream.restore(1)
        stream.add(KeyedRecord("config", b"3"))
        stream.add(KeyedRecord("other", b""))
        await read(follower)
        assert holder.version == 3

    run(body())


OPERATIONS = st.lists(
    st.one_of(st.just("publish"), st.just("write other"), st.just("read"), st.integers(0, 5)),
    max_size=40,
)


@given(OPERATIONS)
def test_reader_follows_the_newest_version_through_any_restorations(operations):
    async def body():
        stream = FakeStream()
        holder = new_holder(*(new_configuration(n, MENU_ROUTE) for n in range(1, 41)))
        follower = new_follower(stream, holder)
        newest = 0
        for operation in operations:
            if operation == "publish":
                newest += 1
                stream.add(KeyedRecord("config", str(newest).encode()))
            elif operation == "write other":
                stream.add(KeyedRecord("other", b"x"))
            elif operation == "read":
                await read(follower)
                assert holder.version == newest
            else:
                stream.restore(operation)
                # The operator stores its newest version again.
                if newest:
                    stream.add(KeyedRecord("config", str(newest).encode()))

    asyncio.run(body())


def test_older_version_in_a_restored_store_does_not_replace_the_one_in_force(run):
    async def body():
        stream = FakeStream()
        holder = new_holder(*(new_configuration(n, MENU_ROUTE) for n in (1, 2)))
        follower = new_follower(stream, holder)
        stream.add(KeyedRecord("config", b"1"))
        stream.add(KeyedRecord("config", b"2"))
        await read(follower)
        stream.restore(1)
        await read(follower)
        assert holder.version == 2

    run(body())


def test_own_record_is_written_again_although_it_was_never_read_back(run):
    async def body():
        stream = FakeStream()
        members = new_members(stream=stream)
        await members.start()
        members.announce(MemberState.ALIVE, "test")
        async with asyncio.timeout(WAIT_SECONDS):
            while not stream.records:
                await asyncio.sleep(0.01)
            stream.restore(0)
            members.handle_restoration()
            while not stream.records:
                await asyncio.sleep(0.01)
        await members.close()

    run(body())


def test_era_is_a_restoration_only_after_an_earlier_one_was_known():
    era, restorations = StoreEra(new_discarding_log()), []
    era.on_restoration = lambda: restorations.append(era.value)
    for observed in (0, 3, 3, 2, 4, 0, 7):
        era.observe(observed, "store")
    assert restorations == [4, 7]


def test_nodes_write_their_records_again_and_keep_the_lost_version(run):
    async def body():
        members = [(f"m{i}", "menu-svc") for i in range(7)]
        async with running_mesh(*members, ("d1", "dispatch-svc")) as mesh:
            mesh.store.publish(new_configuration(2, MENU, DISPATCH))
            async with asyncio.timeout(WAIT_SECONDS):
                while {node.configuration.version for node in mesh.nodes.values()} != {2}:
                    await asyncio.sleep(0.01)
                mesh.store.restore(1)
                # A node that starts now finds the older version in the store.
                late = await mesh.add("m9", "menu-svc")
                while late.configuration.version != 2:
                    await asyncio.sleep(0.01)
                while {record.key for record in mesh.store.members.records} != set(mesh.nodes):
                    await asyncio.sleep(0.01)
            assert {node.configuration.version for node in mesh.nodes.values()} == {2}

    run(body())
