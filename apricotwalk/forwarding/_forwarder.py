"""Chooses members, forwards requests and decides on further tries."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from apricotwalk.border import Route
from apricotwalk.core import CallFailure, Execution, Verdict
from apricotwalk.fleet import FleetMembers
from apricotwalk.forwarding._server_side import ServerSideExecutor
from apricotwalk.membership import Member
from apricotwalk.peering import ForwardMessage, PeerLinks, ReplyMessage
from apricotwalk.quarantine import QuarantineRegistry
from apricotwalk.retries import SystemicFailureDetector
from apricotwalk.routing import TargetSelector
from apricotwalk.telemetry import DecisionLog

__all__ = ["Forwarder", "OutgoingRequest"]

# Refusals that came before any server was reached cost nothing but a round trip.
LARGEST_REDIRECT_COUNT = 4
REDIRECT_CAUSES = frozenset(
    {"leaving", "no-server", "peer-unreachable", "backend-unreachable", "backend-refused"}
)
UNREACHABLE_CAUSES = frozenset({"peer-unreachable", "connection-lost"})
# A request waits so long for a first member to become known, in steps of the second figure;
# news of a change arrives within a few milliseconds.
LONGEST_MEMBER_WAIT_SECONDS = 0.3
# News arrive within milliseconds, and a wait is rare enough for polling.
MEMBER_POLL_SECONDS = 0.02
# A further try needs at least so much time, and more than the route usually takes.
LEAST_RETRY_SECONDS = 0.02
SERVER_ERROR = 500
# Begins the cause of a try that ended in a failure of the server's own.
ANSWERED_PREFIX = "status-"


@dataclass(slots=True)
class OutgoingRequest:
    """A request that this node has to get answered.

    Parameters
    ----------
    request_id : str
        Identifies the caller's try.
    route : Route
        How it is treated.
    service : str
        Who runs it.
    deadline : float
        Monotonic time by which it is answered in any case.
    method, target : str
        HTTP request line.
    fields : bytes
        End-to-end header fields.
    body : bytes
        Whole body.
    tried : set of str
        Instances that were asked.
    sent_count : int
        Tries that may have reached a backend server.
    redirects : int
        Tries that were refused before they reached one.
    member : str
        Instance that was asked last.
    member_incarnation : int
        Version of what was known of it.
    """

    request_id: str
    route: Route
    service: str
    deadline: float
    method: str
    target: str
    fields: bytes
    body: bytes
    tried: set[str] = field(default_factory=set)
    sent_count: int = 0
    redirects: int = 0
    member: str = ""
    member_incarnation: int = 0


class Forwarder:
    """Forwards a request until it is answered or nothing further may be tried.

    Parameters
    ----------
    members : FleetMembers
        Knows the members of each service.
    selector : TargetSelector
        Chooses among them.
    links : PeerLinks
        Connections to other nodes.
    server_side : ServerSide
        Runs requests for which this node itself is chosen.
    board : QuarantineBoard
        Requests that crash backend servers; what is known travels with requests and replies.
    log : DecisionLog
        Receives each further try.
    caller_service : str
        Service beside whose backend server requests begin here.
    """

    def __init__(
        self,
        members: FleetMembers,
        selector: TargetSelector,
        links: PeerLinks,
        server_side: ServerSideExecutor,
        board: QuarantineRegistry,
        log: DecisionLog,
        caller_service: str,
    ) -> None:
        self._members = members
        self._selector = selector
        self._links = links
        self._server_side = server_side
        self._board = board
        self._log = log
        self.caller_service = caller_service
        self.systemic_failures = SystemicFailureDetector()
        self.clock: Callable[[], float] = time.monotonic

    async def forward(self, request: OutgoingRequest) -> ReplyMessage:
        """Return the answer of a backend server.

        Raises
        ------
        CallFailure
            If there is none; the verdict covers every try.
        """
        verdict = Verdict.NOT_RUN
        failed_answer: ReplyMessage | None = None
        while True:
            try:
                reply = await self._try_once(request)
            except CallFailure as failure:
                if failure.verdict is Verdict.MAY_HAVE_RUN:
                    verdict = Verdict.MAY_HAVE_RUN
                if self._may_retry(request, failure.verdict, failure.cause):
                    continue
                if failed_answer is not None:
                    return failed_answer
                failure.verdict = verdict
                raise
            has_failed = reply.status >= SERVER_ERROR
            if request.sent_count == 1:
                self.systemic_failures.observe(request.route.name, has_failed)
            if not has_failed:
                return reply
            failed_answer = reply
            verdict = Verdict.MAY_HAVE_RUN
            if not self._may_retry(
                request, Verdict.MAY_HAVE_RUN, f"{ANSWERED_PREFIX}{reply.status}"
            ):
                return reply

    def _may_retry(self, request: OutgoingRequest, verdict: Verdict, cause: str) -> bool:
        may_try = self._is_further_try_open(request, verdict, cause)
        self._log.decide(
            "try-failed",
            request.request_id,
            route=request.route.name,
            cause=cause,
            verdict=verdict.value,
            tries=request.sent_count,
            redirects=request.redirects,
            member=request.member,
            member_incarnation=request.member_incarnation,
            remaining_ms=round((request.deadline - self.clock()) * 1000),
            goes_on=may_try,
        )
        return may_try

    def _is_further_try_open(self, request: OutgoingRequest, verdict: Verdict, cause: str) -> bool:
        if self.clock() + LEAST_RETRY_SECONDS >= request.deadline:
            return False
        if cause in REDIRECT_CAUSES and verdict is Verdict.NOT_RUN:
            request.redirects += 1
            return request.redirects <= LARGEST_REDIRECT_COUNT
        if cause == "shed" and not request.redirects:
            request.redirects += 1
            return True
        if verdict is Verdict.NOT_RUN:
            return False
        if request.route.execution is not Execution.REPEATABLE:
            return False
        if cause.startswith(ANSWERED_PREFIX) and self.systemic_failures.are_systemic(
            request.route.name
        ):
            return False
        return request.sent_count < request.route.largest_target_count

    async def _try_once(self, request: OutgoingRequest) -> ReplyMessage:
        member = await self._choose(request)
        request.tried.add(member.instance)
        request.member, request.member_incarnation = member.instance, member.incarnation
        message = self._to_message(request)
        reply = await self._send(member, message)
        if reply.verdict is not Verdict.NOT_RUN or reply.cause == "backend-refused":
            request.sent_count += 1
        if reply.verdict is Verdict.COMPLETED:
            return reply
        raise CallFailure(
            reply.verdict,
            reply.cause,
            f"{member.instance} answered {reply.cause}",
            reply.status or 502,
        )

    async def _choose(self, request: OutgoingRequest) -> Member:
        give_up = min(self.clock() + LONGEST_MEMBER_WAIT_SECONDS, request.deadline)
        while True:
            member = self._choose_now(request)
            if member is not None:
                return member
            if self.clock() >= give_up:
                raise CallFailure(
                    Verdict.NOT_RUN, "no-members", f"service {request.service} has no members"
                )
            await asyncio.sleep(MEMBER_POLL_SECONDS)

    def _choose_now(self, request: OutgoingRequest) -> Member | None:
        members = [
            member
            for member in self._members.members(request.service)
            if member.instance == self._members.own.instance
            or self._links.is_reachable(member.address)
        ]
        return self._selector.choose(members, request.tried) or self._selector.choose(
            members, set()
        )

    def _to_message(self, request: OutgoingRequest) -> ForwardMessage:
        route = request.route
        return ForwardMessage(
            call=self._links.next_call(),
            request_id=request.request_id,
            route=route.name,
            service=request.service,
            rank=route.rank,
            at_most_once=route.execution is Execution.AT_MOST_ONCE,
            is_repeat=request.sent_count > 0,
            remaining_ms=(request.deadline - self.clock()) * 1000,
            method=request.method,
            target=request.target,
            fields=request.fields,
            body=request.body,
            caller_service=self.caller_service,
            suspects=self._board.suspects(),
        )

    async def _send(self, member: Member, message: ForwardMessage) -> ReplyMessage:
        began = self.clock()
        self._selector.record_call_sent(member.instance)
        try:
            if member.instance == self._members.own.instance:
                reply = await self._server_side.run(message)
            else:
                reply = await self._links.call(member.address, message)
        except CallFailure as failure:
            self._selector.record_failure(member.instance, failure.cause in UNREACHABLE_CAUSES)
            raise
        except BaseException:
            self._selector.record_call_abandoned(member.instance)
            raise
        self._board.merge(reply.suspects)
        self._selector.record_answer(member.instance, message.route, reply, self.clock() - began)
        return reply
