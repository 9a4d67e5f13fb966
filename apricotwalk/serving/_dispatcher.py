"""Sends a call to a chosen node and decides on further tries."""

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

LARGEST_REDIRECT_COUNT = 3
REDIRECT_CAUSES = frozenset({"leaving", "no-server", "peer-unreachable", "backend-unreachable"})
FINAL_CAUSES = frozenset(
    {"no-members", "digest-mismatch", "quarantined", "shed", "deadline-passed"}
)
UNREACHABLE_CAUSES = frozenset({"peer-unreachable", "connection-lost"})
SHED_RETRY_AFTER_SECONDS = 1.0
LOOKUP_PATIENCE_SECONDS = 1.0


@dataclass(slots=True)
class OutgoingCall:
    """A call that this node has to get done.

    Parameters
    ----------
    request_id, customer : str
        The whole request and whose it is.
    treatment : Treatment
        What the customer's policy says of this kind of work.
    rank : int
        Rank of the whole request.
    deadline : float
        Monotonic time in seconds.
    budget : RetryBudget
        The budget from which this call and its retries are paid.
    key : str
        Idempotency key, or an empty string.
    depth : int
        Number of hops from the entry.
    method, path : str
        HTTP request line.
    headers : list of (str, str)
        End-to-end headers.
    body : bytes
        Whole body.
    floor : float
        Least share of capacity kept for the whole request's customer and entry route.
    entry_route : str
        Route by which the whole request entered.
    report : CalleeReport
        Receives what the services on the chain say of themselves.
    lineage : str
        Key from which the keys of inner calls are derived; the same for each try.
    is_first_attempt : bool
        Whether the caller says that it has not sent this work before.
    is_resend : bool
        Whether this node has seen the same work before.
    redirects : int
        Tries that reached no backend server, which cost no retry.
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
    """Chooses targets, sends calls and retries within the request's budget.

    Parameters
    ----------
    membership : Membership
        Knows the members of each service.
    selector : TargetSelector
        Chooses among them.
    pool : PeerPool
        Links to other nodes.
    executor : Executor
        Runs calls for which this node itself is chosen.
    thresholds : CalleeThresholds, optional
        Stops hopeless requests at the entry; without it none is stopped.
    throttle : ResendThrottle
        Bounds the retries for each customer and service.
    board : QuarantineBoard
        Knows the requests that crash backend servers.
    events : EventLog
        Receives one event a try.
    metrics : Metrics
        Receives counters.
    switches : MechanismSwitches
        Mechanisms that are on.
    """

    def __init__(
        self,
        membership: Membership,
        selector: TargetSelector,
        pool: PeerPool,
        executor: Executor,
        thresholds: CalleeThresholds | None,
        throttle: ResendThrottle,
        board: QuarantineRegistry,
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
        self._board = board
        self._events = events
        self._metrics = metrics
        self._switches = switches

    async def dispatch(self, call: OutgoingCall) -> Answer:
        """Return the outcome of a call after as many tries as its budget allows.

        Raises
        ------
        CallFailure
            If no try brought a complete answer; the verdict covers every try.
        """
        self._refuse_hopeless(call)
        verdict = Verdict.NOT_RUN
        tried: set[str] = set()
        if not call.is_resend:
            self._throttle.deposit(call.customer, call.treatment.service)
        while True:
            try:
                return await self._try_once(call, tried)
            except CallFailure as failure:
                if not self._switches.is_on(Mechanism.VERDICTS):
                    failure.verdict = Verdict.NOT_RUN
                if failure.verdict is Verdict.MAY_HAVE_RUN:
                    verdict = Verdict.MAY_HAVE_RUN
                failure.verdict = verdict
                if not self._may_retry(call, failure):
                    raise

    def _refuse_hopeless(self, call: OutgoingCall) -> None:
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
        repeatable = call.treatment.execution is Execution.REPEATABLE
        if not failure.verdict.is_safe_to_repeat and not repeatable:
            return False
        if failure.cause in FINAL_CAUSES or time.monotonic() >= call.deadline:
            return False
        if failure.cause in REDIRECT_CAUSES and call.redirects < LARGEST_REDIRECT_COUNT:
            call.redirects += 1
            return True
        if call.budget.remaining <= 0:
            return False
        if not self._is_throttle_willing(call):
            return False
        call.budget.spend()
        self._events.record("call-retried", call.request_id, cause=failure.cause)
        self._metrics.count("dispatcher.retries")
        return True

    def _is_throttle_willing(self, call: OutgoingCall) -> bool:
        if not self._switches.is_on(Mechanism.RETRY_BUDGET):
            return True
        return self._throttle.try_withdraw(call.customer, call.treatment.service)

    async def _try_once(self, call: OutgoingCall, tried: set[str]) -> Answer:
        service = call.treatment.service
        patience = min(LOOKUP_PATIENCE_SECONDS, call.deadline - time.monotonic())
        members = await self._membership.find(service, patience)
        member = self._selector.choose(members, tried) or self._selector.choose(members, set())
        if member is None:
            raise CallFailure(Verdict.NOT_RUN, "no-members", f"service {service} has no members")
        tried.add(member.instance)
        lent = call.budget.allocate()
        message = self.to_message(call, lent)
        self._events.record(
            "call-sent", call.request_id, call=message.call_id, target=member.instance
        )
        try:
            answer = await self._send(member, message)
        except CallFailure as failure:
            if failure.verdict is Verdict.NOT_RUN:
                call.budget.refund(lent, lent)
            raise
        self._learn(call, answer)
        call.budget.refund(lent, answer.retry_budget)
        return self.judge(answer)

    def _learn(self, call: OutgoingCall, answer: AnswerMessage) -> None:
        report = CalleeReport(answer.levels, answer.floor_shares)
        call.report.merge(report.levels, report.floor_shares)
        if self._thresholds is not None:
            route = call.treatment.route
            self._thresholds.update(route, call.stream, report, time.monotonic())

    async def _send(self, member: Member, message: CallMessage) -> AnswerMessage:
        began = time.monotonic()
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
        seconds = time.monotonic() - began
        self._selector.record_answer(member.instance, message.route, answer, seconds)
        self._events.clock.observe(answer.stamp)
        self._board.merge(answer.suspects)
        return answer

    async def _exchange(self, member: Member, message: CallMessage) -> AnswerMessage:
        if member.instance == self._events.instance:
            return await self._executor.handle_call(message)
        link = self._pool.link(member.address)
        return await link.call(message, message.remaining_ms / 1000)

    def to_message(self, call: OutgoingCall, lent: int) -> CallMessage:
        """Return the message that asks for a try of `call` with `lent` retries.

        Raises
        ------
        CallFailure
            With verdict ``NOT_RUN`` if the deadline has passed.
        """
        mark = fingerprint(call.customer, call.treatment.route, call.method, call.path, call.body)
        if self._board.is_quarantined(mark):
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
            retry_budget=lent,
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
            suspects=self._board.find(mark),
        )

    def judge(self, answer: AnswerMessage) -> Answer:
        """Return the complete answer in a message.

        Raises
        ------
        CallFailure
            If the message reports a failure or its body is damaged.
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
