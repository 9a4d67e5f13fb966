"""The calling side of connections between nodes of a mesh."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass

from loguru import logger

from apricotwalk.core import CallFailure, PauseDetector, Service, Supervisor, Verdict
from apricotwalk.membership import Member
from apricotwalk.peering._frames import FrameProtocol
from apricotwalk.peering._listener import PeerHandler
from apricotwalk.peering._messages import (
    CancelMessage,
    ForwardMessage,
    GoAwayMessage,
    GreetingMessage,
    PeerMessage,
    PingMessage,
    PongMessage,
    ReplyMessage,
)
from apricotwalk.settings import Address

__all__ = ["PeerLinks"]

# A handshake takes one round trip, 2.8 ms at most between zones of one region.
CONNECT_TIMEOUT_SECONDS = 0.5
# Two pings are lost before a connection counts as silent.
PING_SECONDS = 0.3
# Three pings, so that two lost ones are borne.
SILENCE_LIMIT_SECONDS = 0.9
# Connections that carry nothing cost both sides memory and pings.
IDLE_LIMIT_SECONDS = 30.0
# A node is back about a second after it was killed; a machine that is gone is dialled rarely.
FIRST_REDIAL_SECONDS = 0.1
# A machine that comes back is in use again within the time that a new one is.
LONGEST_REDIAL_SECONDS = 2.0
# A peer that is gone for good leaves the members; what is still asked for then is dialled anew.
OUTAGE_MEMORY_SECONDS = 120.0


@dataclass(slots=True)
class _Outage:
    began: float
    next_dial: float = 0.0
    pause: float = FIRST_REDIAL_SECONDS


class _Link(FrameProtocol):
    """One open connection to a peer, with the tries that wait on it."""

    def __init__(self, address: Address, handler: PeerHandler) -> None:
        super().__init__()
        self.address = address
        self._handler = handler
        self._replies_by_call: dict[int, asyncio.Future[ReplyMessage]] = {}
        self.last_used = time.monotonic()
        self.asked_at = 0.0
        self.is_draining = False

    @property
    def takes_calls(self) -> bool:
        return self.is_open and not self.is_draining

    @property
    def waiting_count(self) -> int:
        return len(self._replies_by_call)

    def take(self, message: PeerMessage) -> None:
        self.asked_at = 0.0
        if isinstance(message, ReplyMessage):
            reply = self._replies_by_call.pop(message.call, None)
            if reply is not None and not reply.done():
                reply.set_result(message)
        elif isinstance(message, PongMessage):
            self._handler.handle_gossip_digest(
                message.configuration_version, message.members_digest, self.send
            )
        elif isinstance(message, GoAwayMessage):
            self.is_draining = True
        else:
            self._handler.handle_control(message, self.send)

    async def call(self, message: ForwardMessage) -> ReplyMessage:
        reply: asyncio.Future[ReplyMessage] = asyncio.get_running_loop().create_future()
        self.last_used = time.monotonic()
        if not self.send(message):
            raise _unreachable(self.address, "the connection is closed")
        self._replies_by_call[message.call] = reply
        try:
            return await reply
        except asyncio.CancelledError:
            self.send(CancelMessage(message.call))
            raise
        finally:
            self._replies_by_call.pop(message.call, None)

    def ping(self, configuration_version: int, members_digest: int) -> None:
        """Ask for a sign of life."""
        if self.send(PingMessage(configuration_version, members_digest)) and not self.asked_at:
            self.asked_at = time.monotonic()

    def connection_lost(self, error: Exception | None) -> None:
        waiting, self._replies_by_call = self._replies_by_call, {}
        for reply in waiting.values():
            if not reply.done():
                detail = f"connection to {self.address} lost: {error or 'closed by the peer'}"
                reply.set_exception(
                    CallFailure(Verdict.MAY_HAVE_RUN, "connection-lost", detail, 502)
                )


class PeerLinks(Service):
    """A connection to each peer that this node calls.

    Parameters
    ----------
    own : Member
        What this node says of itself when it opens a connection.
    handler : PeerHandler
        Takes what peers tell.
    generator : random.Random
        Chooses the idle connection that is pinged.

    Notes
    -----
    Connections on which requests wait are pinged, and a random other one besides, because pings
    carry what both sides know of members and of the configuration.  One that does not answer a
    ping for 0.9 s is closed and replaced.  A peer that could not be reached is dialled again in
    the background, so that no request waits for the attempt.  So is one that has said goodbye: it
    may be back with nothing known, and while the store is away only a peer that dials it can tell
    it of the others and the others of it.
    """

    def __init__(self, own: Member, handler: PeerHandler, generator: random.Random) -> None:
        self.own = own
        self._handler = handler
        self._random = generator
        self._calls = itertools.count(1)
        self._links_by_address: dict[Address, _Link] = {}
        self._links: set[_Link] = set()
        self._dials_by_address: dict[Address, asyncio.Task[_Link]] = {}
        self._outages_by_address: dict[Address, _Outage] = {}
        self._supervisor = Supervisor("peer links")

    async def start(self) -> None:
        """Begin to watch the connections."""
        self._supervisor.run_loop("silence", self._watch)

    async def close(self) -> None:
        """Close every connection; tries that still wait may have run."""
        await self._supervisor.close()
        for dial in list(self._dials_by_address.values()):
            dial.cancel()
        for link in list(self._links):
            link.close()

    def next_call_id(self) -> int:
        """Return an identifier for a try."""
        return next(self._calls)

    def is_reachable(self, address: Address) -> bool:
        """Return whether a connection is open or nothing speaks against opening one."""
        link = self._links_by_address.get(address)
        if link is not None and link.takes_calls:
            return True
        return address not in self._outages_by_address

    async def call(self, address: Address, message: ForwardMessage) -> ReplyMessage:
        """Forward a request and wait for its reply.

        Raises
        ------
        CallFailure
            ``NOT_RUN`` if it was never written, ``MAY_HAVE_RUN`` if no reply came.
        """
        link = await self._link_to(address)
        return await link.call(message)

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message on every open connection."""
        for link in self._links_by_address.values():
            link.send(message)

    @property
    def open_count(self) -> int:
        """Peers to which a connection is open."""
        return sum(link.takes_calls for link in self._links_by_address.values())

    async def connect(self, address: Address) -> None:
        """Open a connection to a peer, over which both sides exchange what they know.

        Raises
        ------
        CallFailure
            If the peer cannot be reached.
        """
        await self._link_to(address)

    def send_to_random(self, message: PeerMessage, count: int) -> None:
        """Send a message on so many open connections, chosen at random."""
        for link in self._some(count):
            link.send(message)

    def ping_random(self, count: int) -> None:
        """Tell the beliefs of this node on so many open connections, chosen at random."""
        beliefs = self._handler.gossip_digest()
        for link in self._some(count):
            link.ping(*beliefs)

    def _some(self, count: int) -> list[_Link]:
        links = [link for link in self._links_by_address.values() if link.takes_calls]
        return self._random.sample(links, min(count, len(links)))

    async def send_to(self, address: Address, message: PeerMessage) -> None:
        """Send a message to one peer, opening a connection if needed.

        Raises
        ------
        CallFailure
            If the peer cannot be reached.
        """
        link = await self._link_to(address)
        link.send(message)

    async def _link_to(self, address: Address) -> _Link:
        """Return the open connection to a peer, or a new one."""
        link = self._links_by_address.get(address)
        if link is not None and link.takes_calls:
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
            dial.exception()  # taken here, because everyone who waited may have given up

    async def _dial(self, address: Address) -> _Link:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, link = await loop.create_connection(
                    lambda: _Link(address, self._handler), address.host, address.port
                )
        except (OSError, TimeoutError):
            self._take_note_of_failure(address)
            raise
        former = self._links_by_address.get(address)
        if former is not None and not former.waiting_count:
            former.close()
        if self._outages_by_address.pop(address, None) is not None:
            logger.bind(peer=str(address)).info("peer-regained")
        self._links_by_address[address] = link
        self._links.add(link)
        link.send(GreetingMessage(self.own))
        link.ping(*self._handler.gossip_digest())
        return link

    def _take_note_of_failure(self, address: Address) -> None:
        outage = self._outages_by_address.get(address)
        if outage is None:
            outage = _Outage(time.monotonic())
            self._outages_by_address[address] = outage
            logger.bind(peer=str(address)).warning("peer-lost")
        outage.next_dial = time.monotonic() + outage.pause
        outage.pause = min(LONGEST_REDIAL_SECONDS, outage.pause * 2)

    async def _watch(self) -> None:
        pauses = PauseDetector(PING_SECONDS)
        while True:
            await asyncio.sleep(PING_SECONDS)
            now = time.monotonic()
            was_paused = pauses.was_paused()
            for link in list(self._links):
                if link.is_open:
                    self._check(link, was_paused, now)
                else:
                    self._forget(link)
            self._ping_links(now)
            self._redial(now)

    def _forget(self, link: _Link) -> None:
        self._links.discard(link)
        if self._links_by_address.get(link.address) is link:
            del self._links_by_address[link.address]
            if link.is_draining:
                self._await_return(link.address)

    def _await_return(self, address: Address) -> None:
        logger.bind(peer=str(address)).info("peer-left")
        self._outages_by_address.setdefault(address, _Outage(time.monotonic()))

    def _check(self, link: _Link, was_paused: bool, now: float) -> None:
        if was_paused:
            link.asked_at = 0.0
        is_idle = not link.waiting_count
        if is_idle and not link.is_draining and now - link.last_used > IDLE_LIMIT_SECONDS:
            link.close()
        elif link.asked_at and now - link.asked_at > SILENCE_LIMIT_SECONDS:
            logger.bind(peer=str(link.address)).warning("peer-silent")
            link.close()
            if self._links_by_address.get(link.address) is link:
                self._take_note_of_failure(link.address)

    def _ping_links(self, now: float) -> None:
        beliefs = self._handler.gossip_digest()
        busy = {link for link in self._links if link.waiting_count and link.is_open}
        idle = [link for link in self._links if link.is_open and link not in busy]
        if idle:
            busy.add(self._random.choice(idle))
        for link in busy:
            link.ping(*beliefs)

    def _redial(self, now: float) -> None:
        for address, outage in list(self._outages_by_address.items()):
            if now - outage.began > OUTAGE_MEMORY_SECONDS:
                del self._outages_by_address[address]
            elif now >= outage.next_dial:
                self._start_dial(address)


def _unreachable(address: Address, detail: str) -> CallFailure:
    return CallFailure(Verdict.NOT_RUN, "peer-unreachable", f"cannot reach {address}: {detail}")
