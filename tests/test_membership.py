"""Tests of membership: groups, watches, lookup and the peer sample."""

import asyncio
import random
from contextlib import asynccontextmanager

import msgspec
import pytest

from apricotwalk.control import ControlKind, ControlSocket, KeyRing
from apricotwalk.core import LogServiceError, ManualClock, SystemClock, WireError
from apricotwalk.logservice import LogPage, LogRecord, LogService
from apricotwalk.membership import (
    Directory,
    Member,
    MemberState,
    PartialMembership,
    PeerSample,
    Piggyback,
)
from apricotwalk.membership._changes import ChangeQueue
from apricotwalk.membership._group import Group
from apricotwalk.membership._lookup import Lookup
from apricotwalk.membership._messages import ChangesMessage, Peer, WatchAnswerMessage
from apricotwalk.membership._own_record import OwnRecord
from apricotwalk.membership._table import MemberTable
from apricotwalk.membership._watch import Watch
from apricotwalk.membership._watchers import Watchers
from apricotwalk.settings import Address
from apricotwalk.telemetry import EventLog, HybridClock
from apricotwalk_lab.processes import free_ports

WAIT_SECONDS = 30


def make_member(name, incarnation=1, state=MemberState.ALIVE, port=1, service="menu"):
    address = Address("127.0.0.1", port)
    return Member(name, service, "accra-a", "ghana", address, incarnation, state)


class MemoryDirectoryLog(LogService):
    """Log service in memory that can be made unavailable."""

    def __init__(self) -> None:
        self.streams: dict[str, list[bytes]] = {}
        self.operations: list[str] = []
        self.is_down = False

    async def append(self, stream, values):
        if self.is_down:
            raise LogServiceError("down")
        self.operations.append(f"append {stream}")
        self.streams.setdefault(stream, []).extend(values)
        return 0

    async def read(self, stream, from_offset, limit=1000):
        if self.is_down:
            raise LogServiceError("down")
        self.operations.append(f"read {stream}")
        values = self.streams.get(stream, [])
        records = [LogRecord(i, msgspec.Raw(v)) for i, v in enumerate(values)][from_offset:]
        return LogPage(0, len(values), records)


class DisconnectableSocket(ControlSocket):
    """Control socket that can be disconnected from the network."""

    is_disconnected = False

    def datagram_received(self, data, addr):
        if not self.is_disconnected:
            super().datagram_received(data, addr)

    def send(self, address, kind, message):
        if not self.is_disconnected:
            super().send(address, kind, message)


class LocalCluster:
    """Nodes in this process that communicate over loopback."""

    def __init__(self, log, count, detects_failures, seeds=1):
        addresses = [Address("127.0.0.1", port) for port in free_ports(count)]
        clock = SystemClock()
        self.sockets, self.nodes = [], []
        for index, address in enumerate(addresses):
            name = f"node-{index}"
            events = EventLog(name, "accra-a", HybridClock(clock))
            own = Member(name, "", "accra-a", "ghana", address, 100)
            socket = DisconnectableSocket(address, name, own.incarnation, KeyRing(), events)
            node = PartialMembership(
                own,
                socket,
                Directory(log),
                addresses[:seeds],
                [],
                86_400.0,
                events,
                random.Random(index),
                clock,
                detects_failures,
            )
            self.sockets.append(socket)
            self.nodes.append(node)

    def used_instances(self, index, service):
        return {member.instance for member in self.nodes[index].members(service)}

    async def wait_until(self, is_done):
        async with asyncio.timeout(WAIT_SECONDS):
            while not is_done():
                await asyncio.sleep(0.02)


@asynccontextmanager
async def running_cluster(log, services, detects_failures=True, seeds=1):
    cluster = LocalCluster(log, len(services), detects_failures, seeds)
    try:
        for socket, node, service in zip(cluster.sockets, cluster.nodes, services, strict=True):
            await socket.start()
            await node.start()
            node.announce(service)
        yield cluster
    finally:
        for socket, node in zip(cluster.sockets, cluster.nodes, strict=True):
            await node.close()
            await socket.close()


@pytest.fixture
def log():
    return MemoryDirectoryLog()


SERVICES = ["menu", "menu", "menu", "diet"]
MENU_INSTANCES = {"node-0", "node-1", "node-2"}


