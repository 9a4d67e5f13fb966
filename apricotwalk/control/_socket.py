"""The UDP socket for all control messages of a node."""

import asyncio
import time
from abc import ABC, abstractmethod
from collections import Counter
from dataclasses import dataclass
from enum import IntEnum

import msgspec

from apricotwalk.control._envelope import Envelope, decode_envelope, encode_envelope
from apricotwalk.control._keys import KeyRing
from apricotwalk.control._replay import ReplayGuard
from apricotwalk.core import Service, WireError
from apricotwalk.settings import Address
from apricotwalk.telemetry import EventLog

__all__ = ["ControlHandler", "ControlKind", "ControlSocket", "Sender"]

MAX_DATAGRAM_BYTES = 60_000
REJECTION_EVENT_INTERVAL_SECONDS = 1.0

_encoder = msgspec.msgpack.Encoder()


class ControlKind(IntEnum):
    """The component of a node that handles a control message."""

    MEMBERSHIP = 1
    CONFIGURATION = 2


@dataclass(frozen=True, slots=True)
class Sender:
    """The sender of a control message and the address to which answers are sent."""

    instance: str
    address: Address


class ControlHandler(ABC):
    """Handles the control messages of one kind."""

    @abstractmethod
    def handle_control(self, body: bytes, sender: Sender) -> None:
        """Handle one message.

        Raises
        ------
        WireError
            If the message is malformed.
        """


class ControlSocket(Service, asyncio.DatagramProtocol):
    """Signs and sends control datagrams; receives, verifies and dispatches them.

    Parameters
    ----------
    address : Address
        Local address to bind.
    instance : str
        Name of this instance.
    incarnation : int
        Incarnation of this node; it grows with each restart.
    keys : KeyRing
        Keys that sign and verify datagrams.
    events : EventLog
        Receives an event for rejected datagrams, at most one per second for each cause.
    advertised : Address, optional
        Address to which other nodes send, if it differs from `address`.
    """

    def __init__(
        self,
        address: Address,
        instance: str,
        incarnation: int,
        keys: KeyRing,
        events: EventLog,
        advertised: Address | None = None,
    ) -> None:
        self.sent_datagrams = 0
        self.sent_bytes = 0
        self.rejected_by_cause: Counter[str] = Counter()
        self._address = address
        self._advertised = advertised or address
        self._instance = instance
        self._incarnation = incarnation
        self._keys = keys
        self._events = events
        self._replay_guard = ReplayGuard()
        self._handlers_by_kind: dict[int, ControlHandler] = {}
        self._reported_at_by_cause: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def register(self, kind: ControlKind, handler: ControlHandler) -> None:
        """Dispatch messages of `kind` to `handler`."""
        self._handlers_by_kind[kind] = handler

    async def start(self) -> None:
        """Bind the socket and start to receive."""
        loop = asyncio.get_running_loop()
        local = (self._address.host, self._address.port)
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=local)

    async def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, address: Address, kind: ControlKind, message: msgspec.Struct) -> None:
        """Send one message; delivery is not guaranteed."""
        if self._transport is None:
            return
        self.sent_datagrams += 1
        body = _encoder.encode(message)
        envelope = Envelope(
            kind,
            self._instance,
            self._advertised,
            self._incarnation,
            self.sent_datagrams,
            self._keys.signing_id,
            body,
        )
        datagram = encode_envelope(envelope, self._keys)
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self._reject(
                "oversized",
                f"outgoing datagram of {len(datagram)} bytes, limit is {MAX_DATAGRAM_BYTES}",
            )
            return
        self.sent_bytes += len(datagram)
        self._transport.sendto(datagram, (address.host, address.port))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Verify a datagram and dispatch its message; drop and count an invalid datagram."""
        if len(data) > MAX_DATAGRAM_BYTES:
            self._reject(
                "oversized",
                f"{len(data)} bytes from {addr[0]}:{addr[1]}, limit is {MAX_DATAGRAM_BYTES}",
            )
            return
        try:
            self._dispatch(data)
        except WireError as error:
            detail = str(error)
            self._reject(detail.partition(" ")[0], f"{detail} from {addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors; a peer that does not listen is detected by its missing answers."""

    def _dispatch(self, data: bytes) -> None:
        envelope = decode_envelope(data, self._keys)
        if envelope.sender == self._instance:
            return
        if not self._replay_guard.accept(envelope.sender, envelope.incarnation, envelope.counter):
            raise WireError(f"replayed datagram {envelope.counter} of {envelope.sender}")
        handler = self._handlers_by_kind.get(envelope.kind)
        if handler is None:
            raise WireError(f"unknown message kind {envelope.kind} of {envelope.sender}")
        handler.handle_control(envelope.body, Sender(envelope.sender, envelope.address))

    def _reject(self, cause: str, detail: str) -> None:
        self.rejected_by_cause[cause] += 1
        now = time.monotonic()
        reported_at = self._reported_at_by_cause.get(cause, -REJECTION_EVENT_INTERVAL_SECONDS)
        if now - reported_at < REJECTION_EVENT_INTERVAL_SECONDS:
            return
        self._reported_at_by_cause[cause] = now
        count = self.rejected_by_cause[cause]
        self._events.record_state_change(
            "datagram-rejected", cause=cause, detail=detail, count=count
        )
