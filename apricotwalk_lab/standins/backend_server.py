"""Stand-in for a backend server.

The server announces itself to its node, executes at most `slots` requests concurrently, makes the
configured inner calls through its node, and records every execution in memory and optionally in a
file.  ``POST /control`` changes its behavior, ``GET /executions`` returns the executions, and
``GET /load`` and ``GET /health`` report that the server is healthy, with the load set by
``POST /control``.
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
RECORD_FILE_MODE = 0o644


class Work(msgspec.Struct, forbid_unknown_fields=True):
    """Execution of one kind of request.

    Parameters
    ----------
    path : str
        Path prefix of the requests.
    service_ms : float
        Time for which an execution occupies a slot, in milliseconds.
    calls : list of str
        Inner calls, each as ``"METHOD /path"``, made sequentially.
    answer_bytes : int
        Size of the payload in the answer's body, in bytes.
    jitter_ms : float
        Upper limit of the random time added to the service time, in milliseconds.
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
        Name of the instance, and service that it offers.
    address : str
        Address to listen on, as host:port.
    node : str
        Address of the node's listener for servers.
    slots : int
        Maximum number of concurrent executions.
    works : list of Work
        Kinds of requests; the first matching path prefix applies.
    announced : str
        Address to announce instead of `address`, if not empty.
    record_path : str
        File to which every execution is written when it begins and ends, if not empty.
    cold_seconds : float
        Time after the start during which service times are longer, in seconds.
    cold_factor : float
        Factor on every service time at the start; decreases linearly to 1 over `cold_seconds`.
    keeps_deadlines : bool
        Whether to refuse a request whose deadline passed before a slot was free.
    accepts_cancellation : bool
        Whether an execution is cancelled when the connection of its request closes.
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
    """Behavior that can change while the stand-in runs.

    Parameters
    ----------
    slowdown : float
        Factor on every service time.
    crash_on : str
        Text in a request body that makes the process kill itself; empty for none.
    fail_fast : bool
        Whether to answer every request immediately with status 500.
    truncate_answers : int
        Number of further answers that are cut off after half of the body.
    reported_slots : int
        Number of slots to announce instead of the configured number, if above 0.
    reported_load : float, optional
        Load to report instead of the actual load.
    """

    slowdown: float = 1.0
    crash_on: str = ""
    fail_fast: bool = False
    truncate_answers: int = 0
    reported_slots: int = 0
    reported_load: float | None = None


