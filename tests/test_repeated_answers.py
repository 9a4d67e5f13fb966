"""Tests of servers that cut an answer in its head or write an earlier refusal once more."""

import asyncio

import pytest

from apricotwalk.core import CallFailure, Verdict
from apricotwalk.forwarding import BackendPool
from tests.mesh_fakes import FakeResponse, free_address, read_message
from tests.mesh_harness import running_mesh

WHOLE = b"HTTP/1.1 200 OK\r\nId: %b\r\nSeal: x\r\nContent-Length: 3\r\n\r\ndue"
REFUSAL = b"HTTP/1.1 503 X\r\nId: %b\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"
REFUSAL_WITHOUT_ID = b"HTTP/1.1 503 X\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"


class ScriptedServer:
    """A server whose answers to the requests of all connections are scripted.

    Each step is a list of byte strings, which are written one after the other with a short pause;
    None closes the connection.
    """

    def __init__(self, *steps):
        self.address = free_address()
        self.requests = []
        self.connection_count = 0
        self._steps = list(steps)
        self._listener = None

    async def open(self):
        self._listener = await asyncio.start_server(
            self._handle_connection, self.address.host, self.address.port
        )
        return self

    def close(self):
        self._listener.close()

    async def _handle_connection(self, reader, writer):
        self.connection_count += 1
        try:
            while True:
                self.requests.append(await read_message(reader))
                for part in self._steps.pop(0):
                    if part is None:
                        return
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(0.02)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def send(pool, request_id):
    return await pool.send("GET", "/x", b"Host: mesh\r\n", b"", request_id, False)


def exchange(run, steps, request_ids):
    """Send requests one after the other and return the statuses, or the verdicts of failures."""

    async def body():
        server = await ScriptedServer(*steps).open()
        pool = BackendPool(server.address, "Id", ("Seal", "Refused"))
        outcomes = []
        for request_id in request_ids:
            try:
                async with asyncio.timeout(1.0):
                    answer = await send(pool, request_id)
                outcomes.append((answer.status, answer.body))
            except CallFailure as failure:
                outcomes.append(failure.verdict)
            except TimeoutError:
                outcomes.append("no answer")
        await pool.close()
        server.close()
        return outcomes, server

    return run(body())


@pytest.mark.parametrize(
    "cut",
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nId: q-1\r\nSeal: x\r\n",
        b"HTTP/1.1 200 OK\r\nId: q-1\r\nSeal: x\r\nConte",
        b"HTTP/1.1 200 OK\r\nId: q-1\r\nSeal: x\r\nContent-Length: 3",
        b"HTTP/1.1 200 OK\r\nId: q-1\r\nSeal: x\r\n\r",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: q-1\r\nSeal: x\r\n",
    ],
)
@pytest.mark.parametrize("is_split", [False, True])
def test_answer_that_ends_in_its_head_is_no_answer(run, cut, is_split):
    parts = [cut[:9], cut[9:]] if is_split else [cut]
    outcomes, _ = exchange(run, [[*parts, None]], ["q-1"])
    assert outcomes == [Verdict.MAY_HAVE_RUN]


def test_answer_without_a_length_ends_with_its_connection(run):
    answer = b"HTTP/1.1 200 OK\r\nId: q-1\r\nSeal: x\r\n\r\ndue"
    outcomes, _ = exchange(run, [[answer, None]], ["q-1"])
    assert outcomes == [(200, b"due")]


def test_answer_cut_in_its_head_reaches_no_caller(run):
    async def body():
        async with running_mesh(("m1", "menu-svc")) as mesh:
            cut = b"HTTP/1.1 200 OK\r\nId: q-1\r\nSeal: x\r\n"
            mesh.servers["m1"].respond = lambda request: FakeResponse(raw=cut, closes=True)
            caller = await mesh.caller("m1")
            status, _, _ = await caller.request("/menu/1", request_id="q-1")
            assert status == 502
            caller.close()

    run(body())


