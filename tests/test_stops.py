"""Tests of planned stops of a node while callers pipeline, read slowly or upload slowly."""

import asyncio
import socket

import pytest

from tests.mesh_fakes import FakeCaller, FakeResponse, new_configuration, new_route, read_message
from tests.mesh_harness import running_mesh

MEMBERS = (("m1", "menu-svc"), ("m2", "menu-svc"))
STOP_SECONDS = 6.0
VERSION = new_configuration(1, new_route("menu", "menu-svc", timeout_seconds=5.0))
PATIENT = new_configuration(
    1,
    new_route("menu", "menu-svc", timeout_seconds=20.0),
    new_route("dispatch", "dispatch-svc"),
)
# Time after the notice within which a request that is complete is refused, see the node's drain.
LATE_SECONDS = 2.6


async def stop(node):
    """Drain and close a node, and end its connections as the end of its process does."""
    await node.drain()
    await node.close()
    for connection in list(node._caller_listener.connections):
        connection._transport.abort()


def served_targets(mesh):
    return {r["target"] for server in mesh.servers.values() for r in server.requests}


class PipeliningCaller:
    """A caller that sends a request each `gap_seconds`, whether or not others are answered."""

    def __init__(self, caller, gap_seconds, name):
        self._caller = caller
        self._gap_seconds = gap_seconds
        self._name = name
        self.statuses_by_target = {}
        self._sent = []

    async def run(self):
        sender = asyncio.create_task(self._send())
        try:
            while True:
                status, _, _ = await self._caller.receive()
                target = self._sent[len(self.statuses_by_target)]
                self.statuses_by_target[target] = status
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            sender.cancel()
            self._caller.close()

    async def _send(self):
        while True:
            target = f"/menu/{self._name}-{len(self._sent)}"
            self._sent.append(target)
            self._caller.send(target, deadline_ms=5000)
            await asyncio.sleep(self._gap_seconds)


@pytest.mark.parametrize(("work_seconds", "gap_seconds"), [(0.2, 0.05), (1.0, 0.3), (2.5, 1.5)])
def test_stop_answers_every_pipelined_request_that_was_passed_on(run, work_seconds, gap_seconds):
    """A pipelining caller always has a request pending, so its connection is never idle."""

    async def body():
        async with running_mesh(*MEMBERS, version=VERSION, stop_seconds=STOP_SECONDS) as mesh:
            for server in mesh.servers.values():
                server.respond = lambda request: FakeResponse(delay=work_seconds)
            callers = [
                PipeliningCaller(await mesh.caller("m1"), gap_seconds, f"c{number}")
                for number in range(4)
            ]
            running = [asyncio.create_task(caller.run()) for caller in callers]
            await asyncio.sleep(0.3)
            await stop(mesh.nodes["m1"])
            async with asyncio.timeout(5.0):
                await asyncio.gather(*running)
            statuses = {}
            for caller in callers:
                statuses.update(caller.statuses_by_target)
            assert statuses
            assert {target: statuses.get(target) for target in served_targets(mesh)} == {
                target: 200 for target in served_targets(mesh)
            }

    run(body())


def test_request_that_is_complete_late_in_a_stop_is_refused_without_running(run):
    async def body():
        async with running_mesh(*MEMBERS, stop_seconds=STOP_SECONDS) as mesh:
            caller = await mesh.caller("m1")
            caller.writer.write(b"POST /menu/slow HTTP/1.1\r\nHost: mesh\r\nId: q-slow\r\n")
            caller.writer.write(b"Content-Length: 4\r\n\r\nab")
            stopping = asyncio.create_task(stop(mesh.nodes["m1"]))
            await asyncio.sleep(LATE_SECONDS)
            caller.writer.write(b"cd")
            status, fields, _ = await caller.receive()
            assert (status, fields["connection"]) == (503, "close")
            assert float(fields["retry-after"]) >= 0.0
            caller.close()
            await stopping
            assert served_targets(mesh) == set()

    run(body())


def test_stop_waits_until_a_slow_caller_can_have_its_whole_answer(run):
    answer = b"m" * 16_000_000

    async def body():
        async with running_mesh(*MEMBERS, version=VERSION, stop_seconds=STOP_SECONDS) as mesh:
            for server in mesh.servers.values():
                server.respond = lambda request: FakeResponse(body=answer, delay=0.1)
            caller = FakeCaller(mesh.nodes["m1"].settings.callers)
            with_small_buffer = socket.socket()
            with_small_buffer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            with_small_buffer.connect((caller.address.host, caller.address.port))
            caller.reader, caller.writer = await asyncio.open_connection(sock=with_small_buffer)
            caller.send("/menu/1", deadline_ms=5000)
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(stop(mesh.nodes["m1"]))
            received = b""
            # The answer has to last beyond the notice, and to end before the stop time.
            while len(received) < len(answer) and (part := await caller.reader.read(200_000)):
                received += part
                await asyncio.sleep(0.05 * len(part) / 200_000)
            _, _, content = received.partition(b"\r\n\r\n")
            assert len(content) == len(answer)
            caller.close()
            await stopping

    run(body())


