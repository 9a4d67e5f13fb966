"""Tests of the memory for large bodies and of their transfer between nodes."""

import asyncio
import tracemalloc

import pytest

from apricotwalk.core import BodyMemory, CallFailure, CountedBody
from apricotwalk.forwarding import BackendPool
from apricotwalk.http1 import HttpResponse
from apricotwalk.peering._body_transfers import BodyTransfers
from apricotwalk.peering._messages import BodyAcceptMessage, BodyOfferMessage
from tests.mesh_fakes import FakeResponse, new_configuration, read_message
from tests.mesh_harness import DISPATCH, MENU, running_mesh
from tests.test_endless_answers import CHUNKED, HEAD, EndlessServer
from tests.test_http1 import connect, start_listener

MEBIBYTE = 1024 * 1024
LARGE_LIMITS = new_configuration(1).limits.__class__(4096, 64 * MEBIBYTE, 1.0, 10.0)
LARGE_VERSION = new_configuration(1, MENU, DISPATCH, limits=LARGE_LIMITS)
MEMBERS = (("m1", "menu-svc"), ("d1", "dispatch-svc"))
# The operators allow a node this much above its size when idle.
MAX_GROWTH_BYTES = 60 * MEBIBYTE


def test_bodies_are_granted_in_the_order_of_arrival_and_freed_with_the_body(run):
    async def body():
        memory = BodyMemory(100)
        granted = []
        first, second, third = (CountedBody(memory) for _ in range(3))
        assert memory.try_acquire(first, 80)
        assert not memory.try_acquire(second, 50)
        memory.acquire_later(second, 50, lambda: granted.append("second"))
        assert not memory.try_acquire(third, 10), "a small body passed one that waits"
        memory.acquire_later(third, 10, lambda: granted.append("third"))
        del first
        await asyncio.sleep(0)
        assert granted == ["second", "third"]
        assert memory.used_bytes == 60
        del second, third
        assert memory.used_bytes == 0

    run(body())


def test_body_that_stops_waiting_lets_the_next_one_pass(run):
    async def body():
        memory = BodyMemory(100)
        granted = []
        held, large, small = (CountedBody(memory) for _ in range(3))
        assert memory.try_acquire(held, 60)
        memory.acquire_later(large, 90, lambda: granted.append("large"))
        memory.acquire_later(small, 30, lambda: granted.append("small"))
        memory.stop_waiting(large)
        await asyncio.sleep(0)
        assert granted == ["small"]

    run(body())


def test_large_bodies_cross_two_nodes_beside_small_requests(run):
    upload, answer = bytes(range(256)) * 20_000, bytes(reversed(range(256))) * 30_000

    async def body():
        async with running_mesh(*MEMBERS, version=LARGE_VERSION) as mesh:
            mesh.servers["d1"].respond = lambda request: FakeResponse(
                body=answer if request["body"] == upload else b"small"
            )
            large, small = await mesh.caller("m1"), await mesh.caller("m1")
            exchange = asyncio.create_task(
                large.request("/dispatch/large", body=upload, method="POST", deadline_ms=5000)
            )
            while not exchange.done():
                status, _, content = await small.request("/dispatch/small", method="POST")
                assert (status, content) == (200, b"small")
            status, _, content = await exchange
            assert (status, content == answer) == (200, True)
            large.close()
            small.close()
            await asyncio.sleep(0.1)
            for node in mesh.nodes.values():
                assert (node.uploads.used_bytes, node.downloads.used_bytes) == (0, 0)

    run(body())


def test_request_whose_body_finds_no_memory_at_the_other_node_is_refused_without_running(run):
    async def body():
        async with running_mesh(*MEMBERS, version=LARGE_VERSION) as mesh:
            memory = mesh.nodes["d1"].uploads
            held = CountedBody(memory)
            assert memory.try_acquire(held, memory.max_bytes)
            caller = await mesh.caller("m1")
            status, fields, _ = await caller.request(
                "/dispatch/1", body=b"x" * MEBIBYTE, method="POST", deadline_ms=6000
            )
            assert status == 503 and "retry-after" in fields
            assert mesh.servers["d1"].requests == []
            assert (await caller.request("/dispatch/2", method="POST"))[0] == 200
            caller.close()

    run(body())


def test_offer_that_crosses_the_cancellation_of_its_call_holds_no_memory():
    memory, sent = BodyMemory(MEBIBYTE), []
    transfers = BodyTransfers(
        lambda message: bool(sent.append(message)) or True, memory, {1}.__contains__
    )
    transfers.handle(BodyOfferMessage(2, 100_000))
    assert (memory.used_bytes, sent) == (0, [])
    transfers.handle(BodyOfferMessage(1, 100_000))
    assert (memory.used_bytes, sent) == (100_000, [BodyAcceptMessage(1)])
    transfers.cancel(1)
    assert memory.used_bytes == 0


