"""Execution of forwarded requests on the backend server beside this node."""

import asyncio
import time
from collections.abc import Collection
from typing import cast

from apricotwalk.admission import Outcome, Permit, RankQueueController, WorkItem
from apricotwalk.border import HeaderFieldNames
from apricotwalk.core import CallFailure, Verdict, parse_count
from apricotwalk.forwarding._announcements import AnnouncementReader
from apricotwalk.forwarding._backend_pool import BackendPool
from apricotwalk.forwarding._backend_registry import BackendRegistry, KnownServer
from apricotwalk.forwarding._deadlines import to_loop_time
from apricotwalk.forwarding._retry_allowance import RetryAllowance
from apricotwalk.http1 import ServerAnswer, encode_field
from apricotwalk.metrics import MeshMetrics
from apricotwalk.peering import ForwardMessage, ReplyMessage
from apricotwalk.quarantine import CrashWatch, fingerprint
from apricotwalk.telemetry import DecisionLog

__all__ = ["ServerSideExecutor"]

# Requests already queued when the server announces that it is leaving may still start within this
# time; the server keeps serving for longer, and the operators' bound is 2 s.
LEAVING_GRACE_SECONDS = 0.5
SUCCESS_STATUS = 200
REDIRECTION_STATUS = 300
SERVER_ERROR_STATUS = 500
MISDIRECTED_STATUS = 421