def test_caller_finds_the_members_of_a_service(run, log):
    async def body():
        async with running_cluster(log, SERVICES) as cluster:
            await cluster.wait_until(lambda: cluster.used_instances(3, "menu") == MENU_INSTANCES)
            await cluster.wait_until(lambda: cluster.used_instances(0, "menu") == MENU_INSTANCES)
            assert cluster.nodes[0].known_count() == 3

    run(body())


def test_node_appends_its_record_before_it_reads_the_member_list(run, log):
    async def body():
        async with running_cluster(log, ["menu"]) as cluster:
            await cluster.wait_until(lambda: len(log.operations) >= 2)
            assert log.operations[:2] == ["append members-menu", "read members-menu"]

    run(body())


def test_members_are_found_while_the_log_is_down(run, log):
    async def body():
        log.is_down = True
        async with running_cluster(log, SERVICES) as cluster:
            found = await cluster.nodes[3].find("menu", WAIT_SECONDS)
            assert found
            await cluster.wait_until(lambda: cluster.used_instances(3, "menu") == MENU_INSTANCES)

    run(body())


def test_cut_off_member_goes_out_of_use_and_comes_back(run, log):
    async def body():
        async with running_cluster(log, SERVICES) as cluster:
            await cluster.wait_until(lambda: cluster.used_instances(3, "menu") == MENU_INSTANCES)
            before = cluster.nodes[2]._own.member.incarnation
            cluster.sockets[2].is_disconnected = True
            await cluster.wait_until(
                lambda: cluster.used_instances(3, "menu") == {"node-0", "node-1"}
            )
            await cluster.wait_until(
                lambda: cluster.used_instances(0, "menu") == {"node-0", "node-1"}
            )
            cluster.sockets[2].is_disconnected = False
            await cluster.wait_until(lambda: cluster.used_instances(0, "menu") == MENU_INSTANCES)
            await cluster.wait_until(lambda: cluster.used_instances(3, "menu") == MENU_INSTANCES)
            assert cluster.nodes[2]._own.member.incarnation > before

    run(body())


class RecordingSocket(ControlSocket):
    """Control socket that records messages instead of sending them."""

    def __init__(self) -> None:
        self.sent: list[tuple[Address, msgspec.Struct]] = []

    def send(self, address, kind, message):
        self.sent.append((address, message))


def test_group_is_notified_at_once_of_a_suspected_member(run):
    events = EventLog("own", "accra-a", HybridClock(ManualClock()))
    own, socket = OwnRecord(make_member("own")), RecordingSocket()
    group = Group(own, socket, events, random.Random(1), SystemClock(), True, lambda member: None)
    group.table = MemberTable("menu", SystemClock())
    members = [make_member(name, port=port) for port, name in enumerate("abcd", start=2)]
    for member in members:
        group.apply_update(member)
    run(group._probe(members[0]))
    suspected = msgspec.structs.replace(members[0], state=MemberState.SUSPECTED)
    notified_ports = [a.port for a, m in socket.sent if m == ChangesMessage([suspected])]
    assert {3, 4, 5} <= set(notified_ports)


@pytest.mark.parametrize("listed", [["a"], ["a", "b"]])
def test_caller_sends_a_member_the_records_missing_from_its_answer(log, listed):
    socket = RecordingSocket()
    watch = Watch("menu", socket, Directory(log), list, ManualClock(1.0), random.Random(1))
    members = [make_member(name) for name in ("a", "b")]
    watch.add_members(members)
    source = Address("127.0.0.1", 9)
    answer = WatchAnswerMessage("menu", 7, 5000, [m for m in members if m.instance in listed])
    watch.handle_answer(answer, source)
    missing = [m for m in members if m.instance not in listed]
    assert socket.sent == ([(source, ChangesMessage(missing))] if missing else [])


def append_dead_members(log, count):
    """Append records of stopped nodes, on whose ports no process listens."""
    dead = [make_member(f"dead-{index}", port=1 + index) for index in range(count)]
    log.streams.setdefault("members-menu", []).extend(map(msgspec.json.encode, dead))


