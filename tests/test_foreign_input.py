"""Tests of malformed bytes from the store, the operator, peers and backend servers.

One value that cannot be understood may cost only what it concerns.
"""

import asyncio
import base64
import contextlib
import json
import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotwalk.border import ConfigurationFault, KeyedRecord, StoreError
from apricotwalk.core import ManualClock, RecordError, SystemClock, WireError
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
from apricotwalk.peering import decode_peer_message
from apricotwalk.platform._configuration import decode_configuration
from apricotwalk.platform._heartbeats import StatusReportReader
from apricotwalk.platform._store import StoreClient
from apricotwalk.platform._units import parse_seconds, parse_version
from apricotwalk.policy import decode_record
from apricotwalk.routes import RouteTable
from apricotwalk.settings import Address
from apricotwalk.telemetry import DecisionLog
from tests.mesh_fakes import FakeStream
from tests.mesh_harness import running_mesh
from tests.test_platform import CONFIGURATION, REPORT, FakeStoreServer

DEEP_JSON = b"[" * 100_000
DEEP_FIELD = b'{"later":' + DEEP_JSON
DEEP_MSGPACK = b"\x91" * 100_000
NOW_MICROSECONDS = 1_796_000_000_000_000

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**30), 10**30)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from(["", "safe", "9" * 5000 + "s", "1e400ms", "r" + "9" * 5000, "²s", "\ud7ff"]),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["service", "weight", "kind", "x"]), inner, max_size=3),
    max_leaves=5,
)
foreign_bytes = st.binary(max_size=60) | st.sampled_from(
    [DEEP_JSON, DEEP_FIELD, DEEP_MSGPACK, b"", b"{}", b'{"a":' + b"9" * 5000 + b"}", b"\xff\xfe"]
)


def new_log():
    return DecisionLog("n", "z", ManualClock(), descriptor=-1)


def logged_events(log, kind):
    return [line for line in map(json.loads, log._lines) if line["event"] == kind]


def new_member(instance, incarnation=1, port=7):
    return Member(
        instance, "menu", "z", "r", Address("127.0.0.1", port), incarnation, MemberState.ALIVE
    )


def new_members(log=None, clock=None):
    own = Member("own", "menu", "z", "r", Address("127.0.0.1", 7), 10, MemberState.DEAD)
    log = log or new_log()
    return FleetMembers(
        own, FakeStream(), log, clock or ManualClock(), random.Random(1), StoreEra(log)
    )


def with_part(path, value):
    """Return the JSON text of a configuration in which one part is replaced, or deleted if None."""
    broken = json.loads(json.dumps(CONFIGURATION))
    *parents, last = path.split(".")
    parent = broken
    for name in parents:
        parent = parent[name]
    if value is None:
        del parent[last]
    else:
        parent[last] = value
    return json.dumps(broken).encode()


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("routes.r-1.timeout", "soon"),
        ("routes.r-1.timeout", "9" * 400 + "s"),
        ("routes.r-1.priority", "1"),
        ("routes.r-1.priority", 10**25),
        ("routes.r-1.priority", -1),
        ("routes.r-1.traffic-split", [{"service": "a", "weight": 0}]),
        ("routes.r-1.traffic-split", [{"service": "a", "weight": 1e300}]),
        ("routes.r-1.aim", None),
    ],
)
def test_malformed_route_refuses_only_its_own_requests(path, value):
    configuration = decode_configuration(with_part(path, value))
    assert [route.name for route in configuration.routes] == ["r-2"]
    (fault,) = configuration.faults
    assert fault.path == "routes.r-1"
    table = RouteTable(configuration)
    assert table.find("hulo84.example", "/leny950/2f") is fault
    assert table.find("jepu9.example", "/puka111/1").name == "r-2"
    assert table.find("jepu9.example", "/other/1") is None
    assert configuration.limits.idle_seconds == 15.0


