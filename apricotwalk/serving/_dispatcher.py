"""Dispatch of calls: choice of a target, transmission and retries."""

import time
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from apricotwalk.admission import Stream, level_of
from apricotwalk.core import (
    ALL_ON,
    CallFailure,
    Mechanism,
    MechanismSwitches,
    Verdict,
    new_identifier,
)
from apricotwalk.membership import Member, Membership
from apricotwalk.policy import Execution, Treatment
from apricotwalk.quarantine import QuarantineRegistry, fingerprint
from apricotwalk.retries import ResendThrottle, RetryBudget
from apricotwalk.routing import CalleeReport, CalleeThresholds, TargetSelector
from apricotwalk.serving._answers import Answer
from apricotwalk.serving._executor import Executor
from apricotwalk.telemetry import EventLog, Metrics
from apricotwalk.wire import AnswerMessage, CallMessage, PeerPool

__all__ = ["Dispatcher", "OutgoingCall"]

MAX_REDIRECT_COUNT = 3
REDIRECTABLE_CAUSES = frozenset({"leaving", "no-server", "peer-unreachable", "backend-unreachable"})
NON_RETRYABLE_CAUSES = frozenset(
    {"no-members", "digest-mismatch", "quarantined", "shed", "deadline-passed"}
)
UNREACHABLE_CAUSES = frozenset({"peer-unreachable", "connection-lost"})
SHED_RETRY_AFTER_SECONDS = 1.0
MEMBER_LOOKUP_TIMEOUT_SECONDS = 1.0


@dataclass(slots=True)
class OutgoingCall:
    """Call to be dispatched by this node.

    Parameters
    ----------
    request_id, customer : str
        Identifier and customer of the whole request.
    treatment : Treatment
        Treatment of the request according to the customer's policy.
    rank : int
        Rank of the whole request.
    deadline : float
        Monotonic time in seconds at which the call must be completed.
    budget : RetryBudget
        Budget from which the retries of this call and of its inner calls are deducted.
    key : str
        Idempotency key, or an empty string.
    depth : int
        Number of hops from the entry.
    method, path : str
        Method and target of the HTTP request line.
    headers : list of (str, str)
        End-to-end headers.
    body : bytes
        Complete body.
    floor : float
        Minimum share of the capacity reserved for the whole request's customer and entry route.
    entry_route : str
        Route by which the whole request entered.
    report : CalleeReport
        Collects the admission state that the services on the call chain report.
    lineage : str
        Key from which the keys of inner calls are derived; the same for each attempt.
    is_first_attempt : bool
        Whether the caller states that it has not sent this work before.
    is_resend : bool
        Whether this node has started the same work before.
    redirects : int
        Number of attempts that failed before they reached a backend server and were repeated
        without spending a retry.
    """

    request_id: str
    customer: str
    treatment: Treatment
    rank: int
    deadline: float
    budget: RetryBudget
    key: str
    depth: int
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    floor: float = 0.0
    entry_route: str = ""
    report: CalleeReport = field(default_factory=CalleeReport)
    lineage: str = ""
    is_first_attempt: bool = False
    is_resend: bool = False
    redirects: int = 0

    @property
    def stream(self) -> Stream:
        """The stream to which the whole request belongs."""
        return Stream(self.customer, self.entry_route)


