"""Outbound connections to the peers of a mesh node."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass

from loguru import logger
from msgspec.structs import replace

from apricotwalk.core import (
    SMALL_BODY_BYTES,
    BodyMemory,
    CallFailure,
    PauseDetector,
    Service,
    Supervisor,
    Verdict,
)
from apricotwalk.membership import Member
from apricotwalk.peering._frames import FrameProtocol
from apricotwalk.peering._listener import PeerHandler
from apricotwalk.peering._messages import (
    CancelMessage,
    ForwardMessage,
    GoAwayMessage,
    GossipDigest,
    GreetingMessage,
    PeerMessage,
    PingMessage,
    PongMessage,
    ReplyMessage,
)
from apricotwalk.settings import Address

__all__ = ["PeerLinks"]

# A TCP handshake takes one round trip, at most 2.8 ms between zones of one region.
CONNECT_TIMEOUT_SECONDS = 0.5
# Two pings may be lost before a connection counts as silent, see PONG_TIMEOUT_SECONDS.
PING_INTERVAL_SECONDS = 0.3
# A connection survives two lost pings, because the time-out is three ping intervals.
PONG_TIMEOUT_SECONDS = 0.9
# Unused connections cost both sides memory and pings.
IDLE_TIMEOUT_SECONDS = 30.0
# A killed node is back after about one second; the back-off grows for machines that stay away.
INITIAL_BACKOFF_SECONDS = 0.1
# A machine that comes back is used again as soon as a new machine would be.
MAX_BACKOFF_SECONDS = 2.0
# A peer that is permanently gone is removed from the members.  A peer that is still called after
# this time is dialled as if it were new.
OUTAGE_RETENTION_SECONDS = 120.0
# A peer that does not have the memory for a body within this time is passed over for another.
BODY_ACCEPT_SECONDS = 2.0
# This default is for links that are used without a node.
DEFAULT_BODY_MEMORY_BYTES = 64 * 1024 * 1024


@dataclass(slots=True)
class _Outage:
    began: float
    next_dial_at: float = 0.0
    backoff_seconds: float = INITIAL_BACKOFF_SECONDS


class _Link(FrameProtocol):
    """Open connection to a peer and the calls that wait for replies on it."""

    def __init__(self, address: Address, handler: PeerHandler, memory: BodyMemory) -> None:
        super().__init__(memory)
        self.address = address
        self._handler = handler
        self._pending_replies_by_call: dict[int, asyncio.Future[ReplyMessage]] = {}
        self._request_ids_by_call: dict[int, str] = {}
        self.last_used = time.monotonic()
        self.pinged_at = 0.0
        self.is_draining = False

    @property
    def accepts_calls(self) -> bool:
        return self.is_open and not self.is_draining

    @property
    def pending_call_count(self) -> int:
        return len(self._pending_replies_by_call)

    def expects_body(self, call: int) -> bool:
        return call in self._pending_replies_by_call

    def record_transfer(self) -> None:
        self.pinged_at = 0.0

    def handle_message(self, message: PeerMessage) -> None:
        self.pinged_at = 0.0
        if isinstance(message, ReplyMessage):
            reply = self._pending_replies_by_call.pop(message.call, None)
            if reply is not None and not reply.done():
                reply.set_result(message)
        elif isinstance(message, PongMessage):
            self._handler.handle_gossip_digest(message.digest, self.send)
        elif isinstance(message, GoAwayMessage):
            self.is_draining = True
        else:
            self._handler.handle_control(message, self.send)

    async def call(self, message: ForwardMessage) -> ReplyMessage:
        self.last_used = time.monotonic()
        try:
            if len(message.body) > SMALL_BODY_BYTES:
                message = await self._send_body(message)
            reply: asyncio.Future[ReplyMessage] = asyncio.get_running_loop().create_future()
            if not self.send(message):
                raise _unreachable(self.address, "the connection is closed")
            self._pending_replies_by_call[message.call] = reply
            self._request_ids_by_call[message.call] = message.request_id
            return await reply
        except asyncio.CancelledError:
            self.send(CancelMessage(message.call))
            raise
        finally:
            self._pending_replies_by_call.pop(message.call, None)
            self._request_ids_by_call.pop(message.call, None)
            self.transfers.cancel(message.call)

    def withdraw_calls(self) -> None:
        """Ask the peer to refuse the pending calls that it has not started."""
        if self._request_ids_by_call:
            self.send(GoAwayMessage(list(self._request_ids_by_call.values())))

    async def _send_body(self, message: ForwardMessage) -> ForwardMessage:
        """Send a large body ahead of its request, and return the request without it."""
        began = time.monotonic()
        try:
            is_sent = await self.transfers.send_body(
                message.call, message.body, BODY_ACCEPT_SECONDS
            )
        except TimeoutError as error:
            self.send(CancelMessage(message.call))
            raise CallFailure(
                Verdict.NOT_RUN, "body-memory", f"{self.address} has no memory for the body"
            ) from error
        if not is_sent:
            raise _unreachable(self.address, "the connection is closed")
        elapsed_ms = (time.monotonic() - began) * 1000
        return replace(
            message,
            body=b"",
            body_length=len(message.body),
            remaining_ms=message.remaining_ms - elapsed_ms,
        )

    def ping(self, digest: GossipDigest) -> None:
        """Send a ping; the pong timeout starts at the first unanswered ping."""
        if self.send(PingMessage(*digest)) and not self.pinged_at:
            self.pinged_at = time.monotonic()

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        pending, self._pending_replies_by_call = self._pending_replies_by_call, {}
        for reply in pending.values():
            if not reply.done():
                detail = f"connection to {self.address} lost: {error or 'closed by the peer'}"
                reply.set_exception(
                    CallFailure(Verdict.MAY_HAVE_RUN, "connection-lost", detail, 502)
                )


class PeerLinks(Service):
    """Manages one outbound connection to each peer that this node calls.

    Parameters
    ----------
    own : Member
        Membership record of this node, sent first on each new connection.
    handler : PeerHandler
        Handles messages received from peers.
    generator : random.Random
        Selects the idle connection to ping and the receivers of gossip.
    memory : BodyMemory, optional
        Memory for the large bodies of replies.

    Notes
    -----
    Every 0.3 s a ping goes out on each connection with pending calls and on one random idle
    connection, because pings and pongs carry the digest by which both sides compare their members
    and configuration.  A connection without an answer to a ping for 0.9 s is closed and replaced.

    An unreachable peer is redialled in the background, so that no request waits for the attempt.
    A peer that closed its connection after a go-away message is redialled as well: it may restart
    without any state, and while the store is unavailable a node that dials it is the only source
    from which it and the other members learn about each other.
    """

    def __init__(
        self,
        own: Member,
        handler: PeerHandler,
        generator: random.Random,
        memory: BodyMemory | None = None,
    ) -> None:
        self.own = own
        self._memory = memory or BodyMemory(DEFAULT_BODY_MEMORY_BYTES)
        self._handler = handler
        self._random = generator
        self._call_ids = itertools.count(1)
        self._links_by_address: dict[Address, _Link] = {}
        self._links: set[_Link] = set()
        self._dials_by_address: dict[Address, asyncio.Task[_Link]] = {}
        self._outages_by_address: dict[Address, _Outage] = {}
        self._supervisor = Supervisor("peer links")

    async def start(self) -> None:
        """Start the loop that pings, closes and redials connections."""
        self._supervisor.run_loop("silence", self._maintain)

    async def close(self) -> None:
        """Close every connection; pending calls fail with the verdict ``MAY_HAVE_RUN``."""
        await self._supervisor.close()
        for dial in list(self._dials_by_address.values()):
            dial.cancel()
        for link in list(self._links):
            link.close()

    def next_call_id(self) -> int:
        """Return a new call identifier, unique within this node."""
        return next(self._call_ids)

    def is_reachable(self, address: Address) -> bool:
        """Return whether a connection accepts calls or no outage of the peer is known."""
        return self.is_connected(address) or address not in self._outages_by_address

    def withdraw_calls(self) -> None:
        """Ask every peer to refuse the pending calls that it has not started.

        Notes
        -----
        The replies to these calls, and to those that have started, still arrive.
        """
        for link in self._links:
            link.withdraw_calls()

    async def call(self, address: Address, message: ForwardMessage) -> ReplyMessage:
        """Forward a request to the peer at `address` and wait for its reply.

        Raises
        ------
        CallFailure
            With the verdict ``NOT_RUN`` if the request was not written to a connection, and
            ``MAY_HAVE_RUN`` if the connection was lost before the reply arrived.
        """
        link = await self._link_to(address)
        return await link.call(message)

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to every connected peer."""
        for link in self._links_by_address.values():
            link.send(message)

    @property
    def open_count(self) -> int:
        """Number of peers with a connection that accepts calls."""
        return sum(link.accepts_calls for link in self._links_by_address.values())

    def is_connected(self, address: Address) -> bool:
        """Return whether a connection to a peer is open and accepts calls."""
        link = self._links_by_address.get(address)
        return link is not None and link.accepts_calls

    async def connect(self, address: Address) -> None:
        """Ensure that a connection to a peer is open, so that both sides exchange their state.

        Raises
        ------
        CallFailure
            If the peer cannot be reached.
        """
        await self._link_to(address)

    def send_to_random(self, message: PeerMessage, count: int) -> None:
        """Send a message to up to `count` connected peers chosen at random."""
        for link in self._sample_links(count):
            link.send(message)

    def ping_random(self, count: int) -> None:
        """Ping up to `count` connected peers chosen at random, with this node's gossip digest."""
        digest = self._handler.gossip_digest()
        for link in self._sample_links(count):
            link.ping(digest)

    def _sample_links(self, count: int) -> list[_Link]:
        links = [link for link in self._links_by_address.values() if link.accepts_calls]
        return self._random.sample(links, min(count, len(links)))

    async def send_to(self, address: Address, message: PeerMessage) -> None:
        """Send a message to one peer, opening a connection if necessary.

        Raises
        ------
        CallFailure
            If the peer cannot be reached.
        """
        link = await self._link_to(address)
        link.send(message)

    async def _link_to(self, address: Address) -> _Link:
        """Return the connection to a peer, opening one if none accepts calls."""
        link = self._links_by_address.get(address)
        if link is not None and link.accepts_calls:
            return link
        return await self._open(address)

    async def _open(self, address: Address) -> _Link:
        if not self.is_reachable(address):
            raise _unreachable(address, "it is being dialled in the background")
        try:
            return await asyncio.shield(self._start_dial(address))
        except (OSError, TimeoutError) as error:
            raise _unreachable(address, repr(error)) from error

    def _start_dial(self, address: Address) -> "asyncio.Task[_Link]":
        dial = self._dials_by_address.get(address)
        if dial is None:
            dial = asyncio.get_running_loop().create_task(self._dial(address))
            self._dials_by_address[address] = dial
            dial.add_done_callback(lambda done: self._end_dial(address, done))
        return dial

    def _end_dial(self, address: Address, dial: "asyncio.Task[_Link]") -> None:
        self._dials_by_address.pop(address, None)
        if not dial.cancelled():
            # Mark the exception as retrieved: every waiter may have been cancelled.
            dial.exception()

    async def _dial(self, address: Address) -> _Link:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, link = await loop.create_connection(
                    lambda: _Link(address, self._handler, self._memory), address.host, address.port
                )
        except (OSError, TimeoutError):
            self._record_failure(address)
            raise
        previous = self._links_by_address.get(address)
        if previous is not None and not previous.pending_call_count:
            previous.close()
        if self._outages_by_address.pop(address, None) is not None:
            logger.bind(peer=str(address)).info("peer-regained")
        self._links_by_address[address] = link
        self._links.add(link)
        link.send(GreetingMessage(self.own))
        link.ping(self._handler.gossip_digest())
        return link

    def _record_failure(self, address: Address) -> None:
        outage = self._outages_by_address.get(address)
        if outage is None:
            outage = _Outage(time.monotonic())
            self._outages_by_address[address] = outage
            logger.bind(peer=str(address)).warning("peer-lost")
        outage.next_dial_at = time.monotonic() + outage.backoff_seconds
        outage.backoff_seconds = min(MAX_BACKOFF_SECONDS, outage.backoff_seconds * 2)

    async def _maintain(self) -> None:
        pauses = PauseDetector(PING_INTERVAL_SECONDS)
        while True:
            await asyncio.sleep(PING_INTERVAL_SECONDS)
            now = time.monotonic()
            was_paused = pauses.was_paused()
            for link in list(self._links):
                if link.is_open:
                    self._close_if_idle_or_silent(link, was_paused, now)
                else:
                    self._remove(link)
            self._ping_links(now)
            self._redial(now)

    def _remove(self, link: _Link) -> None:
        self._links.discard(link)
        if self._links_by_address.get(link.address) is link:
            del self._links_by_address[link.address]
            if link.is_draining:
                self._schedule_redial(link.address)

    def _schedule_redial(self, address: Address) -> None:
        logger.bind(peer=str(address)).info("peer-left")
        self._outages_by_address.setdefault(address, _Outage(time.monotonic()))

    def _close_if_idle_or_silent(self, link: _Link, was_paused: bool, now: float) -> None:
        if was_paused:
            link.pinged_at = 0.0
        is_idle = not link.pending_call_count
        if is_idle and not link.is_draining and now - link.last_used > IDLE_TIMEOUT_SECONDS:
            link.close()
        elif link.pinged_at and now - link.pinged_at > PONG_TIMEOUT_SECONDS:
            logger.bind(peer=str(link.address)).warning("peer-silent")
            link.close()
            if self._links_by_address.get(link.address) is link:
                self._record_failure(link.address)

    def _ping_links(self, now: float) -> None:
        digest = self._handler.gossip_digest()
        pinged = {link for link in self._links if link.pending_call_count and link.is_open}
        idle = [link for link in self._links if link.is_open and link not in pinged]
        if idle:
            pinged.add(self._random.choice(idle))
        for link in pinged:
            link.ping(digest)

    def _redial(self, now: float) -> None:
        for address, outage in list(self._outages_by_address.items()):
            if now - outage.began > OUTAGE_RETENTION_SECONDS:
                del self._outages_by_address[address]
            elif now >= outage.next_dial_at:
                self._start_dial(address)


def _unreachable(address: Address, detail: str) -> CallFailure:
    return CallFailure(Verdict.NOT_RUN, "peer-unreachable", f"cannot reach {address}: {detail}")
