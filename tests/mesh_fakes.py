"""Fakes of the platform, of backend servers and of callers for tests of mesh nodes."""

import asyncio
import itertools
import os

from apricotwalk.border import (
    CallerLimits,
    HeaderFieldNames,
    HistoryLostError,
    KeyedRecord,
    KeyedStream,
    MeshBounds,
    MeshSettings,
    Platform,
    Route,
    RouteConfiguration,
    ServiceSettings,
    ServiceShare,
    StoreError,
    StreamPage,
)
from apricotwalk.core import Execution
from apricotwalk.platform._heartbeats import StatusReportReader
from apricotwalk.settings import Address

FIELDS = HeaderFieldNames(
    "Id",
    "Deadline",
    "Expect",
    "Caller",
    "Seal",
    "Refused",
    "Load",
    "Server",
    announced_rate="Limit",
    leaving="Leaving",
)
LIMITS = CallerLimits(4096, 65_536, 1.0, 10.0)


# Each test process uses its own loopback address, because a port that was free a moment ago may be
# in use by another process or by an outgoing connection from 127.0.0.1.
_HOST = f"127.{1 + os.getpid() // 65_025 % 250}.{os.getpid() // 255 % 255}.{1 + os.getpid() % 254}"
_ports = itertools.count(20_000)


def free_address():
    return Address(_HOST, next(_ports))


def new_route(name, service, execution=Execution.REPEATABLE, **changes):
    defaults = {
        "name": name,
        "host": "mesh",
        "path_prefix": f"/{name}/",
        "shares": (ServiceShare(service, 1.0),),
        "execution": execution,
        "rank": 1,
        "timeout_seconds": 2.0,
        "objective_seconds": 1.0,
        "largest_target_count": 2,
    }
    return Route(**{**defaults, **changes})


def new_configuration(version, *routes, encoded=b"", limits=LIMITS):
    services = {share.service for route in routes for share in route.shares}
    settings = {name: ServiceSettings(name, "/health", 100) for name in services}
    return RouteConfiguration(version, tuple(routes), settings, limits, encoded)


class FakeStream(KeyedStream):
    """An in-memory keyed stream that can be made unavailable and restored from a copy."""

    def __init__(self):
        self.era = 1
        self.records = []
        self.first_offset = 0
        self.is_down = False
        self.put_count = 0
        self._changed = asyncio.Event()

    async def read_newest(self):
        self._require_up()
        newest = {}
        for record in self.records:
            newest[record.key] = record
        kept = tuple(record for record in newest.values() if record.value is not None)
        return StreamPage(kept, len(self.records), self.era)

    async def read(self, offset, wait_seconds):
        self._require_up()
        if offset < self.first_offset or offset > len(self.records):
            raise HistoryLostError("gone")
        if offset >= len(self.records):
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_seconds):
                    await self._changed.wait()
            except TimeoutError:
                return StreamPage((), offset, self.era)
        self._require_up()
        return StreamPage(tuple(self.records[offset:]), len(self.records), self.era)

    async def put(self, record):
        self.put_count += 1
        self._require_up()
        self.add(record)
        return self.era

    def restore(self, kept_count):
        """Lose all but the first records, whose offsets are given out again in a new era."""
        del self.records[kept_count:]
        self.era += 1

    def add(self, record):
        self.records.append(record)
        self._changed.set()

    def set_unavailable(self):
        self.is_down = True
        self._changed.set()

    def _require_up(self):
        if self.is_down:
            raise StoreError("down")


class FakeStore:
    """The streams and configuration versions shared by all nodes of a test."""

    def __init__(self):
        self.configuration = FakeStream()
        self.members = FakeStream()
        self.versions = {}

    def restore(self, kept_count):
        """Restore both streams from a copy with their first records."""
        self.configuration.restore(kept_count)
        self.members.restore(kept_count)

    def publish(self, configuration):
        value = str(configuration.version).encode()
        self.versions[value] = RouteConfiguration(
            configuration.version,
            configuration.routes,
            configuration.services_by_name,
            configuration.limits,
            value,
        )
        self.configuration.add(KeyedRecord("config", value))


