"""Tests of the HTTP/1.1 connections with callers and with backend servers."""

import asyncio
import time

import pytest

from apricotwalk.core import CallFailure, Verdict
from apricotwalk.forwarding import BackendPool
from apricotwalk.http1 import HttpLimits, HttpListener, HttpResponse
from apricotwalk.http1._head import split_absolute_form
from tests.mesh_fakes import FakeResponse, FakeServer, free_address, read_message

HEAD = b"GET /a HTTP/1.1\r\nHost: mesh\r\n"


async def start_listener(handler=None, **limits):
    async def echo(request):
        return HttpResponse(200, b"", request.target.encode() + request.body)

    listener = HttpListener(
        free_address(), handler or echo, ("Host", "Id"), ("Caller",), requires_host=True
    )
    listener.limits = HttpLimits(**{"max_head_bytes": 512, "max_body_bytes": 64, **limits})
    await listener.start()
    return listener


async def connect(listener):
    address = listener._address
    return await asyncio.open_connection(address.host, address.port)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\n\r\n", 400),
        (HEAD + b"Host: other\r\n\r\n", 400),
        (HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
        (HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (HEAD + b"Content-Length: -1\r\n\r\n", 400),
        (HEAD + b"Bad Name: x\r\n\r\n", 400),
        (HEAD + b"Long: " + b"x" * 600 + b"\r\n\r\n", 431),
        (b"GET /" + b"x" * 600 + b" HTTP/1.1\r\nHost: mesh\r\n\r\n", 431),
        (HEAD + b"Content-Length: 65\r\n\r\n" + b"x" * 65, 413),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n41\r\n" + b"x" * 65 + b"\r\n0\r\n\r\n", 413),
    ],
)
def test_malformed_requests_are_refused_and_the_connection_closes(run, sent, status):
    async def body():
        listener = await start_listener()
        reader, writer = await connect(listener)
        writer.write(HEAD + b"\r\n" + sent)
        assert (await read_message(reader))["target"] == "200"
        response = await read_message(reader)
        assert response["target"] == str(status)
        assert response["fields"]["connection"] == "close"
        assert await reader.read() == b""
        await listener.close()

    run(body())


def test_bodies_with_content_length_or_chunked_encoding_are_read_completely(run):
    async def body():
        listener = await start_listener()
        reader, writer = await connect(listener)
        writer.write(b"POST /a HTTP/1.1\r\nHost: mesh\r\nContent-Length: 3\r\n\r\nabc")
        writer.write(b"POST /b HTTP/1.1\r\nHost: mesh\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"2\r\nde\r\n1\r\nf\r\n0\r\n\r\n")
        assert (await read_message(reader))["body"] == b"/aabc"
        assert (await read_message(reader))["body"] == b"/bdef"
        writer.write(HEAD + b"Connection: close\r\n\r\n")
        assert (await read_message(reader))["fields"]["connection"] == "close"
        assert await reader.read() == b""
        await listener.close()

    run(body())


def test_caller_disconnect_cancels_its_requests(run):
    async def body():
        cancelled = asyncio.Event()

        async def wait(request):
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        listener = await start_listener(wait)
        _, writer = await connect(listener)
        writer.write(HEAD + b"\r\n")
        while not listener.is_busy:
            await asyncio.sleep(0.01)
        writer.close()
        await cancelled.wait()
        await listener.close()

    run(body())


def test_slow_request_heads_and_idle_connections_time_out(run):
    async def body():
        listener = await start_listener(head_seconds=0.1, idle_seconds=0.1)
        reader, writer = await connect(listener)
        writer.write(HEAD)
        assert (await read_message(reader))["target"] == "408"
        idle_reader, _ = await connect(listener)
        assert await idle_reader.read() == b""
        await listener.close()

    run(body())


async def send_request(server, request_id="q-1", method="GET"):
    pool = BackendPool(server.address, "Id", ("Seal", "Refused"))
    try:
        return await pool.send(method, "/x", b"Host: mesh\r\n", b"", request_id, False), pool
    finally:
        await pool.close()


def response_bytes(fields=b"Content-Length: 2\r\n", body=b"ok", request_id=b"q-1"):
    return b"HTTP/1.1 200 OK\r\nId: " + request_id + b"\r\n" + fields + b"\r\n" + body


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"rubbish that is no answer\r\n\r\n",
        response_bytes(body=b"o"),
        response_bytes(b"Transfer-Encoding: chunked\r\n", b"2\r\nok\r\n"),
        response_bytes(request_id=b"q-0"),
    ],
)
def test_incomplete_or_invalid_response_gives_verdict_may_have_run(run, raw):
    async def body():
        server = FakeServer(free_address())
        await server.start()
        server.respond = lambda request: FakeResponse(raw=raw, closes=True)
        with pytest.raises(CallFailure) as caught:
            await send_request(server)
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        await server.close()

    run(body())


@pytest.mark.parametrize(
    "raw",
    [
        response_bytes(),
        response_bytes(b"Transfer-Encoding: chunked\r\n", b"2\r\nok\r\n0\r\n\r\n"),
        response_bytes(b""),
        b"HTTP/1.1 100 Continue\r\n\r\n" + response_bytes(),
        response_bytes(request_id=b"q-0") + response_bytes(),
    ],
)
def test_complete_responses_are_accepted_however_they_are_delimited(run, raw):
    async def body():
        server = FakeServer(free_address())
        await server.start()
        server.respond = lambda request: FakeResponse(raw=raw, closes=raw == response_bytes(b""))
        response, _ = await send_request(server)
        assert (response.status, response.body) == (200, b"ok")
        await server.close()

    run(body())


def test_connection_attempt_that_a_stalled_event_loop_delays_is_repeated(run):
    """A node whose event loop stalls must not take its server for lost."""

    async def body():
        server = FakeServer(free_address())
        await server.start()
        pool = BackendPool(server.address, "Id", ())
        loop = asyncio.get_running_loop()
        sending = asyncio.create_task(pool.send("GET", "/a", b"Id: q-1\r\n", b"", "q-1", False))
        await asyncio.sleep(0)
        loop.call_soon(time.sleep, 0.4)
        assert (await sending).status == 200
        await pool.close()
        await server.close()

    run(body())


def test_request_to_a_server_that_does_not_listen_is_not_run(run):
    async def body():
        pool = BackendPool(free_address(), "Id", ())
        with pytest.raises(CallFailure) as caught:
            await pool.send("GET", "/x", b"", b"", "q-1", False)
        assert caught.value.verdict is Verdict.NOT_RUN
        assert not await pool.is_listening()
        await pool.close()

    run(body())


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        ("/menu/1", ("/menu/1", None)),
        ("http://mesh/menu/1?w=2", ("/menu/1?w=2", "mesh")),
        ("HTTP://mesh:80", ("/", "mesh:80")),
        ("http://mesh?w=2", ("/?w=2", "mesh")),
        ("/menu?next=http://other/", ("/menu?next=http://other/", None)),
        ("*", ("*", None)),
    ],
)
def test_target_in_absolute_form_is_split(target, expected):
    assert split_absolute_form(target) == expected