def test_lookup_queries_members_from_newest_to_oldest_record(run, log):
    append_dead_members(log, 100)
    peer = Address("127.0.0.1", 9999)
    lookup = Lookup("menu", Directory(log), lambda: [peer], ManualClock(1.0))
    batches = [run(lookup.next_batch())]
    while lookup.has_unqueried:
        batches.append(run(lookup.next_batch()))
    queried_ports = [address.port for batch in batches for address in batch]
    assert queried_ports == list(range(100, 0, -1))
    assert len(batches) <= 6
    assert run(lookup.next_batch()) == [peer]


@pytest.mark.parametrize("service", ["menu", ""])
def test_members_are_found_behind_records_of_many_dead_members(run, log, service):
    async def body():
        async with running_cluster(log, ["menu", ""], seeds=0) as cluster:
            await cluster.wait_until(lambda: "read members-menu" in log.operations)
            append_dead_members(log, 40)
            if service:
                cluster.nodes[1].announce(service)
            await cluster.wait_until(lambda: "node-0" in cluster.used_instances(1, "menu"))

    run(body())


def test_called_service_is_found_through_own_group_while_the_log_is_down(run, log):
    async def body():
        async with running_cluster(log, ["menu", "menu", "diet"]) as cluster:
            await cluster.wait_until(
                lambda: cluster.used_instances(1, "menu") == {"node-0", "node-1"}
            )
            await cluster.wait_until(lambda: cluster.used_instances(0, "diet") == {"node-2"})
            log.is_down = True
            caller = cluster.nodes[1]
            caller._seeds = []
            caller.sample.choose = lambda count: []
            found = await caller.find("diet", WAIT_SECONDS)
            assert [member.instance for member in found] == ["node-2"]

    run(body())


def test_leaving_member_is_announced_to_group_and_callers(run, log):
    async def body():
        async with running_cluster(log, SERVICES) as cluster:
            await cluster.wait_until(lambda: cluster.used_instances(3, "menu") == MENU_INSTANCES)
            cluster.nodes[1].leave()
            for index in (0, 1, 3):
                await cluster.wait_until(
                    lambda i=index: "node-1" not in cluster.used_instances(i, "menu")
                )

    run(body())


def test_member_leaves_when_its_server_is_lost_and_rejoins(run, log):
    async def body():
        async with running_cluster(log, SERVICES) as cluster:
            await cluster.wait_until(lambda: cluster.used_instances(3, "menu") == MENU_INSTANCES)
            await cluster.wait_until(lambda: cluster.used_instances(1, "menu") == MENU_INSTANCES)
            cluster.nodes[1].announce("")
            assert cluster.used_instances(1, "menu") == {"node-0", "node-2"}
            await cluster.wait_until(lambda: "node-1" not in cluster.used_instances(3, "menu"))
            cluster.nodes[1].announce("menu")
            await cluster.wait_until(lambda: cluster.used_instances(3, "menu") == MENU_INSTANCES)
            await cluster.wait_until(lambda: cluster.used_instances(1, "menu") == MENU_INSTANCES)

    run(body())


def test_piggyback_reaches_the_group_and_malformed_content_is_counted(run, log):
    class RecordingPiggyback(Piggyback):
        def __init__(self):
            self.received = []

        def outgoing(self):
            return b"key-7"

        def incoming(self, content):
            if content != b"key-7":
                raise WireError("malformed suspects")
            self.received.append(content)

    async def body():
        async with running_cluster(log, ["menu", "menu"]) as cluster:
            piggybacks = [RecordingPiggyback(), RecordingPiggyback()]
            for node, piggyback in zip(cluster.nodes, piggybacks, strict=True):
                node.add_piggyback(piggyback)
            await cluster.wait_until(lambda: all(piggyback.received for piggyback in piggybacks))
            piggybacks[0].outgoing = lambda: b"rubbish"
            rejected = cluster.sockets[1].rejected_by_cause
            await cluster.wait_until(lambda: rejected["malformed"] > 0)

    run(body())


def test_malformed_message_is_counted(run, log):
    async def body():
        async with running_cluster(log, ["menu", "menu"]) as cluster:
            rejected = cluster.sockets[0].rejected_by_cause
            malformed = ChangesMessage([("not", "a", "member")])
            address = cluster.nodes[0]._own.member.address
            cluster.sockets[1].send(address, ControlKind.MEMBERSHIP, malformed)
            await cluster.wait_until(lambda: rejected["malformed"] == 1)

    run(body())


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def table(clock):
    return MemberTable("menu", clock)


