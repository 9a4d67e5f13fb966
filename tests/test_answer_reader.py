"""State machine of a connection to a server that writes anything, in pieces of any size."""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from apricotwalk.core import BodyMemory
from apricotwalk.http1 import ServerConnection

MEMORY_BYTES = 400_000
# Larger than a small body, so that bodies of two sizes are counted in the memory.
LARGE_BODY_BYTES = 150_000
NOISE = (
    b"\r\n",
    b"rubbish that is no answer\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nId: ",
    b"\x00" * 100,
    b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
)
BODIES = st.one_of(st.binary(max_size=200), st.just(b"b" * LARGE_BODY_BYTES))


class FakeTransport(asyncio.Transport):
    """A transport that records whether reading is paused and the connection is closed."""

    def __init__(self):
        super().__init__()
        self.is_paused = False
        self.is_aborted = False

    def write(self, data):
        pass

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.is_aborted

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def abort(self):
        self.is_aborted = True


def encode_answer(request_id, body, framing, status=200):
    head = b"HTTP/1.1 %d X\r\nId: %s\r\n" % (status, request_id.encode())
    if framing == "length":
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    if framing == "chunks":
        middle = len(body) // 2
        parts = [part for part in (body[:middle], body[middle:]) if part]
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\nLate: x\r\n\r\n"
    return head + b"\r\n" + body


class AnswerMachine(RuleBasedStateMachine):
    """Each request gets the whole of its own answer or an error, in bounded memory."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.memory = BodyMemory(MEMORY_BYTES)
        self.number = 0
        self.open()

    def teardown(self):
        self.connection.close()
        self.loop.close()

    def open(self):
        self.transport = FakeTransport()
        self.connection = ServerConnection(b"id", frozenset(), self.memory)
        self.connection.connection_made(self.transport)
        self.undelivered = b""
        self.delivered_count = 0
        self.written_count = 0
        self.future = None
        self.own_body = None
        self.own_end = None
        self.ends_with_connection = False

    def in_loop(self, function, *arguments):
        async def call():
            return function(*arguments)

        return self.loop.run_until_complete(call())

    def write(self, data):
        self.undelivered += data
        self.written_count += len(data)

    @precondition(lambda self: not self.connection.is_reusable)
    @rule()
    def reconnect(self):
        self.connection.close()
        self.in_loop(self.connection.connection_lost, None)
        self.open()

    @precondition(lambda self: self.connection.is_reusable)
    @rule()
    def send_request(self):
        self.number += 1
        self.own_body = self.own_end = None
        self.future = self.in_loop(
            self.connection.send, b"GET /x HTTP/1.1\r\n\r\n", b"", self.request_id, False
        )

    @property
    def request_id(self):
        return f"q-{self.number}"

    @precondition(lambda self: not self.ends_with_connection)
    @rule(body=BODIES, framing=st.sampled_from(["length", "chunks", "close"]))
    def write_own_answer(self, body, framing):
        if self.future is None or self.own_body is not None:
            return
        self.write(encode_answer(self.request_id, body, framing))
        self.own_body = body
        self.own_end = self.written_count
        self.ends_with_connection = framing == "close"

    @precondition(lambda self: not self.ends_with_connection)
    @rule(body=BODIES, framing=st.sampled_from(["length", "chunks"]), is_error=st.booleans())
    def write_answer_to_another_request(self, body, framing, is_error):
        self.write(encode_answer("q-other", body, framing, 503 if is_error else 200))

    @precondition(lambda self: not self.ends_with_connection)
    @rule(noise=st.sampled_from(NOISE))
    def write_noise(self, noise):
        self.write(noise)

    @precondition(lambda self: not self.ends_with_connection)
    @rule(count=st.integers(1, 5))
    def write_interim_answers(self, count):
        self.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * count)

    @rule(count=st.one_of(st.integers(1, 60), st.integers(1000, 200_000)))
    def deliver(self, count):
        if self.transport.is_aborted or self.transport.is_paused:
            return
        data, self.undelivered = self.undelivered[:count], self.undelivered[count:]
        if data:
            self.delivered_count += len(data)
            self.in_loop(self.connection.data_received, data)

    @rule()
    def end_connection(self):
        if self.transport.is_aborted:
            return
        if not self.undelivered:  # otherwise it is reset, and what is in transit is lost
            self.in_loop(self.connection.eof_received)
        self.in_loop(self.connection.connection_lost, None)
        self.transport.is_aborted = True

    @invariant()
    def answer_is_whole_and_own(self):
        if self.future is None or not self.future.done() or self.future.exception() is not None:
            return
        assert self.own_body is not None, "an answer that the server has not given"
        assert bytes(self.future.result().body) == self.own_body
        assert self.delivered_count >= self.own_end

    @invariant()
    def request_has_ended_with_its_connection(self):
        if self.future is not None and self.connection.is_closed:
            assert self.future.done()

    @invariant()
    def memory_is_bounded(self):
        assert 0 <= self.memory.used_bytes <= MEMORY_BYTES


TestAnswerMachine = AnswerMachine.TestCase