class Dispatcher:
    """Sends calls to chosen targets and retries them within the budget of the request.

    Parameters
    ----------
    membership : Membership
        Source of the members of each service.
    selector : TargetSelector
        Chooses a target among the members.
    pool : PeerPool
        Connections to other nodes.
    executor : Executor
        Runs the calls for which this node itself is chosen.
    thresholds : CalleeThresholds, optional
        Predicts at the entry which requests would be shed downstream, so that they are shed
        early; without it, no request is shed here.
    throttle : ResendThrottle
        Limits the retries of each customer and service.
    registry : QuarantineRegistry
        Requests that are suspected of crashing backend servers.
    events : EventLog
        Records one event per attempt and one per retry.
    metrics : Metrics
        Counts retries.
    switches : MechanismSwitches
        Mechanisms that are enabled.
    """

    def __init__(
        self,
        membership: Membership,
        selector: TargetSelector,
        pool: PeerPool,
        executor: Executor,
        thresholds: CalleeThresholds | None,
        throttle: ResendThrottle,
        registry: QuarantineRegistry,
        events: EventLog,
        metrics: Metrics,
        switches: MechanismSwitches = ALL_ON,
    ) -> None:
        self._membership = membership
        self._selector = selector
        self._pool = pool
        self._executor = executor
        self._thresholds = thresholds
        self._throttle = throttle
        self._registry = registry
        self._events = events
        self._metrics = metrics
        self._switches = switches

    async def dispatch(self, call: OutgoingCall) -> Answer:
        """Return the outcome of a call, retrying as often as its budget allows.

        Raises
        ------
        CallFailure
            If no attempt brought a complete answer.  The verdict covers all attempts.
        """
        self._shed_early(call)
        verdict = Verdict.NOT_RUN
        tried_instances: set[str] = set()
        if not call.is_resend:
            self._throttle.deposit(call.customer, call.treatment.service)
        while True:
            try:
                return await self._try_once(call, tried_instances)
            except CallFailure as failure:
                if not self._switches.is_on(Mechanism.VERDICTS):
                    failure.verdict = Verdict.NOT_RUN
                if failure.verdict is Verdict.MAY_HAVE_RUN:
                    verdict = Verdict.MAY_HAVE_RUN
                failure.verdict = verdict
                if not self._may_retry(call, failure):
                    raise

    def _shed_early(self, call: OutgoingCall) -> None:
        if self._thresholds is None or call.depth > 0:
            return
        level = level_of(call.rank, call.request_id)
        now = time.monotonic()
        if not self._thresholds.admits(call.treatment.route, call.stream, level, now):
            raise CallFailure(
                Verdict.NOT_RUN,
                "shed",
                "a service on the chain is overloaded",
                retry_after=SHED_RETRY_AFTER_SECONDS,
            )

    def _may_retry(self, call: OutgoingCall, failure: CallFailure) -> bool:
        is_repeatable = call.treatment.execution is Execution.REPEATABLE
        if not failure.verdict.is_safe_to_repeat and not is_repeatable:
            return False
        if failure.cause in NON_RETRYABLE_CAUSES or time.monotonic() >= call.deadline:
            return False
        if failure.cause in REDIRECTABLE_CAUSES and call.redirects < MAX_REDIRECT_COUNT:
            call.redirects += 1
            return True
        if call.budget.remaining <= 0:
            return False
        if not self._try_withdraw(call):
            return False
        call.budget.spend()
        self._events.record("call-retried", call.request_id, cause=failure.cause)
        self._metrics.count("dispatcher.retries")
        return True

    def _try_withdraw(self, call: OutgoingCall) -> bool:
        if not self._switches.is_on(Mechanism.RETRY_BUDGET):
            return True
        return self._throttle.try_withdraw(call.customer, call.treatment.service)

    async def _try_once(self, call: OutgoingCall, tried_instances: set[str]) -> Answer:
        service = call.treatment.service
        timeout_seconds = min(MEMBER_LOOKUP_TIMEOUT_SECONDS, call.deadline - time.monotonic())
        members = await self._membership.find(service, timeout_seconds)
        member = self._selector.choose(members, tried_instances) or self._selector.choose(
            members, set()
        )
        if member is None:
            raise CallFailure(Verdict.NOT_RUN, "no-members", f"service {service} has no members")
        tried_instances.add(member.instance)
        allocated = call.budget.allocate()
        message = self.to_message(call, allocated)
        self._events.record(
            "call-sent", call.request_id, call=message.call_id, target=member.instance
        )
        try:
            answer = await self._send(member, message)
        except CallFailure as failure:
            if failure.verdict is Verdict.NOT_RUN:
                call.budget.refund(allocated, allocated)
            raise
        self._apply_callee_report(call, answer)
        call.budget.refund(allocated, answer.retry_budget)
        return self.to_answer(answer)

    def _apply_callee_report(self, call: OutgoingCall, answer: AnswerMessage) -> None:
        report = CalleeReport(answer.levels, answer.floor_shares)
        call.report.merge(report.levels, report.floor_shares)
        if self._thresholds is not None:
            route = call.treatment.route
            self._thresholds.update(route, call.stream, report, time.monotonic())

    async def _send(self, member: Member, message: CallMessage) -> AnswerMessage:
        started_at = time.monotonic()
        self._selector.record_call_sent(member.instance)
        try:
            answer = await self._exchange(member, message)
        except CallFailure as failure:
            is_unreachable = failure.cause in UNREACHABLE_CAUSES
            self._selector.record_failure(member.instance, is_unreachable)
            raise
        except BaseException:
            self._selector.record_call_abandoned(member.instance)
            raise
        seconds = time.monotonic() - started_at
        self._selector.record_answer(member.instance, message.route, answer, seconds)
        self._events.clock.observe(answer.stamp)
        self._registry.merge(answer.suspects)
        return answer

    async def _exchange(self, member: Member, message: CallMessage) -> AnswerMessage:
        if member.instance == self._events.instance:
            return await self._executor.handle_call(message)
        link = self._pool.link(member.address)
        return await link.call(message, message.remaining_ms / 1000)

    def to_message(self, call: OutgoingCall, allocated: int) -> CallMessage:
        """Return the message for one attempt of `call`, with the retries allocated to it.

        Raises
        ------
        CallFailure
            With verdict ``NOT_RUN`` if the request is quarantined or its deadline has passed.
        """
        request_fingerprint = fingerprint(
            call.customer, call.treatment.route, call.method, call.path, call.body
        )
        if self._registry.is_quarantined(request_fingerprint):
            raise CallFailure(
                Verdict.NOT_RUN, "quarantined", "this request has crashed backend servers", 422
            )
        remaining = call.deadline - time.monotonic()
        if remaining <= 0:
            raise CallFailure(Verdict.NOT_RUN, "deadline-passed", "deadline has passed", 504)
        return CallMessage(
            call_id=new_identifier(),
            request_id=call.request_id,
            customer=call.customer,
            route=call.treatment.route,
            service=call.treatment.service,
            rank=call.rank,
            remaining_ms=remaining * 1000,
            retry_budget=allocated,
            at_most_once=call.treatment.execution is Execution.AT_MOST_ONCE,
            key=call.key,
            depth=call.depth,
            stamp=self._events.clock.now(),
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            digest=xxh3_64_intdigest(call.body),
            floor=call.floor,
            entry_route=call.entry_route,
            lineage=call.lineage,
            is_first_attempt=call.is_first_attempt,
            suspects=self._registry.find(request_fingerprint),
        )

    def to_answer(self, answer: AnswerMessage) -> Answer:
        """Return the answer contained in a message, if it is complete.

        Raises
        ------
        CallFailure
            If the message reports a failure or the digest does not match the body.
        """
        if answer.verdict is not Verdict.COMPLETED:
            raise CallFailure(answer.verdict, answer.cause, answer.detail, answer.status)
        is_damaged = xxh3_64_intdigest(answer.body) != answer.digest
        if is_damaged and self._switches.is_on(Mechanism.COMPLETENESS):
            raise CallFailure(
                Verdict.MAY_HAVE_RUN, "digest-mismatch", "the answer's body is damaged", 502
            )
        return Answer(
            verdict=answer.verdict,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            unspent_retries=answer.retry_budget,
        )
