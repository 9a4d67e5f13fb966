"""Following of the members of one service that this node calls."""

import asyncio
import random
from collections.abc import Callable

from apricotwalk.control import ControlKind, ControlSocket
from apricotwalk.core import Clock
from apricotwalk.membership._directory import Directory
from apricotwalk.membership._lookup import Lookup
from apricotwalk.membership._member import Member, MemberState
from apricotwalk.membership._messages import (
    LARGEST_ANSWER_MEMBERS,
    ChangesMessage,
    WatchAnswerMessage,
    WatchMessage,
)
from apricotwalk.membership._pending_answers import PendingAnswers
from apricotwalk.membership._table import MemberTable
from apricotwalk.settings import Address

__all__ = ["Watch"]

ANSWER_TIMEOUT_SECONDS = 0.5
FIRST_INTERVAL_SECONDS = 0.5
FIRST_ASKS = 3
LARGEST_TOLD_COUNT = 4
LOOKUP_PAUSE_SECONDS = 0.2
LONGEST_LOOKUP_PAUSE_SECONDS = 2.0


class Watch:
    """Holds the members of one called service and asks them in turn for changes.

    Parameters
    ----------
    service : str
        The service.
    socket : ControlSocket
        Carries the messages.
    directory : Directory
        Where members are found at first.
    other_peers : callable
        Returns some nodes to ask while no member is known and the log service is down.
    clock : Clock
        Source of time.
    generator : random.Random
        Source of randomness.
    detects_failures : bool
        False only in a proof: a member that does not answer is then used on.
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
        self._lookups = 0
        self._turn: list[str] = []

    async def follow(self, idle_seconds: float) -> None:
        """Keep the members up to date until nobody has used them for `idle_seconds`."""
        asks = 0
        while not self.is_closed and self._clock.monotonic() - self.last_used < idle_seconds:
            if not self.table.present():
                await self._look_up()
                continue
            interval = await self._ask_next()
            asks += 1
            if asks <= FIRST_ASKS:
                interval = min(interval, FIRST_INTERVAL_SECONDS)
            await asyncio.sleep(interval * self._random.uniform(0.8, 1.2))

    def handle_answer(self, answer: WatchAnswerMessage, source: Address) -> None:
        """Take the answer of a member or of another node that knows the service."""
        if answer.digest and answer.members is not None:
            self._tell_missing(answer.members, source)
            self.table.replace_all(answer.members)
            self._digest = answer.digest
            if answer.members:
                self._lookups = 0
                self._lookup.restart()
                self.has_members.set()
        self._answers.resolve(source, answer)

    def add_members(self, members: list[Member]) -> None:
        """Begin with members that this node knows from another part of its state."""
        for member in members:
            self.table.merge(member)
        if members:
            self.has_members.set()

    def handle_change(self, member: Member) -> None:
        """Take a changed record that a member has told."""
        self.table.merge(member)

    def _tell_missing(self, listed: list[Member], source: Address) -> None:
        """Tell a member of others that it does not list, so that a divided group meets."""
        names = {member.instance for member in listed}
        alive = self.table.in_state(MemberState.ALIVE)
        missing = [member for member in alive if member.instance not in names]
        if missing and len(listed) < LARGEST_ANSWER_MEMBERS:
            message = ChangesMessage(missing[:LARGEST_TOLD_COUNT])
            self._socket.send(source, ControlKind.MEMBERSHIP, message)

    async def _ask_next(self) -> float:
        member = self._next_member()
        answer = await self._ask(member.address)
        if answer is None:
            answer = await self._ask(member.address)
        if answer is None:
            if self._detects_failures:
                self.table.mark_unreachable(member.instance)
            if len(self.table.usable()) <= 1:
                await self._look_up()
            return FIRST_INTERVAL_SECONDS
        if not answer.digest:
            self.table.remove(member.instance)
            return FIRST_INTERVAL_SECONDS
        self.table.mark_reachable(member.instance)
        return max(FIRST_INTERVAL_SECONDS, answer.next_after_ms / 1000)

    async def _ask(self, address: Address) -> WatchAnswerMessage | None:
        message = WatchMessage(self.service, self._digest, subscribes=True)

        def send() -> None:
            self._socket.send(address, ControlKind.MEMBERSHIP, message)

        return await self._answers.ask(address, send, ANSWER_TIMEOUT_SECONDS)

    async def _look_up(self) -> None:
        for address in await self._lookup.next_batch():
            message = WatchMessage(self.service, 0, subscribes=False)
            self._socket.send(address, ControlKind.MEMBERSHIP, message)
        pause = min(LONGEST_LOOKUP_PAUSE_SECONDS, LOOKUP_PAUSE_SECONDS * 1.3**self._lookups)
        self._lookups += 1
        await asyncio.sleep(pause)

    def _next_member(self) -> Member:
        present_by_instance = {member.instance: member for member in self.table.present()}
        while True:
            if not self._turn:
                self._turn = list(present_by_instance)
                self._random.shuffle(self._turn)
            member = present_by_instance.get(self._turn.pop())
            if member is not None:
                return member