def test_no_path_is_called_unknown_while_the_place_of_a_route_is_unreadable():
    configuration = decode_configuration(with_part("routes.r-1.path-prefix", 7))
    table = RouteTable(configuration)
    assert isinstance(table.find("hulo84.example", "/leny950/2f"), ConfigurationFault)
    assert table.find("jepu9.example", "/puka111/1").name == "r-2"


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("limits.idle-timeout", 15),
        ("limits", None),
        ("services", []),
        ("services", None),
        ("services.huvo11a.max-connections", -1),
    ],
)
def test_malformed_limits_and_services_leave_the_routes_in_force(path, value):
    configuration = decode_configuration(with_part(path, value))
    assert len(configuration.routes) == 2
    assert len(configuration.faults) == 1
    assert configuration.faults[0].path.startswith(path.partition(".")[0])


def test_route_of_an_unknown_kind_is_served_as_at_most_once_work():
    configuration = decode_configuration(with_part("routes.r-1.kind", "perhaps"))
    assert configuration.routes[0].execution.value == "at-most-once"
    assert configuration.faults[0].path == "routes.r-1.kind"
    assert RouteTable(configuration).find("hulo84.example", "/leny950/2f").name == "r-1"


def test_downloads_may_be_repeated():
    configuration = decode_configuration(with_part("routes.r-1.kind", "download"))
    assert configuration.routes[0].execution.value == "repeatable"
    assert not configuration.faults


def test_faults_of_a_configuration_are_logged_within_a_bound():
    broken = json.loads(json.dumps(CONFIGURATION))
    for number in range(1000):
        broken["routes"][f"x-{number}"] = {}
    log = new_log()
    holder = ConfigurationHolder(lambda key, value: decode_configuration(value), log)
    assert holder.apply("config", json.dumps(broken).encode(), "store")
    assert 1 <= len(logged_events(log, "configuration-part-rejected")) <= 20
    (in_force,) = logged_events(log, "configuration-in-force")
    assert in_force["faults"] == 1000


@pytest.mark.parametrize("value", [DEEP_JSON, DEEP_FIELD, b'{"version":"r' + b"9" * 5000 + b'"}'])
def test_configuration_that_cannot_be_read_at_all_is_rejected(value):
    with pytest.raises(RecordError):
        decode_configuration(value)


def test_rejected_configuration_does_not_keep_a_later_one_out():
    holder = ConfigurationHolder(lambda key, value: decode_configuration(value), new_log())
    huge_version = with_part("version", "r" + "9" * 30)
    assert not holder.apply("config", huge_version, "store")
    assert holder.apply("config", json.dumps(CONFIGURATION).encode(), "store")


@pytest.mark.parametrize(
    ("change", "body"),
    [
        ({}, DEEP_JSON),
        ({}, DEEP_FIELD),
        ({"slots": 10**400}, None),
        ({"slots": -1}, None),
        ({"seq": 10**25}, None),
        ({"born": 10**25}, None),
        ({"address": "10.1.0.8:65536"}, None),
        ({"address": "10.1.0.8:" + "9" * 5000}, None),
        ({"address": "10.1.0.8:0"}, None),
        ({"address": "10.1.0.8:8²"}, None),
        ({"cold-remaining": "9" * 400 + "ms"}, None),
    ],
)
def test_odd_status_reports_raise_the_error_for_foreign_input(change, body):
    content = body if body is not None else json.dumps({**REPORT, **change}).encode()
    with pytest.raises(WireError):
        StatusReportReader().read("PUT", "/api/instances/i-1", content)


@pytest.mark.parametrize("body", [DEEP_JSON, DEEP_FIELD, b'{"born":' + b"9" * 40 + b"}", b"\xff"])
def test_departure_with_an_odd_body_still_counts(body):
    call = StatusReportReader().read("DELETE", "/api/instances/i-1", body)
    assert (call.server, call.heartbeat, call.started_ms) == ("i-1", None, 0)