class Execution(msgspec.Struct, tag_field="kind", tag="execution"):
    """One execution, as observed by the backend server.

    Parameters
    ----------
    instance, method, path, request, key : str
        Instance that executed the request, its method and path, the request identifier and the
        idempotency key.
    began, ended : float
        Unix time in seconds; `ended` is 0 while the execution runs.
    status : int
        HTTP status of the answer.
    service : str
        Service of the backend server.
    number : int
        Sequence number of the execution within its process.
    process : int
        Identifier of the process that ran the execution.
    tag : str
        Tag that the sender gave to the attempt that caused the execution.
    deadline_ms : float
        Time left until the deadline as stated in the request, in milliseconds.
    worked_ms : float
        Time for which the execution occupied a slot, in milliseconds.
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
        """Return a unique identifier of the execution."""
        return f"{self.instance}.{self.process}.{self.number}"


class InnerCall(msgspec.Struct, tag_field="kind", tag="inner-call"):
    """Outcome of one inner call, as observed by the backend server that made it.

    Parameters
    ----------
    instance, tag : str
        Instance that made the call and the tag that it gave to the attempt.
    status : int
        HTTP status of the answer, or `UNREACHABLE_STATUS` if there was none.
    verdict : str
        Verdict of the answer, or an empty string.
    ended : float
        Unix time in seconds.
    """

    instance: str
    tag: str
    status: int
    verdict: str
    ended: float


class Recorder:
    """Record executions in memory and optionally in a file.

    Parameters
    ----------
    path : str
        Path of the file, or an empty string for none.

    Notes
    -----
    Each line is written in one unbuffered call before the execution continues, so the record
    survives a crash of the process.
    """

    def __init__(self, path: str) -> None:
        self.executions: list[Execution] = []
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(path, flags, RECORD_FILE_MODE) if path else None

    def begin(self, execution: Execution) -> None:
        """Assign a number to an execution and record its start."""
        execution.number = len(self.executions)
        execution.process = os.getpid()
        self.executions.append(execution)
        self.write(execution)

    def write(self, record: Execution | InnerCall) -> None:
        """Append one JSON line to the file, if there is one."""
        if self._descriptor is not None:
            os.write(self._descriptor, msgspec.json.encode(record) + b"\n")


class Server:
    """State of one stand-in."""

    def __init__(self, settings: ServerSettings) -> None:
        self.settings = settings
        self.control = Control()
        self.recorder = Recorder(settings.record_path)
        self.slots = asyncio.Semaphore(settings.slots)
        self.occupied_slots = 0
        self.client = AsyncHTTPClient(max_clients=1000)
        self._started = time.monotonic()

    def find_work(self, path: str) -> Work:
        """Return the configured work for `path`, or the default work if none matches."""
        for work in self.settings.works:
            if path.startswith(work.path):
                return work
        return Work(path)

    def service_seconds(self, work: Work) -> float:
        """Return the time for which the next execution of `work` occupies a slot, in seconds."""
        milliseconds = work.service_ms + random.uniform(0.0, work.jitter_ms)
        return milliseconds * self.control.slowdown * self._cold_factor() / 1000

    def _cold_factor(self) -> float:
        age = time.monotonic() - self._started
        if age >= self.settings.cold_seconds:
            return 1.0
        remaining_share = 1.0 - age / self.settings.cold_seconds
        return 1.0 + (self.settings.cold_factor - 1.0) * remaining_share

    async def announce_forever(self) -> None:
        """Announce the server to the node periodically."""
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
    """Execute one request."""

    def initialize(self, server: Server) -> None:
        """Set the server state that the handler uses."""
        self._server = server
        self._task: asyncio.Task[object] | None = None

    def on_connection_close(self) -> None:
        """Cancel the execution, since its answer can no longer be delivered."""
        if self._task is not None and self._server.settings.accepts_cancellation:
            self._task.cancel()

    async def get(self) -> None:
        """Execute a request without a body."""
        await self._work()

    async def post(self) -> None:
        """Execute a request with a body."""
        await self._work()

    async def _work(self) -> None:
        self._task = asyncio.current_task()
        work = self._server.find_work(self.request.path)
        arrived_at = time.monotonic()
        try:
            await self._server.slots.acquire()
        except asyncio.CancelledError:
            return
        wait_seconds = time.monotonic() - arrived_at
        if self._server.settings.keeps_deadlines and wait_seconds > self._deadline_seconds():
            self._server.slots.release()
            self._refuse()
            return
        execution = self._new_execution()
        self._server.recorder.begin(execution)
        try:
            await self._run(execution, work)
        except asyncio.CancelledError:
            self._record_end(execution, CANCELLED_STATUS)

    async def _run(self, execution: Execution, work: Work) -> None:
        server = self._server
        slot_acquired_at = time.monotonic()
        server.occupied_slots += 1
        try:
            self._crash_if_configured()
            if server.control.fail_fast:
                self._record_end(execution, 500)
                self._answer(500, b"failing fast")
                return
            await asyncio.sleep(server.service_seconds(work))
        finally:
            server.slots.release()
            server.occupied_slots -= 1
            execution.worked_ms = (time.monotonic() - slot_acquired_at) * 1000
        for index, call in enumerate(work.calls):
            status = await self._call(call, f"{execution.tag}>{execution.name()}.{index}")
            if status != 200:
                self._record_end(execution, 502)
                self._answer(502, f"inner call {call} gave {status}".encode())
                return
        self._record_end(execution, 200)
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

    def _crash_if_configured(self) -> None:
        crash_on = self._server.control.crash_on.encode()
        if crash_on and crash_on in self.request.body:
            os.kill(os.getpid(), signal.SIGKILL)

    def _refuse(self) -> None:
        self.set_header("Apricotwalk-Verdict", NOT_RUN)
        self._answer(503, b"the deadline passed before a slot was free")

    def _answer_body(self, work: Work) -> bytes:
        echo = self.request.headers.get(ECHO_HEADER, "")
        return encode_answer_body(echo, work.answer_bytes)

    def _record_end(self, execution: Execution, status: int) -> None:
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
    """Change the behavior of the stand-in."""

    def initialize(self, server: Server) -> None:
        """Set the server state that the handler uses."""
        self._server = server

    def post(self) -> None:
        """Replace the behavior by that in the body."""
        self._server.control = msgspec.json.decode(self.request.body, type=Control)
        self.finish("{}")


class ExecutionsHandler(RequestHandler):
    """Return the recorded executions."""

    def initialize(self, server: Server) -> None:
        """Set the server state that the handler uses."""
        self._server = server

    def get(self) -> None:
        """Return all executions as a JSON array."""
        self.finish(msgspec.json.encode(self._server.recorder.executions))


class ReportHandler(RequestHandler):
    """Report the server as healthy, with the configured load instead of the actual one."""

    def initialize(self, server: Server) -> None:
        """Set the server state that the handler uses."""
        self._server = server

    def get(self) -> None:
        """Return the health report."""
        self.finish({"healthy": True, "load": self._server.control.reported_load})


async def serve(settings: ServerSettings) -> None:
    """Serve requests and announce the server until the process is terminated."""
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


def encode_answer_body(echo: str, payload_bytes: int) -> bytes:
    """Return a body whose completeness and origin the reader can verify.

    Parameters
    ----------
    echo : str
        Echo token of the request that is answered.
    payload_bytes : int
        Size of the payload in bytes; the payload is empty if `echo` is empty.

    Notes
    -----
    The body is ``ECHO LENGTH DIGEST PAYLOAD``, where DIGEST is the 64-bit XXH3 hash of the payload
    in hexadecimal.
    """
    payload = (echo * (payload_bytes // max(1, len(echo)) + 1)).encode()[:payload_bytes]
    return f"{echo} {len(payload)} {xxh3_64_hexdigest(payload)} ".encode() + payload


def is_valid_answer_body(body: bytes, echo: str) -> bool:
    """Return whether `body` is the complete answer to the request with the echo token `echo`."""
    parts = body.split(b" ", 3)
    if len(parts) != 4 or parts[0] != echo.encode() or not parts[1].isdigit():
        return False
    payload = parts[3]
    return len(payload) == int(parts[1]) and parts[2] == xxh3_64_hexdigest(payload).encode()


def main() -> None:
    """Parse the command line and serve the backend server."""
    parser = argparse.ArgumentParser(description="stand-in backend server")
    parser.add_argument("settings", help="JSON text of the settings")
    arguments = parser.parse_args()
    asyncio.run(serve(msgspec.json.decode(arguments.settings, type=ServerSettings)))


if __name__ == "__main__":
    main()
