"""Execution of calls on the local backend server."""

import asyncio
import time
from collections.abc import Callable

from loguru import logger
from xxhash import xxh3_64_intdigest

from apricotwalk.admission import (
    MOST_URGENT_RANK,
    AdmissionController,
    Outcome,
    Permit,
    WorkItem,
)
from apricotwalk.core import ALL_ON, CallFailure, Mechanism, MechanismSwitches, Verdict
from apricotwalk.quarantine import CrashWatch, fingerprint
from apricotwalk.retries import RetryBudget, new_budget
from apricotwalk.routing import CalleeReport, CalleeThresholds, InFlightLimit
from apricotwalk.serving._active_calls import ActiveCall, ActiveCalls
from apricotwalk.serving._answers import (
    Answer,
    NodeCondition,
    answer_from_failure,
    to_answer_message,
)
from apricotwalk.serving._backend import BackendClient
from apricotwalk.serving._headers import CALL_HEADER, DEADLINE_HEADER, KEY_HEADER, REQUEST_HEADER
from apricotwalk.telemetry import EventLog, Metrics
from apricotwalk.wire import AnswerMessage, CallHandler, CallMessage, SuspectsMessage

__all__ = ["Executor"]

CANCEL_MARGIN_SECONDS = 0.1
MIN_FLOOR_IN_FLIGHT_COUNT = 2
MAX_QUEUE_AFTER_LEAVE_SECONDS = 2.0
SERVER_ERROR = 500


