"""Notification of other nodes of suspected requests immediately after a crash."""

import asyncio

from apricotwalk.core import CallFailure, Service, Suspect
from apricotwalk.membership import Member, Membership
from apricotwalk.telemetry import EventLog
from apricotwalk.wire import PeerPool, SuspectsMessage

__all__ = ["SuspectBroadcaster"]

MAX_RECIPIENT_COUNT = 64


class SuspectBroadcaster(Service):
    """Sends the suspects of a crash to the nodes of the other members of a service.

    Parameters
    ----------
    membership : Membership
        Source of the members of each service.
    pool : PeerPool
        Connections to other nodes.
    events : EventLog
        Records one event per crash and one per message that could not be sent.

    Notes
    -----
    The next retry or resend of a suspected request goes to one of these members.  Nodes that
    call the service receive the same suspects with the answers to their calls.
    """

    def __init__(self, membership: Membership, pool: PeerPool, events: EventLog) -> None:
        self._membership = membership
        self._pool = pool
        self._events = events
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Do nothing; messages are sent only after a crash."""

    async def close(self) -> None:
        """Cancel the messages that are being sent."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def broadcast(self, service: str, suspects: list[Suspect]) -> None:
        """Send the suspects of a crash to the nodes of the other members of `service`."""
        message = SuspectsMessage(suspects)
        self._events.record_state_change("server-crashed", suspects=len(message.suspects))
        for member in self._recipients(service):
            task = asyncio.create_task(self._send(member, message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _recipients(self, service: str) -> list[Member]:
        members = self._membership.members(service)
        others = [member for member in members if member.instance != self._events.instance]
        return others[:MAX_RECIPIENT_COUNT]

    async def _send(self, member: Member, message: SuspectsMessage) -> None:
        try:
            await self._pool.link(member.address).send(message)
        except CallFailure as failure:
            self._events.record_state_change(
                "suspects-not-told", member=member.instance, cause=failure.cause
            )
