"""At-most-once dispatch: only the node that owns an idempotency key may start its work."""

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

# A key issued more than 1 s in the future is forged.
MIN_KEY_AGE_SECONDS = -1.0
OWNER_ANSWER_GRACE_SECONDS = 0.05


@dataclass(slots=True)
class _WorkIdentity:
    """Key in the outcome store, and digests of that key and of the work that came with it."""

    outcome_key: str
    key_digest: int
    work_digest: int


class AtMostOnceDispatcher(OwnedCallHandler):
    """Dispatches repeatable work directly, and keyed work on the node that owns the key.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatches calls to members and retries them.
    issuer : KeyIssuer
        Issues keys that this node owns.
    claims : ClaimLog
        Determines the owner of a key that the caller chose.
    pool : PeerPool
        Connections to other owners.
    throttle : ResendThrottle
        Limits the restarts that resends cause.
    events : EventLog
        Records one event for each forwarded or replayed call.
    clock : Clock
        Source of monotonic time.
    switches : MechanismSwitches
        Mechanisms that are enabled.

    Notes
    -----
    For keyed work, the verdict applies to the work of the key and not to a single attempt.
    Only the owner knows the outcome of earlier attempts.  If the owner cannot be reached or
    determined, the verdict is therefore ``may-have-run``, unless the caller states that this
    is its first attempt.
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
        """Number of keys whose work is running on this node."""
        return self._outcomes.running_count

    def issue_key(self) -> IssuedKey:
        """Return a new key that this node owns."""
        return self._issuer.issue()

    async def dispatch(self, call: OutgoingCall) -> Answer:
        """Return the outcome of a call; keyed work is started only by the owner of its key.

        Raises
        ------
        CallFailure
            If no complete answer was received.
        """
        is_keyed = call.treatment.execution is Execution.AT_MOST_ONCE
        if not is_keyed or not self._switches.is_on(Mechanism.CLAIMS):
            return await self._dispatcher.dispatch(call)
        remaining = max(0.0, call.deadline - time.monotonic())
        try:
            async with asyncio.timeout(remaining + OWNER_ANSWER_GRACE_SECONDS):
                return await self._dispatch_keyed(call)
        except TimeoutError as error:
            raise CallFailure(
                Verdict.MAY_HAVE_RUN, "deadline-passed", "deadline passed at the key's owner", 504
            ) from error

    async def handle_owned_call(self, message: OwnedCallMessage) -> AnswerMessage:
        """Return the outcome of keyed work that another node has forwarded to this owner."""
        call = _to_outgoing_call(message, self._switches)
        try:
            if message.incarnation != self._issuer.owner.incarnation:
                raise _outcome_unknown(
                    call, "owner-restarted", "the node that owned the key restarted"
                )
            if xxh3_64_intdigest(call.body) != message.call.digest:
                raise _outcome_unknown(call, "digest-mismatch", "request body is damaged")
            issued = IssuedKey.parse(call.key)
            identity = _identify(call)
            answer = await self._run_owned(call, identity, issued, is_new=False)
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
        identity = _identify(call)
        if issued is not None:
            owner = issued.owner
            is_new = False
        else:
            is_new = self._is_new(call, identity)
            owner = await self._claim(call, identity)
        if owner == self._issuer.owner:
            return await self._run_owned(call, identity, issued, is_new)
        if issued is None:
            self._outcomes.discard(identity.outcome_key)
        return await self._forward(call, owner)

    def _is_new(self, call: OutgoingCall, identity: _WorkIdentity) -> bool:
        """Return whether no claim on the key is known yet, and create the outcome record if so.

        The record has to exist before the claim is made: if a claim is known but its record
        is missing, the record has expired.
        """
        known = self._claims.known_owner(call.treatment.service, identity.key_digest)
        if known is not None:
            return False
        self._outcomes.find_or_create(identity.outcome_key, identity.work_digest)
        return True

    async def _claim(self, call: OutgoingCall, identity: _WorkIdentity) -> ClaimOwner:
        try:
            async with asyncio.timeout(max(0.0, call.deadline - time.monotonic())):
                return await self._claims.find_owner(call.treatment.service, identity.key_digest)
        except (LogServiceError, TimeoutError) as error:
            raise _outcome_unknown(
                call, "claims-unavailable", f"nobody can tell who owns the key: {error!r}"
            ) from error

    async def _run_owned(
        self, call: OutgoingCall, identity: _WorkIdentity, issued: IssuedKey | None, is_new: bool
    ) -> Answer:
        if not is_new and self._outcomes.find(identity.outcome_key) is None:
            self._require_unexpired(call, issued)
        record = self._outcomes.find_or_create(identity.outcome_key, identity.work_digest)
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

        answer = await self._outcomes.run(identity.outcome_key, record, work)
        return _copy(answer)

    def _require_unexpired(self, call: OutgoingCall, issued: IssuedKey | None) -> None:
        if issued is None:
            raise CallFailure(
                Verdict.MAY_HAVE_RUN, "key-expired", "the outcome is not kept any more", 409
            )
        age = self._issuer.age_seconds(issued)
        if not MIN_KEY_AGE_SECONDS <= age <= RESEND_WINDOW_SECONDS:
            raise _outcome_unknown(call, "key-expired", f"the key was issued {age:.0f} s ago")

    async def _forward(self, call: OutgoingCall, owner: ClaimOwner) -> Answer:
        allocated = call.budget.remaining
        call.budget.remaining = 0
        message = OwnedCallMessage(owner.incarnation, self._dispatcher.to_message(call, allocated))
        self._events.record("call-forwarded", call.request_id, owner=owner.instance)
        link = self._pool.link(Address.parse(owner.address))
        try:
            answer = await link.call(message, message.call.remaining_ms / 1000)
        except CallFailure as failure:
            raise _outcome_unknown(call, "owner-unreachable", failure.detail, failure) from failure
        call.budget.refund(allocated, answer.retry_budget)
        self._events.clock.observe(answer.stamp)
        return self._dispatcher.to_answer(answer)


def _identify(call: OutgoingCall) -> _WorkIdentity:
    outcome_key = "\0".join((call.customer, call.treatment.route, call.key))
    request_line = f"{call.method} {call.path}\0".encode()
    return _WorkIdentity(
        outcome_key,
        xxh3_64_intdigest(outcome_key.encode()),
        xxh3_64_intdigest(request_line + call.body),
    )


def _outcome_unknown(
    call: OutgoingCall, cause: str, detail: str, failure: CallFailure | None = None
) -> CallFailure:
    """Return a failure of this attempt, which leaves the outcome of earlier attempts unknown."""
    did_not_run = failure is None or failure.verdict is Verdict.NOT_RUN
    if did_not_run and call.is_first_attempt:
        return CallFailure(Verdict.NOT_RUN, cause, detail)
    return CallFailure(Verdict.MAY_HAVE_RUN, cause, detail)


def _to_outgoing_call(message: OwnedCallMessage, switches: MechanismSwitches) -> OutgoingCall:
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