class Executor(CallHandler):
    """Admits calls, sends them to the local backend server and returns their outcomes.

    Parameters
    ----------
    admission : AdmissionController
        Admits, queues or sheds calls.
    active_calls : ActiveCalls
        Registry in which inner calls look up the call that causes them.
    events : EventLog
        Records when a call starts, completes or fails.
    metrics : Metrics
        Counts failed calls by cause.
    crash_watch : CrashWatch
        Determines which request crashed the backend server.
    switches : MechanismSwitches
        Mechanisms that are enabled.
    thresholds : CalleeThresholds, optional
        Predicts which requests would be shed downstream, so that they are shed before they
        run; without it, no request is shed early.
    """

    def __init__(
        self,
        admission: AdmissionController,
        active_calls: ActiveCalls,
        events: EventLog,
        metrics: Metrics,
        crash_watch: CrashWatch,
        switches: MechanismSwitches = ALL_ON,
        thresholds: CalleeThresholds | None = None,
    ) -> None:
        self._thresholds = thresholds
        self._in_flight_limit = InFlightLimit()
        self._floor_in_flight_limit = InFlightLimit(MIN_FLOOR_IN_FLIGHT_COUNT)
        self.backend: BackendClient | None = None
        self.is_leaving = False
        self._left_at = 0.0
        self.reported_load = 0.0
        self._admission = admission
        self._active_calls = active_calls
        self._events = events
        self._metrics = metrics
        self._switches = switches
        self._crash_watch = crash_watch
        self.on_server_lost: Callable[[], None] = lambda: None

    def leave(self) -> None:
        """Reject new calls from now on; calls already queued may still start within 2 s."""
        self.is_leaving = True
        self._left_at = time.monotonic()

    async def handle_call(self, message: CallMessage) -> AnswerMessage:
        """Return the outcome of a call from another node or from this one."""
        self._events.clock.observe(message.stamp)
        budget = new_budget(message.retry_budget, self._switches)
        report = CalleeReport()
        item = _to_work_item(message)
        try:
            answer = await self._run(message, item, budget, report)
        except CallFailure as failure:
            self._events.record(
                "call-failed", message.request_id, call=message.call_id, cause=failure.cause
            )
            self._metrics.count(f"executor.{failure.cause}")
            answer = answer_from_failure(failure)
        except Exception as error:
            logger.opt(exception=error).error("call {} failed", message.call_id)
            answer = answer_from_failure(
                CallFailure(Verdict.MAY_HAVE_RUN, "internal-error", repr(error), 500)
            )
        return self._to_message(message, item, answer, budget, report)

    def handle_suspects(self, message: SuspectsMessage) -> None:
        """Merge the received suspects into the quarantine registry."""
        self._crash_watch.registry.merge(message.suspects)

    async def _run(
        self, message: CallMessage, item: WorkItem, budget: RetryBudget, report: CalleeReport
    ) -> Answer:
        is_damaged = xxh3_64_intdigest(message.body) != message.digest
        if is_damaged and self._switches.is_on(Mechanism.COMPLETENESS):
            raise CallFailure(Verdict.NOT_RUN, "digest-mismatch", "request body is damaged", 400)
        self._require_server(max_leave_seconds=0.0)
        self._crash_watch.registry.merge(message.suspects)
        request_fingerprint = fingerprint(
            message.customer, message.route, message.method, message.path, message.body
        )
        async with self._crash_watch.suspect_slot(request_fingerprint, message.remaining_ms / 1000):
            return await self._admit(message, item, budget, report, request_fingerprint)

    async def _admit(
        self,
        message: CallMessage,
        item: WorkItem,
        budget: RetryBudget,
        report: CalleeReport,
        request_fingerprint: int,
    ) -> Answer:
        permit = await self._admission.acquire(item)
        try:
            self._shed_early(message, item, report)
            backend = self._require_server(MAX_QUEUE_AFTER_LEAVE_SECONDS)
        except CallFailure:
            permit.release(Outcome.CANCELLED)
            raise
        call = ActiveCall(
            call_id=message.call_id,
            request_id=message.request_id,
            customer=message.customer,
            rank=message.rank,
            deadline=item.deadline,
            budget=budget,
            key=message.key,
            depth=message.depth,
            permit=permit,
            floor=message.floor,
            entry_route=message.entry_route,
            report=report,
            lineage=message.lineage,
        )
        try:
            async with self._crash_watch.run(
                call.call_id, request_fingerprint, message.service, backend
            ):
                return await self._send(backend, message, item, call, permit)
        except CallFailure as failure:
            if failure.cause in ("server-crashed", "backend-unreachable"):
                self.on_server_lost()
            raise
        finally:
            permit.release(Outcome.CANCELLED)

    def _shed_early(self, message: CallMessage, item: WorkItem, report: CalleeReport) -> None:
        """Shed a call that a downstream service would shed, if no work was done for it yet."""
        if self._thresholds is None or message.depth > 0:
            return
        now = time.monotonic()
        is_admitted = self._thresholds.admits(message.route, item.stream, item.level, now)
        if not is_admitted or self._exceeds_in_flight_limit(message, item, now):
            report.merge(self._thresholds.admitted_levels(message.route, now), {})
            raise CallFailure(Verdict.NOT_RUN, "shed", "a service on the chain is overloaded")

    def _exceeds_in_flight_limit(self, message: CallMessage, item: WorkItem, now: float) -> bool:
        """Return whether a call with inner calls exceeds the in-flight limits.

        Admission thresholds of downstream services arrive with answers and therefore lag behind
        a surge, so the number of such calls in flight is limited as well.
        """
        if self._thresholds is None or message.rank == MOST_URGENT_RANK:
            return False
        if not self._thresholds.has_callees(message.route, message.service):
            return False
        remaining = item.deadline - now
        if item.floor and self._floor_in_flight_limit.admits(item.stream, remaining, now):
            return False
        return not self._in_flight_limit.admits(message.route, remaining, now)

    def _require_server(self, max_leave_seconds: float) -> BackendClient:
        """Return the backend server, if it still accepts calls.

        Parameters
        ----------
        max_leave_seconds : float
            Time after the server began to leave, in seconds, during which a queued call may
            still start.

        Raises
        ------
        CallFailure
            With verdict ``NOT_RUN`` if that time has passed or no server is announced.
        """
        leaving_seconds = time.monotonic() - self._left_at
        if self.is_leaving and leaving_seconds >= max_leave_seconds:
            raise CallFailure(Verdict.NOT_RUN, "leaving", "the backend server is leaving")
        if self.backend is None:
            raise CallFailure(Verdict.NOT_RUN, "no-server", "no backend server is announced here")
        return self.backend

    async def _send(
        self,
        backend: BackendClient,
        message: CallMessage,
        item: WorkItem,
        call: ActiveCall,
        permit: Permit,
    ) -> Answer:
        remaining = call.deadline - time.monotonic()
        headers = [
            *message.headers,
            (REQUEST_HEADER, call.request_id),
            (CALL_HEADER, call.call_id),
            (DEADLINE_HEADER, f"{remaining * 1000:.0f}"),
        ]
        if call.key:
            headers.append((KEY_HEADER, call.key))
        self._active_calls.add(call)
        self._record_begin(item)
        self._events.record("call-started", call.request_id, call=call.call_id, rank=call.rank)
        outcome = Outcome.FAILED
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                answer = await backend.send(message.method, message.path, headers, message.body)
            outcome = Outcome.SUCCEEDED if answer.status < SERVER_ERROR else Outcome.FAILED
        except TimeoutError as error:
            outcome = Outcome.TIMED_OUT
            backend.drop_idle()
            raise CallFailure(
                Verdict.MAY_HAVE_RUN, "deadline-passed", "deadline passed while it ran", 504
            ) from error
        except asyncio.CancelledError:
            outcome = Outcome.CANCELLED
            if time.monotonic() > call.deadline - CANCEL_MARGIN_SECONDS:
                outcome = Outcome.TIMED_OUT
                backend.drop_idle()
            raise
        finally:
            permit.release(outcome)
            self._active_calls.remove(call.call_id)
            self._record_end(item, outcome is Outcome.SUCCEEDED)
        self._events.record("call-completed", call.request_id, call=call.call_id)
        return answer

    def _record_begin(self, item: WorkItem) -> None:
        now = time.monotonic()
        self._in_flight_limit.begin(item.route, now)
        if item.floor:
            self._floor_in_flight_limit.begin(item.stream, now)

    def _record_end(self, item: WorkItem, is_complete: bool) -> None:
        now = time.monotonic()
        self._in_flight_limit.end(item.route, is_complete, now)
        if item.floor:
            self._floor_in_flight_limit.end(item.stream, is_complete, now)

    def _to_message(
        self,
        message: CallMessage,
        item: WorkItem,
        answer: Answer,
        budget: RetryBudget,
        report: CalleeReport,
    ) -> AnswerMessage:
        levels = {message.service: self._admission.admitted_level()}
        shares = {message.service: self._admission.floor_share(item.stream)} if item.floor else {}
        if self._thresholds is not None:
            self._thresholds.add_callees(message.route, report.levels)
        report.merge(levels, shares)
        condition = NodeCondition(
            load=self._admission.load(),
            reported_load=self.reported_load,
            levels=report.levels,
            floor_shares=report.floor_shares,
            suspects=self._crash_watch.registry.suspects(),
        )
        stamp = self._events.clock.now()
        return to_answer_message(message.call_id, answer, budget.remaining, stamp, condition)


def _to_work_item(message: CallMessage) -> WorkItem:
    return WorkItem(
        customer=message.customer,
        route=message.route,
        rank=message.rank,
        deadline=time.monotonic() + message.remaining_ms / 1000,
        floor=message.floor,
        request_id=message.request_id,
        entry_route=message.entry_route,
    )
