"""Sends keyed work to the one node that may start it."""

import asyncio
import time
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from apricotwalk.claims import (
    RESEND_WINDOW_SECONDS,
    ClaimLog,
    ClaimOwner,
    IssuedKey,
    KeyIssuer,
    OutcomeStore,
)
from apricotwalk.core import (
    ALL_ON,
    CallFailure,
    Clock,
    LogServiceError,
    Mechanism,
    MechanismSwitches,
    Verdict,
)
from apricotwalk.policy import Execution, Treatment
from apricotwalk.retries import ResendThrottle, new_budget
from apricotwalk.serving._answers import Answer, answer_from_failure, to_answer_message
from apricotwalk.serving._dispatcher import Dispatcher, OutgoingCall
from apricotwalk.settings import Address
from apricotwalk.telemetry import EventLog
from apricotwalk.wire import AnswerMessage, OwnedCallHandler, OwnedCallMessage, PeerPool

__all__ = ["AtMostOnceDispatcher"]

FORGED_AGE_SECONDS = -1.0
GRACE_SECONDS = 0.05


@dataclass(slots=True)
class _Resend:
    """Digests by which a key and the work that came with it are recognised."""

    name: str
    key_digest: int
    work_digest: int


class AtMostOnceDispatcher(OwnedCallHandler):
    """Dispatches repeatable work at once, and keyed work at the owner of its key.

    Parameters
    ----------
    dispatcher : Dispatcher
        Gets the work done.
    issuer : KeyIssuer
        Issues keys of this node.
    claims : ClaimLog
        Tells who owns a caller's own key.
    pool : PeerPool
        Links to other owners.
    throttle : ResendThrottle
        Bounds the starts that resends cause.
    events : EventLog
        Receives one event for each forwarded or replayed call.
    clock : Clock
        Source of monotonic time.
    switches : MechanismSwitches
        Mechanisms that are on.

    Notes
    -----
    For keyed work the verdict speaks of the key's work, not of one try.  Only the owner knows
    what became of earlier tries, so a failure to reach it, or to learn who it is, is
    ``may-have-run`` unless the caller states that this is its first attempt.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        issuer: KeyIssuer,
        claims: ClaimLog,
        pool: PeerPool,
        throttle: ResendThrottle,
        events: EventLog,
        clock: Clock,
        switches: MechanismSwitches = ALL_ON,
    ) -> None:
        self._dispatcher = dispatcher
        self._issuer = issuer
        self._claims = claims
        self._pool = pool
        self._throttle = throttle
        self._events = events
        self._switches = switches
        self._outcomes: OutcomeStore[Answer] = OutcomeStore(clock, lambda answer: len(answer.body))

    @property
    def running_count(self) -> int:
        """Number of keys whose work is under way here."""
        return self._outcomes.running_count

    def issue_key(self) -> IssuedKey:
        """Return a new key that this node owns."""
        return self._issuer.issue()

    async def dispatch(self, call: OutgoingCall) -> Answer:
        """Return the outcome of a call; keyed work is started by its owner alone.

        Raises
        ------
        CallFailure
            If no complete answer came.
        """
        is_keyed = call.treatment.execution is Execution.AT_MOST_ONCE
        if not is_keyed or not self._switches.is_on(Mechanism.CLAIMS):
            return await self._dispatcher.dispatch(call)
        remaining = max(0.0, call.deadline - time.monotonic())
        try:
            async with asyncio.timeout(remaining + GRACE_SECONDS):
                return await self._dispatch_keyed(call)
        except TimeoutError as error:
            raise CallFailure(
                Verdict.MAY_HAVE_RUN, "deadline-passed", "deadline passed at the key's owner", 504
            ) from error

    async def handle_owned_call(self, message: OwnedCallMessage) -> AnswerMessage:
        """Return the outcome of work that another node forwards to this owner."""
        call = _to_outgoing(message, self._switches)
        try:
            if message.incarnation != self._issuer.owner.incarnation:
                raise _unknown(call, "owner-restarted", "the node that owned the key restarted")
            if xxh3_64_intdigest(call.body) != message.call.digest:
                raise _unknown(call, "digest-mismatch", "request body is damaged")
            issued = IssuedKey.parse(call.key)
            resend = _recognise(call)
            answer = await self._run_own(call, resend, issued, is_new=False)
        except CallFailure as failure:
            answer = answer_from_failure(failure)
        except Exception as error:
            answer = answer_from_failure(
                CallFailure(Verdict.MAY_HAVE_RUN, "internal-error", repr(error), 500)
            )
        return to_answer_message(
            message.call_id, answer, call.budget.remaining, self._events.clock.now()
        )

    async def _dispatch_keyed(self, call: OutgoingCall) -> Answer:
        issued = IssuedKey.parse(call.key)
        resend = _recognise(call)
        if issued is not None:
            owner = issued.owner
            is_new = False
        else:
            is_new = self._is_new(call, resend)
            owner = await self._claim(call, resend)
        if owner == self._issuer.owner:
            return await self._run_own(call, resend, issued, is_new)
        if issued is None:
            self._outcomes.discard(resend.name)
        return await self._forward(call, owner)

    def _is_new(self, call: OutgoingCall, resend: _Resend) -> bool:
        """Open a record before the claim, so that a claim known earlier shows an expired one."""
        known = self._claims.known_owner(call.treatment.service, resend.key_digest)
        if known is not None:
            return False
        self._outcomes.find_or_create(resend.name, resend.work_digest)
        return True

    async def _claim(self, call: OutgoingCall, resend: _Resend) -> ClaimOwner:
        try:
            async with asyncio.timeout(max(0.0, call.deadline - time.monotonic())):
                return await self._claims.find_owner(call.treatment.service, resend.key_digest)
        except (LogServiceError, TimeoutError) as error:
            raise _unknown(
                call, "claims-unavailable", f"nobody can tell who owns the key: {error!r}"
            ) from error

    async def _run_own(
        self, call: OutgoingCall, resend: _Resend, issued: IssuedKey | None, is_new: bool
    ) -> Answer:
        if not is_new and self._outcomes.find(resend.name) is None:
            self._require_young(call, issued)
        record = self._outcomes.find_or_create(resend.name, resend.work_digest)
        is_restart = record.starts > 0 and not record.is_settled and not record.is_running
        if is_restart:
            call.is_resend = True
            self._throttle.withdraw(call.customer, call.treatment.service)
            call.budget.remaining = min(call.budget.remaining, record.retries_left or 0)
        if record.is_settled or record.is_running:
            self._events.record("call-joined", call.request_id, key=call.key)

        async def work() -> Answer:
            try:
                return await self._dispatcher.dispatch(call)
            finally:
                record.retries_left = call.budget.remaining

        answer = await self._outcomes.run(resend.name, record, work)
        return _copy(answer)

    def _require_young(self, call: OutgoingCall, issued: IssuedKey | None) -> None:
        if issued is None:
            raise CallFailure(
                Verdict.MAY_HAVE_RUN, "key-expired", "the outcome is not kept any more", 409
            )
        age = self._issuer.age_seconds(issued)
        if not FORGED_AGE_SECONDS <= age <= RESEND_WINDOW_SECONDS:
            raise _unknown(call, "key-expired", f"the key was issued {age:.0f} s ago")

    async def _forward(self, call: OutgoingCall, owner: ClaimOwner) -> Answer:
        lent = call.budget.remaining
        call.budget.remaining = 0
        message = OwnedCallMessage(owner.incarnation, self._dispatcher.to_message(call, lent))
        self._events.record("call-forwarded", call.request_id, owner=owner.instance)
        link = self._pool.link(Address.parse(owner.address))
        try:
            answer = await link.call(message, message.call.remaining_ms / 1000)
        except CallFailure as failure:
            raise _unknown(call, "owner-unreachable", failure.detail, failure) from failure
        call.budget.refund(lent, answer.retry_budget)
        self._events.clock.observe(answer.stamp)
        return self._dispatcher.judge(answer)


def _recognise(call: OutgoingCall) -> _Resend:
    name = "\0".join((call.customer, call.treatment.route, call.key))
    line = f"{call.method} {call.path}\0".encode()
    return _Resend(name, xxh3_64_intdigest(name.encode()), xxh3_64_intdigest(line + call.body))


def _unknown(
    call: OutgoingCall, cause: str, detail: str, failure: CallFailure | None = None
) -> CallFailure:
    """Return a failure of this node alone, which says nothing of earlier attempts."""
    did_not_run = failure is None or failure.verdict is Verdict.NOT_RUN
    if did_not_run and call.is_first_attempt:
        return CallFailure(Verdict.NOT_RUN, cause, detail)
    return CallFailure(Verdict.MAY_HAVE_RUN, cause, detail)


def _to_outgoing(message: OwnedCallMessage, switches: MechanismSwitches) -> OutgoingCall:
    call = message.call
    seconds = call.remaining_ms / 1000
    treatment = Treatment(
        route=call.route,
        service=call.service,
        method=call.method,
        path=call.path,
        rank=call.rank,
        deadline_seconds=seconds,
        retry_budget=call.retry_budget,
        execution=Execution.AT_MOST_ONCE,
        floor=call.floor,
    )
    return OutgoingCall(
        request_id=call.request_id,
        customer=call.customer,
        treatment=treatment,
        rank=call.rank,
        deadline=time.monotonic() + seconds,
        budget=new_budget(call.retry_budget, switches),
        key=call.key,
        depth=call.depth,
        method=call.method,
        path=call.path,
        headers=call.headers,
        body=call.body,
        lineage=call.lineage,
        is_first_attempt=call.is_first_attempt,
        floor=call.floor,
        entry_route=call.entry_route,
    )


def _copy(answer: Answer) -> Answer:
    return Answer(answer.verdict, answer.status, list(answer.headers), answer.body)