def test_answer_whose_caller_leaves_during_its_transfer_is_released(run):
    async def body():
        async with running_mesh(*MEMBERS, version=LARGE_VERSION) as mesh:
            mesh.servers["d1"].respond = lambda request: FakeResponse(body=b"x" * 20 * MEBIBYTE)
            for _ in range(5):
                caller = await mesh.caller("m1")
                caller.send("/dispatch/1", method="POST", deadline_ms=5000)
                while not mesh.nodes["m1"].downloads.used_bytes:
                    await asyncio.sleep(0)
                caller.writer.transport.abort()
                async with asyncio.timeout(5.0):
                    while any(node.downloads.used_bytes for node in mesh.nodes.values()):
                        await asyncio.sleep(0.01)

    run(body())


def test_large_uploads_wait_for_memory_in_turn(run):
    length = 600_000

    async def body():
        in_progress = 0
        most_in_progress = 0

        async def handler(request):
            nonlocal in_progress, most_in_progress
            in_progress += 1
            most_in_progress = max(most_in_progress, in_progress)
            await asyncio.sleep(0.1)
            in_progress -= 1
            return HttpResponse(200, b"", b"%d" % len(request.body))

        listener = await start_listener(handler, max_body_bytes=MEBIBYTE)
        connections = [await connect(listener) for _ in range(4)]
        for _, writer in connections:
            writer.write(
                b"POST /a HTTP/1.1\r\nHost: mesh\r\nContent-Length: %d\r\n\r\n" % length
                + b"x" * length
            )
        for reader, _ in connections:
            message = await read_message(reader)
            assert (message["target"], message["body"]) == ("200", b"%d" % length)
        assert most_in_progress == 1
        assert listener.memory.used_bytes == 0
        await listener.close()

    run(body())


def test_chunked_upload_that_does_not_fit_is_refused(run):
    async def body():
        listener = await start_listener(max_body_bytes=8 * MEBIBYTE)
        reader, writer = await connect(listener)
        writer.write(b"POST /a HTTP/1.1\r\nHost: mesh\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(40):
            writer.write(b"10000\r\n" + b"x" * 65_536 + b"\r\n")
        message = await read_message(reader)
        assert message["target"] == "503"
        assert message["fields"]["connection"] == "close"
        writer.close()
        await listener.close()

    run(body())


def test_body_may_take_longer_than_the_head(run):
    async def body():
        listener = await start_listener(head_seconds=0.5, idle_seconds=5.0)
        reader, writer = await connect(listener)
        writer.write(b"POST /a HTTP/1.1\r\nHost: mesh\r\nContent-Length: 4\r\n\r\n")
        for part in (b"a", b"b", b"c", b"d"):
            await asyncio.sleep(0.4)
            writer.write(part)
        assert (await read_message(reader))["body"] == b"/aabcd"
        await listener.close()

    run(body())


def test_trailer_fields_are_not_passed_on(run):
    async def body():
        async def show_fields(request):
            return HttpResponse(200, b"", request.fields)

        listener = await start_listener(show_fields)
        reader, writer = await connect(listener)
        writer.write(b"POST /a HTTP/1.1\r\nHost: mesh\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"1\r\nx\r\n0\r\nAdded: late\r\n\r\n")
        assert b"Added" not in (await read_message(reader))["body"]
        await listener.close()

    run(body())


ENDLESS_ANSWERS = {
    "small chunks": (CHUNKED, b"2\r\nab\r\n" * 10_000),
    "trailer fields": (CHUNKED + b"0\r\n", b"a: b\r\n" * 10_000),
    "interim responses with fields": (b"", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" * 2000),
    "body until the end of the connection": (HEAD + b"\r\n", b"x" * 65_536),
}


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
def test_endless_answers_of_several_callers_stay_within_the_memory_limit(run, kind):
    async def body():
        server = await EndlessServer(*ENDLESS_ANSWERS[kind]).open()
        pool = BackendPool(server.address, "Id", ("Seal",))

        async def send(number):
            with pytest.raises(CallFailure):
                await pool.send("GET", "/x", b"Host: mesh\r\n", b"", "q-1", False)

        tracemalloc.start()
        try:
            async with asyncio.timeout(60.0):
                await asyncio.gather(*(send(number) for number in range(8)))
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        # The memory of the pool is 64 MiB; what its bytes become must not be a multiple of it.
        assert peak <= MAX_GROWTH_BYTES + 64 * MEBIBYTE
        await pool.close()
        server.close()

    run(body())