@pytest.mark.parametrize(
    "value",
    [
        DEEP_MSGPACK,
        _encoder.encode(new_member("odd"))[:-1] + b"\x91" * 100_000,
        msgspec.msgpack.encode(["odd", "menu", "z", "r", {"host": "1.2.3.4", "port": 65_536}, 1]),
        msgspec.msgpack.encode(["odd", "menu", "z", "r", {"host": "1.2.3.4", "port": 0}, 1, 0]),
        msgspec.msgpack.encode(
            ["odd", "menu", "z", "r", {"host": "1.2.3.4", "port": 7}, 2**64 - 1]
        ),
        msgspec.msgpack.encode(
            ["odd", "menu", "z", "r", {"host": "1.2.3.4", "port": 7}, 2**62 + 1, 0]
        ),
        msgspec.msgpack.encode(["odd", "menu", "z", "r", {"host": "1.2.3.4", "port": 7}, -1, 0]),
        _encoder.encode(new_member("another")),
    ],
)
def test_odd_member_record_is_skipped_and_the_next_one_is_applied(run, value):
    async def body():
        log = new_log()
        stream = FakeStream()
        members = new_members(log)
        stream.add(KeyedRecord("odd", value))
        schedule = ReadingSchedule("own", members.all_members, 0.05, 0.01, random.Random(1), 3)
        follower = StreamFollower(
            "members",
            stream,
            members,
            log,
            random.Random(1),
            schedule,
            StoreEra(log),
            Freshness(SystemClock(), 0.0),
        )
        await follower.start()
        await asyncio.sleep(0.05)
        stream.add(KeyedRecord("odd", value))
        stream.add(KeyedRecord("a", _encoder.encode(new_member("a"))))
        async with asyncio.timeout(2.0):
            while [member.instance for member in members.all_members()] != ["a"]:
                await asyncio.sleep(0.01)
        await follower.close()
        assert {line["key"] for line in logged_events(log, "member-record-rejected")} == {"odd"}

    run(body())


def test_own_record_can_be_written_after_an_odd_one_of_this_instance():
    clock = ManualClock()
    clock.advance(1.0)
    members = new_members(clock=clock)
    members.announce(MemberState.ALIVE, "test")
    odd = msgspec.msgpack.encode(
        ["own", "menu", "z", "r", {"host": "127.0.0.1", "port": 7}, 2**64 - 1, 0]
    )
    members.apply_record(KeyedRecord("own", odd))
    decoded = msgspec.msgpack.decode(_encoder.encode(members.own), type=Member)
    assert decoded == members.own


def test_repeated_odd_records_do_not_fill_the_log():
    log = new_log()
    members = new_members(log)
    for _ in range(5000):
        members.apply_record(KeyedRecord("odd", b"\xc1"))
    assert len(logged_events(log, "member-record-rejected")) <= 300


def test_odd_items_of_a_page_are_skipped_and_paging_goes_on(run):
    async def body():
        store = FakeStoreServer()
        client = StoreClient(store.address)
        value = base64.b64encode(b"{}").decode()
        first = {
            "items": [
                {"key": "a&b c", "value": value, "offset": 1},
                {"key": "odd", "value": "not base64!", "offset": 10**30},
                {"key": 7, "value": value},
                [],
            ],
            "more": True,
            "end": 6,
        }
        last = {"items": [{"key": "z", "value": value, "offset": 7}], "more": False, "end": 8}
        store.responses = [(200, json.dumps(page).encode()) for page in (first, last)]
        page = await client.open("keyed.members").read_newest()
        assert [record.key for record in page.records] == ["a&b c", "z"]
        assert store.received[1][1].endswith("&after=odd")
        store.responses = [(200, DEEP_JSON)]
        with pytest.raises(StoreError):
            await client.open("keyed.members").read_newest()
        client.close()
        store.close()

    run(body())


