"""Tests of control datagrams, key rotation and replay protection."""

import asyncio

import msgspec
import pytest

from apricotwalk.control import (
    ControlHandler,
    ControlKind,
    ControlSocket,
    Envelope,
    KeyRing,
    ReplayGuard,
    encode_envelope,
)
from apricotwalk.core import ManualClock, WireError
from apricotwalk.settings import Address, KeySettings
from apricotwalk.telemetry import EventLog, HybridClock

NEW = KeySettings("new", "0123456789abcdef")
OLD = KeySettings("old", "fedcba9876543210")
SOURCE = ("127.0.0.1", 9)


class RecordingHandler(ControlHandler):
    def __init__(self) -> None:
        self.bodies: list[bytes] = []

    def handle_control(self, body, sender):
        if body == b"bad":
            raise WireError("malformed message")
        self.bodies.append(body)


@pytest.fixture
def events() -> EventLog:
    return EventLog("menu-1", "accra-a", HybridClock(ManualClock(1000.0)))


@pytest.fixture
def handler() -> RecordingHandler:
    return RecordingHandler()


@pytest.fixture
def socket(events, handler) -> ControlSocket:
    keys = KeyRing([NEW, OLD])
    socket = ControlSocket(Address("127.0.0.1", 1), "menu-1", 5, keys, events)
    socket.register(ControlKind.MEMBERSHIP, handler)
    return socket


def signed_datagram(key=NEW, counter=1, incarnation=7, kind=1, body=b"hello", sender="menu-2"):
    envelope = Envelope(kind, sender, Address(*SOURCE), incarnation, counter, key.id, body)
    return encode_envelope(envelope, KeyRing([key]))


def with_address(old, new):
    """Return a correctly signed datagram in which an address text of equal length is replaced."""
    payload = signed_datagram()[:-16].replace(old, new)
    return payload + KeyRing([NEW]).sign(payload)


def test_key_rotation_accepts_old_and_new(socket, handler):
    socket.datagram_received(signed_datagram(NEW, 1), SOURCE)
    socket.datagram_received(signed_datagram(OLD, 2), SOURCE)
    assert len(handler.bodies) == 2
    assert not socket.rejected_by_cause


@pytest.mark.parametrize(
    ("datagram", "cause"),
    [
        (signed_datagram(KeySettings("new", "another-secret-x")), "unauthentic"),
        (signed_datagram(KeySettings("lost", "0123456789abcdef")), "unauthentic"),
        (signed_datagram()[:-1], "malformed"),
        (signed_datagram()[:20], "malformed"),
        (b"", "malformed"),
        (b"\xff" * 200, "malformed"),
        (signed_datagram(body=b"bad"), "malformed"),
        (with_address(b"127.0.0.1", b"localhost"), "malformed"),
        (signed_datagram(kind=77), "unknown"),
        (b"\x00" * 60_001, "oversized"),
    ],
)
def test_invalid_datagram_is_dropped_counted_and_recorded(socket, handler, events, datagram, cause):
    socket.datagram_received(datagram, SOURCE)
    assert handler.bodies == []
    assert socket.rejected_by_cause == {cause: 1}
    rejected = events.newest()[-1]
    assert (rejected.kind, rejected.fields["cause"]) == ("datagram-rejected", cause)


def test_datagram_with_any_changed_byte_is_rejected(socket, handler):
    datagram = signed_datagram()
    for index in range(len(datagram)):
        damaged = bytearray(datagram)
        damaged[index] ^= 1
        socket.datagram_received(bytes(damaged), SOURCE)
    assert handler.bodies == []
    assert sum(socket.rejected_by_cause.values()) == len(datagram)


def test_many_invalid_datagrams_record_one_event(socket, events):
    for _ in range(100):
        socket.datagram_received(b"noise", SOURCE)
    assert socket.rejected_by_cause == {"malformed": 100}
    assert len(events.newest()) == 1


def test_replayed_datagram_and_older_incarnation_are_dropped(socket, handler):
    socket.datagram_received(signed_datagram(counter=1), SOURCE)
    socket.datagram_received(signed_datagram(counter=1), SOURCE)
    socket.datagram_received(signed_datagram(counter=9, incarnation=6), SOURCE)
    assert len(handler.bodies) == 1
    assert socket.rejected_by_cause == {"replayed": 2}


def test_reordered_datagrams_are_accepted_once_each():
    guard = ReplayGuard()
    assert [guard.accept("a", 1, counter) for counter in (5, 3, 4, 3, 70, 6, 7, 7)] == [
        True,
        True,
        True,
        False,
        True,
        False,
        True,
        False,
    ]


def test_restarted_sender_may_restart_its_counter():
    guard = ReplayGuard()
    assert guard.accept("a", 1, 500)
    assert guard.accept("a", 2, 1)
    assert not guard.accept("a", 1, 501)


def test_least_recently_seen_sender_is_evicted():
    guard = ReplayGuard(max_sender_count=2)
    for sender in ("a", "b", "c"):
        guard.accept(sender, 1, 1)
    assert not guard.accept("c", 1, 1)
    assert guard.accept("a", 1, 1)


def test_messages_reach_the_other_node(run, events, handler):
    class Hello(msgspec.Struct, array_like=True):
        word: str

    async def body():
        receiver = ControlSocket(Address("127.0.0.1", 0), "menu-1", 1, KeyRing([NEW]), events)
        sender = ControlSocket(Address("127.0.0.1", 0), "menu-2", 1, KeyRing([NEW]), events)
        receiver.register(ControlKind.MEMBERSHIP, handler)
        await receiver.start()
        await sender.start()
        port = receiver._transport.get_extra_info("sockname")[1]
        async with asyncio.timeout(10):
            while not handler.bodies:
                sender.send(Address("127.0.0.1", port), ControlKind.MEMBERSHIP, Hello("hi"))
                await asyncio.sleep(0.01)
        await sender.close()
        await receiver.close()

    run(body())
    assert msgspec.msgpack.decode(handler.bodies[0]) == ["hi"]
