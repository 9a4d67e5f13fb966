"""Tests of the handshake between two nodes and of damaged frames."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from apricotwalk.control import NO_KEYS, KeyRing
from apricotwalk.core import CallFailure, ManualClock, Verdict
from apricotwalk.settings import Address, KeySettings
from apricotwalk.telemetry import EventLog, HybridClock
from apricotwalk.wire import (
    AnswerMessage,
    CallHandler,
    CallMessage,
    HelloMessage,
    PeerLink,
    PeerServer,
    PongMessage,
    encode_message,
)
from apricotwalk_lab.processes import free_ports

MAX_FRAME_BYTES = 65_536
NEW = KeySettings("new", "0123456789abcdef")
OLD = KeySettings("old", "fedcba9876543210")
FORGED = KeySettings("new", "another-secret-x")
HELLO = HelloMessage("menu-2", "accra-a")


class CountingHandler(CallHandler):
    def __init__(self):
        self.calls = 0

    async def handle_call(self, message):
        self.calls += 1
        return AnswerMessage(message.call_id, Verdict.COMPLETED, 200)

    def handle_suspects(self, message):
        raise AssertionError("no peer reports a suspect here")


def make_call():
    return CallMessage(
        "c1", "r1", "accra", "menu", "menu", 0, 100.0, 0, False, "", 0, 1, "GET", "/", [], b"", 0
    )


@asynccontextmanager
async def running_server(keys):
    handler = CountingHandler()
    events = EventLog("menu-1", "accra-a", HybridClock(ManualClock(1.0)))
    address = Address("127.0.0.1", free_ports(1)[0])
    server = PeerServer(address, handler, MAX_FRAME_BYTES, keys=keys, events=events)
    await server.start()
    try:
        yield server, handler, events, address
    finally:
        await server.close()


@pytest.mark.parametrize(
    ("acceptor", "opener"),
    [
        (KeyRing([NEW]), KeyRing([NEW])),
        (KeyRing([OLD, NEW]), KeyRing([NEW, OLD])),
        (NO_KEYS, NO_KEYS),
    ],
)
def test_peers_with_common_keys_exchange_calls(run, acceptor, opener):
    async def body():
        async with running_server(acceptor) as (_, handler, _, address):
            link = PeerLink(address, HELLO, MAX_FRAME_BYTES, keys=opener)
            answer = await link.call(make_call(), 5.0)
            assert answer.verdict is Verdict.COMPLETED
            await link.close()
            assert handler.calls == 1

    run(body())


@pytest.mark.parametrize("opener", [KeyRing([FORGED]), KeyRing([OLD])])
def test_opener_rejects_an_acceptor_without_its_key(run, opener):
    async def body():
        async with running_server(KeyRing([NEW])) as (_, handler, _, address):
            link = PeerLink(address, HELLO, MAX_FRAME_BYTES, keys=opener)
            with pytest.raises(CallFailure) as caught:
                await link.call(make_call(), 5.0)
            assert caught.value.verdict is Verdict.NOT_RUN
            await link.close()
            assert handler.calls == 0

    run(body())


def frame(message):
    payload = encode_message(message)
    return len(payload).to_bytes(4, "big") + payload


@pytest.mark.parametrize(
    ("keys", "sent", "detail"),
    [
        (KeyRing([NEW]), frame(HELLO) + frame(make_call()), "unauthentic"),
        (KeyRing([NEW]), frame(make_call()), "unauthentic"),
        (KeyRing([NEW]), frame(PongMessage()), "unauthentic"),
        (KeyRing([NEW]), (2**31).to_bytes(4, "big"), "larger"),
        (NO_KEYS, (MAX_FRAME_BYTES + 1).to_bytes(4, "big"), "larger"),
        (NO_KEYS, (3).to_bytes(4, "big") + b"\xc1\xc1\xc1", "malformed"),
    ],
)
def test_unauthenticated_and_invalid_frames_are_rejected_and_counted(run, keys, sent, detail):
    async def body():
        async with running_server(keys) as (server, handler, events, address):
            reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(sent)
            assert await asyncio.wait_for(reader.read(), 30) == b""
            writer.close()
            assert server.rejected_frames == 1
            assert handler.calls == 0
            assert events.newest()[-1].kind == "frame-rejected"
            assert detail in str(events.newest()[-1].fields["detail"])

    run(body())


def test_truncated_frame_does_not_affect_other_connections(run):
    async def body():
        async with running_server(NO_KEYS) as (_, handler, _, address):
            _, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(frame(make_call())[:-3])
            writer.close()
            await writer.wait_closed()
            link = PeerLink(address, HELLO, MAX_FRAME_BYTES)
            await link.call(make_call(), 5.0)
            await link.close()
            assert handler.calls == 1

    run(body())
