"""Tests of graceful stop, draining, persistent connections and the idle sweep of an HTTP port."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from apricotwalk.core import Mechanism, MechanismSwitches, Verdict
from apricotwalk.serving import Answer, _http_connections
from apricotwalk.serving._headers import encode_head
from apricotwalk.serving._http_port import HttpPort
from apricotwalk.settings import Address
from apricotwalk_lab.processes import free_ports

REQUEST = b"GET /one HTTP/1.1\r\nHost: x\r\n\r\n"


class GatedPort(HttpPort):
    """Answers requests once the test has set `may_answer`."""

    def __init__(self, address, switches):
        super().__init__(address, 4096, switches)
        self.started = asyncio.Event()
        self.may_answer = asyncio.Event()

    async def answer(self, request):
        self.started.set()
        await self.may_answer.wait()
        if request.path == "/fail":
            raise ValueError("surprise")
        return Answer(Verdict.COMPLETED, 200, body=b"whole")


@asynccontextmanager
async def gated_port(switches=None):
    address = Address("127.0.0.1", free_ports(1)[0])
    port = GatedPort(address, switches or MechanismSwitches())
    await port.start()
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        yield port, reader, writer
    finally:
        writer.close()
        await port.close()


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    return head, await reader.readexactly(5)


@pytest.mark.parametrize("is_on", [True, False])
def test_stop_finishes_the_request_in_flight(run, is_on):
    async def body():
        switches = MechanismSwitches([] if is_on else [Mechanism.GRACEFUL_STOP])
        async with gated_port(switches) as (port, reader, writer):
            writer.write(REQUEST)
            await port.started.wait()
            closing = asyncio.create_task(port.close())
            await asyncio.sleep(0.02)
            port.may_answer.set()
            content = await reader.read()
            assert content.endswith(b"whole") is is_on
            await closing

    run(body())


def test_stop_serves_connections_that_were_accepted_and_unread(run):
    async def body():
        async with gated_port() as (port, reader, writer):
            port.may_answer.set()
            writer.write(REQUEST)
            closing = asyncio.create_task(port.close())
            head, content = await read_answer(reader)
            assert content == b"whole"
            assert "connection: close" in head
            await closing

    run(body())


def test_draining_port_closes_persistent_connections_with_the_next_answer(run):
    async def body():
        async with gated_port() as (port, reader, writer):
            port.may_answer.set()
            writer.write(REQUEST)
            head, _ = await read_answer(reader)
            assert "connection: close" not in head
            port.start_draining()
            writer.write(REQUEST)
            head, _ = await read_answer(reader)
            assert "connection: close" in head
            assert await reader.read() == b""

    run(body())


def test_unexpected_error_is_answered_as_may_have_run(run):
    async def body():
        async with gated_port() as (port, reader, writer):
            port.may_answer.set()
            writer.write(REQUEST.replace(b"/one", b"/fail"))
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            assert "500" in head
            assert "apricotwalk-verdict: may-have-run" in head

    run(body())


@pytest.mark.parametrize(
    ("request_head", "ends"),
    [
        (b"GET /one HTTP/1.1\r\nHost: x\r\n\r\n", False),
        (b"GET /one?a=b HTTP/1.1\r\nHost: x\r\n\r\n", False),
        (b"GET /one HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", True),
        (b"GET /one HTTP/1.0\r\n\r\n", True),
        (b"GET /one HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", False),
    ],
)
def test_connection_persists_as_the_request_specifies(run, request_head, ends):
    async def body():
        async with gated_port() as (port, reader, writer):
            port.may_answer.set()
            writer.write(request_head)
            _, content = await read_answer(reader)
            assert content == b"whole"
            if ends:
                assert await reader.read() == b""
                return
            writer.write(request_head)
            _, content = await read_answer(reader)
            assert content == b"whole"

    run(body())


@pytest.mark.parametrize(
    "request_head",
    [
        b"GET /one HTTP/1.1\r\n\r\n",
        b"GET /one HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
        b"GET /one HTTP/1.1\r\nHost: x y\r\n\r\n",
        b"GET /one?" + b"&".join(b"a=b" for _ in range(2000)) + b" HTTP/1.1\r\nHost: x\r\n\r\n",
    ],
)
def test_invalid_host_or_query_is_refused_each_time(run, request_head):
    async def body():
        async with gated_port() as (port, _, _):
            for _ in range(2):
                reader, writer = await asyncio.open_connection("127.0.0.1", port._address.port)
                writer.write(request_head)
                content = await reader.read()
                assert content.startswith(b"HTTP/1.1 400 ")
                assert b"Apricotwalk-Verdict: not-run" in content
                writer.close()
            assert not port.started.is_set()

    run(body())


def test_connection_without_a_request_is_closed_after_the_time_limit(run, monkeypatch):
    monkeypatch.setattr(_http_connections, "IDLE_TIMEOUT_SECONDS", 0.0)
    monkeypatch.setattr(_http_connections, "SWEEP_INTERVAL_SECONDS", 0.0)

    async def body():
        async with gated_port() as (port, silent, _):
            _, writer = await asyncio.open_connection("127.0.0.1", port._address.port)
            assert await silent.read() == b""
            writer.close()

    run(body())


def test_idle_sweep_does_not_close_a_request_in_progress(run, monkeypatch):
    monkeypatch.setattr(_http_connections, "IDLE_TIMEOUT_SECONDS", 0.0)
    monkeypatch.setattr(_http_connections, "SWEEP_INTERVAL_SECONDS", 0.0)

    async def body():
        async with gated_port() as (port, reader, writer):
            writer.write(REQUEST)
            await port.started.wait()
            _, other = await asyncio.open_connection("127.0.0.1", port._address.port)
            await asyncio.sleep(0.02)
            port.may_answer.set()
            assert (await read_answer(reader))[1] == b"whole"
            other.close()

    run(body())


def test_head_with_a_line_end_inside_a_field_is_not_encoded():
    assert encode_head("HTTP/1.1 200 -", [("A", "b")]) == b"HTTP/1.1 200 -\r\nA: b\r\n\r\n"
    for pair in (("A", "b\r\nC: d"), ("A\n", "b"), ("A", "b\r")):
        with pytest.raises(ValueError, match="line end"):
            encode_head("HTTP/1.1 200 -", [pair])
