"""Forwards requests to members of a service and retries them."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from apricotwalk.border import Route
from apricotwalk.core import CallFailure, Execution, ServerNotice, Verdict
from apricotwalk.fleet import FleetMembers
from apricotwalk.forwarding._server_side import ServerSideExecutor
from apricotwalk.membership import Member
from apricotwalk.peering import ForwardMessage, PeerLinks, ReplyMessage
from apricotwalk.quarantine import QuarantineRegistry, fingerprint
from apricotwalk.retries import SystemicFailureDetector
from apricotwalk.routing import TargetSelector
from apricotwalk.telemetry import DecisionLog

__all__ = ["Forwarder", "OutgoingRequest"]

# A refusal before any server was reached costs only a round trip, so several are affordable.
MAX_REDIRECT_COUNT = 4
REDIRECT_CAUSES = frozenset(
    {
        "leaving",
        "no-server",
        "peer-unreachable",
        "body-memory",
        "backend-unreachable",
        "backend-refused",
    }
)
# A node refuses with these causes before it counts a request as a first attempt.
UNCOUNTED_CAUSES = frozenset({"leaving", "no-server"})
UNREACHABLE_CAUSES = frozenset({"peer-unreachable", "connection-lost"})
# A request waits this long at most until a member of its service is known; a membership change
# arrives within a few milliseconds.
MAX_MEMBER_WAIT_SECONDS = 0.3
# Changes arrive within milliseconds, and waiting is rare enough for polling to be cheap.
MEMBER_POLL_INTERVAL_SECONDS = 0.02
# A request is retried only if more time than this remains before its deadline.
MIN_RETRY_SECONDS = 0.02
SERVER_ERROR_STATUS = 500
# The cause of an attempt that the server answered with an error status begins with this prefix.
STATUS_CAUSE_PREFIX = "status-"


@dataclass(slots=True)
class OutgoingRequest:
    """A request that this node forwards, with the state of its attempts.

    Parameters
    ----------
    request_id : str
        Identifier of the caller's attempt.
    route : Route
        Route that determines timeouts, rank and retries.
    service : str
        Service that runs it.
    deadline : float
        Monotonic time in seconds by which it must be answered.
    method, target : str
        HTTP request line.
    fields : bytes
        End-to-end header fields.
    body : bytes or bytearray
        Complete body.
    tried_instances : set of str
        Instances to which the request was sent.
    sent_count : int
        Number of attempts that may have reached a backend server.
    redirects : int
        Number of refused attempts that count against the limit on redirects.
    is_counted : bool
        Whether a node of the service has counted the first attempt of this request.
    member : str
        Instance to which the latest attempt was sent.
    member_incarnation : int
        Incarnation of the member record that was used for the latest attempt.
    """

    request_id: str
    route: Route
    service: str
    deadline: float
    method: str
    target: str
    fields: bytes
    body: bytes | bytearray
    tried_instances: set[str] = field(default_factory=set)
    sent_count: int = 0
    redirects: int = 0
    is_counted: bool = False
    member: str = ""
    member_incarnation: int = 0


class Forwarder:
    """Forwards a request until it is answered or no further attempt is allowed.

    Parameters
    ----------
    members : FleetMembers
        Members of each service.
    selector : TargetSelector
        Chooses the member of each attempt.
    links : PeerLinks
        Connections to other nodes.
    server_side : ServerSideExecutor
        Runs requests for which this node itself is the chosen member.
    quarantine : QuarantineRegistry
        Requests suspected of crashing backend servers; suspects are exchanged in requests and
        replies.
    log : DecisionLog
        Records each failed attempt and whether it is retried.
    caller_service : str
        Service of this node, which is the caller of the requests forwarded here.
    """

    def __init__(
        self,
        members: FleetMembers,
        selector: TargetSelector,
        links: PeerLinks,
        server_side: ServerSideExecutor,
        quarantine: QuarantineRegistry,
        log: DecisionLog,
        caller_service: str,
    ) -> None:
        self._members = members
        self._selector = selector
        self._links = links
        self._server_side = server_side
        self._quarantine = quarantine
        self._log = log
        self._notices_by_instance: dict[str, ServerNotice] = {}
        self.caller_service = caller_service
        self._is_withdrawn = False
        self.systemic_failures = SystemicFailureDetector()
        self.clock: Callable[[], float] = time.monotonic

    def withdraw(self) -> None:
        """Give up the requests that no server has started; see `PeerLinks.withdraw_calls`."""
        self._is_withdrawn = True
        self._links.withdraw_calls()

    async def forward(self, request: OutgoingRequest) -> ReplyMessage:
        """Forward a request and return the answer of a backend server.

        Parameters
        ----------
        request : OutgoingRequest
            The request; the state of its attempts is updated.

        Returns
        -------
        ReplyMessage
            The reply to a completed attempt; its status is an error if every answer was one.

        Raises
        ------
        CallFailure
            If no backend server answered; the verdict covers all attempts.
        """
        verdict = Verdict.NOT_RUN
        failed_reply: ReplyMessage | None = None
        while True:
            try:
                reply = await self._attempt(request)
            except CallFailure as failure:
                if failure.verdict is Verdict.MAY_HAVE_RUN:
                    verdict = Verdict.MAY_HAVE_RUN
                if self._may_retry(request, failure.verdict, failure.cause):
                    continue
                if failed_reply is not None:
                    return failed_reply
                failure.verdict = verdict
                raise
            has_failed = reply.status >= SERVER_ERROR_STATUS
            if request.sent_count == 1:
                self.systemic_failures.observe(request.route.name, has_failed)
            if not has_failed:
                return reply
            failed_reply = reply
            verdict = Verdict.MAY_HAVE_RUN
            if not self._may_retry(
                request, Verdict.MAY_HAVE_RUN, f"{STATUS_CAUSE_PREFIX}{reply.status}"
            ):
                return reply

    def _may_retry(self, request: OutgoingRequest, verdict: Verdict, cause: str) -> bool:
        may_retry = self._is_retry_allowed(request, verdict, cause)
        self._log.record_decision(
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
            goes_on=may_retry,
        )
        return may_retry

    def _is_retry_allowed(self, request: OutgoingRequest, verdict: Verdict, cause: str) -> bool:
        if self.clock() + MIN_RETRY_SECONDS >= request.deadline:
            return False
        if cause in REDIRECT_CAUSES and verdict is Verdict.NOT_RUN:
            request.redirects += 1
            return request.redirects <= MAX_REDIRECT_COUNT
        if cause == "rate-limited" and verdict is Verdict.NOT_RUN:
            request.redirects += 1
            return request.redirects <= MAX_REDIRECT_COUNT and self._has_open_member(request)
        if cause == "shed" and not request.redirects:
            request.redirects += 1
            return True
        if verdict is Verdict.NOT_RUN:
            return False
        if request.route.execution is not Execution.REPEATABLE:
            return False
        if cause.startswith(STATUS_CAUSE_PREFIX) and self.systemic_failures.are_systemic(
            request.route.name
        ):
            return False
        return request.sent_count < request.route.largest_target_count

    async def _attempt(self, request: OutgoingRequest) -> ReplyMessage:
        member = await self._wait_for_member(request)
        if self._is_withdrawn:
            raise CallFailure(Verdict.NOT_RUN, "stopping", "this node stops")
        request.tried_instances.add(member.instance)
        request.member, request.member_incarnation = member.instance, member.incarnation
        message = self._to_message(request)
        try:
            reply = await self._send(member, message)
        except CallFailure as failure:
            if failure.verdict is Verdict.MAY_HAVE_RUN:
                request.sent_count += 1
            raise
        if reply.verdict is not Verdict.NOT_RUN or reply.cause == "backend-refused":
            request.sent_count += 1
        if reply.cause not in UNCOUNTED_CAUSES:
            request.is_counted = True
        if reply.verdict is Verdict.COMPLETED:
            return reply
        raise CallFailure(
            reply.verdict,
            reply.cause,
            f"{member.instance} answered {reply.cause}",
            reply.status or 502,
        )

    async def _wait_for_member(self, request: OutgoingRequest) -> Member:
        wait_deadline = min(self.clock() + MAX_MEMBER_WAIT_SECONDS, request.deadline)
        while True:
            member = self._choose_member(request)
            if member is not None:
                return member
            if self.clock() >= wait_deadline:
                raise CallFailure(
                    Verdict.NOT_RUN, "no-members", f"service {request.service} has no members"
                )
            await asyncio.sleep(MEMBER_POLL_INTERVAL_SECONDS)

    def _choose_member(self, request: OutgoingRequest) -> Member | None:
        members = self._members.members(request.service)
        rank = request.route.rank

        def is_open(member: Member) -> bool:
            return self._is_reachable(member) and not self._selector.is_held(member.instance, rank)

        member = self._selector.choose(members, request.tried_instances, is_open)
        if member is None and request.tried_instances:
            member = self._selector.choose(members, (), is_open)
        if member is None and any(map(self._is_reachable, members)):
            raise CallFailure(
                Verdict.NOT_RUN,
                "rate-limited",
                f"every server of {request.service} has reached its announced rate",
            )
        return member

    def _has_open_member(self, request: OutgoingRequest) -> bool:
        rank = request.route.rank
        return any(
            self._is_reachable(member) and not self._selector.is_held(member.instance, rank)
            for member in self._members.members(request.service)
        )

    def _is_reachable(self, member: Member) -> bool:
        return member.instance == self._members.own.instance or self._links.is_reachable(
            member.address
        )

    def _to_message(self, request: OutgoingRequest) -> ForwardMessage:
        route = request.route
        return ForwardMessage(
            call=self._links.next_call_id(),
            request_id=request.request_id,
            route=route.name,
            service=request.service,
            rank=route.rank,
            at_most_once=route.execution is Execution.AT_MOST_ONCE,
            is_repeat=request.sent_count > 0,
            is_counted=request.is_counted,
            remaining_ms=(request.deadline - self.clock()) * 1000,
            method=request.method,
            target=request.target,
            fields=request.fields,
            body=cast(bytes, request.body),  # a large body is not encoded, see BodyTransfers
            caller_service=self.caller_service,
            suspects=self._quarantine.suspects_for(lambda: self._fingerprint(request)),
            notice=self._notices_by_instance.get(request.member),
        )

    def _fingerprint(self, request: OutgoingRequest) -> int:
        return fingerprint(
            self.caller_service, request.route.name, request.method, request.target, request.body
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
        self._quarantine.merge(reply.suspects)
        self._record_notice(member.instance, reply)
        self._selector.record_answer(member.instance, message.route, reply, self.clock() - began)
        if reply.cause == "rate-limited":
            self._selector.hold(member.instance, message.rank)
        return reply

    def _record_notice(self, instance: str, reply: ReplyMessage) -> None:
        """Keep the newest notice of an instance; a refusal without one says nothing about it."""
        if reply.notice is not None:
            self._notices_by_instance[instance] = reply.notice
        elif reply.verdict is Verdict.COMPLETED:
            self._notices_by_instance.pop(instance, None)
