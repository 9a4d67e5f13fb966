"""Stand-ins of the second review: store, backend servers, clients and node processes.

Everything listens on addresses of 127.0.0.0/8.  The stand-ins speak what PROTOCOL.md says and
behave like a sound store, server, client or platform, except where a case states otherwise.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "mesh.example"
METRICS_PORT = 9464
NAMES = ("inbound", "outbound", "ready", "control", "app", "store")
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request", 500: "Error",
           503: "Service Unavailable"}


def now() -> float:
    return time.monotonic()


class CannotRun(Exception):
    """The case could not run; the script ends with status 2."""


class Record:
    """Log of what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.began = now()

    def write(self, text: str) -> None:
        self._file.write(f"{now() - self.began:8.3f} {text}\n")

    def say(self, text: str) -> None:
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        self._file.close()


class Places:
    """Free loopback addresses and ports; the ports are the same on all machines."""

    def __init__(self, machine_count: int) -> None:
        generator = random.SystemRandom()
        for _ in range(50):
            prefix = f"127.{generator.randint(20, 250)}.{generator.randint(1, 250)}"
            base = generator.randint(20, 28) * 1000 + generator.randint(0, 90) * 10
            self.ports = {name: base + index for index, name in enumerate(NAMES)}
            self.internal = (base + 20, base + 35)
            self.hosts = [f"{prefix}.{index + 1}" for index in range(machine_count)]
            self.store_host = f"{prefix}.250"
            if all(self._is_free(host) for host in [*self.hosts, self.store_host]):
                return
        raise CannotRun("no free loopback ports")

    def _is_free(self, host: str) -> bool:
        for port in (*self.ports.values(), self.internal[0], METRICS_PORT):
            with socket.socket() as probe:
                try:
                    probe.bind((host, port))
                except OSError:
                    return False
        return True


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the header fields by lower-case name, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin1")[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


def http_head(status: int, fields: dict[str, str], length: int) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'X')}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1")


