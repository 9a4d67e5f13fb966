"""Small stand-ins for the platform, its store, targets and clients, and control of real nodes.

Only the standard library is used.  The nodes are the project's own processes, started with the
command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "mesh.example"
HEALTH_PATH = "/health"
READY_PORT, APP_PORT, IN_PORT, OUT_PORT, CONTROL_PORT, PEER_PORT = 8302, 8301, 8300, 8304, 8306, 7620
STORE_PORT = 8309
RESTART_PAUSE = 0.4
PROPAGATION = 2.0
DRAIN = 2.0
CONTACT = 3.0
GRACE = 6.0
MEMORY_MB = 300

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_LEN = struct.Struct(">I")


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """Collects what was sent, answered and run, with times since the start of the script."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def now(self):
        return time.monotonic() - self.began

    def say(self, text):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")

    def show(self, text):
        self.say(text)
        print(text, flush=True)


def free_network():
    """Return the first three octets of a loopback network on which the ports are free."""
    for _ in range(50):
        network = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        try:
            for last in (1, 2, 250):
                for port in (READY_PORT, APP_PORT, OUT_PORT, CONTROL_PORT, PEER_PORT, STORE_PORT, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{last}", port))
        except OSError:
            continue
        return network
    raise CannotRun("no free loopback addresses")


async def read_head(reader):
    """Return the first line and the fields (lower-case names) of an HTTP head, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode("latin1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


# ---------------------------------------------------------------- the store


class Store:
    """The platform's store: keyed topics with append, read (long poll) and newest."""

    def __init__(self, host, record):
        self.host, self.record = host, record
        self.topics = {}
        self.server = None

    def topic(self, name):
        return self.topics.setdefault(name, {"records": [], "changed": asyncio.Event()})

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, STORE_PORT)

    def append(self, name, records):
        topic = self.topic(name)
        offset = len(topic["records"])
        topic["records"] += records
        topic["changed"].set()
        topic["changed"] = asyncio.Event()
        return offset

    def put(self, name, key, value):
        self.append(name, [bytes([len(key)]) + key.encode() + value])

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                args = dict(part.partition("=")[::2] for part in query.split("&") if part)
                await asyncio.sleep(0.004)
                status, answer = await self._answer(path, args, body)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(answer))
                    + answer
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, args, body):
        topic = self.topic(args.get("topic", ""))
        records = topic["records"]
        if path == "/api/log-append":
            new, position = [], 0
            while position < len(body):
                (size,) = _LEN.unpack_from(body, position)
                new.append(body[position + 4 : position + 4 + size])
                position += 4 + size
            offset = self.append(args["topic"], new)
            return 200, json.dumps({"offset": offset, "end": len(records)}).encode()
        if path == "/api/log-newest":
            newest = {}
            for offset, content in enumerate(records):
                newest[content[1 : 1 + content[0]].decode()] = (offset, content[1 + content[0] :])
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(newest.items())
                if value
            ]
            return 200, json.dumps({"items": items, "more": False, "end": len(records)}).encode()
        if path == "/api/log-read":
            start = int(args["from"])
            if start >= len(records) and float(args.get("wait-ms", 0)) > 0:
                try:
                    async with asyncio.timeout(float(args["wait-ms"]) / 1000):
                        await topic["changed"].wait()
                except TimeoutError:
                    pass
            answer = struct.pack(">QQ", len(records), 0)
            for content in records[start:]:
                answer += _LEN.pack(len(content)) + content
            return 200, answer
        return 404, b"{}"


def route(service, kind="safe", timeout="5000ms", aim="1200ms", priority=1, attempts=2):
    return {
        "host": HOST,
        "path-prefix": f"/{service}/",
        "kind": kind,
        "timeout": timeout,
        "aim": aim,
        "priority": priority,
        "service": service,
        "max-attempts": attempts,
    }