def test_requests_behind_the_last_answer_do_not_reset_the_connection(run):
    """A caller that has sent a request behind the last one still receives the whole answer."""
    answer = b"m" * 300_000

    async def body():
        async with running_mesh(*MEMBERS, stop_seconds=STOP_SECONDS) as mesh:
            for server in mesh.servers.values():
                server.respond = lambda request: FakeResponse(body=answer, delay=0.5)
            caller = FakeCaller(mesh.nodes["m1"].settings.callers)
            caller.reader, caller.writer = await asyncio.open_connection(
                caller.address.host, caller.address.port, limit=1024
            )
            caller.send("/menu/first", deadline_ms=5000)
            await asyncio.sleep(0.2)
            stopping = asyncio.create_task(stop(mesh.nodes["m1"]))
            for number in range(20):
                await asyncio.sleep(0.05)
                caller.send(f"/menu/behind-{number}", deadline_ms=5000)
            await asyncio.sleep(0.5)
            message = await read_message_slowly(caller.reader, len(answer))
            assert message == answer
            caller.close()
            await stopping
            assert served_targets(mesh) == {"/menu/first"}

    async def read_message_slowly(reader, length):
        received = b""
        while len(received.partition(b"\r\n\r\n")[2]) < length:
            part = await reader.read(20_000)
            if not part:
                break
            received += part
            await asyncio.sleep(0.01)
        return received.partition(b"\r\n\r\n")[2]

    run(body())


def test_stop_ends_soon_after_the_notice_if_nothing_is_in_progress(run):
    async def body():
        async with running_mesh(*MEMBERS, stop_seconds=STOP_SECONDS) as mesh:
            caller = await mesh.caller("m1")
            assert (await caller.request("/menu/1"))[0] == 200
            loop = asyncio.get_running_loop()
            began = loop.time()
            draining = asyncio.create_task(mesh.nodes["m1"].drain())
            with pytest.raises(asyncio.IncompleteReadError):
                await read_message(caller.reader)
            caller.close()
            await draining
            assert loop.time() - began < STOP_SECONDS / 2

    run(body())


def test_request_sent_long_after_the_last_answer_does_not_reset_the_connection(run):
    """A caller that has not begun to read the answer does not know yet that it is the last one."""
    answer = b"m" * 300_000

    async def body():
        async with running_mesh(*MEMBERS, stop_seconds=STOP_SECONDS) as mesh:
            for server in mesh.servers.values():
                server.respond = lambda request: FakeResponse(body=answer, delay=0.3)
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                address = mesh.nodes["m1"].settings.callers
                caller.connect((address.host, address.port))
                caller.setblocking(False)
                loop = asyncio.get_running_loop()
                request = (
                    b"GET /menu/1 HTTP/1.1\r\nHost: mesh\r\nId: q-%d\r\nDeadline: 5000\r\n\r\n"
                )
                await loop.sock_sendall(caller, request % 1)
                await asyncio.sleep(0.1)
                stopping = asyncio.create_task(stop(mesh.nodes["m1"]))
                # The node stops waiting for the caller 1 to 1.5 s after the kernel took the answer.
                await asyncio.sleep(2.2)
                await loop.sock_sendall(caller, request % 2)
                await asyncio.sleep(0.2)
                received = b""
                while part := await loop.sock_recv(caller, 65_536):
                    received += part
                assert received.partition(b"\r\n\r\n")[2] == answer
            await stopping

    run(body())


def set_slots(mesh, slots):
    for node in mesh.nodes.values():
        node.admission.set_slots(slots)


async def send_at_once(mesh, instance, count, deadline_ms=5000):
    """Send requests on connections of their own, and return tasks with status and body."""

    async def send(number):
        caller = await mesh.caller(instance)
        try:
            status, _, content = await caller.request(f"/menu/{number}", deadline_ms=deadline_ms)
            return f"/menu/{number}", status, content
        finally:
            caller.close()

    return [asyncio.create_task(send(number)) for number in range(count)]


def test_stop_refuses_requests_that_wait_beside_a_full_server(run):
    """Requests that waited there until the process ended were cut off, some after they had run."""
    members = (("d1", "dispatch-svc"), ("m1", "menu-svc"))

    async def body():
        async with running_mesh(*members, version=PATIENT, stop_seconds=STOP_SECONDS) as mesh:
            set_slots(mesh, 1)
            mesh.servers["m1"].respond = lambda request: FakeResponse(delay=0.9)
            requests = await send_at_once(mesh, "d1", 8, deadline_ms=20_000)
            await asyncio.sleep(0.1)
            await stop(mesh.nodes["d1"])
            answers = await asyncio.gather(*requests)
            served = served_targets(mesh)
            assert len(served) < len(answers)
            for target, status, content in answers:
                assert (target, status) == (target, 200 if target in served else 503), content

    run(body())


def test_stop_passes_on_requests_that_wait_beside_its_own_full_server(run):
    """The requests of other nodes that waited at a stopping one ended with a lost connection."""
    members = (("d1", "dispatch-svc"), ("m1", "menu-svc"), ("m2", "menu-svc"))

    async def body():
        async with running_mesh(*members, version=PATIENT, stop_seconds=STOP_SECONDS) as mesh:
            set_slots(mesh, 1)
            for server in mesh.servers.values():
                server.respond = lambda request: FakeResponse(delay=0.7)
            requests = await send_at_once(mesh, "d1", 16, deadline_ms=20_000)
            await asyncio.sleep(0.1)
            await stop(mesh.nodes["m1"])
            answers = await asyncio.gather(*requests)
            assert [status for _, status, _ in answers] == [200] * len(answers)
            assert sum(len(server.requests) for server in mesh.servers.values()) == len(answers)

    run(body())
