"""Watch on the members of a service that this node calls."""

import asyncio
import random
from collections.abc import Callable

from apricotwalk.control import ControlKind, ControlSocket
from apricotwalk.core import Clock
from apricotwalk.membership._directory import Directory
from apricotwalk.membership._lookup import Lookup
from apricotwalk.membership._member import Member, MemberState
from apricotwalk.membership._messages import (
    MAX_ANSWER_MEMBER_COUNT,
    ChangesMessage,
    WatchAnswerMessage,
    WatchMessage,
)
from apricotwalk.membership._pending_answers import PendingAnswers
from apricotwalk.membership._table import MemberTable
from apricotwalk.settings import Address

__all__ = ["Watch"]

ANSWER_TIMEOUT_SECONDS = 0.5
MIN_INTERVAL_SECONDS = 0.5
INITIAL_QUERY_COUNT = 3
MAX_MISSING_MEMBER_COUNT = 4
INITIAL_LOOKUP_INTERVAL_SECONDS = 0.2
MAX_LOOKUP_INTERVAL_SECONDS = 2.0


class Watch:
    """Tracks the members of one called service by querying them in random order.

    Parameters
    ----------
    service : str
        The service.
    socket : ControlSocket
        Socket for the membership messages.
    directory : Directory
        Source of the initial members.
    other_peers : callable
        Returns some nodes to query while no member is known and none is left in the directory.
    clock : Clock
        Source of time.
    generator : random.Random
        Source of randomness.
    detects_failures : bool
        False only in a test run that disables failure detection: silent members then stay in use.
    """

    def __init__(
        self,
        service: str,
        socket: ControlSocket,
        directory: Directory,
        other_peers: Callable[[], list[Address]],
        clock: Clock,
        generator: random.Random,
        detects_failures: bool = True,
    ) -> None:
        self.service = service
        self.table = MemberTable(service, clock)
        self.is_closed = False
        self.last_used = clock.monotonic()
        self.has_members = asyncio.Event()
        self._socket = socket
        self._clock = clock
        self._random = generator
        self._detects_failures = detects_failures
        self._answers: PendingAnswers[WatchAnswerMessage] = PendingAnswers()
        self._digest = 0
        self._lookup = Lookup(service, directory, other_peers, clock)
        self._lookup_count = 0
        self._query_order: list[str] = []

    async def follow(self, idle_seconds: float) -> None:
        """Keep the members up to date until they have not been used for `idle_seconds`."""
        query_count = 0
        while not self.is_closed and self._clock.monotonic() - self.last_used < idle_seconds:
            if not self.table.present():
                await self._look_up()
                continue
            interval = await self._query_next()
            query_count += 1
            if query_count <= INITIAL_QUERY_COUNT:
                interval = min(interval, MIN_INTERVAL_SECONDS)
            await asyncio.sleep(interval * self._random.uniform(0.8, 1.2))

    def handle_answer(self, answer: WatchAnswerMessage, source: Address) -> None:
        """Apply the answer of a member or of another node that knows the service."""
        if answer.digest and answer.members is not None:
            self._send_missing_members(answer.members, source)
            self.table.replace_all(answer.members)
            self._digest = answer.digest
            if answer.members:
                self._lookup_count = 0
                self._lookup.restart()
                self.has_members.set()
        self._answers.resolve(source, answer)

    def add_members(self, members: list[Member]) -> None:
        """Add members that this node knows from its previous group."""
        for member in members:
            self.table.merge(member)
        if members:
            self.has_members.set()

    def handle_change(self, member: Member) -> None:
        """Merge a changed record received in a notification."""
        self.table.merge(member)

    def _send_missing_members(self, listed: list[Member], source: Address) -> None:
        """Send a member the live members missing from its list, so that a split group can merge."""
        names = {member.instance for member in listed}
        alive = self.table.in_state(MemberState.ALIVE)
        missing = [member for member in alive if member.instance not in names]
        if missing and len(listed) < MAX_ANSWER_MEMBER_COUNT:
            message = ChangesMessage(missing[:MAX_MISSING_MEMBER_COUNT])
            self._socket.send(source, ControlKind.MEMBERSHIP, message)

    async def _query_next(self) -> float:
        member = self._next_member()
        answer = await self._query(member.address)
        if answer is None:
            answer = await self._query(member.address)
        if answer is None:
            if self._detects_failures:
                self.table.mark_unreachable(member.instance)
            if len(self.table.usable()) <= 1:
                await self._look_up()
            return MIN_INTERVAL_SECONDS
        if not answer.digest:
            self.table.remove(member.instance)
            return MIN_INTERVAL_SECONDS
        self.table.mark_reachable(member.instance)
        return max(MIN_INTERVAL_SECONDS, answer.next_after_ms / 1000)

    async def _query(self, address: Address) -> WatchAnswerMessage | None:
        message = WatchMessage(self.service, self._digest, subscribes=True)

        def send() -> None:
            self._socket.send(address, ControlKind.MEMBERSHIP, message)

        return await self._answers.request(address, send, ANSWER_TIMEOUT_SECONDS)

    async def _look_up(self) -> None:
        for address in await self._lookup.next_batch():
            message = WatchMessage(self.service, 0, subscribes=False)
            self._socket.send(address, ControlKind.MEMBERSHIP, message)
        interval = min(
            MAX_LOOKUP_INTERVAL_SECONDS, INITIAL_LOOKUP_INTERVAL_SECONDS * 1.3**self._lookup_count
        )
        self._lookup_count += 1
        await asyncio.sleep(interval)

    def _next_member(self) -> Member:
        present_by_instance = {member.instance: member for member in self.table.present()}
        while True:
            if not self._query_order:
                self._query_order = list(present_by_instance)
                self._random.shuffle(self._query_order)
            member = present_by_instance.get(self._query_order.pop())
            if member is not None:
                return member