@pytest.mark.parametrize(
    ("held", "heard", "is_applied"),
    [
        ((1, MemberState.ALIVE), (1, MemberState.SUSPECTED), True),
        ((1, MemberState.SUSPECTED), (1, MemberState.ALIVE), False),
        ((1, MemberState.DEAD), (2, MemberState.ALIVE), True),
        ((2, MemberState.ALIVE), (1, MemberState.DEAD), False),
        ((1, MemberState.ALIVE), (1, MemberState.ALIVE), False),
    ],
)
def test_merge_keeps_the_newest_record(table, held, heard, is_applied):
    table.merge(make_member("a", *held))
    assert table.merge(make_member("a", *heard)) is is_applied


def test_suspected_member_is_used_only_if_there_is_no_other(table):
    table.merge(make_member("a", state=MemberState.SUSPECTED))
    assert [m.instance for m in table.usable()] == ["a"]
    table.merge(make_member("b"))
    assert [m.instance for m in table.usable()] == ["b"]


def test_unreachable_member_is_avoided_until_its_mark_expires(table, clock):
    table.merge(make_member("a"))
    table.merge(make_member("b"))
    table.mark_unreachable("a")
    assert [m.instance for m in table.usable()] == ["b"]
    clock.advance(3.1)
    assert len(table.usable()) == 2


def test_digest_depends_on_members_and_not_on_their_order(clock):
    one, other = MemberTable("menu", clock), MemberTable("menu", clock)
    for name in "abc":
        one.merge(make_member(name))
    for name in "cab":
        other.merge(make_member(name))
    assert one.digest() == other.digest()
    other.merge(make_member("a", 2))
    assert one.digest() != other.digest()


def test_hundred_replacements_leave_bounded_state(table, clock):
    for index in range(100):
        table.merge(make_member(f"node-{index}"))
        table.merge(make_member(f"node-{index}", state=MemberState.DEAD))
        clock.advance(1)
    table.expire_tombstones()
    assert len(table.members_by_instance) == 64
    clock.advance(7201)
    table.expire_tombstones()
    assert table.members_by_instance == {}


def test_record_of_another_service_is_not_merged(table):
    assert not table.merge(make_member("a", service="diet"))


def test_own_record_refutes_a_suspicion_and_ignores_an_old_one():
    own = OwnRecord(make_member("a", 5))
    assert not own.refute(make_member("a", 4, MemberState.DEAD))
    assert own.refute(make_member("a", 5, MemberState.SUSPECTED))
    assert (own.member.incarnation, own.member.state) == (6, MemberState.ALIVE)
    own.leave()
    assert own.refute(make_member("a", 9, MemberState.DEAD))
    assert (own.member.incarnation, own.member.state) == (10, MemberState.LEAVING)


def test_changes_are_sent_a_bounded_number_of_times():
    queue = ChangeQueue()
    queue.add(make_member("a"), group_size=7)
    sent = sum(len(queue.next_batch()) for _ in range(100))
    assert sent == 9


def test_interval_grows_with_the_number_of_watchers(clock):
    watchers = Watchers(clock)
    intervals = [watchers.add(Address("127.0.0.1", port)) for port in range(1, 2001)]
    assert intervals[0] == 5.0
    assert intervals[-1] == pytest.approx(1999 / 20)
    clock.advance(16)
    assert Address("127.0.0.1", 1) not in watchers.current()


def test_sample_is_bounded_and_keeps_peers_of_other_regions():
    def peer(port, region):
        return Peer(Address("127.0.0.1", port), region)

    sample = PeerSample(peer(1, "ghana"), random.Random(3))
    for port in range(2, 5):
        sample.add(peer(port, "lisbon"))
    for port in range(5, 100):
        sample.add(peer(port, "ghana"))
    sample.add(peer(1, "ghana"))
    assert len(sample) == 20
    chosen = [sample.choose(1)[0].port for _ in range(300)]
    remote = sum(port < 5 for port in chosen)
    assert 20 < remote < 120
    assert 1 not in chosen
