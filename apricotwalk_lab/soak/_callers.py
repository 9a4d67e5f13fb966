"""Callers that keep their connections open and use them until they end."""

import asyncio
import itertools
import random
import socket
from collections.abc import Callable

from apricotwalk.core import Service
from apricotwalk.http1 import (
    ServerAnswer,
    ServerConnection,
    ServerConnectionLost,
    encode_field,
    encode_request,
)
from apricotwalk_lab.soak._pages import CALLER_PORT, HEADER_FIELD_NAMES, HOST, seal
from apricotwalk_lab.soak._records import CallerRequest, Records

__all__ = ["Callers"]

CONNECT_SECONDS = 1.0
PATIENCE_MS = 3000
# Callers of the platform wait a little beyond what they told, for the answer on its way.
LAST_WAIT_SECONDS = 0.5
RECONNECT_SECONDS = 0.1
SIGNATURE = HEADER_FIELD_NAMES.signature.lower().encode()


class Callers(Service):
    """All callers of a run, some on each instance.

    Parameters
    ----------
    hosts : list of str
        Address of each node.
    per_node : int
        Callers on each instance, each with one connection and one request at a time.
    rate : float
        Requests per second of one caller at most.
    records : Records
        Receives every request.
    clock : callable
        Seconds since callers began.
    generator : random.Random
        Chooses routes and pauses.
    """

    def __init__(
        self,
        hosts: list[str],
        per_node: int,
        rate: float,
        records: Records,
        clock: Callable[[], float],
        generator: random.Random,
    ) -> None:
        self._hosts = hosts
        self._per_node = per_node
        self._pause = 1.0 / rate
        self._records = records
        self._clock = clock
        self._random = generator
        self._numbers = itertools.count(1)
        self._tasks: list[asyncio.Task[None]] = []
        self.speed = 1.0
        self.newest_version = 0

    async def start(self) -> None:
        """Begin to call."""
        for node in range(len(self._hosts)):
            for _ in range(self._per_node):
                self._tasks.append(asyncio.create_task(self._call_forever(node)))

    async def close(self) -> None:
        """Stop and wait for the answers that are due."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call_forever(self, node: int) -> None:
        while True:
            connection = await self._connect(node)
            if connection is None:
                await asyncio.sleep(RECONNECT_SECONDS)
                continue
            while connection.is_reusable:
                await self._call(connection, node)
                pause = self._random.expovariate(1.0) * self._pause / self.speed
                await asyncio.sleep(pause)
            self._records.strays += connection.strays
            connection.close()

    async def _connect(self, node: int) -> ServerConnection | None:
        loop = asyncio.get_running_loop()
        id_field = HEADER_FIELD_NAMES.request_id.lower().encode()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                transport, connection = await loop.create_connection(
                    lambda: ServerConnection(id_field, frozenset({SIGNATURE})),
                    self._hosts[node],
                    CALLER_PORT,
                )
        except (OSError, TimeoutError):
            return None  # the node is down or frozen, which the run knows
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    async def _call(self, connection: ServerConnection, node: int) -> None:
        route = self._random.choice(("menu", "menu", "dispatch", "pupil", "version"))
        path = f"v{self.newest_version}" if route == "version" else route
        request_id = f"try-{next(self._numbers):06d}"
        entry = CallerRequest(request_id, path, node, self._clock())
        self._records.tries.append(entry)
        request = _encode(path, request_id)
        try:
            async with asyncio.timeout(PATIENCE_MS / 1000 + LAST_WAIT_SECONDS):
                answer = await connection.send(request, request_id, False)
            self._take(entry, answer)
        except (ServerConnectionLost, TimeoutError) as error:
            entry.detail = repr(error)
            connection.close()
        entry.ended = self._clock()

    def _take(self, entry: CallerRequest, answer: ServerAnswer) -> None:
        entry.status = answer.status
        if not entry.is_served:
            return
        signature = answer.values_by_name.get(SIGNATURE, "")
        server, _, expected = signature.partition(".")
        entry.is_answer_intact = bool(expected) and expected == seal(
            server, entry.request_id, answer.body
        )


def _encode(path: str, request_id: str) -> bytes:
    is_post = path == "dispatch"
    fields = encode_field("Host", HOST) + encode_field(HEADER_FIELD_NAMES.request_id, request_id)
    fields += encode_field(HEADER_FIELD_NAMES.deadline_ms, str(PATIENCE_MS))
    body = b"lunch" if is_post else b""
    return encode_request("POST" if is_post else "GET", f"/{path}/1", fields, body)
