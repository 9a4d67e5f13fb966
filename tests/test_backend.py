"""Tests of verdicts on answers and failures of a backend server, and of connection reuse."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from tornado.iostream import StreamClosedError
from tornado.tcpserver import TCPServer

from apricotwalk.core import CallFailure, Mechanism, MechanismSwitches, Verdict
from apricotwalk.serving import BackendClient, _backend
from apricotwalk.settings import Address
from apricotwalk_lab.processes import free_ports

COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody"
TRUNCATED_CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nbody"
PLAIN_503 = b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 x\r\nApricotwalk-Verdict: not-run\r\nContent-Length: 0\r\n\r\n"
OVERSIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n" + b"x" * 9999


class ScriptedServer(TCPServer):
    """Answers each request with the same bytes, then closes the connection or reads on."""

    def __init__(self, answer, closes):
        super().__init__()
        self.answer = answer
        self.closes = closes
        self.connections = 0

    async def handle_stream(self, stream, address):
        self.connections += 1
        try:
            while True:
                await stream.read_until(b"\r\n\r\n")
                if self.answer:
                    await stream.write(self.answer)
                if self.closes:
                    stream.close()
        except StreamClosedError:
            return


@asynccontextmanager
async def scripted_server(answer, closes=False, switches=None):
    address = Address("127.0.0.1", free_ports(1)[0])
    server = ScriptedServer(answer, closes)
    server.listen(address.port, address.host)
    client = BackendClient(address, 4096, switches or MechanismSwitches())
    try:
        yield server, client
    finally:
        await client.close()
        server.stop()


async def send(client):
    return await client.send("GET", "/", [], b"")


def test_complete_answers_share_one_connection(run):
    async def body():
        async with scripted_server(COMPLETE) as (server, client):
            for _ in range(3):
                assert (await send(client)).body == b"body"
            assert server.connections == 1

    run(body())


@pytest.mark.parametrize("answer", [b"", TRUNCATED, TRUNCATED_CHUNKS, WITHOUT_LENGTH, OVERSIZED])
def test_partial_answer_is_may_have_run(run, answer):
    async def body():
        async with scripted_server(answer, closes=True) as (_, client):
            with pytest.raises(CallFailure) as caught:
                await send(client)
            assert caught.value.verdict is Verdict.MAY_HAVE_RUN

    run(body())


def test_partial_answer_passes_with_completeness_off(run):
    async def body():
        switches = MechanismSwitches([Mechanism.COMPLETENESS])
        async with scripted_server(TRUNCATED, closes=True, switches=switches) as (_, client):
            assert (await send(client)).body == b"body"

    run(body())


def test_only_an_explicit_refusal_is_not_run(run):
    async def body():
        async with scripted_server(NOT_RUN) as (_, client):
            with pytest.raises(CallFailure) as caught:
                await send(client)
            assert caught.value.verdict is Verdict.NOT_RUN
        async with scripted_server(PLAIN_503) as (_, client):
            assert (await send(client)).verdict is Verdict.COMPLETED

    run(body())


def test_unreachable_server_is_not_run_and_not_listening(run):
    async def body():
        client = BackendClient(Address("127.0.0.1", free_ports(1)[0]), 4096)
        with pytest.raises(CallFailure) as caught:
            await send(client)
        assert caught.value.verdict is Verdict.NOT_RUN
        assert not await client.is_listening()

    run(body())


def test_connection_of_a_cancelled_request_is_not_reused(run):
    async def body():
        async with scripted_server(b"") as (server, client):
            for _ in range(2):
                with pytest.raises(TimeoutError):
                    async with asyncio.timeout(0.05):
                        await send(client)
            assert server.connections == 2

    run(body())


def test_idle_connections_are_not_used_when_old_or_after_a_timeout(run, monkeypatch):
    async def body():
        async with scripted_server(COMPLETE) as (server, client):
            await send(client)
            client.drop_idle()
            await send(client)
            assert server.connections == 2
            monkeypatch.setattr(_backend, "IDLE_TIMEOUT_SECONDS", -1.0)
            await send(client)
            assert server.connections == 3

    run(body())


def test_connection_that_the_server_closed_while_idle_is_not_used(run):
    async def body():
        async with scripted_server(COMPLETE, closes=True) as (server, client):
            for _ in range(3):
                assert (await send(client)).body == b"body"
                await asyncio.sleep(0.02)
            assert server.connections == 3

    run(body())


def test_answer_to_head_has_a_length_and_no_body(run):
    async def body():
        async with scripted_server(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n") as (
            server,
            client,
        ):
            for _ in range(2):
                answer = await client.send("HEAD", "/", [], b"")
                assert (answer.status, answer.body) == (200, b"")
            assert server.connections == 1

    run(body())


def test_connection_with_a_partly_sent_request_is_not_reused(run):
    async def body():
        async with scripted_server(COMPLETE) as (server, client):
            answer = await client.send("POST", "/", [], b"x" * 32_000_000)
            assert answer.body == b"body"
            await send(client)
            assert server.connections == 2

    run(body())
