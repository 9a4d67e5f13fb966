"""A stand-in of a backend server of the users' platform."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable

from tornado.httpclient import HTTPClientError
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.web import Application, RequestHandler

from apricotwalk.core import Service
from apricotwalk_lab.soak._pages import (
    BACKEND_PORT,
    HEADER_FIELD_NAMES,
    HEALTH_PATH,
    HEARTBEAT_PORT,
    HEARTBEAT_PREFIX,
    heartbeat,
    seal,
)
from apricotwalk_lab.soak._records import Execution, Records

__all__ = ["BackendServerStandIn"]

SLOTS = 12
HEARTBEAT_SECONDS = 0.5
# A status report that takes longer counts as unacknowledged on the users' platform.
ACKNOWLEDGE_SECONDS = 1.0
WORK_SECONDS = 0.03
SLOW_FACTOR = 12.0
# A crashed server is back so much later.
RESTART_SECONDS = 1.5
# It serves a little longer than the bound for new work after it said that it leaves.
SERVES_AFTER_LEAVE_SECONDS = 3.0
MISDIRECTED = 421
UNAVAILABLE = 503

_births = itertools.count(int(time.time() * 1000))


class BackendServerStandIn(Service):
    """One backend server, restarted and replaced in place.

    Parameters
    ----------
    name : str
        Name of the instance.
    service : str
        Service that it belongs to.
    host : str
        Address of its instance.
    port : int
        Port to listen on; the node reaches it through a link.
    records : Records
        Receives what runs.
    clock : callable
        Seconds since callers began.
    generator : random.Random
        Chooses how long work takes.
    """

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        port: int,
        records: Records,
        clock: Callable[[], float],
        generator: random.Random,
    ) -> None:
        self.service = service
        self.records = records
        self.clock = clock
        self._name, self._host, self._port = name, host, port
        self._random = generator
        self._starts = 0
        self._born = 0
        self._sequence = 0
        self._running = 0
        self._http: HTTPServer | None = None
        self._beats: asyncio.Task[None] | None = None
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=4)
        self.server_id = ""
        self._is_changing = False
        self.is_leaving = False
        self.is_slow = False
        self.loses_answers = False
        self.cuts_answers = False

    async def start(self) -> None:
        """Start a new incarnation."""
        self._starts += 1
        self._born, self._sequence, self._running = next(_births), 0, 0
        self.server_id = f"{self._name}-{self._starts}"
        self.is_leaving = False
        self._http = HTTPServer(Application([(r".*", _Request, {"owner": self})]))
        self._http.listen(self._port, self._host)
        self._beats = asyncio.create_task(self._beat())

    async def close(self) -> None:
        """End without a word, breaking off what runs."""
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None
        if self._http is not None:
            http, self._http = self._http, None
            http.stop()
            await http.close_all_connections()

    async def crash(self) -> None:
        """End without a word and come back later under a new name."""
        if self._is_changing:
            return
        self._is_changing = True
        await self._restart()

    async def replace(self) -> None:
        """Leave as planned, and start a new incarnation."""
        if self._is_changing:
            return
        self._is_changing = True
        self.is_leaving = True
        leaving = self.server_id
        if await self._report("draining"):
            self.records.left_at_by_server[leaving] = self.clock()
        await asyncio.sleep(SERVES_AFTER_LEAVE_SECONDS)
        await self._call("DELETE", None)
        await self._restart()

    async def _restart(self) -> None:
        await self.close()
        await asyncio.sleep(RESTART_SECONDS)
        await self.start()
        self._is_changing = False

    async def work(self) -> None:
        """Take the time of one piece of work."""
        factor = SLOW_FACTOR if self.is_slow else 1.0
        await asyncio.sleep(self._random.lognormvariate(0.0, 0.4) * WORK_SECONDS * factor)

    def take_slot(self) -> bool:
        """Occupy a slot, unless all are taken."""
        if self._running >= SLOTS:
            return False
        self._running += 1
        return True

    def free_slot(self) -> None:
        """Give a slot back."""
        self._running -= 1

    def load(self) -> str:
        """Return running, waiting and slots as the load field states them."""
        return f"{self._running},0,{SLOTS}"

    async def _beat(self) -> None:
        while True:
            if not self.is_leaving:
                await self._report("ready")
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _report(self, state: str) -> bool:
        self._sequence += 1
        address = f"{self._host}:{BACKEND_PORT}"
        body = heartbeat(self.service, address, SLOTS, state, self._sequence, self._born)
        return await self._call("PUT", body)

    async def _call(self, method: str, body: bytes | None) -> bool:
        """Send a status report and return whether it was acknowledged."""
        url = f"http://{self._host}:{HEARTBEAT_PORT}{HEARTBEAT_PREFIX}{self.server_id}"
        try:
            await self._client.fetch(
                url, method=method, body=body, request_timeout=ACKNOWLEDGE_SECONDS
            )
        except (HTTPClientError, OSError):
            return False  # the node is down, frozen or stopping; the next report follows
        return True


class _Request(RequestHandler):
    def initialize(self, owner: BackendServerStandIn) -> None:
        self._owner = owner

    async def get(self) -> None:
        if self.request.path == HEALTH_PATH:
            self._answer_health()
            return
        await self._run()

    async def post(self) -> None:
        await self._run()

    def _answer_health(self) -> None:
        self.set_header(HEADER_FIELD_NAMES.server_incarnation, self._owner.server_id)
        self.set_header(HEADER_FIELD_NAMES.load, self._owner.load())
        if self._owner.is_leaving:
            self.set_status(UNAVAILABLE)

    async def _run(self) -> None:
        owner = self._owner
        request_id = self.request.headers.get(HEADER_FIELD_NAMES.request_id, "")
        self.set_header(HEADER_FIELD_NAMES.request_id, request_id)
        expected = self.request.headers.get(HEADER_FIELD_NAMES.expected_server, owner.server_id)
        if expected != owner.server_id:
            self.set_status(MISDIRECTED)
            return
        if not owner.take_slot():
            self.set_status(UNAVAILABLE)
            self.set_header(HEADER_FIELD_NAMES.not_run, "1")
            return
        server_id = owner.server_id
        runs = owner.records.executions_by_request[request_id]
        runs.append(Execution(server_id, owner.service, owner.clock()))
        try:
            await owner.work()
        finally:
            owner.free_slot()
        self._answer(server_id, request_id)

    def _answer(self, server_id: str, request_id: str) -> None:
        stream = self.request.connection.stream  # type: ignore[union-attr]
        if self._owner.loses_answers or self._owner.server_id != server_id:
            stream.close()
            return
        body = f"{server_id} did {request_id} {self.request.path}\n".encode() * 20
        self.set_header(
            HEADER_FIELD_NAMES.signature, f"{server_id}.{seal(server_id, request_id, body)}"
        )
        self.set_header(HEADER_FIELD_NAMES.load, self._owner.load())
        self.write(body)
        if self._owner.cuts_answers:
            # Half of the body, and then the end of the connection.
            self._write_buffer = [body[: len(body) // 2]]
            self.set_header("Content-Length", len(body))
            self.flush()
            stream.close()
