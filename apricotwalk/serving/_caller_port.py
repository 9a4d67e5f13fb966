"""HTTP listener for callers."""

import time

import msgspec
from tornado.httputil import HTTPHeaders

from apricotwalk.claims import RESEND_WINDOW_SECONDS
from apricotwalk.configuration import ConfigurationFollower
from apricotwalk.core import (
    ALL_ON,
    CallFailure,
    Mechanism,
    MechanismSwitches,
    Verdict,
    new_identifier,
)
from apricotwalk.policy import Execution, Treatment
from apricotwalk.retries import ResendThrottle, new_budget
from apricotwalk.serving._answers import Answer
from apricotwalk.serving._at_most_once import AtMostOnceDispatcher
from apricotwalk.serving._dispatcher import OutgoingCall
from apricotwalk.serving._headers import (
    ATTEMPT_HEADER,
    CUSTOMER_HEADER,
    KEY_HEADER,
    REQUEST_HEADER,
    forwarded_headers,
    parse_attempt,
    parse_deadline_seconds,
    parse_key,
    reject_ambiguous_path,
    reject_reserved_headers,
)
from apricotwalk.serving._http_port import HttpPort
from apricotwalk.serving._request import Request
from apricotwalk.settings import Address
from apricotwalk.telemetry import EventLog

__all__ = ["CallerPort", "KeyReport", "find_treatment"]

KEYS_PATH = "/apricotwalk/keys"
CONFIGURATION_RETRY_AFTER_SECONDS = 1.0
FIRST_ATTEMPT = "1"


def find_treatment(
    configuration: ConfigurationFollower, customer: str, method: str, path: str
) -> Treatment:
    """Return the treatment of a customer's request according to its policy.

    Raises
    ------
    CallFailure
        With verdict ``NOT_RUN`` if the path is ambiguous, the customer or the route is
        unknown, or this node has received no configuration yet.
    """
    reject_ambiguous_path(path)
    policy = configuration.state.policies_by_customer.get(customer)
    if policy is None:
        _require_configuration(configuration)
        raise CallFailure(
            Verdict.NOT_RUN, "unknown-customer", f"customer {customer!r} is not known", 403
        )
    treatment = policy.match(method, path)
    if treatment is None:
        raise CallFailure(
            Verdict.NOT_RUN,
            "unknown-route",
            f"customer {customer} has no route for {method} {path}",
            404,
        )
    return treatment


def _require_configuration(configuration: ConfigurationFollower) -> None:
    if not configuration.has_configuration:
        raise CallFailure(
            Verdict.NOT_RUN,
            "no-configuration",
            "this node has received no configuration yet",
            retry_after=CONFIGURATION_RETRY_AFTER_SECONDS,
        )


class KeyReport(msgspec.Struct):
    """Idempotency key that a caller may use for one request with at-most-once execution.

    Parameters
    ----------
    key : str
        Value of the header ``Idempotency-Key``.
    valid_seconds : float
        Time in seconds, from now, during which the work can be started.
    """

    key: str
    valid_seconds: float