class Store:
    """The platform's store, as far as keyed topics with one partition are used."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.topics: dict[str, list[bytes]] = {}
        self.changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    def append(self, topic: str, records: list[bytes]) -> int:
        log = self.topics.setdefault(topic, [])
        offset = len(log)
        log += records
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def put(self, topic: str, key: str, value: bytes) -> None:
        self.append(topic, [bytes([len(key)]) + key.encode() + value])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_head(reader)) is not None:
                first, fields = request
                body = await read_body(reader, fields)
                await asyncio.sleep(0.004)
                status, answer = await self._answer(first, body)
                writer.write(http_head(status, {}, len(answer)) + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, first: str, body: bytes) -> tuple[int, bytes]:
        method, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        given = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
        topic = given.get("topic", "")
        log = self.topics.setdefault(topic, [])
        if method == "POST" and path == "/api/log-append":
            records, position = [], 0
            while position < len(body):
                (length,) = struct.unpack_from(">I", body, position)
                records.append(body[position + 4 : position + 4 + length])
                position += 4 + length
            offset = self.append(topic, records)
            return 200, json.dumps({"offset": offset, "end": len(log)}).encode()
        if method == "GET" and path == "/api/log-newest":
            newest = {}
            for offset, record in enumerate(log):
                key = record[1 : 1 + record[0]].decode()
                newest[key] = (offset, record[1 + record[0] :])
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(newest.items())
                if value
            ]
            page = {"items": items, "more": False, "end": len(log)}
            return 200, json.dumps(page).encode()
        if method == "GET" and path == "/api/log-read":
            start = int(given["from"])
            if start > len(log):
                return 410, json.dumps({"first": 0}).encode()
            deadline = now() + int(given.get("wait-ms", "0")) / 1000
            while start >= len(log) and (left := deadline - now()) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    break
            parts = [struct.pack(">QQ", len(log), 0)]
            for record in log[start:]:
                parts += [struct.pack(">I", len(record)), record]
            return 200, b"".join(parts)
        return 404, b"{}"


class Run:
    """One request that a server began to run."""

    def __init__(self, server: str, attempt: str, fields: dict[str, str], first: str) -> None:
        self.server, self.attempt, self.fields, self.first = server, attempt, fields, first
        self.began, self.ended, self.outcome = now(), 0.0, ""
        self.body = b""


class Server:
    """A target.  It reports itself each 1.5 s and drops a request when its connection closes.

    `work` returns the seconds that a request takes, `size` the length of the answer's body.
    """

    def __init__(self, mesh: "Mesh", host: str, name: str, service: str, slots: int) -> None:
        self.mesh, self.host, self.name, self.service, self.slots = mesh, host, name, service, slots
        self.port = mesh.places.ports["app"]
        self.running = 0
        self.starts = 0
        self.sequence = 0
        self.id = ""
        self.state = "ready"
        self.work = lambda first, fields: 0.02
        self.size = lambda first, fields: 200
        self.take_body = lambda first, fields, reader: read_body(reader, fields)
        self.crashes_on = ""
        self.crash_count = 0
        self.down_seconds = 2.0
        self._listener: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.starts += 1
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.id = f"i-{self.name}-{self.starts}"
        self.running = 0
        self._listener = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512, limit=1 << 20
        )
        self._beat = asyncio.create_task(self._send_beats())

    def stop(self) -> None:
        """End at once, as a killed process does."""
        if self._beat is not None:
            self._beat.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for writer in list(self._writers):
            connected = writer.get_extra_info("socket")
            if connected is not None:
                connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def crash(self) -> None:
        """End at once, and start anew after a pause."""
        if self._listener is None:
            return
        self.crash_count += 1
        self.mesh.record.write(f"server {self.id} crashes")
        self.stop()
        await asyncio.sleep(self.down_seconds)
        await self.start()
        self.mesh.record.write(f"server {self.id} is up")

    async def _send_beats(self) -> None:
        while True:
            await self.report(self.state)
            await asyncio.sleep(1.5)

    async def report(self, state: str) -> bool:
        self.sequence += 1
        body = json.dumps({
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": "z-a",
            "version": "v1", "slots": self.slots, "state": state, "cold-remaining": "0ms",
            "seq": self.sequence, "born": self.born,
        }).encode()
        return await self._control("PUT", body)

    async def _control(self, method: str, body: bytes) -> bool:
        port = self.mesh.places.ports["control"]
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, port)
                try:
                    writer.write(
                        f"{method} /api/instances/{self.id} HTTP/1.1\r\nHost: {self.host}\r\n"
                        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                        "Connection: close\r\n\r\n".encode() + body
                    )
                    answer = await read_head(reader)
                    return answer is not None and answer[0].split(" ")[1][0] == "2"
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                first, fields = request
                body = await self.take_body(first, fields, reader)
                await self._handle(first, fields, body, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, first, fields, body, reader, writer) -> None:
        load = {"Server-Load": f"{self.running},0,{self.slots}"}
        if first.split(" ")[1] == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(http_head(status, {"Instance-Id": self.id, **load}, 0))
            return
        attempt = fields.get("attempt-id", "")
        answer = {"Attempt-Id": attempt, **load}
        if fields.get("expect-instance", self.id) != self.id:
            writer.write(http_head(421, answer, 0))
            return
        if self.running >= self.slots:
            writer.write(http_head(503, {**answer, "Not-Executed": "full"}, 0))
            return
        run = Run(self.id, attempt, fields, first)
        run.body = body
        self.mesh.runs.append(run)
        self.running += 1
        try:
            if self.crashes_on and self.crashes_on in first:
                run.outcome = "crash"
                self.mesh.record.write(f"{self.id} begins to run {first} of {attempt}")
                self.mesh.spawn(self.crash())
                await asyncio.sleep(3600)
            gone = asyncio.ensure_future(reader.read(1)) if not reader._buffer else None
            worked = asyncio.ensure_future(asyncio.sleep(self.work(first, fields)))
            waited = [worked] if gone is None else [worked, gone]
            try:
                await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
                if not worked.done():
                    run.outcome = "cut"
                    raise ConnectionError("the connection was closed during the run")
            finally:
                worked.cancel()
                if gone is not None:
                    gone.cancel()
                    await asyncio.wait([gone])
            run.outcome = "done"
        finally:
            run.ended = now()
            self.running -= 1
        text = f"{self.id} ran {first} of {attempt}\n".encode()
        length = self.size(first, fields)
        content = (text * (length // len(text) + 1))[:length]
        answer["Server-Seal"] = seal(self.id, attempt, content)
        writer.write(http_head(200, answer, length) + content)
        try:
            await writer.drain()
        except ConnectionError:
            run.outcome = "cut after its end"
            raise


def seal(server: str, attempt: str, body: bytes) -> str:
    start = zlib.crc32(f"{server} {attempt} {len(body)} ".encode())
    return f"{server}.{zlib.crc32(body, start):08x}"


def is_sound(fields: dict[str, str], attempt: str, body: bytes) -> bool:
    """Return whether a body is the whole one that the server sealed for this attempt."""
    given = fields.get("server-seal", "")
    return given == seal(given.rpartition(".")[0], attempt, body)


class Node:
    """The node process of one machine; it is restarted when it ends."""

    def __init__(self, mesh: "Mesh", index: int, service: str) -> None:
        self.mesh, self.index, self.service = mesh, index, service
        self.name = f"sidecar-z-a-{index + 1}"
        self.host = mesh.places.hosts[index]
        self.file = mesh.directory / f"{self.name}.conf"
        self.process: asyncio.subprocess.Process | None = None
        self.is_bootstrap = True
        self.may_restart = True
        self.ends: list[str] = []
        self.peak_mb = 0.0
        self.ended_at = float("inf")  # when the last process ended
        self.memory_mb = 300
        self._expected = False
        self._supervisor: asyncio.Task[None] | None = None
        self._guard: asyncio.Task[None] | None = None

    def write_settings(self) -> None:
        ports, internal = self.mesh.places.ports, self.mesh.places.internal
        fields = {
            "node": self.name, "role": "node", "machine-class": "sidecar", "serves": "sidecar",
            "ip": self.host, "zone": "z-a", "region": "z", "zones.z-a": "z",
            "listen.inbound": f"{self.host}:{ports['inbound']}",
            "listen.outbound": f"{self.host}:{ports['outbound']}",
            "listen.ready": f"{self.host}:{ports['ready']}",
            "listen.control": f"{self.host}:{ports['control']}",
            "internal-ports": f"{internal[0]},{internal[1]}",
            "seeds": "", "bootstrap": "true" if self.is_bootstrap else "false",
            "loss-counts": "false", "limits.cpu-share": "0.86", "limits.cores": "2",
            "limits.memory-mb": str(self.memory_mb), "limits.max-fds": "4100",
            "limits.link-mbps": "1000.0", "limits.disk-mb": "0", "discovery": "static",
            "entry": "static", "heartbeat-interval": "1500ms",
            "contracts": "base,drain,config,cost,retry,recover,pressure,platform",
            "fault-tolerance.machines": "1", "fault-tolerance.zones": "0",
            "fault-tolerance.regions": "0", "bounds.seed-lag": "3s", "bounds.reuse-delay": "2s",
            "bounds.contact": "3000ms", "bounds.ack": "4000ms", "bounds.sync_time": "4s",
            "bounds.drain-period": "2000ms", "bounds.grace-period": "6s",
            "bounds.lost_time": "200ms", "bounds.config-propagation": "2000ms",
            "bounds.visibility-lag": "250ms", "bounds.outer": "5000ms",
            "bounds.budget-ratio": "0.2", "bounds.budget-window": "10s",
            "bounds.budget-slack": "49", "bounds.recover": "15s",
            "app-addr": f"{self.host}:{ports['app']}", "service": self.service,
            "platform.address": f"{self.mesh.places.store_host}:{ports['store']}",
            "platform.form": "log", "platform.writes-per-s": "400",
            "platform.reads-per-s": "2000", "platform.parts": "24", "platform.append": "1ms",
            "platform.partition-mb-s": "20.0", "platform.read-mb-s": "80.0",
            "platform.record-bytes": "262144", "platform.call-bytes": "2097152",
            "platform.keep": "300s", "platform.part-mb": "200", "platform.ttl-min": "1000ms",
        }
        self.file.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))

    def start(self) -> None:
        self.write_settings()
        self._supervisor = asyncio.create_task(self._supervise())
        self._guard = asyncio.create_task(self._guard_memory())

    async def _supervise(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": f"{ROOT / 'target/deps'}",
            "PYTHONDONTWRITEBYTECODE": "1",
            "APRICOTWALK_NODE_FILE": str(self.file),
        }
        while True:
            self._expected = False
            with (self.mesh.directory / f"{self.name}.log").open("ab") as output:
                self.process = await asyncio.create_subprocess_exec(
                    *command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                    stdout=output, stderr=output,
                )
            code = await self.process.wait()
            self.ended_at = now()
            self.mesh.record.write(f"node {self.name} ended with {code}")
            if not self._expected:
                self.ends.append(f"{self.name} ended by itself with {code}")
            if not self.may_restart:
                return
            self.is_bootstrap = False
            self.write_settings()
            await asyncio.sleep(0.4)

    def rss_mb(self) -> float:
        process = self.process
        if process is None or process.returncode is not None:
            return 0.0
        try:
            pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1048576

    async def _guard_memory(self) -> None:
        """Kill a process that exceeds its memory, as the platform does."""
        while True:
            await asyncio.sleep(0.1)
            megabytes = self.rss_mb()
            self.peak_mb = max(self.peak_mb, megabytes)
            if megabytes > self.memory_mb:
                self.ends.append(f"{self.name} exceeded {self.memory_mb} MB: {megabytes:.0f} MB")
                self.mesh.record.write(self.ends[-1])
                self.send(signal.SIGKILL)
                await asyncio.sleep(0.5)

    def send(self, number: signal.Signals) -> None:
        process = self.process
        if process is None or process.returncode is not None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._expected = True
        process.send_signal(number)
        self.mesh.record.write(f"{number.name} to node {self.name}")

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, self.mesh.places.ports["ready"]
                )
                try:
                    writer.write(b"GET /api/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
                    head = await read_head(reader)
                    return head is not None and " 200 " in head[0] + " "
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    async def close(self) -> None:
        self.may_restart = False
        for task in (self._guard,):
            if task is not None:
                task.cancel()
        self.send(signal.SIGKILL)
        if self._supervisor is not None:
            self._supervisor.cancel()
        if self.process is not None and self.process.returncode is None:
            await self.process.wait()


def route(service: str, prefix: str, kind: str, timeout_ms: int, aim_ms: int, priority: int,
          attempts: int) -> dict[str, object]:
    return {
        "host": HOST, "path-prefix": prefix, "kind": kind, "timeout": f"{timeout_ms}ms",
        "aim": f"{aim_ms}ms", "priority": priority, "service": service, "max-attempts": attempts,
    }


class Mesh:
    """A small deployment: one node and one server on each machine, and the store."""

    def __init__(self, services: list[str], record: Record, slots: int = 152) -> None:
        self.places = Places(len(services))
        self.record = record
        self.directory = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.runs: list[Run] = []
        self._spawned: set[asyncio.Task[None]] = set()
        self.store = Store(self.places.store_host, self.places.ports["store"])
        self.nodes = [Node(self, index, service) for index, service in enumerate(services)]
        self.servers = [
            Server(self, self.places.hosts[index], f"{service}{index + 1}", service, slots)
            for index, service in enumerate(services)
        ]

    def spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._spawned.add(task)
        task.add_done_callback(self._spawned.discard)

    def configure(self, version: int, routes: dict[str, dict[str, object]]) -> None:
        services = sorted({server.service for server in self.servers})
        value = {
            "version": f"r{version}", "routes": routes,
            "services": {
                name: {"health-path": "/health", "max-connections": 1012} for name in services
            },
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864,
                       "header-timeout": "3000ms", "idle-timeout": "15s"},
        }
        self.store.put("keyed.op", "config", json.dumps(value).encode())

    async def start(self, routes: dict[str, dict[str, object]]) -> None:
        await self.store.start()
        self.configure(10, routes)
        for server in self.servers:
            await server.start()
        for node in self.nodes:
            node.start()
        deadline = now() + 25
        while not all([await node.is_ready() for node in self.nodes]):
            if now() > deadline:
                raise CannotRun("the nodes do not become ready")
            await asyncio.sleep(0.2)
        await asyncio.sleep(5.0)  # traffic starts some time after the machines do

    async def close(self) -> None:
        for node in self.nodes:
            await node.close()
        for server in self.servers:
            server.stop()
        self.store.close()


class Client:
    """A connection to a node, over which whole requests are sent one after the other."""

    def __init__(self, mesh: Mesh, node: Node) -> None:
        self.mesh, self.node = mesh, node
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, limit: int = 1 << 20) -> None:
        async with asyncio.timeout(1.0):
            self.reader, self.writer = await asyncio.open_connection(
                self.node.host, self.mesh.places.ports["outbound"], limit=limit
            )

    def write(self, method: str, path: str, attempt: str, deadline_ms: int, body: bytes = b"",
              extra: str = "") -> None:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n{extra}"
        )
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        self.writer.write(head.encode() + b"\r\n" + body)

    async def answer(self) -> tuple[int, dict[str, str], bytes] | None:
        """Return the next answer, or None if the connection ended before it was complete."""
        head = await read_head(self.reader)
        if head is None:
            return None
        try:
            body = await read_body(self.reader, head[1])
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return int(head[0].split(" ")[1]), head[1], body

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


def main(case, folder: Path) -> None:
    """Run a case; it returns the breaches that it saw."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    status = 2
    try:
        breaches = asyncio.run(_run(case, record, has_trouble))
        status = 1 if breaches else 0
        for breach in breaches[:20]:
            record.say(f"BREACH {breach}")
        record.say(f"{len(breaches)} breaches; trouble={int(has_trouble)}")
    except CannotRun as error:
        record.say(f"cannot run: {error}")
    finally:
        record.close()
    sys.exit(status)


async def _run(case, record: Record, has_trouble: bool) -> list[str]:
    # Connections that end while the stand-ins close are no finding.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    async with asyncio.timeout(110):
        return await case(record, has_trouble)
