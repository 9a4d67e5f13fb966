"""A stand-in for a backend server.

It announces itself to the node beside it, works on at most `slots` requests at once, makes
the inner calls that its work is configured to make through its own node, and keeps its own
record of every execution, in a file too where one is named.  ``POST /control`` changes its
behaviour, ``GET /executions`` returns the record, and ``GET /load`` and ``GET /health`` report
what it was told to report.
"""

import argparse
import asyncio
import os
import random
import signal
import time
from contextlib import suppress

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler
from xxhash import xxh3_64_hexdigest

ANNOUNCE_INTERVAL_SECONDS = 0.5
NODE_PREFIX = "/apricotwalk/"
TAG_HEADER = "X-Try"
ECHO_HEADER = "X-Echo"
NOT_RUN = "not-run"
CANCELLED_STATUS = 499
UNREACHABLE_STATUS = 599
RECORD_MODE = 0o644


class Work(msgspec.Struct, forbid_unknown_fields=True):
    """How one kind of request is worked on.

    Parameters
    ----------
    path : str
        Prefix of the request's path.
    service_ms : float
        Time that the work occupies a slot, in milliseconds.
    calls : list of str
        Inner calls, each as ``"METHOD /path"``, made one after another.
    answer_bytes : int
        Least size of the answer's body.
    jitter_ms : float
        Largest random time that is added to the service time, in milliseconds.
    """

    path: str
    service_ms: float = 10.0
    calls: list[str] = []
    answer_bytes: int = 64
    jitter_ms: float = 0.0


class ServerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of one stand-in.

    Parameters
    ----------
    instance, service : str
        Its name and the service that it offers.
    address : str
        Where it listens, host:port.
    node : str
        Address of its node's listener for servers.
    slots : int
        Requests that it works on at once.
    works : list of Work
        The kinds of request; the first matching path decides.
    announced : str
        Address that it announces instead of `address`, if any.
    record_path : str
        File to which every execution is written as it begins and ends, if any.
    cold_seconds : float
        Time after the start during which it is slower.
    cold_factor : float
        Factor on every service time at the start; falls to 1 over `cold_seconds`.
    keeps_deadlines : bool
        Whether it refuses work whose deadline passed before a slot was free.
    accepts_cancellation : bool
        Whether work ends when the connection of its request is closed.
    """

    instance: str
    service: str
    address: str
    node: str
    slots: int = 8
    works: list[Work] = []
    announced: str = ""
    record_path: str = ""
    cold_seconds: float = 0.0
    cold_factor: float = 1.0
    keeps_deadlines: bool = False
    accepts_cancellation: bool = True


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """Behaviour that a test changes while the stand-in runs.

    Parameters
    ----------
    slowdown : float
        Factor on every service time.
    crash_on : str
        A request whose body holds this text ends the process.
    fail_fast : bool
        Answer every request at once with status 500.
    truncate_answers : int
        Number of coming answers that break off half-way.
    reported_slots : int
        Slots that it announces instead of its own, if above 0.
    reported_load : float, optional
        Load that is reported whatever the true one is.
    """

    slowdown: float = 1.0
    crash_on: str = ""
    fail_fast: bool = False
    truncate_answers: int = 0
    reported_slots: int = 0
    reported_load: float | None = None


class Execution(msgspec.Struct, tag_field="kind", tag="execution"):
    """One execution, as the backend server itself saw it.

    Parameters
    ----------
    instance, method, path, request, key : str
        Where it ran, what ran, and for which request and idempotency key.
    began, ended : float
        Calendar time in seconds; `ended` is 0 while it runs.
    status : int
        Status that was answered.
    service : str
        Service of the backend server.
    number : int
        Counts the executions of one process.
    process : int
        Process in which it ran.
    tag : str
        The try that caused it, as its sender named it.
    deadline_ms : float
        Time that was left when the request arrived, in milliseconds.
    worked_ms : float
        Time for which a slot was occupied, in milliseconds.
    """

    instance: str
    method: str
    path: str
    request: str
    key: str
    began: float
    ended: float = 0.0
    status: int = 0
    service: str = ""
    number: int = 0
    process: int = 0
    tag: str = ""
    deadline_ms: float = 0.0
    worked_ms: float = 0.0

    def name(self) -> str:
        """Return what tells this execution from every other."""
        return f"{self.instance}.{self.process}.{self.number}"


class InnerCall(msgspec.Struct, tag_field="kind", tag="inner-call"):
    """The outcome of one inner call, as the backend server that made it saw it.

    Parameters
    ----------
    instance, tag : str
        Who made it and how it named the try.
    status : int
        Status that came back.
    verdict : str
        Verdict that came back, or an empty string.
    ended : float
        Calendar time in seconds.
    """

    instance: str
    tag: str
    status: int
    verdict: str
    ended: float


class Recorder:
    """Keeps executions in memory and, where a file is named, on the disk as they happen.

    Parameters
    ----------
    path : str
        The file, or an empty string.

    Notes
    -----
    Each line is written in one unbuffered call before the work goes on, so the record
    survives the death of the process.
    """

    def __init__(self, path: str) -> None:
        self.executions: list[Execution] = []
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(path, flags, RECORD_MODE) if path else None

    def begin(self, execution: Execution) -> None:
        """Record that an execution begins."""
        execution.number = len(self.executions)
        execution.process = os.getpid()
        self.executions.append(execution)
        self.write(execution)

    def write(self, record: Execution | InnerCall) -> None:
        """Append one line to the file."""
        if self._descriptor is not None:
            os.write(self._descriptor, msgspec.json.encode(record) + b"\n")


class Server:
    """The state of one stand-in."""

    def __init__(self, settings: ServerSettings) -> None:
        self.settings = settings
        self.control = Control()
        self.recorder = Recorder(settings.record_path)
        self.slots = asyncio.Semaphore(settings.slots)
        self.occupied_slots = 0
        self.client = AsyncHTTPClient(max_clients=1000)
        self._started = time.monotonic()

    def find_work(self, path: str) -> Work:
        """Return how to work on `path`."""
        for work in self.settings.works:
            if path.startswith(work.path):
                return work
        return Work(path)

    def service_seconds(self, work: Work) -> float:
        """Return how long the next execution of `work` occupies its slot."""
        milliseconds = work.service_ms + random.uniform(0.0, work.jitter_ms)
        return milliseconds * self.control.slowdown * self._cold_factor() / 1000

    def _cold_factor(self) -> float:
        age = time.monotonic() - self._started
        if age >= self.settings.cold_seconds:
            return 1.0
        coldness = 1.0 - age / self.settings.cold_seconds
        return 1.0 + (self.settings.cold_factor - 1.0) * coldness

    async def announce_forever(self) -> None:
        """Repeat the announcement to the node."""
        url = f"http://{self.settings.node}{NODE_PREFIX}announce"
        while True:
            body = msgspec.json.encode(self._announcement())
            with suppress(OSError, HTTPClientError):
                await self.client.fetch(HTTPRequest(url, method="POST", body=body))
            await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)

    def _announcement(self) -> dict[str, str | float]:
        reported = self.control.reported_load
        return {
            "service": self.settings.service,
            "address": self.settings.announced or self.settings.address,
            "slots": self.control.reported_slots or self.settings.slots,
            "load": self.occupied_slots / self.settings.slots if reported is None else reported,
        }


class WorkHandler(RequestHandler):
    """Works on one request."""

    def initialize(self, server: Server) -> None:
        """Take the stand-in's state."""
        self._server = server
        self._task: asyncio.Task[object] | None = None

    def on_connection_close(self) -> None:
        """Cancel the work whose answer nobody waits for."""
        if self._task is not None and self._server.settings.accepts_cancellation:
            self._task.cancel()

    async def get(self) -> None:
        """Work on a request without a body."""
        await self._work()

    async def post(self) -> None:
        """Work on a request with a body."""
        await self._work()

    async def _work(self) -> None:
        self._task = asyncio.current_task()
        work = self._server.find_work(self.request.path)
        arrived = time.monotonic()
        try:
            await self._server.slots.acquire()
        except asyncio.CancelledError:
            return
        waited = time.monotonic() - arrived
        if self._server.settings.keeps_deadlines and waited > self._deadline_seconds():
            self._server.slots.release()
            self._refuse()
            return
        execution = self._new_execution()
        self._server.recorder.begin(execution)
        try:
            await self._run(execution, work)
        except asyncio.CancelledError:
            self._end(execution, CANCELLED_STATUS)

    async def _run(self, execution: Execution, work: Work) -> None:
        server = self._server
        occupied = time.monotonic()
        server.occupied_slots += 1
        try:
            self._crash_if_told()
            if server.control.fail_fast:
                self._end(execution, 500)
                self._answer(500, b"failing fast")
                return
            await asyncio.sleep(server.service_seconds(work))
        finally:
            server.slots.release()
            server.occupied_slots -= 1
            execution.worked_ms = (time.monotonic() - occupied) * 1000
        for index, call in enumerate(work.calls):
            status = await self._call(call, f"{execution.tag}>{execution.name()}.{index}")
            if status != 200:
                self._end(execution, 502)
                self._answer(502, f"inner call {call} gave {status}".encode())
                return
        self._end(execution, 200)
        self._answer(200, self._answer_body(work))

    def _new_execution(self) -> Execution:
        headers = self.request.headers
        return Execution(
            instance=self._server.settings.instance,
            service=self._server.settings.service,
            method=self.request.method or "",
            path=self.request.path,
            request=headers.get("Apricotwalk-Request", ""),
            key=headers.get("Idempotency-Key", "").split(",")[0],
            tag=headers.get(TAG_HEADER, ""),
            deadline_ms=self._deadline_seconds() * 1000,
            began=time.time(),
        )

    def _deadline_seconds(self) -> float:
        return float(self.request.headers.get("Apricotwalk-Deadline-Ms", "1000")) / 1000

    def _crash_if_told(self) -> None:
        crash_on = self._server.control.crash_on.encode()
        if crash_on and crash_on in self.request.body:
            os.kill(os.getpid(), signal.SIGKILL)

    def _refuse(self) -> None:
        self.set_header("Apricotwalk-Verdict", NOT_RUN)
        self._answer(503, b"the deadline passed before a slot was free")

    def _answer_body(self, work: Work) -> bytes:
        echo = self.request.headers.get(ECHO_HEADER, "")
        return encode_answer_body(echo, work.answer_bytes)

    def _end(self, execution: Execution, status: int) -> None:
        execution.status = status
        execution.ended = time.time()
        self._server.recorder.write(execution)

    def _answer(self, status: int, body: bytes) -> None:
        self.set_status(status)
        control = self._server.control
        if control.truncate_answers <= 0:
            self.finish(body)
            return
        control.truncate_answers -= 1
        self.set_header("Content-Length", str(len(body)))
        self.write(body[: len(body) // 2])
        self.flush().add_done_callback(lambda _: self.request.connection.stream.close())  # type: ignore[union-attr]

    async def _call(self, call: str, tag: str) -> int:
        method, path = call.split(" ", 1)
        headers = {"Apricotwalk-Call": self.request.headers.get("Apricotwalk-Call", "")}
        headers[TAG_HEADER] = tag
        request = HTTPRequest(
            f"http://{self._server.settings.node}{path}",
            method=method,
            headers=headers,
            body=b"" if method == "POST" else None,
            request_timeout=self._deadline_seconds(),
        )
        status, verdict = UNREACHABLE_STATUS, ""
        with suppress(OSError, HTTPClientError):
            response = await self._server.client.fetch(request, raise_error=False)
            status, verdict = response.code, response.headers.get("Apricotwalk-Verdict", "")
        instance = self._server.settings.instance
        self._server.recorder.write(InnerCall(instance, tag, status, verdict, time.time()))
        return status


class ControlHandler(RequestHandler):
    """Changes the stand-in's behaviour."""

    def initialize(self, server: Server) -> None:
        """Take the stand-in's state."""
        self._server = server

    def post(self) -> None:
        """Set the behaviour."""
        self._server.control = msgspec.json.decode(self.request.body, type=Control)
        self.finish("{}")


class ExecutionsHandler(RequestHandler):
    """Returns the record of executions."""

    def initialize(self, server: Server) -> None:
        """Take the stand-in's state."""
        self._server = server

    def get(self) -> None:
        """Answer with every execution."""
        self.finish(msgspec.json.encode(self._server.recorder.executions))


class ReportHandler(RequestHandler):
    """Reports health and load as told, which may be wrong."""

    def initialize(self, server: Server) -> None:
        """Take the stand-in's state."""
        self._server = server

    def get(self) -> None:
        """Answer with the report."""
        self.finish({"healthy": True, "load": self._server.control.reported_load})


async def serve(settings: ServerSettings) -> None:
    """Serve until the process is ended."""
    server = Server(settings)
    application = Application(
        [
            (r"/control", ControlHandler, {"server": server}),
            (r"/executions", ExecutionsHandler, {"server": server}),
            (r"/(?:health|load)", ReportHandler, {"server": server}),
            (r"/.*", WorkHandler, {"server": server}),
        ],
        log_function=lambda handler: None,
    )
    host, port = settings.address.rsplit(":", 1)
    HTTPServer(application).listen(int(port), host)
    await server.announce_forever()


def encode_answer_body(echo: str, least_bytes: int) -> bytes:
    """Return a body that tells its reader whose it is, how long it is and what it holds.

    Parameters
    ----------
    echo : str
        Token of the request that is answered.
    least_bytes : int
        Least size of the payload.

    Notes
    -----
    The body is ``ECHO LENGTH DIGEST PAYLOAD``, the digest being the XXH3 of the payload.
    """
    payload = (echo * (least_bytes // max(1, len(echo)) + 1)).encode()[:least_bytes]
    return f"{echo} {len(payload)} {xxh3_64_hexdigest(payload)} ".encode() + payload


def is_valid_answer_body(body: bytes, echo: str) -> bool:
    """Return whether `body` is the complete answer to the request with token `echo`."""
    parts = body.split(b" ", 3)
    if len(parts) != 4 or parts[0] != echo.encode() or not parts[1].isdigit():
        return False
    payload = parts[3]
    return len(payload) == int(parts[1]) and parts[2] == xxh3_64_hexdigest(payload).encode()


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="stand-in backend server")
    parser.add_argument("settings", help="JSON text of the settings")
    arguments = parser.parse_args()
    asyncio.run(serve(msgspec.json.decode(arguments.settings, type=ServerSettings)))


if __name__ == "__main__":
    main()