class CallerPort(HttpPort):
    """HTTP listener that matches each request to a customer and a treatment and dispatches it.

    Parameters
    ----------
    address : Address
        Address to listen on.
    max_body_bytes : int
        Size limit for the body of a request; a larger one is rejected.
    configuration : ConfigurationFollower
        Source of the policies.
    dispatcher : AtMostOnceDispatcher
        Dispatches the calls.
    throttle : ResendThrottle
        Limits the resends of each customer.
    events : EventLog
        Records one event when a request enters and one when it is answered or has failed.
    switches : MechanismSwitches
        Mechanisms that are enabled.
    """

    def __init__(
        self,
        address: Address,
        max_body_bytes: int,
        configuration: ConfigurationFollower,
        dispatcher: AtMostOnceDispatcher,
        throttle: ResendThrottle,
        events: EventLog,
        switches: MechanismSwitches = ALL_ON,
    ) -> None:
        super().__init__(address, max_body_bytes, switches)
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._throttle = throttle
        self._events = events

    async def answer(self, request: Request) -> Answer:
        """Return the answer to the request of a caller.

        Raises
        ------
        CallFailure
            If the request is rejected or no complete answer was received.
        """
        if request.path == KEYS_PATH and request.method == "POST":
            return self._issue_key()
        try:
            call = self._to_call(request)
        except CallFailure as failure:
            if _may_have_earlier_attempt(request.headers):
                failure.verdict = Verdict.MAY_HAVE_RUN
            raise
        self._events.record(
            "request-entered",
            call.request_id,
            customer=call.customer,
            route=call.treatment.route,
            rank=call.rank,
        )
        try:
            answer = await self._dispatcher.dispatch(call)
        except CallFailure as failure:
            self._events.record(
                "request-failed",
                call.request_id,
                cause=failure.cause,
                verdict=failure.verdict.value,
            )
            raise
        self._events.record("request-answered", call.request_id, status=answer.status)
        answer.headers.append((REQUEST_HEADER, call.request_id))
        return answer

    def _to_call(self, request: Request) -> OutgoingCall:
        headers = request.headers
        reject_reserved_headers(headers)
        customer = headers.get(CUSTOMER_HEADER, "")
        treatment = find_treatment(self._configuration, customer, request.method, request.path)
        key = parse_key(headers)
        if treatment.execution is Execution.AT_MOST_ONCE and not key:
            raise CallFailure(
                Verdict.NOT_RUN,
                "key-missing",
                f"route {treatment.route} needs the header {KEY_HEADER}",
                400,
            )
        attempt = parse_attempt(headers)
        seconds = parse_deadline_seconds(headers, treatment.deadline_seconds)
        return OutgoingCall(
            request_id=new_identifier(),
            customer=customer,
            treatment=treatment,
            rank=treatment.rank,
            deadline=time.monotonic() + seconds,
            budget=new_budget(self._allowed_retries(customer, treatment, attempt), self._switches),
            key=key,
            depth=0,
            method=request.method,
            path=request.target,
            headers=forwarded_headers(headers),
            body=request.body,
            floor=treatment.floor,
            entry_route=treatment.route,
            lineage=self._lineage(treatment, key),
            is_first_attempt=attempt == 1,
        )

    def _issue_key(self) -> Answer:
        if self.is_draining:
            raise CallFailure(
                Verdict.NOT_RUN, "leaving", "this node is stopping; ask another one for a key"
            )
        report = KeyReport(str(self._dispatcher.issue_key()), RESEND_WINDOW_SECONDS)
        headers = [("Content-Type", "application/json")]
        return Answer(Verdict.COMPLETED, 200, headers, msgspec.json.encode(report))

    def _allowed_retries(self, customer: str, treatment: Treatment, attempt: int) -> int:
        """Return the retry budget of a request; it is 0 for a resend, which is itself a retry."""
        is_resend = attempt > 1 and treatment.execution is Execution.REPEATABLE
        if not is_resend or not self._switches.is_on(Mechanism.RETRY_BUDGET):
            return treatment.retry_budget
        self._throttle.withdraw(customer, treatment.service)
        return 0

    def _lineage(self, treatment: Treatment, key: str) -> str:
        """Return the key from which the keys of inner calls are derived.

        Repeatable work may be started again when its caller resends it.  Its inner calls have
        to get the same keys then, so they are derived from the caller's key.  At-most-once
        work is started only once, so a key issued by this node suffices; its owner is known
        without reading the claim log.
        """
        if key and treatment.execution is Execution.REPEATABLE:
            return key
        return str(self._dispatcher.issue_key())


def _may_have_earlier_attempt(headers: HTTPHeaders) -> bool:
    """Return whether earlier attempts with the same key, of unknown outcome, may exist."""
    return KEY_HEADER in headers and headers.get(ATTEMPT_HEADER) != FIRST_ATTEMPT