def configuration(version, routes, services, max_body=67108864):
    return json.dumps(
        {
            "version": f"r{version}",
            "routes": routes,
            "services": {
                name: {"health-path": HEALTH_PATH, "max-connections": 1012} for name in services
            },
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": max_body,
                "header-timeout": "3000ms",
                "idle-timeout": "15000ms",
            },
        }
    ).encode()


# ---------------------------------------------------------------- nodes


class Node:
    """A real node process of the project, with restarts as on the platform."""

    def __init__(self, world, number, service):
        self.world, self.number, self.service = world, number, service
        self.name = f"sidecar-z-{number}"
        self.host = f"{world.network}.{number}"
        self.settings = world.folder / f"{self.name}.conf"
        self.output = world.folder / f"{self.name}.log"
        self.process = None
        self.task = None
        self.started_at = []
        self.ended = []  # (time, return code, whether the test asked for it)
        self.expected = False
        self.is_held = False
        self._write_settings()

    def _write_settings(self):
        bounds = {
            "seed-lag": "3s", "reuse-delay": "2s", "contact": "3000ms", "ack": "4000ms",
            "sync_time": "4s", "drain-period": "2000ms", "grace-period": "6s",
            "lost_time": "200ms", "config-propagation": "2000ms", "visibility-lag": "250ms",
            "outer": "5000ms", "budget-ratio": "0.2", "budget-window": "10s",
            "budget-slack": "49", "recover": "15s",
        }
        fields = {
            "node": self.name, "role": "node", "machine-class": "sidecar", "serves": "sidecar",
            "ip": self.host, "zone": "z", "region": "r", "zones.z": "r",
            "listen.inbound": f"{self.host}:{IN_PORT}",
            "listen.outbound": f"{self.host}:{OUT_PORT}",
            "listen.ready": f"{self.host}:{READY_PORT}",
            "listen.control": f"{self.host}:{CONTROL_PORT}",
            "internal-ports": f"{PEER_PORT},{PEER_PORT + 15}",
            "seeds": "", "bootstrap": "false", "loss-counts": "false",
            "limits.cpu-share": "0.86", "limits.cores": "2", "limits.memory-mb": str(MEMORY_MB),
            "limits.max-fds": "4100", "limits.link-mbps": "1000.0", "limits.disk-mb": "0",
            "discovery": "static", "entry": "static", "heartbeat-interval": "1500ms",
            "contracts": "base,drain,config,cost,retry,recover,pressure,platform",
            "fault-tolerance.machines": "1", "fault-tolerance.zones": "0",
            "fault-tolerance.regions": "0",
            "app-addr": f"{self.host}:{APP_PORT}", "service": self.service,
            "platform.address": f"{self.world.network}.250:{STORE_PORT}",
            "platform.form": "log",
        }
        fields.update({f"bounds.{name}": value for name, value in bounds.items()})
        self.settings.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))

    async def start(self):
        self.task = asyncio.create_task(self._supervise())

    async def _supervise(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PYTHONPATH"] = f"{ROOT}{os.pathsep}{ROOT / 'target' / 'deps'}"
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["APRICOTWALK_NODE_FILE"] = str(self.settings)
        while True:
            while self.is_held:
                await asyncio.sleep(0.02)
            with self.output.open("ab") as output:
                self.process = await asyncio.create_subprocess_exec(
                    "python3", "-m", "apricotwalk.daemon.mesh",
                    stdout=output, stderr=output, cwd=ROOT, env=environment,
                )
            self.expected = False
            self.started_at.append(self.world.record.now())
            self.world.record.say(f"{self.name} started, pid {self.process.pid}")
            code = await self.process.wait()
            self.ended.append((self.world.record.now(), code, self.expected))
            self.world.record.say(f"{self.name} ended with {code}, asked for: {self.expected}")
            await asyncio.sleep(RESTART_PAUSE)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.expected = True
            self.world.record.say(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def terminate(self, restart=True):
        """SIGTERM, and SIGKILL after the grace period."""
        process = self.process
        self.is_held = not restart
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE):
                await process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await process.wait()

    async def is_ready(self):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, READY_PORT)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def memory_mb(self):
        """Return the resident memory of the process in MB (10**6 bytes), or 0."""
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024 / 1e6
        except (OSError, AttributeError):
            pass
        return 0.0

    async def close(self):
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


