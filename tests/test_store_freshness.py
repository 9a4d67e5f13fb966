"""Tests of nodes that learn from peers, without a call to the store, that they miss nothing."""

import asyncio
import random

from apricotwalk.core import ManualClock
from apricotwalk.fleet import Freshness, ReadingSchedule, StoreEra, StreamFollower
from tests.mesh_fakes import FakeStream, new_configuration, new_route
from tests.mesh_harness import running_mesh
from tests.test_fleet import new_discarding_log, new_holder, new_member, new_members


def new_poller(stream, freshness, calls):
    """Return a follower that never long-polls and polls about every 0.5 s."""
    log = new_discarding_log()
    members = [new_member("own"), new_member("a")]
    schedule = ReadingSchedule("own", lambda: members, 1.0, 0.2, random.Random(1), 0)
    holder = new_holder(new_configuration(1, new_route("menu", "menu-svc")))
    return StreamFollower(
        "c",
        stream,
        holder,
        log,
        random.Random(1),
        schedule,
        StoreEra(log),
        freshness,
        0.0,
        calls.append,
    )


def test_age_is_that_of_the_newest_observation():
    clock = ManualClock()
    freshness = Freshness(clock, 1.0)
    assert freshness.age_ms is None
    assert not freshness.remaining_seconds
    freshness.observe(0.4)
    freshness.observe(5.0)
    assert freshness.age_ms == 400
    clock.advance(0.5)
    assert round(freshness.remaining_seconds, 6) == 0.1
    clock.advance(0.5)
    assert not freshness.remaining_seconds


def test_poll_is_postponed_while_peers_vouch_for_the_copy(run):
    async def body():
        clock = ManualClock()
        calls = []
        follower = new_poller(FakeStream(), Freshness(clock, 1.0), calls)
        await follower.start()
        await asyncio.sleep(2.0)  # the clock stands still, so the first answer stays fresh
        assert calls == ["newest"]
        clock.advance(5.0)
        async with asyncio.timeout(3.0):
            while len(calls) < 2:
                await asyncio.sleep(0.01)
        await follower.close()

    run(body())


def test_requested_read_is_made_although_the_copy_is_fresh(run):
    async def body():
        calls = []
        follower = new_poller(FakeStream(), Freshness(ManualClock(), 1.0), calls)
        await follower.start()
        await asyncio.sleep(0.05)
        follower.request_read()
        async with asyncio.timeout(0.3):
            while len(calls) < 2:
                await asyncio.sleep(0.01)
        await follower.close()

    run(body())


def test_first_read_waits_for_a_request_within_its_delay(run):
    async def body():
        for delay, is_requested, expected in ((0.3, False, 0), (0.3, True, 1), (0.0, False, 1)):
            calls = []
            follower = new_poller(FakeStream(), Freshness(ManualClock(), 1.0), calls)
            follower._first_read_delay_seconds = delay
            await follower.start()
            await asyncio.sleep(0.05)
            if is_requested:
                follower.request_read()
            await asyncio.sleep(0.05)
            assert len(calls) == expected
            await asyncio.sleep(0.3)
            assert len(calls) == 1
            await follower.close()

    run(body())


def test_first_write_of_the_own_record_is_reported_once(run):
    async def body():
        stream = FakeStream()
        members = new_members(stream=stream)
        written = []
        members.on_first_write = lambda: written.append(len(stream.records))
        await members.start()
        for state in (0, 2, 0):
            members.announce(type(members.own.state)(state), "test")
            await asyncio.sleep(0.02)
        assert written == [1]
        await members.close()

    run(body())


def test_node_that_becomes_a_long_poller_while_its_copy_is_fresh_starts_to_long_poll(run):
    """Its peers keep the copy fresh, so it would otherwise never read again."""

    async def body():
        clock, calls, members = ManualClock(), [], []
        log = new_discarding_log()
        schedule = ReadingSchedule("own", lambda: members, 0.2, 0.2, random.Random(1), 3)
        holder = new_holder(new_configuration(1, new_route("menu", "menu-svc")))
        follower = StreamFollower(
            "c",
            FakeStream(),
            holder,
            log,
            random.Random(1),
            schedule,
            StoreEra(log),
            Freshness(clock, 1.0),
            0.0,
            calls.append,
        )
        await follower.start()
        await asyncio.sleep(0.05)
        members += [new_member("own"), new_member("a")]
        async with asyncio.timeout(5.0):
            while len(calls) < 4:
                await asyncio.sleep(0.01)
        await follower.close()

    run(body())


def test_settled_fleet_reads_the_store_with_a_few_nodes_only(run):
    """A node that is told of the age of its copy by its peers makes no calls of its own."""

    async def body():
        services = ["menu-svc", "dispatch-svc"]
        members = [(f"n{number}", services[number % 2]) for number in range(9)]
        async with running_mesh(*members) as mesh:
            await asyncio.sleep(2.5)
            counts = dict.fromkeys(mesh.nodes, 0)
            for name, node in mesh.nodes.items():

                def count(stream, kind, name=name):
                    counts[name] += 1

                node.metrics.count_store_call = count
            await asyncio.sleep(3.0)
            assert sum(counts.values()) <= 3 * 3.0 / 1.2 + 6
            assert sum(count == 0 for count in counts.values()) >= 3

    run(body())


def test_node_without_the_newest_version_does_not_take_over_the_age_of_its_peer(run):
    async def body():
        async with running_mesh(("m1", "menu-svc")) as mesh:
            node = mesh.nodes["m1"]
            handler = node._peer_handler
            node._configuration_freshness._complete_at = float("-inf")
            digest = handler.gossip_digest()._replace(configuration_age_ms=5)
            handler.handle_gossip_digest(digest._replace(configuration_version=9), lambda _: True)
            assert node._configuration_freshness.age_ms is None
            handler.handle_gossip_digest(digest, lambda _: True)
            assert node._configuration_freshness.age_ms is not None

    run(body())
