"""Tests of how configuration is accepted, gossiped and restored from snapshots."""

import asyncio
import random

import msgspec
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from apricotwalk.configuration import ConfigurationFollower
from apricotwalk.configuration._messages import (
    ConfigurationRecord,
    PullMessage,
    RecordsMessage,
    SnapshotPartMessage,
    SnapshotPullMessage,
    VersionMessage,
)
from apricotwalk.control import ControlSocket, Sender
from apricotwalk.core import LogServiceError, ManualClock, WireError
from apricotwalk.logservice import LogPage, LogRecord, LogService
from apricotwalk.policy import Customer, Route, Template, encode_record
from apricotwalk.settings import Address
from apricotwalk.telemetry import EventLog, HybridClock

PEER = Sender("menu-2", Address("127.0.0.1", 2))
TEMPLATE = Template("school", 1, [Route("menu", "GET", "/", "menu", 0, deadline_ms=100.0)])


class MemoryLog(LogService):
    """Log service in memory whose records can expire and whose operations can fail."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []
        self.first = 0
        self.is_down = False
        self.loses_answers = False
        self.lose_every = 0
        self.appends = 0
        self.reads = 0

    async def append(self, stream, values):
        if self.is_down:
            raise LogServiceError("down")
        offset = len(self.records)
        for value in values:
            self.records.append(LogRecord(len(self.records), msgspec.Raw(value)))
        self.appends += 1
        if self.loses_answers or (self.lose_every and self.appends % self.lose_every == 0):
            raise LogServiceError("answer lost", True)
        return offset

    async def read(self, stream, from_offset, limit=1000):
        self.reads += 1
        if self.is_down:
            raise LogServiceError("down")
        start = max(from_offset, self.first)
        page = self.records[start : start + 2]
        return LogPage(self.first, len(self.records), page)

    def put(self, *records):
        for record in records:
            value = record if isinstance(record, bytes) else encode_record(record)
            self.records.append(LogRecord(len(self.records), msgspec.Raw(value)))


class FakeSocket(ControlSocket):
    """Control socket that records messages instead of sending them."""

    def __init__(self) -> None:
        self.sent: list[msgspec.Struct] = []

    def register(self, kind, handler):
        pass

    def send(self, address, kind, message):
        self.sent.append(message)


def make_follower(log, clock, is_monotonic=True, spreads=True):
    events = EventLog("menu-1", "accra-a", HybridClock(clock))
    return ConfigurationFollower(
        log,
        FakeSocket(),
        lambda count: [PEER.address] * min(count, 1),
        86_400.0,
        events,
        clock,
        random.Random(1),
        is_monotonic=is_monotonic,
        spreads=spreads,
    )


def exchange(follower, message):
    """Deliver a message to a follower and return the messages that it sends."""
    socket = follower.gossip._socket
    socket.sent.clear()
    follower.gossip.handle_control(msgspec.msgpack.encode(message), PEER)
    return list(socket.sent)


def exchange_until_quiet(asker, answerer):
    """Exchange the messages of two followers until neither sends any, at most 50 rounds."""
    messages = [asker.gossip._version_message(is_question=True)]
    sender, receiver = asker, answerer
    for _ in range(50):
        if not messages:
            return
        messages = [answer for message in messages for answer in exchange(receiver, message)]
        sender, receiver = receiver, sender


@pytest.fixture
def clock():
    return ManualClock(1000.0)


@pytest.fixture
def log():
    log = MemoryLog()
    log.put(TEMPLATE, Customer("accra", 1, "school", 1, {}, "a"))
    return log


@pytest.fixture
def follower(run, log, clock):
    follower = make_follower(log, clock)
    run(follower._read_to_end())
    return follower


def versions(follower):
    return {name: customer.version for name, customer in follower.state.customers_by_name.items()}


@pytest.mark.parametrize("spreads", [True, False])
def test_records_are_pushed_only_with_configuration_spread(run, log, clock, spreads):
    follower = make_follower(log, clock, spreads=spreads)
    run(follower._read_to_end())
    pushed = [each for each in follower.gossip._socket.sent if isinstance(each, RecordsMessage)]
    assert bool(pushed) is spreads
    assert bool(follower.gossip._socket.sent) is spreads


def test_unreadable_record_is_skipped_and_reported(run, log, follower):
    log.put(b'{"kind":"tenant"}', Customer("accra", 2, "school", 1))
    run(follower._read_to_end())
    assert versions(follower) == {"accra": 2}
    kinds = [event.kind for event in follower._events.newest()]
    assert kinds.count("record-unreadable") == 1


def test_new_node_pulls_records_from_a_peer_while_the_log_is_down(follower, clock):
    fresh = make_follower(MemoryLog(), clock)
    exchange_until_quiet(fresh, follower)
    assert versions(fresh) == {"accra": 1}
    assert fresh.state.next_offset == 2


def test_new_node_pulls_a_snapshot_where_records_are_gone(follower, clock):
    follower.gossip.history._records.clear()
    fresh = make_follower(MemoryLog(), clock)
    exchange_until_quiet(fresh, follower)
    assert versions(fresh) == {"accra": 1}


def test_record_from_a_peer_is_applied_in_order_only(log, follower):
    value = encode_record(Customer("accra", 2, "school", 1))
    message = RecordsMessage([ConfigurationRecord(3, value)], 4, 0, 0)
    assert exchange(follower, message) == [PullMessage(2)]
    assert versions(follower) == {"accra": 1}
    exchange(follower, RecordsMessage([ConfigurationRecord(2, value)], 3, 0, 0))
    assert versions(follower) == {"accra": 2}


def test_replayed_record_changes_nothing(log, follower):
    message = RecordsMessage([ConfigurationRecord(1, bytes(log.records[1].value))], 2, 0, 0)
    assert exchange(follower, message) == []
    assert follower.state.next_offset == 2


def test_older_snapshot_is_refused(run, log, follower, clock):
    older = SnapshotPartMessage(
        2, 0, 1, msgspec.msgpack.encode(follower.state.snapshot(clock.wall()))
    )
    log.put(Customer("accra", 2, "school", 1))
    run(follower._read_to_end())
    exchange(follower, older)
    assert versions(follower) == {"accra": 2}


def test_forged_snapshot_that_lowers_a_version_is_refused(follower, clock):
    forged = msgspec.structs.replace(
        follower.state.snapshot(clock.wall()), next_offset=99, customers=[]
    )
    message = SnapshotPartMessage(99, 0, 1, msgspec.msgpack.encode(forged))
    with pytest.raises(WireError, match="refused snapshot"):
        exchange(follower, message)
    assert versions(follower) == {"accra": 1}


def test_forged_version_does_not_change_the_state(follower):
    assert exchange(follower, VersionMessage(10**9, 0, True)) == [PullMessage(2)]
    assert follower.state.next_offset == 2
    assert follower.gossip.log_age() < 1.0


@pytest.mark.parametrize(("is_monotonic", "expected"), [(True, 2), (False, 1)])
def test_stale_peer_reverts_a_node_only_without_monotonic_configuration(
    run, log, clock, is_monotonic, expected
):
    current, stale = make_follower(log, clock, is_monotonic), make_follower(log, clock)
    run(stale._read_to_end())
    log.put(Customer("accra", 2, "school", 1))
    run(current._read_to_end())
    current.gossip.history._records.clear()
    stale.gossip.history._records.clear()
    question = stale.gossip._version_message(is_question=True)
    for message in exchange(current, question):
        for answer in exchange(stale, message):
            exchange(current, answer)
    assert versions(current) == {"accra": expected}


def test_recent_version_from_a_peer_replaces_a_read(follower, clock):
    clock.advance(60)
    assert follower.gossip.log_age() == pytest.approx(60)
    exchange(follower, VersionMessage(2, 200, False))
    assert follower.gossip.log_age() == pytest.approx(0.2)


def test_version_is_forwarded_once_when_the_next_read_is_due(follower, clock):
    clock.advance(1.0)
    assert exchange(follower, VersionMessage(2, 0, False, 1)) == [VersionMessage(2, 0, False, 2)]
    assert exchange(follower, VersionMessage(2, 0, False, 1)) == []


def test_few_nodes_draw_a_short_read_delay(follower):
    fractions = [follower._draw_delay_fraction() for _ in range(10_000)]
    assert 0.0 <= min(fractions) <= max(fractions) <= 1.0
    assert 0 < sum(fraction < 0.5 for fraction in fractions) < 150


def fail_read(run, log, follower):
    """Make a read of the log fail and return the messages that the follower sends to peers."""
    log.is_down = True
    follower.gossip._socket.sent.clear()
    with pytest.raises(LogServiceError) as caught:
        run(follower._read_to_end())
    follower._handle_failed_read(caught.value)
    return list(follower.gossip._socket.sent)


def test_failed_read_is_reported_until_a_read_succeeds(run, log, follower, clock):
    clock.advance(3)
    assert fail_read(run, log, follower) == [VersionMessage(2, 3000, False, 1, 0)]
    clock.advance(1)
    assert follower.gossip._version_message(is_question=True).failure_age_ms == 1000
    log.is_down = False
    run(follower._read_to_end())
    assert follower.gossip._version_message(is_question=True).failure_age_ms is None


def test_recent_report_of_a_failed_read_is_forwarded_once(follower, clock):
    clock.advance(3)
    report = VersionMessage(2, 3000, False, 1, 50)
    assert exchange(follower, report) == [VersionMessage(2, 3000, False, 2, 50)]
    assert exchange(follower, report) == []


def test_report_of_a_failed_read_delays_a_node_whose_own_read_failed(run, log, follower, clock):
    clock.advance(3)
    fail_read(run, log, follower)
    clock.advance(30)
    assert follower._newest_report_age() == pytest.approx(30)
    exchange(follower, VersionMessage(2, 33_000, False, 0, 200))
    assert follower._newest_report_age() == pytest.approx(0.2)


def test_report_of_a_failed_read_does_not_delay_a_node_whose_reads_succeed(follower, clock):
    clock.advance(3)
    exchange(follower, VersionMessage(2, 3000, False, 0, 200))
    assert follower._newest_report_age() == pytest.approx(3)


def test_snapshot_is_postponed_while_the_log_is_down(run, log, follower, clock):
    clock.advance(3)
    exchange(follower, VersionMessage(2, 3000, False, 0, 200))
    run(follower._append_snapshot())
    assert len(log.records) == 2
    assert follower._snapshot_due_at < clock.wall() + 60


def test_version_from_a_peer_that_is_behind_is_ignored(follower, clock):
    clock.advance(60)
    exchange(follower, VersionMessage(1, 0, False))
    assert follower.gossip.log_age() == pytest.approx(60)


def test_snapshot_replaces_expired_records(run, log, follower, clock):
    run(follower._append_snapshot())
    log.put(Customer("accra", 2, "school", 1))
    log.first = 2
    fresh = make_follower(log, clock)
    run(fresh._read_to_end())
    assert versions(fresh) == {"accra": 2}
    assert fresh.state.next_offset == 4


def test_expired_records_without_a_snapshot_leave_a_gap_and_no_customers(run, log, clock):
    log.put(Customer("accra", 2, "school", 1))
    log.first = 1
    fresh = make_follower(log, clock)
    run(fresh._read_to_end())
    assert versions(fresh) == {}
    assert fresh._replay.has_gap


def test_peer_fills_a_gap_of_expired_records(run, log, clock, follower):
    lagging = make_follower(log, clock)
    log.first = 1
    run(lagging._read_to_end())
    assert lagging._replay.has_gap
    exchange_until_quiet(lagging, follower)
    assert versions(lagging) == {"accra": 1}
    assert not lagging._replay.has_gap


def test_snapshot_of_another_node_postpones_own_snapshot(run, log, follower, clock):
    other = make_follower(log, clock)
    run(other._read_to_end())
    run(other._append_snapshot())
    run(follower._read_to_end())
    assert follower._snapshot_due_at > clock.wall() + 0.25 * 86_400


def test_snapshot_record_is_gossiped_without_its_content(run, log, follower, clock):
    run(follower._append_snapshot())
    run(follower._read_to_end())
    fresh = make_follower(MemoryLog(), clock)
    exchange_until_quiet(fresh, follower)
    assert fresh.state.next_offset == 3
    assert len(fresh.gossip.history.since(2)[0].value) < len(bytes(log.records[2].value)) / 2
    assert versions(fresh) == {"accra": 1}


@pytest.fixture
def large_follower(run, log, clock, follower):
    """Return a follower that has read 1500 more customers, so its snapshot has several parts."""
    log.put(*(Customer(f"customer-{index:04}", 1, "school", 1) for index in range(1500)))
    run(follower._read_to_end())
    return follower


def snapshots(log):
    records = [msgspec.json.decode(record.value) for record in log.records[log.first :]]
    return [record for record in records if record["kind"] == "snapshot"]


def restore(run, log, clock):
    """Return a new follower that has read the log, and its number of customers."""
    fresh = make_follower(log, clock)
    run(fresh._read_to_end())
    return fresh, len(versions(fresh))


@pytest.mark.parametrize("lose_every", [0, 2, 3])
def test_snapshot_is_restored_from_bounded_parts(run, log, clock, large_follower, lose_every):
    log.lose_every = lose_every
    expired = len(log.records)
    run(large_follower._append_snapshot())
    log.first = expired
    parts = snapshots(log)
    assert {part["parts"] for part in parts} == {len({part["part"] for part in parts})}
    assert parts[0]["parts"] > 1
    assert all(len(record.value) <= 65_536 for record in log.records)
    log.put(Customer("customer-0007", 2, "school", 1))
    fresh, count = restore(run, log, clock)
    assert count == 1501
    assert versions(fresh)["customer-0007"] == 2
    assert fresh.state.next_offset == len(log.records)


def test_snapshot_with_a_missing_part_restores_nothing(run, log, clock, large_follower):
    expired = len(log.records)
    run(large_follower._append_snapshot())
    log.first = expired + 1
    fresh, count = restore(run, log, clock)
    assert count == 0
    assert fresh._replay.has_gap


def test_newest_complete_snapshot_is_restored_when_a_newer_one_is_incomplete(
    run, log, clock, large_follower
):
    expired = len(log.records)
    run(large_follower._append_snapshot())
    log.put(Customer("accra", 2, "school", 1))
    run(large_follower._read_to_end())
    run(large_follower._append_snapshot())
    del log.records[-1]
    log.first = expired
    fresh, count = restore(run, log, clock)
    assert count == 1501
    assert versions(fresh)["accra"] == 2


def test_state_is_restored_from_two_concurrent_snapshots(run, log, clock, large_follower):
    other = make_follower(log, clock)
    other._random.seed(2)
    run(other._read_to_end())
    expired = len(log.records)

    async def append_both():
        await asyncio.gather(large_follower._append_snapshot(), other._append_snapshot())

    run(append_both())
    assert len({part["publish_id"] for part in snapshots(log)}) == 2
    log.first = expired
    assert restore(run, log, clock)[1] == 1501


def test_node_abandons_its_snapshot_when_that_of_another_node_is_complete(
    run, log, clock, large_follower
):
    other = make_follower(log, clock)
    other._random.seed(2)
    run(other._read_to_end())

    append = log.append

    async def append_and_let_other_finish(stream, values):
        log.append = append
        offset = await append(stream, values)
        await other._append_snapshot()
        await large_follower._read_to_end()
        return offset

    log.append = append_and_let_other_finish
    run(large_follower._append_snapshot())
    parts = snapshots(log)
    assert len(parts) == parts[0]["parts"] + 1
    kinds = [event.kind for event in large_follower._events.newest()]
    assert kinds.count("snapshot-abandoned") == 1


def test_snapshot_part_of_another_node_postpones_own_snapshot(run, log, clock, large_follower):
    other = make_follower(log, clock)
    run(other._read_to_end())
    other._snapshot_due_at = clock.wall()
    run(large_follower._append_snapshot())
    del log.records[-1]
    run(other._read_to_end())
    assert clock.wall() + 10 < other._snapshot_due_at < clock.wall() + 60


def test_snapshot_is_sent_in_parts(run, log, follower, clock):
    follower.gossip.history._records.clear()
    log.put(*(Customer(f"customer-{index:04}", 1, "school", 1) for index in range(1500)))
    run(follower._read_to_end())
    follower.gossip.history._records.clear()
    part = exchange(follower, SnapshotPullMessage(0, 0))[0]
    assert part.parts > 1
    fresh = make_follower(MemoryLog(), clock)
    exchange_until_quiet(fresh, follower)
    assert len(fresh.state.customers_by_name) == 1501


class ConfigurationMachine(RuleBasedStateMachine):
    """Three nodes with concurrent publishes and a log that expires, loses answers and fails."""

    @initialize()
    def begin(self):
        self.clock = ManualClock(1000.0)
        self.log = MemoryLog()
        self.log.put(TEMPLATE)
        self.followers = [make_follower(self.log, self.clock) for _ in range(3)]
        self.seen_versions = [{} for _ in self.followers]
        self.publish_id_by_version: dict[tuple[str, int], str] = {}
        self.published = 0

    @rule(name=st.sampled_from(["a", "b"]), version=st.integers(1, 4), twice=st.booleans())
    def publish(self, name, version, twice):
        self.published += 1
        record = Customer(name, version, "school", 1, {}, f"publish-{self.published}")
        self.log.put(*[record] * (1 + twice))

    @rule()
    def publish_malformed_record(self):
        self.log.put(b'{"kind":"customer"}')

    @rule(index=st.integers(0, 2), is_down=st.booleans())
    def read(self, index, is_down):
        self.log.is_down = is_down
        try:
            self._run(self.followers[index]._read_to_end())
        except LogServiceError:
            assert is_down
        self.log.is_down = False

    @rule(asker=st.integers(0, 2), answerer=st.integers(0, 2))
    def ask(self, asker, answerer):
        if asker != answerer:
            exchange_until_quiet(self.followers[asker], self.followers[answerer])

    @rule(index=st.integers(0, 2), offset=st.integers(0, 30))
    def replay_record(self, index, offset):
        if offset < len(self.log.records):
            record = ConfigurationRecord(offset, bytes(self.log.records[offset].value))
            exchange(self.followers[index], RecordsMessage([record], offset + 1, 0, 9))

    @rule(index=st.integers(0, 2), loses_answers=st.booleans())
    def append_snapshot(self, index, loses_answers):
        self.log.loses_answers = loses_answers
        self._run(self.followers[index]._append_snapshot())
        self.log.loses_answers = False

    @rule(index=st.integers(0, 2))
    def expire_records_covered_by_snapshot(self, index):
        covered = [
            record for record in self.log.records if b'"kind":"snapshot"' in bytes(record.value)
        ]
        if covered:
            snapshot = msgspec.json.decode(covered[-1].value)
            self.log.first = max(self.log.first, snapshot["next_offset"])

    @rule(index=st.integers(0, 2))
    def restart(self, index):
        self.followers[index] = make_follower(self.log, self.clock)
        self.seen_versions[index] = {}

    @invariant()
    def versions_do_not_decrease(self):
        for index, follower in enumerate(getattr(self, "followers", [])):
            current_versions = versions(follower)
            for name, version in self.seen_versions[index].items():
                assert current_versions.get(name, 0) >= version
            self.seen_versions[index] = current_versions

    @invariant()
    def each_version_has_one_publish_id(self):
        for follower in getattr(self, "followers", []):
            for name, customer in follower.state.customers_by_name.items():
                first_publish_id = self.publish_id_by_version.setdefault(
                    (name, customer.version), customer.publish_id
                )
                assert first_publish_id == customer.publish_id

    def teardown(self):
        if not hasattr(self, "followers"):
            return
        for follower in self.followers:
            self._run(follower._read_to_end())
        states = {tuple(sorted(versions(follower).items())) for follower in self.followers}
        assert len(states) == 1

    def _run(self, coroutine):
        return asyncio.run(coroutine)


TestConfigurationMachine = ConfigurationMachine.TestCase