REPEATS = {
    "with its own identifier": REFUSAL % b"q-1",
    "without an identifier": REFUSAL_WITHOUT_ID,
}


@pytest.mark.parametrize("repeat", REPEATS.values(), ids=REPEATS)
def test_refusal_repeated_at_once_does_not_answer_the_next_request(run, repeat):
    steps = [[REFUSAL % b"q-1" + repeat], [WHOLE % b"q-2"]]
    outcomes, server = exchange(run, steps, ["q-1", "q-2"])
    assert outcomes == [(503, b""), (200, b"due")]
    assert server.connection_count == 2


@pytest.mark.parametrize("repeat", REPEATS.values(), ids=REPEATS)
@pytest.mark.parametrize("is_split", [False, True])
def test_refusal_repeated_while_the_next_request_runs_does_not_answer_it(run, repeat, is_split):
    parts = [repeat[:20], repeat[20:]] if is_split else [repeat]
    steps = [[REFUSAL % b"q-1"], [*parts, WHOLE % b"q-2"]]
    outcomes, server = exchange(run, steps, ["q-1", "q-2"])
    assert outcomes == [(503, b""), (200, b"due")]
    assert server.connection_count == 1


@pytest.mark.parametrize("repeat", REPEATS.values(), ids=REPEATS)
def test_refusal_repeated_after_a_whole_answer_does_not_answer_the_next_request(run, repeat):
    steps = [[REFUSAL % b"q-1"], [WHOLE % b"q-2" + repeat], [WHOLE % b"q-3"]]
    outcomes, _ = exchange(run, steps, ["q-1", "q-2", "q-3"])
    assert outcomes == [(503, b""), (200, b"due"), (200, b"due")]


@pytest.mark.parametrize("repeat", REPEATS.values(), ids=REPEATS)
def test_refused_request_that_is_sent_again_is_not_answered_by_the_earlier_refusal(run, repeat):
    steps = [[REFUSAL % b"q-1", repeat], [WHOLE % b"q-1"]]
    outcomes, server = exchange(run, steps, ["q-1", "q-1"])
    assert outcomes == [(503, b""), (200, b"due")]
    assert server.connection_count == 2


def test_refusals_of_different_requests_share_one_connection(run):
    steps = [[REFUSAL % request_id] for request_id in (b"q-1", b"q-2", b"q-3")]
    outcomes, server = exchange(run, steps, ["q-1", "q-2", "q-3"])
    assert outcomes == [(503, b"")] * 3
    assert server.connection_count == 1


def test_connection_on_which_a_request_was_refused_serves_other_requests(run):
    steps = [[REFUSAL % b"q-1"], [WHOLE % b"q-1"], [WHOLE % b"q-2"], [WHOLE % b"q-1"]]
    outcomes, server = exchange(run, steps, ["q-1", "q-1", "q-2", "q-1"])
    assert outcomes == [(503, b""), *[(200, b"due")] * 3]
    assert server.connection_count == 2


def test_repeated_refusal_causes_no_second_run_of_at_most_once_work(run):
    async def body():
        async with running_mesh(("d1", "dispatch-svc"), ("d2", "dispatch-svc")) as mesh:
            runs = []

            def respond(request):
                request_id = request["fields"]["id"]
                if request_id == "full":
                    return FakeResponse(503, b"", fields=(("Refused", "1"),))
                runs.append(request_id)
                return FakeResponse(raw=REFUSAL_WITHOUT_ID + WHOLE % request_id.encode())

            for server in mesh.servers.values():
                server.respond = respond
            caller = await mesh.caller("d1")
            assert (await caller.request("/dispatch/1", request_id="full"))[0] == 503
            assert (await caller.request("/dispatch/1", request_id="q-1"))[0] == 200
            assert runs == ["q-1"]
            caller.close()

    run(body())


def test_first_refusal_on_a_connection_needs_no_identifier(run):
    outcomes, _ = exchange(run, [[REFUSAL_WITHOUT_ID]], ["q-1"])
    assert outcomes == [(503, b"")]
