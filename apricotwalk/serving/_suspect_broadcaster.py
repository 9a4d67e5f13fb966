"""Tells other nodes of suspected requests right after a crash."""

import asyncio

from apricotwalk.core import CallFailure, Service
from apricotwalk.membership import Member, Membership
from apricotwalk.quarantine import QuarantineRegistry
from apricotwalk.telemetry import EventLog
from apricotwalk.wire import PeerPool, SuspectsMessage

__all__ = ["SuspectBroadcaster"]

LARGEST_RECIPIENT_COUNT = 64


class SuspectBroadcaster(Service):
    """Sends the newest suspects to the nodes beside servers of the same service.

    Parameters
    ----------
    board : QuarantineBoard
        Knows the suspects.
    membership : Membership
        Knows the nodes.
    pool : PeerPool
        Links to them.
    events : EventLog
        Receives one event a crash.

    Notes
    -----
    These nodes are where the next try or resend runs.  Nodes that call the service learn the
    same from the answers that they receive.
    """

    def __init__(
        self, board: QuarantineRegistry, membership: Membership, pool: PeerPool, events: EventLog
    ) -> None:
        self._board = board
        self._membership = membership
        self._pool = pool
        self._events = events
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Do nothing; messages go out after a crash."""

    async def close(self) -> None:
        """Give up messages that are under way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def broadcast(self, service: str) -> None:
        """Send the newest suspects to the nodes beside servers of `service`."""
        message = SuspectsMessage(self._board.suspects())
        self._events.announce("server-crashed", suspects=len(message.suspects))
        for member in self._recipients(service):
            task = asyncio.create_task(self._tell(member, message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _recipients(self, service: str) -> list[Member]:
        members = self._membership.members(service)
        others = [each for each in members if each.instance != self._events.instance]
        return others[:LARGEST_RECIPIENT_COUNT]

    async def _tell(self, member: Member, message: SuspectsMessage) -> None:
        try:
            await self._pool.link(member.address).tell(message)
        except CallFailure as failure:
            self._events.announce("suspects-not-told", member=member.instance, cause=failure.cause)
