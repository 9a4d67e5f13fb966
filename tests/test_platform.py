"""Tests of the platform adapter: settings, record formats and calls to the store."""

import base64
import json
import struct
from contextlib import suppress

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from apricotwalk.border import HistoryLostError, KeyedRecord, StoreError
from apricotwalk.core import Execution, RecordError, SettingsError, WireError
from apricotwalk.platform._configuration import decode_configuration
from apricotwalk.platform._heartbeats import StatusReportReader
from apricotwalk.platform._settings import parse_settings
from apricotwalk.platform._store import StoreClient
from apricotwalk.platform._units import parse_seconds
from apricotwalk.settings import Address

SETTINGS = """
node=sidecar-a-1
ip=10.1.0.8
zone=accra-a
region=accra
listen.outbound=10.1.0.8:8304
listen.ready=10.1.0.8:8302
listen.control=10.1.0.8:8306
internal-ports=7620,7635
seeds=10.1.0.9:8306,10.1.0.7:8306
heartbeat-interval=1500ms
bounds.drain-period=2000ms
bounds.grace-period=6s
bounds.config-propagation=2000ms
bounds.budget-ratio=0.2
bounds.budget-window=10s
bounds.budget-slack=49
app-addr=10.1.0.8:8301
service=huvo11a
platform.address=10.200.1.7:8309
a.field.of.the.future=1
"""
CONFIGURATION = {
    "version": "r7",
    "routes": {
        "r-1": {
            "host": "Hulo84.example",
            "path-prefix": "/leny950/",
            "kind": "safe",
            "timeout": "5000ms",
            "aim": "1200ms",
            "priority": 1,
            "traffic-split": [
                {"service": "huvo11a", "weight": 90},
                {"service": "lovo22d", "weight": 10},
            ],
            "max-attempts": 2,
        },
        "r-2": {
            "host": "jepu9.example",
            "path-prefix": "/puka111/",
            "kind": "unsafe",
            "timeout": "0.8s",
            "aim": "3s",
            "priority": 2,
            "service": "wuno96b",
            "max-attempts": 2,
        },
    },
    "services": {
        "huvo11a": {"health-path": "/health", "max-connections": 1012, "protocol": "h1"},
    },
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 67108864,
        "header-timeout": "3000ms",
        "idle-timeout": "15s",
    },
}
REPORT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "accra-a",
    "version": "v1",
    "slots": 152,
    "state": "ready",
    "cold-remaining": "1500ms",
    "seq": 4,
    "born": 1769545834000,
}


def test_settings_file_is_parsed_into_addresses_and_bounds():
    settings = parse_settings(SETTINGS, "settings.conf")
    assert settings.callers == Address("10.1.0.8", 8304)
    assert settings.backend == Address("10.1.0.8", 8301)
    assert settings.peers == Address("10.1.0.8", 7620)
    assert settings.seeds == (Address("10.1.0.9", 7620), Address("10.1.0.7", 7620))
    assert settings.bounds.configuration_seconds == 2.0
    assert parse_settings(SETTINGS.replace("10.1.0.9:8306,10.1.0.7:8306", ""), "x").seeds == ()
    assert not settings.is_first_start
    assert parse_settings(SETTINGS + "bootstrap=true\n", "x").is_first_start
    assert not parse_settings(SETTINGS + "bootstrap=false\n", "x").is_first_start


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("service=huvo11a\n", "", "settings.conf: service is missing"),
        ("service=huvo11a", "service=", "settings.conf: service is empty"),
        ("zone=accra-a", "zone", "settings.conf:4: expected name=value"),
        ("zone=accra-a", "zone=a\nzone=b", "settings.conf:5: zone stands on line 4"),
        ("=10.1.0.8:8304", "=mesh:8304", "settings.conf:6: listen.outbound"),
        ("=1500ms", "=1500", "settings.conf:11: heartbeat-interval"),
        ("=49", "=many", "settings.conf:17: bounds.budget-slack"),
        ("=7620,7635", "=", "settings.conf:9: internal-ports"),
        ("ip=10.1.0.8\n", "ip=10.1.0.\n", "settings.conf:3: ip"),
        ("a.field.of.the.future=1", "bootstrap=yes", "settings.conf:21: bootstrap"),
    ],
)
def test_error_names_the_malformed_setting(old, new, message):
    assert old in SETTINGS
    with pytest.raises(SettingsError) as caught:
        parse_settings(SETTINGS.replace(old, new), "settings.conf")
    assert message in str(caught.value)


def test_part_of_a_settings_file_is_refused_or_parsed():
    """A file can be read while the platform writes it."""
    for length in range(len(SETTINGS)):
        with suppress(SettingsError):
            parse_settings(SETTINGS[:length], "settings.conf")