# ---------------------------------------------------------------- targets


class Target:
    """A target: runs requests in its slots, sends status reports, may drain, crash and start again."""

    def __init__(self, world, node, slots=20, work=0.05, body=lambda path: b"done\n" * 20):
        self.world, self.node, self.slots = world, node, slots
        self.work_seconds, self.body = work, body
        self.host, self.service = node.host, node.service
        self.starts = 0
        self.id = ""
        self.server = None
        self.beats = None
        self.state = "ready"
        self.connections = set()
        self.running = 0
        self.arrivals = []  # (time, id, attempt, path)
        self.runs = []
        self.sheds = lambda attempt, path: False
        self.crashes_on = lambda path: False
        self.on_crash = None
        self.acks = []  # (time, state) of each acknowledged report

    async def start(self):
        self.starts += 1
        self.id = f"i-{self.node.number:02d}{self.starts:02d}{random.randrange(16**6):06x}"
        self.born, self.seq, self.running, self.state = int(time.time() * 1000), 0, 0, "ready"
        self.server = await asyncio.start_server(self._serve, self.host, APP_PORT, limit=1 << 20)
        self.beats = asyncio.create_task(self._beat())
        self.world.record.say(f"target {self.id} of {self.service} started beside {self.node.name}")

    def stop(self):
        """End at once: refuse new connections and reset the open ones."""
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()
        self.connections.clear()

    async def crash(self, seconds):
        self.world.record.say(f"target {self.id} crashes")
        self.stop()
        if self.on_crash is not None:
            self.on_crash(self)
        await asyncio.sleep(seconds)
        await self.start()

    async def _beat(self):
        while True:
            await self.report(self.state)
            await asyncio.sleep(1.5)

    def report_body(self, state):
        self.seq += 1
        return json.dumps(
            {
                "service": self.service, "address": f"{self.host}:{APP_PORT}", "zone": "z",
                "version": "v1", "slots": self.slots, "state": state, "cold-remaining": "0ms",
                "seq": self.seq, "born": self.born,
            }
        ).encode()

    async def report(self, state):
        return await self.call("PUT", self.report_body(state), state)

    async def call(self, method, body, what):
        """Send one call to the node's control address and return whether it was acknowledged."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, CONTROL_PORT)
                writer.write(
                    f"{method} /api/instances/{self.id} HTTP/1.1\r\nHost: {self.host}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        if b" 200 " in line:
            self.acks.append((self.world.record.now(), what))
            if what != "ready":
                self.world.record.say(f"target {self.id}: '{what}' is acknowledged")
            return True
        return False

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, path, _ = line.split(" ")
                await self._answer(writer, method, path, fields, body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, writer, method, path, fields, body):
        load = f"Server-Load: {self.running},0,{self.slots}\r\n"
        if path == HEALTH_PATH:
            status = 200 if self.state == "ready" else 503
            self._write(writer, status, f"Instance-Id: {self.id}\r\n{load}", b"")
            return
        attempt = fields.get("attempt-id", "")
        echo = f"Attempt-Id: {attempt}\r\n{load}"
        if fields.get("expect-instance", self.id) != self.id:
            self._write(writer, 421, f"{echo}Instance-Id: {self.id}\r\n", b"")
            return
        now = self.world.record.now()
        self.arrivals.append((now, self.id, attempt, path))
        if self.running >= self.slots or self.sheds(attempt, path):
            self.world.record.say(f"target {self.id} rejects {attempt} {path} (Not-Executed)")
            self._write(writer, 503, f"{echo}Not-Executed: 1\r\n", b"")
            return
        self.runs.append((now, self.id, attempt, path, fields.get("caller-service", "")))
        self.world.record.say(f"target {self.id} runs {attempt} {method} {path} ({len(body)} bytes)")
        if self.crashes_on(path):
            self.world.spawn(self.crash(2.0))
            await asyncio.sleep(0.01)
            return
        self.running += 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self.running -= 1
        answer = self.body(path)
        seal = f"Server-Seal: {self.id}.{len(answer)}\r\n"
        self._write(writer, 200, echo + seal, answer)
        await writer.drain()

    def _write(self, writer, status, fields, body):
        if not writer.transport.is_closing():
            writer.write(
                f"HTTP/1.1 {status} X\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body
            )


# ---------------------------------------------------------------- clients


class Answer:
    def __init__(self, status, fields, body, detail=""):
        self.status, self.fields, self.body, self.detail = status, fields, body, detail

    @property
    def is_success(self):
        return 200 <= self.status < 300 and "server-seal" in self.fields


_attempts = 0


def new_attempt():
    global _attempts
    _attempts += 1
    return f"a{_attempts:06d}{random.randrange(16**6):06x}"


def encode_request(method, path, attempt, deadline_ms, body=b""):
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
        f"Deadline-Ms: {deadline_ms}\r\n"
    )
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class Client:
    """A client with one kept connection; sends one request at a time and doesn't retry."""

    def __init__(self, world, node):
        self.world, self.node = world, node
        self.reader = self.writer = None

    async def send(self, method, path, body=b"", deadline_ms=5000, attempt=None):
        attempt = attempt or new_attempt()
        record = self.world.record
        was_kept = self.writer is not None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(
                        self.node.host, OUT_PORT, limit=1 << 22
                    )
                record.say(f"client at {self.node.name} sends {attempt} {method} {path} ({len(body)} bytes)")
                self.writer.write(encode_request(method, path, attempt, deadline_ms, body))
                await self.writer.drain()
                head = await read_head(self.reader)
                if head is None:
                    raise ConnectionResetError("closed without an answer")
                line, fields = head
                content = await self.reader.readexactly(int(fields.get("content-length", 0)))
                answer = Answer(int(line.split(" ")[1]), fields, content)
                if fields.get("connection", "").lower() == "close":
                    self.drop()
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.drop()
            answer = Answer(0, {}, b"", repr(error))
        answer.was_kept, answer.attempt = was_kept, attempt
        record.say(f"client at {self.node.name} got {attempt} -> {answer.status or answer.detail}")
        return answer

    def drop(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


# ---------------------------------------------------------------- a case


class World:
    """The store, the nodes and the targets of one case."""

    def __init__(self, case_folder):
        self.record = Record(Path(case_folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = free_network()
        self.store = Store(f"{self.network}.250", self.record)
        self.nodes, self.targets, self.tasks = [], [], set()

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def add(self, service, **options):
        node = Node(self, len(self.nodes) + 1, service)
        target = Target(self, node, **options)
        self.nodes.append(node)
        self.targets.append(target)
        return node, target

    async def start(self, routes, max_body=67108864):
        await self.store.start()
        services = {node.service for node in self.nodes}
        self.store.put("keyed.op", "config", configuration(1, routes, services, max_body))
        for target in self.targets:
            await target.start()
        for node in self.nodes:
            await node.start()
        deadline = time.monotonic() + 30
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > deadline:
                raise CannotRun("the nodes did not become ready")
            await asyncio.sleep(0.2)
        await asyncio.sleep(3.0)  # reports and membership settle; all machines are in touch

    async def close(self):
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for node in self.nodes:
            await node.close()
        for target in self.targets:
            target.stop()
        if os.environ.get("KEEP"):
            print(f"logs are kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_folder, body):
    """Run a case: `body(world)` returns True if the rule held; exits with 0, 1 or 2."""

    async def main():
        world = World(case_folder)
        try:
            async with asyncio.timeout(110):
                return await body(world)
        finally:
            await world.close()

    try:
        held = asyncio.run(main())
    except Exception as error:  # anything unexpected says nothing about the rule
        print(f"the case couldn't run: {error!r}")
        sys.exit(2)
    print("the rule held" if held else "the rule was BROKEN")
    sys.exit(0 if held else 1)