class FakePlatform(Platform):
    """A platform adapter whose store is in memory."""

    def __init__(self, store, service, instance, zone="a", seeds=(), **bounds):
        self._store = store
        defaults = {
            "drain_seconds": 2.0,
            "stop_seconds": 4.0,
            "configuration_seconds": 2.0,
            "retry_ratio": 0.2,
            "retry_window_seconds": 10.0,
            "retry_allowance": 40.0,
        }
        self.settings = MeshSettings(
            instance=instance,
            service=service,
            availability_zone=zone,
            region="r",
            callers=free_address(),
            backend=free_address(),
            readiness=free_address(),
            heartbeats=free_address(),
            peers=free_address(),
            metrics=free_address(),
            seeds=tuple(seeds),
            store=Address("127.0.0.1", 1),
            heartbeat_seconds=1.5,
            bounds=MeshBounds(**{**defaults, **bounds}),
        )
        self.fields = FIELDS
        self.heartbeats = StatusReportReader()
        self.readiness_path = "/ready"
        self.is_closed = False

    def load_settings(self):
        return self.settings

    def open_configuration_stream(self):
        return self._store.configuration

    def decode_configuration(self, record_key, value):
        return self._store.versions.get(value)

    def open_membership_stream(self):
        return self._store.members

    def close(self):
        self.is_closed = True


class FakeResponse:
    """The response of a fake server to one request.

    If `raw` is given, these bytes are sent in place of status, fields and body. `delay` is in
    seconds, and `closes` closes the connection after the response.
    """

    def __init__(self, status=200, body=b"done", delay=0.0, raw=None, closes=False, fields=()):
        self.status = status
        self.body = body
        self.delay = delay
        self.raw = raw
        self.closes = closes
        self.fields = fields


class FakeServer:
    """A backend server that records the requests it receives.

    `respond` returns the `FakeResponse` to a request; `aborted_count` counts the requests whose
    connection the node closed before the response was sent.
    """

    def __init__(self, address, server="s-1", slots=8):
        self.address = address
        self.server = server
        self.slots = slots
        self.requests = []
        self.aborted_count = 0
        self.health_status = 200
        self.respond = lambda request: FakeResponse()
        self._listener = None
        self._writers = set()

    async def start(self):
        self._listener = await asyncio.start_server(
            self._handle_connection, self.address.host, self.address.port
        )

    async def close(self):
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def crash(self):
        """Stop listening, abort every connection and return an empty response."""
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()
        return FakeResponse(raw=b"", closes=True)

    async def _handle_connection(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                await self._handle_request(request, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle_request(self, request, reader, writer):
        if request["target"] == "/health":
            fields = f"Server: {self.server}\r\nLoad: 0,0,{self.slots}\r\n"
            head = f"HTTP/1.1 {self.health_status} X\r\n{fields}Content-Length: 0\r\n\r\n"
            writer.write(head.encode())
            return
        self.requests.append(request)
        response = self.respond(request)
        if response.delay:
            await self._wait_for_disconnect(response.delay, reader)
        if response.raw is not None:
            writer.write(response.raw)
        else:
            seal = "" if response.status == 503 else "Seal: x\r\n"
            head = (
                f"HTTP/1.1 {response.status} X\r\nId: {request['fields'].get('id', '')}\r\n{seal}"
            )
            head += "".join(f"{name}: {value}\r\n" for name, value in response.fields)
            head += f"Content-Length: {len(response.body)}\r\n\r\n"
            writer.write(head.encode() + response.body)
        if response.closes:
            raise ConnectionError

    async def _wait_for_disconnect(self, seconds, reader):
        disconnect = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({disconnect}, timeout=seconds)
        if done:
            self.aborted_count += 1
            raise ConnectionError
        disconnect.cancel()
        await asyncio.wait({disconnect})


async def read_message(reader):
    """Read the next request or response, whose body is delimited by Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    fields = {}
    for line in head[1:]:
        name, _, value = line.partition(": ")
        fields[name.lower()] = value
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    first = head[0].split(" ")
    return {"method": first[0], "target": first[1], "fields": fields, "body": body}


class FakeCaller:
    """A caller that sends its requests on one persistent connection."""

    _request_ids = itertools.count(1)

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        return self

    def send(self, target, body=b"", method="GET", deadline_ms=2000, request_id=None):
        request_id = request_id or f"q{next(self._request_ids)}"
        head = f"{method} {target} HTTP/1.1\r\nHost: mesh\r\nId: {request_id}\r\n"
        if deadline_ms is not None:
            head += f"Deadline: {deadline_ms}\r\n"
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        self.writer.write(head.encode() + b"\r\n" + body)
        return request_id

    async def receive(self):
        """Return status, fields and body of the next response."""
        message = await read_message(self.reader)
        return int(message["target"]), message["fields"], message["body"]

    async def request(self, target, **options):
        self.send(target, **options)
        return await self.receive()

    def close(self):
        self.writer.close()