def test_configuration_is_decoded_into_routes_and_limits():
    configuration = decode_configuration(json.dumps(CONFIGURATION).encode())
    split, single = configuration.routes
    assert configuration.version == 7
    assert split.host == "hulo84.example"
    assert [(share.service, share.weight) for share in split.shares] == [
        ("huvo11a", 90.0),
        ("lovo22d", 10.0),
    ]
    assert (split.execution, single.execution) == (Execution.REPEATABLE, Execution.AT_MOST_ONCE)
    assert (single.timeout_seconds, single.objective_seconds) == (0.8, 3.0)
    assert configuration.limits.idle_seconds == 15.0


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("version", "7"),
        ("version", None),
        ("version", "r²"),
        ("version", "r" + "9" * 20),
        ("routes", []),
        ("routes", None),
    ],
)
def test_malformed_configuration_is_rejected(path, value):
    broken = json.loads(json.dumps(CONFIGURATION))
    *parents, last = path.split(".")
    parent = broken
    for name in parents:
        parent = parent[name]
    parent[last] = value
    with pytest.raises(RecordError):
        decode_configuration(json.dumps(broken).encode())


def test_status_reports_of_servers_are_parsed():
    reader = StatusReportReader()
    call = reader.read("PUT", "/api/instances/i-7f3a", json.dumps(REPORT).encode())
    assert call.heartbeat.server == "i-7f3a"
    assert call.heartbeat.started_ms == 1769545834000
    assert call.heartbeat.warm_up_seconds == 1.5
    assert not call.heartbeat.is_leaving
    leaving = json.dumps({**REPORT, "state": "draining"}).encode()
    assert reader.read("PUT", "/api/instances/i-7f3a", leaving).heartbeat.is_leaving
    gone = reader.read("DELETE", "/api/instances/i-7f3a", b'{"born":12}')
    assert (gone.server, gone.heartbeat, gone.started_ms) == ("i-7f3a", None, 12)
    assert reader.read("DELETE", "/api/instances/i-7f3a", b"\xff").started_ms == 0
    assert reader.read("GET", "/api/instances/i-7f3a", b"") is None
    assert reader.read("PUT", "/elsewhere", b"") is None


@pytest.mark.parametrize(
    "change",
    [{"state": "maybe"}, {"slots": "9"}, {"seq": None}, {"address": "name:80"}, {"born": "x"}],
)
def test_report_with_an_invalid_field_is_rejected(change):
    with pytest.raises(WireError):
        body = json.dumps({**REPORT, **change}).encode()
        StatusReportReader().read("PUT", "/api/instances/i-1", body)


@pytest.mark.parametrize("text", ["", "5", "ms", "-1s", "1 s", "1m"])
def test_durations_require_a_number_and_a_unit(text):
    with pytest.raises(ValueError):
        parse_seconds(text)


class FakeStoreServer:
    """An HTTP server on loopback that sends the prepared responses and records the calls."""

    def __init__(self):
        self.received = []
        self.responses = []
        sockets = bind_sockets(0, "127.0.0.1")
        self.address = Address("127.0.0.1", sockets[0].getsockname()[1])
        self._server = HTTPServer(self._handle_request)
        self._server.add_sockets(sockets)

    def _handle_request(self, request):
        self.received.append((request.method, request.uri, request.body))
        status, body = self.responses.pop(0)
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        request.connection.stream.write(head.encode() + body)
        request.connection.finish()

    def close(self):
        self._server.stop()


def length_prefixed(*contents):
    return b"".join(struct.pack(">I", len(content)) + content for content in contents)


def test_store_is_read_by_page_and_by_offset_and_appended_to(run):
    async def body():
        store = FakeStoreServer()
        client = StoreClient(store.address)
        stream = client.open("keyed.op")
        value = base64.b64encode(b"{}").decode()
        pages = [
            {"items": [{"key": "a", "value": value, "offset": 1}], "more": True, "end": 6},
            {"items": [{"key": "b", "value": value, "offset": 7}], "more": False, "end": 8},
        ]
        store.responses = [(200, json.dumps(page).encode()) for page in pages]
        page = await stream.read_newest()
        assert [(record.key, record.value) for record in page.records] == [
            ("a", b"{}"),
            ("b", b"{}"),
        ]
        assert page.next_offset == 6
        assert store.received[1][1].endswith("after=a")
        offsets = struct.pack(">QQ", 9, 0)
        store.responses = [(200, offsets + length_prefixed(b"\x01a{}", b"\x01a", b"\x09a", b""))]
        page = await stream.read(6, 0.5)
        assert page.records == (KeyedRecord("a", b"{}"), KeyedRecord("a", None))
        assert page.next_offset == 10
        store.responses = [(200, b"{}")]
        await stream.put(KeyedRecord("n", b"v"))
        assert store.received[-1] == (
            "POST",
            "/api/log-append?topic=keyed.op&part=0",
            length_prefixed(b"\x01nv"),
        )
        client.close()
        store.close()

    run(body())


@pytest.mark.parametrize(
    ("status", "content", "error"),
    [
        (410, b"{}", HistoryLostError),
        (503, b"", StoreError),
        (429, b"", StoreError),
        (200, b"rubbish", StoreError),
        (200, struct.pack(">QQ", 9, 0) + b"\x00\x00", StoreError),
        (200, struct.pack(">QQ", 9, 0) + struct.pack(">I", 50) + b"short", StoreError),
    ],
)
def test_unusable_store_response_raises_an_error(run, status, content, error):
    async def body():
        store = FakeStoreServer()
        client = StoreClient(store.address)
        store.responses = [(status, content)]
        with pytest.raises(error):
            await client.open("keyed.op").read(6, 0.1)
        client.close()
        store.close()

    run(body())