def test_key_of_another_writer_is_quoted_in_the_request_for_the_next_page(run):
    async def body():
        store = FakeStoreServer()
        client = StoreClient(store.address)
        pages = [
            {"items": [{"key": "a&from=9 é", "offset": 1}], "more": True, "end": 6},
            {"items": [], "more": False, "end": 6},
        ]
        store.responses = [(200, json.dumps(page).encode()) for page in pages]
        await client.open("keyed.members").read_newest()
        assert store.received[1][1].endswith("&after=a%26from%3D9%20%C3%A9")
        client.close()
        store.close()

    run(body())


@pytest.mark.parametrize("load", ["²,0,8", "1,2", "1,2,3,4", "9" * 5000 + ",0,8", "-1,0,8", "x"])
def test_odd_load_of_a_server_costs_no_answer(run, load):
    async def body():
        async with running_mesh(("m1", "menu-svc")) as mesh:
            server = mesh.servers["m1"]
            respond = server.respond

            def respond_with_load(request):
                response = respond(request)
                content = (
                    f"HTTP/1.1 200 OK\r\nId: {request['fields']['id']}\r\nSeal: x\r\n"
                    f"Load: {load}\r\nContent-Length: 4\r\n\r\ndone"
                )
                response.raw = content.encode("latin1")
                return response

            server.respond = respond_with_load
            caller = await mesh.caller("m1")
            assert (await caller.request("/menu/1"))[0] == 200
            caller.close()

    run(body())


@given(st.sampled_from(sorted(CONFIGURATION["routes"]["r-1"])), json_values)
def test_any_value_in_a_route_leaves_the_other_route_in_force(name, value):
    broken = json.loads(json.dumps(CONFIGURATION))
    broken["routes"]["r-1"][name] = value
    configuration = decode_configuration(json.dumps(broken).encode())
    assert "r-2" in [route.name for route in configuration.routes]
    msgspec.msgpack.encode([(r.rank, r.timeout_seconds) for r in configuration.routes])


@given(foreign_bytes | json_values.map(lambda value: json.dumps(value).encode()))
def test_decoders_raise_no_other_error_for_foreign_bytes(content):
    for decode, error in (
        (decode_configuration, RecordError),
        (decode_record, RecordError),
        (decode_peer_message, WireError),
        (lambda body: StatusReportReader().read("PUT", "/api/instances/i", body), WireError),
    ):
        with contextlib.suppress(error):
            decode(content)
    StatusReportReader().read("DELETE", "/api/instances/i", content)
    members = new_members()
    members.apply_record(KeyedRecord("odd", content))
    members.apply_record(KeyedRecord("a", _encoder.encode(new_member("a"))))
    assert [member.instance for member in members.all_members()] == ["a"]


@given(st.sampled_from(sorted(REPORT)), json_values)
def test_any_value_in_a_status_report_is_accepted_or_refused(name, value):
    body = json.dumps({**REPORT, name: value}).encode()
    try:
        call = StatusReportReader().read("PUT", "/api/instances/i-1", body)
    except WireError:
        return
    msgspec.msgpack.encode([call.heartbeat.started_ms, call.heartbeat.slots * 0.95])


@given(st.integers(0, 80), st.integers(1, 3), st.binary(max_size=3))
def test_peer_messages_with_cut_or_spliced_bytes_raise_only_wire_errors(position, count, spliced):
    encoded = msgspec.msgpack.encode([7, [new_member("a", NOW_MICROSECONDS)]])
    damaged = encoded[:position] + spliced + encoded[position + count :]
    with contextlib.suppress(WireError):
        decode_peer_message(damaged)


@given(st.text(max_size=40) | st.from_regex(r"\d{1,5000}(ms|s)", fullmatch=True))
def test_durations_and_versions_raise_only_value_errors(text):
    for parse in (parse_seconds, parse_version):
        with contextlib.suppress(ValueError):
            assert parse(text) < float("inf")
