"""Tests of correlation, silence detection and closing on connections between nodes."""

import asyncio
import time
from contextlib import asynccontextmanager, suppress

import pytest
from tornado.iostream import StreamClosedError
from tornado.tcpserver import TCPServer

from apricotwalk.core import CallFailure, Mechanism, MechanismSwitches, Verdict
from apricotwalk.settings import Address
from apricotwalk.wire import (
    AnswerMessage,
    CallHandler,
    CallMessage,
    HelloMessage,
    OwnedCallMessage,
    PeerLink,
    PeerServer,
    _connection,
)
from apricotwalk.wire._frames import read_frame, write_frame
from apricotwalk_lab.processes import free_ports

HELLO = HelloMessage("a", "zone-a")
MAX_FRAME_BYTES = 65_536


def new_call(call_id):
    return CallMessage(
        call_id, "r", "c", "r", "s", 0, 5000.0, 0, False, "", 0, 0, "GET", "/", [], b"", 0
    )


def new_answer(call_id):
    return AnswerMessage(call_id, Verdict.COMPLETED, 200, body=call_id.encode())


def block_loop(seconds):
    time.sleep(seconds)


class ScriptedPeer(TCPServer):
    """Reads calls and queues them with their stream, so that the test sends the answers."""

    def __init__(self):
        super().__init__()
        self.calls = asyncio.Queue()
        self.connections = 0

    async def handle_stream(self, stream, address):
        self.connections += 1
        while True:
            message = await read_frame(stream, MAX_FRAME_BYTES)
            if isinstance(message, CallMessage | OwnedCallMessage):
                self.calls.put_nowait((stream, message.call_id))


@asynccontextmanager
async def link_to_scripted_peer(switches=None):
    port = free_ports(1)[0]
    peer = ScriptedPeer()
    peer.listen(port, "127.0.0.1")
    link = PeerLink(
        Address("127.0.0.1", port), HELLO, MAX_FRAME_BYTES, switches or MechanismSwitches()
    )
    try:
        yield peer, link
    finally:
        await link.close()
        peer.stop()


@pytest.mark.parametrize("is_on", [True, False])
def test_answers_out_of_order_reach_their_own_calls(run, is_on):
    async def body():
        switches = MechanismSwitches([] if is_on else [Mechanism.CORRELATION])
        async with link_to_scripted_peer(switches) as (peer, link):
            calls = [asyncio.create_task(link.call(new_call(i), 5.0)) for i in ("c1", "c2")]
            received = [await peer.calls.get() for _ in calls]
            for stream, call_id in reversed(received):
                write_frame(stream, new_answer(call_id))
            answers = await asyncio.gather(*calls)
            is_own = [answer.body for answer in answers] == [b"c1", b"c2"]
            assert is_own is is_on

    run(body())


def test_late_answer_is_dropped_and_counted(run):
    async def body():
        async with link_to_scripted_peer() as (peer, link):
            with pytest.raises(CallFailure) as caught:
                await link.call(new_call("c1"), 0.05)
            assert caught.value.verdict is Verdict.MAY_HAVE_RUN
            stream, _ = await peer.calls.get()
            write_frame(stream, new_answer("c1"))
            second = asyncio.create_task(link.call(new_call("c2"), 5.0))
            await peer.calls.get()
            write_frame(stream, new_answer("c2"))
            assert (await second).body == b"c2"
            assert link.late_answers == 1

    run(body())


def test_silent_connection_is_closed_and_replaced(run, monkeypatch):
    monkeypatch.setattr(_connection, "PING_INTERVAL_SECONDS", 0.02)
    monkeypatch.setattr(_connection, "SILENCE_LIMIT_SECONDS", 0.1)

    async def body():
        async with link_to_scripted_peer() as (peer, link):
            with pytest.raises(CallFailure) as caught:
                await link.call(new_call("c1"), 10.0)
            assert caught.value.cause == "connection-lost"
            assert caught.value.verdict is Verdict.MAY_HAVE_RUN
            await peer.calls.get()
            second = asyncio.create_task(link.call(new_call("c2"), 10.0))
            stream, call_id = await peer.calls.get()
            write_frame(stream, new_answer(call_id))
            assert (await second).body == b"c2"
            assert peer.connections == 2

    run(body())


def test_connection_lost_in_the_middle_of_an_answer_is_may_have_run(run):
    async def body():
        async with link_to_scripted_peer() as (peer, link):
            call = asyncio.create_task(link.call(new_call("c1"), 10.0))
            stream, _ = await peer.calls.get()
            await stream.write((500).to_bytes(4, "big") + b"part")
            stream.close()
            with pytest.raises(CallFailure) as caught:
                await call
            assert caught.value.verdict is Verdict.MAY_HAVE_RUN

    run(body())


def test_unreachable_peer_is_not_run(run):
    async def body():
        link = PeerLink(Address("127.0.0.1", free_ports(1)[0]), HELLO, MAX_FRAME_BYTES)
        with pytest.raises(CallFailure) as caught:
            await link.call(new_call("c1"), 1.0)
        assert caught.value.verdict is Verdict.NOT_RUN

    run(body())


class SlowHandler(CallHandler):
    """Answers each call only after `may_end` is set."""

    def __init__(self):
        self.started = asyncio.Event()
        self.may_end = asyncio.Event()

    async def handle_call(self, message):
        self.started.set()
        await self.may_end.wait()
        return new_answer(message.call_id)

    def handle_suspects(self, message):
        pass


def test_stopping_server_answers_calls_in_flight(run):
    async def body():
        address = Address("127.0.0.1", free_ports(1)[0])
        handler = SlowHandler()
        server = PeerServer(address, handler, MAX_FRAME_BYTES)
        await server.start()
        link = PeerLink(address, HELLO, MAX_FRAME_BYTES)
        call = asyncio.create_task(link.call(new_call("c1"), 10.0))
        await handler.started.wait()
        closing = asyncio.create_task(server.close())
        await asyncio.sleep(0.05)
        with pytest.raises(CallFailure) as caught:
            await link.call(new_call("c2"), 10.0)
        assert caught.value.verdict is Verdict.NOT_RUN
        handler.may_end.set()
        assert (await call).body == b"c1"
        await closing
        await link.close()

    run(body())


@pytest.mark.parametrize("is_on", [True, False])
def test_pause_of_this_process_does_not_count_as_silence(run, monkeypatch, is_on):
    monkeypatch.setattr(_connection, "PING_INTERVAL_SECONDS", 0.02)
    monkeypatch.setattr(_connection, "SILENCE_LIMIT_SECONDS", 0.9)
    switches = MechanismSwitches([] if is_on else [Mechanism.FREEZE_DETECTION])

    async def body():
        async with link_to_scripted_peer(switches) as (peer, link):
            call = asyncio.create_task(link.call(new_call("c1"), 10.0))
            stream, call_id = await peer.calls.get()
            block_loop(1.0)
            await asyncio.sleep(0.05)
            with suppress(StreamClosedError):
                write_frame(stream, new_answer(call_id))
            (outcome,) = await asyncio.gather(call, return_exceptions=True)
            assert isinstance(outcome, AnswerMessage) is is_on

    run(body())
