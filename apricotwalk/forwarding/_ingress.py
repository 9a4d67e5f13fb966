"""Handles requests of callers and answers each of them before its deadline."""

import asyncio
import time

from apricotwalk.border import ConfigurationFault, HeaderFieldNames, Route
from apricotwalk.core import CallFailure, Verdict
from apricotwalk.fleet import ConfigurationHolder
from apricotwalk.forwarding._deadlines import to_loop_time
from apricotwalk.forwarding._failure_responses import failure_response
from apricotwalk.forwarding._forwarder import Forwarder, OutgoingRequest
from apricotwalk.forwarding._retry_after import RetryAfterPolicy
from apricotwalk.http1 import HttpRequest, HttpResponse
from apricotwalk.metrics import MeshMetrics
from apricotwalk.routes import RouteTable, ServiceSplitter
from apricotwalk.telemetry import DecisionLog

__all__ = ["IngressHandler"]

# Network latency between caller and node is 8 ms in each direction on the external platform.
CALLER_ROUND_TRIP_SECONDS = 0.016
# The node beside the server reports at the deadline whether the request ran, and its reply
# crosses at most two zones.
VERDICT_MARGIN_SECONDS = 0.02
FIRST_ERROR_STATUS = 400
# Values of the deadline field above ten minutes are rejected as malformed.
MAX_DEADLINE_MS = 600_000.0


class IngressHandler:
    """Finds the route of a request, forwards it and answers it before its deadline.

    Parameters
    ----------
    configuration : ConfigurationHolder
        The configuration in force.
    splitter : ServiceSplitter
        Chooses the service among the shares of a route.
    forwarder : Forwarder
        Forwards requests to members and retries them.
    retry_after : RetryAfterPolicy
        Computes ``Retry-After`` for refused requests.
    fields : HeaderFieldNames
        Names of header fields.
    log : DecisionLog
        Records one line for each request.
    metrics : MeshMetrics
        Counts answers and measures their latency.

    Attributes
    ----------
    is_stopping : bool
        Whether requests are refused because this node ends before they would be answered.
    """

    def __init__(
        self,
        configuration: ConfigurationHolder,
        splitter: ServiceSplitter,
        forwarder: Forwarder,
        retry_after: RetryAfterPolicy,
        fields: HeaderFieldNames,
        log: DecisionLog,
        metrics: MeshMetrics,
    ) -> None:
        self._configuration = configuration
        self._splitter = splitter
        self._forwarder = forwarder
        self._retry_after = retry_after
        self._request_id_field = fields.request_id.lower().encode()
        self._deadline_field = fields.deadline_ms.lower().encode()
        self._log = log
        self._metrics = metrics
        self.is_stopping = False

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Forward a caller's request and return the response, also when it fails."""
        request_id = request.values_by_name.get(self._request_id_field, "")
        outgoing: OutgoingRequest | None = None
        cause = ""
        try:
            if self.is_stopping:
                raise CallFailure(Verdict.NOT_RUN, "stopping", "this node stops")
            outgoing = self._to_outgoing(request, request_id, self._find_route(request))
            response = await self._forward(outgoing)
        except CallFailure as failure:
            objective = outgoing.route.objective_seconds if outgoing is not None else 0.0
            retry_after_seconds = self._retry_after.seconds(failure, objective)
            response, cause = failure_response(failure, retry_after_seconds), failure.cause
        self._record_response(request, request_id, outgoing, response.status, cause)
        return response

    def _record_response(
        self,
        request: HttpRequest,
        request_id: str,
        outgoing: OutgoingRequest | None,
        status: int,
        cause: str,
    ) -> None:
        seconds = time.monotonic() - request.arrived_at
        route = outgoing.route.name if outgoing is not None else ""
        self._metrics.count_answer(route, status, seconds)
        attempt_fields: dict[str, object] = {}
        if outgoing is not None:
            attempt_fields = {
                "service": outgoing.service,
                "member": outgoing.member,
                "member_incarnation": outgoing.member_incarnation,
                "tries": outgoing.sent_count,
                "redirects": outgoing.redirects,
            }
        self._log.record_decision(
            "request-answered",
            request_id,
            is_routine=status < FIRST_ERROR_STATUS,
            route=route,
            status=status,
            cause=cause,
            ms=round(seconds * 1000, 1),
            configuration=self._configuration.version,
            **attempt_fields,
        )

    def _find_route(self, request: HttpRequest) -> Route:
        table: RouteTable | None = self._configuration.table
        if table is None:
            raise CallFailure(
                Verdict.NOT_RUN, "no-configuration", "this node knows no configuration yet"
            )
        path = request.target.partition("?")[0]
        route = table.find(request.values_by_name.get(b"host", ""), path)
        if route is None:
            raise CallFailure(
                Verdict.NOT_RUN,
                "no-route",
                f"version {table.configuration.version} has no route for {path}",
                404,
            )
        if isinstance(route, ConfigurationFault):
            raise CallFailure(
                Verdict.NOT_RUN,
                "route-unreadable",
                f"version {table.configuration.version}: {route.path} is not in force",
            )
        return route

    def _to_outgoing(self, request: HttpRequest, request_id: str, route: Route) -> OutgoingRequest:
        deadline = request.arrived_at + route.timeout_seconds
        caller_timeout = self._parse_caller_timeout(request)
        if caller_timeout is not None:
            deadline = min(
                deadline, request.arrived_at + max(0.0, caller_timeout - CALLER_ROUND_TRIP_SECONDS)
            )
        return OutgoingRequest(
            request_id=request_id,
            route=route,
            service=self._splitter.choose(route),
            deadline=deadline,
            method=request.method,
            target=request.target,
            fields=request.fields,
            body=request.body,
        )

    def _parse_caller_timeout(self, request: HttpRequest) -> float | None:
        """Return how long the caller waits in seconds, or None if it states no deadline."""
        text = request.values_by_name.get(self._deadline_field)
        if text is None:
            return None
        try:
            milliseconds = float(text)
        except ValueError:
            milliseconds = -1.0
        if not 0.0 <= milliseconds <= MAX_DEADLINE_MS:
            raise CallFailure(
                Verdict.NOT_RUN, "malformed-deadline", f"deadline {text!r} is no time", 400
            )
        return milliseconds / 1000

    async def _forward(self, outgoing: OutgoingRequest) -> HttpResponse:
        try:
            async with asyncio.timeout_at(to_loop_time(outgoing.deadline + VERDICT_MARGIN_SECONDS)):
                reply = await self._forwarder.forward(outgoing)
        except TimeoutError as error:
            raise CallFailure(
                Verdict.MAY_HAVE_RUN, "timeout", "no answer came in time", 504
            ) from error
        return HttpResponse(reply.status, reply.fields, reply.body)