class ServerSideExecutor:
    """Admits forwarded requests, sends them to the backend server and reports their outcome.

    Parameters
    ----------
    registry : BackendRegistry
        State of the backend server.
    pool : BackendPool
        Connections to the backend server.
    admission : RankQueueController
        Decides which requests run and when.
    allowance : RetryAllowance
        Limits retries.
    crash_watch : CrashWatch
        Identifies requests that crash the server.
    fields : HeaderFieldNames
        Names of header fields.
    log : DecisionLog
        Records each request that is not completed.
    metrics : MeshMetrics
        Counts outcomes and measures execution times.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        pool: BackendPool,
        admission: RankQueueController,
        allowance: RetryAllowance,
        crash_watch: CrashWatch,
        fields: HeaderFieldNames,
        log: DecisionLog,
        metrics: "MeshMetrics",
    ) -> None:
        self._registry = registry
        self._pool = pool
        self._admission = admission
        self._allowance = allowance
        self._crash_watch = crash_watch
        self._fields = fields
        self._signature_field = fields.signature.lower().encode()
        self._not_run_field = fields.not_run.lower().encode()
        self._load_field = fields.load.lower().encode()
        self._announcements = AnnouncementReader(fields)
        self._log = log
        self._metrics = metrics
        self.reported_load = 0.0
        self._is_stopping = False

    def start_stopping(self) -> None:
        """Refuse new requests, and those in the queue, which other servers can still run.

        Notes
        -----
        A request that starts now has the rest of the stop time to complete.  One that stayed in the
        queue could start too late, and would then be cut off with an unknown outcome.
        """
        self._is_stopping = True
        count = self._admission.refuse_queued(lambda item: True, _stopping_failure)
        self._log.record_state_change("queued-requests-refused", count=count, reason="leaving")

    def withdraw(self, request_ids: Collection[str]) -> None:
        """Refuse the queued requests whose senders cannot wait for them any longer."""
        withdrawn = frozenset(request_ids)
        count = self._admission.refuse_queued(
            lambda item: item.request_id in withdrawn, _withdrawal_failure
        )
        if count:
            self._log.record_state_change(
                "queued-requests-refused", count=count, reason="withdrawn"
            )

    async def run(self, message: ForwardMessage) -> ReplyMessage:
        """Run a forwarded request and return its outcome; raises only when cancelled."""
        try:
            answer = await self._run(message)
        except CallFailure as failure:
            self._log.record_decision(
                "request-not-completed",
                message.request_id,
                route=message.route,
                cause=failure.cause,
                verdict=failure.verdict.value,
                detail=str(failure),
                load=round(self._admission.load(), 2),
                remaining_ms=round(message.remaining_ms),
            )
            self._metrics.count_server_side_outcome(failure.cause)
            return ReplyMessage(
                message.call,
                failure.verdict,
                failure.status,
                failure.cause,
                load=self._admission.load(),
                reported_load=self.reported_load,
                suspects=self._crash_watch.registry.suspects_for(
                    lambda: _request_fingerprint(message)
                ),
                notice=self._registry.notice(),
            )
        self._metrics.count_server_side_outcome("completed")
        return ReplyMessage(
            message.call,
            Verdict.COMPLETED,
            answer.status,
            "",
            answer.fields,
            cast(bytes, answer.body),  # a large body is not encoded, see BodyTransfers
            self._admission.load(),
            self.reported_load,
            notice=self._registry.notice(),
        )

    async def _run(self, message: ForwardMessage) -> ServerAnswer:
        deadline = time.monotonic() + message.remaining_ms / 1000
        if self._is_stopping:
            raise _stopping_failure()
        if message.service != self._registry.settings.service:
            raise CallFailure(Verdict.NOT_RUN, "no-server", "another service runs here")
        self._crash_watch.registry.merge(message.suspects)
        if message.notice is not None:
            self._registry.apply_notice(message.notice)
        self._require_server(0.0)
        self._require_retry_allowance(message)
        permit = await self._admission.acquire(_to_work_item(message, deadline))
        try:
            known_server = self._require_server(LEAVING_GRACE_SECONDS)
        except CallFailure:
            permit.release(Outcome.CANCELLED)
            raise
        return await self._send(message, known_server, deadline, permit)

    def _require_server(self, leaving_grace_seconds: float) -> KnownServer:
        registry = self._registry
        if registry.current is None:
            raise CallFailure(Verdict.NOT_RUN, "no-server", "no backend server is known here")
        leaving_seconds = time.monotonic() - registry.leaving_since
        if registry.is_leaving and leaving_seconds >= leaving_grace_seconds:
            raise CallFailure(Verdict.NOT_RUN, "leaving", "the backend server is leaving")
        return registry.current

    def _require_retry_allowance(self, message: ForwardMessage) -> None:
        if not message.is_repeat:
            if not message.is_counted:
                self._allowance.record_first_attempt()
        elif not self._allowance.try_acquire(message.rank):
            raise CallFailure(Verdict.NOT_RUN, "retry-budget", "no repeat is left in the budget")

    async def _send(
        self, message: ForwardMessage, known_server: KnownServer, deadline: float, permit: Permit
    ) -> ServerAnswer:
        outcome = Outcome.FAILED
        began = time.monotonic()
        try:
            async with asyncio.timeout_at(to_loop_time(deadline)):
                answer = await self._exchange(message, known_server, deadline)
            outcome = Outcome.SUCCEEDED if answer.status < SERVER_ERROR_STATUS else Outcome.FAILED
            self._metrics.observe_server_seconds(time.monotonic() - began)
            return answer
        except TimeoutError as error:
            outcome = Outcome.TIMED_OUT
            self._pool.drop_idle()  # idle connections may have stopped responding too
            raise CallFailure(
                Verdict.MAY_HAVE_RUN, "deadline-passed", "deadline passed while it ran", 504
            ) from error
        except asyncio.CancelledError:
            outcome = Outcome.CANCELLED
            raise
        except CallFailure as failure:
            is_refused = isinstance(failure.__cause__, ConnectionRefusedError)
            if is_refused and not self._registry.is_leaving:
                self._crash_watch.report_lost_server(message.service)
            if failure.cause in ("backend-unreachable", "server-crashed"):
                self._registry.mark_lost(str(failure))
            raise
        finally:
            permit.release(outcome)

    async def _exchange(
        self, message: ForwardMessage, known_server: KnownServer, deadline: float
    ) -> ServerAnswer:
        run_id = f"{message.call} {message.request_id}"
        self._metrics.count_sent(message.is_repeat)
        async with self._crash_watch.run(
            run_id, _request_fingerprint(message), message.service, self._pool
        ) as watched_run:
            answer = await self._pool.send(
                message.method,
                message.target,
                self._request_fields(message, known_server, deadline),
                message.body,
                message.request_id,
                message.at_most_once,
            )
            self._validate_answer(answer, known_server)
            # A failing server can answer with an error before it begins to execute the request.
            watched_run.has_executed = answer.status < SERVER_ERROR_STATUS
        return answer

    def _request_fields(
        self, message: ForwardMessage, known_server: KnownServer, deadline: float
    ) -> bytes:
        remaining_ms = max(1, int((deadline - time.monotonic()) * 1000))
        return b"".join(
            (
                message.fields,
                encode_field(self._fields.request_id, message.request_id),
                encode_field(self._fields.deadline_ms, str(remaining_ms)),
                encode_field(self._fields.expected_server, known_server.server),
                encode_field(self._fields.caller_service, message.caller_service),
            )
        )

    def _validate_answer(self, answer: ServerAnswer, known_server: KnownServer) -> None:
        """Raise `CallFailure` if the server refused the request or the answer is damaged."""
        values = answer.values_by_name
        load = values.get(self._load_field)
        if load is not None:
            self._update_reported_load(load)
        is_own_answer = self._signature_field in values or self._not_run_field in values
        if is_own_answer and answer.status != MISDIRECTED_STATUS:
            self._registry.record_answer(known_server, self._announcements.read(answer))
        if self._not_run_field in values or answer.status == MISDIRECTED_STATUS:
            if answer.status == MISDIRECTED_STATUS:
                self._registry.mark_lost("another incarnation answered")
            raise CallFailure(
                Verdict.NOT_RUN, "backend-refused", f"the backend server said {answer.status}"
            )
        is_success = SUCCESS_STATUS <= answer.status < REDIRECTION_STATUS
        if b"content-encoding" in values or (is_success and self._signature_field not in values):
            raise CallFailure(
                Verdict.MAY_HAVE_RUN, "answer-damaged", "the answer is not the server's own", 502
            )

    def _update_reported_load(self, text: str) -> None:
        """Update the load from ``running,waiting,slots``; a malformed value is ignored."""
        parts = text.split(",")
        try:
            running, waiting, slots = (parse_count(part.strip()) for part in parts)
        except ValueError:
            return
        self.reported_load = (running + waiting) / max(1, slots)


def _request_fingerprint(message: ForwardMessage) -> int:
    return fingerprint(
        message.caller_service, message.route, message.method, message.target, message.body
    )


def _stopping_failure() -> CallFailure:
    return CallFailure(Verdict.NOT_RUN, "leaving", "this node stops")


def _withdrawal_failure() -> CallFailure:
    return CallFailure(Verdict.NOT_RUN, "withdrawn", "its sender stops before it would be answered")


def _to_work_item(message: ForwardMessage, deadline: float) -> WorkItem:
    return WorkItem(
        customer="",
        route=message.route,
        rank=message.rank,
        deadline=deadline,
        request_id=message.request_id,
    )
