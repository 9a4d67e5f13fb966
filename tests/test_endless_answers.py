"""Tests of backend servers that send bytes without end in place of an answer."""

import asyncio

import pytest

from apricotwalk.core import BodyMemory, CallFailure, CountedBody, Verdict
from apricotwalk.forwarding import BackendPool
from tests.mesh_fakes import FakeResponse, free_address
from tests.mesh_harness import running_mesh

MEBIBYTE = 1024 * 1024
MEMORY_BYTES = 4 * MEBIBYTE
# Bytes that the sockets of both sides may hold after the connection is closed.
SOCKET_BYTES = 16 * MEBIBYTE
HEAD = b"HTTP/1.1 200 OK\r\nId: q-1\r\nSeal: x\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class EndlessServer:
    """A server that answers each request with a start and then repeats a part until closed."""

    def __init__(self, start, repeated, pause_seconds=0.0):
        self.address = free_address()
        self.sent_bytes = 0
        self.is_connection_closed = asyncio.Event()
        self._start, self._repeated, self._pause_seconds = start, repeated, pause_seconds
        self._listener = None

    async def open(self):
        self._listener = await asyncio.start_server(
            self._handle_connection, self.address.host, self.address.port
        )
        return self

    def close(self):
        self._listener.close()

    async def _handle_connection(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._start)
            while not writer.transport.is_closing():
                writer.write(self._repeated)
                self.sent_bytes += len(self._repeated)
                await writer.drain()
                await asyncio.sleep(self._pause_seconds)
        except ConnectionError:
            pass
        finally:
            writer.close()
            self.is_connection_closed.set()


ENDLESS_ANSWERS = {
    "blank lines": (b"", b"\r\n" * 8192),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1024),
    "reason phrase": (b"HTTP/1.1 200 ", b"x" * 16_384),
    "field name": (HEAD, b"x" * 16_384),
    "field value": (HEAD + b"X: ", b"x" * 16_384),
    "fields": (HEAD, b"X: y\r\n" * 4096),
    "body": (HEAD + b"\r\n", b"x" * 65_536),
    "body with length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x" * 65_536),
    "chunks": (CHUNKED, b"4000\r\n" + b"x" * 16_384 + b"\r\n"),
    "chunk extension": (CHUNKED + b"4;", b"x" * 16_384),
    "trailer": (CHUNKED + b"0\r\nX: ", b"x" * 16_384),
    "answers to another request": (
        b"",
        b"HTTP/1.1 200 OK\r\nId: q-0\r\nContent-Length: 0\r\n\r\n" * 512,
    ),
}


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
def test_endless_answer_is_cut_off_with_bounded_memory(run, kind):
    async def body():
        server = await EndlessServer(*ENDLESS_ANSWERS[kind]).open()
        pool = BackendPool(server.address, "Id", ("Seal",), BodyMemory(MEMORY_BYTES))
        with pytest.raises(CallFailure) as caught:
            async with asyncio.timeout(20.0):
                await pool.send("GET", "/x", b"Host: mesh\r\n", b"", "q-1", False)
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        async with asyncio.timeout(20.0):
            await server.is_connection_closed.wait()
        assert server.sent_bytes <= MEMORY_BYTES + SOCKET_BYTES
        await pool.close()
        server.close()

    run(body())


def test_endless_answers_leave_memory_for_others():
    """The largest body of unknown length makes room for the others, and only that one."""
    memory = BodyMemory(4 * MEBIBYTE)
    memory.max_growing_bytes = memory.max_bytes
    bodies = {"first": CountedBody(memory), "second": CountedBody(memory)}
    dropped = []

    def drop(name):
        dropped.append(name)
        bodies.pop(name, None)

    for name, body in bodies.items():
        memory.add_growing(body, lambda name=name: drop(name))
    del body
    assert memory.grow(bodies["first"], 3 * MEBIBYTE)
    assert memory.grow(bodies["second"], 2 * MEBIBYTE)
    assert dropped == ["first"]
    assert memory.grow(bodies["second"], 4 * MEBIBYTE)
    assert dropped == ["first"]
    assert not memory.grow(bodies["second"], 5 * MEBIBYTE)
    assert dropped == ["first", "second"]
    assert memory.used_bytes == 0


def test_bodies_of_unknown_length_leave_memory_for_those_of_known_length():
    memory = BodyMemory(8 * MEBIBYTE)
    growing, known = CountedBody(memory), CountedBody(memory)
    memory.add_growing(growing, lambda: None)
    assert not memory.grow(growing, 4 * MEBIBYTE)
    assert memory.try_acquire(known, 4 * MEBIBYTE)


def test_caller_gets_a_truthful_status_in_time_while_a_server_never_ends_its_answer(run):
    async def body():
        async with running_mesh(("m1", "menu-svc"), ("d1", "dispatch-svc")) as mesh:
            endless = await EndlessServer(HEAD + b"\r\n", b"x" * 64, 0.01).open()
            mesh.nodes["m1"].pool.address = endless.address
            mesh.nodes["m1"].pool.drop_idle()
            caller = await mesh.caller("d1")
            async with asyncio.timeout(10.0):
                answer = await caller.request("/menu/1", request_id="q-1", deadline_ms=500)
                await endless.is_connection_closed.wait()
            assert answer[0] == 504
            mesh.nodes["m1"].pool.address = mesh.servers["m1"].address
            mesh.servers["m1"].respond = lambda request: FakeResponse(body=b"whole")
            assert (await caller.request("/menu/2"))[2] == b"whole"
            caller.close()
            endless.close()

    run(body())
