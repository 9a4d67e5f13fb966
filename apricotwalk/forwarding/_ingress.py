"""Takes requests of callers and answers each of them."""

import asyncio
import time

from apricotwalk.border import FieldNames, Route
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

# The way between caller and node takes 8 ms in each direction on the users' platform.
CALLER_TRAVEL_SECONDS = 0.016
# The node beside the server says at the deadline whether the request ran; its word crosses two
# zones at most.
LAST_WORD_SECONDS = 0.02
FIRST_ERROR = 400
# Longest time limit that is believed, ten minutes.
LONGEST_DEADLINE_MS = 600_000.0


class IngressHandler:
    """Finds the route of a request, has it forwarded and answers it in time.

    Parameters
    ----------
    configuration : ConfigurationHolder
        The configuration in force.
    splitter : ServiceSplitter
        Chooses the service.
    forwarder : Forwarder
        Gets requests answered.
    return_time : ReturnTime
        Says when refused callers come back.
    fields : FieldNames
        Names of header fields.
    log : DecisionLog
        Receives a line a request.
    metrics : MeshMetrics
        Receives counts and times.
    """

    def __init__(
        self,
        configuration: ConfigurationHolder,
        splitter: ServiceSplitter,
        forwarder: Forwarder,
        return_time: RetryAfterPolicy,
        fields: FieldNames,
        log: DecisionLog,
        metrics: MeshMetrics,
    ) -> None:
        self._configuration = configuration
        self._splitter = splitter
        self._forwarder = forwarder
        self._return_time = return_time
        self._request_id = fields.request_id.lower().encode()
        self._deadline = fields.deadline_ms.lower().encode()
        self._log = log
        self._metrics = metrics

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Return the answer to a caller's request."""
        request_id = request.values_by_name.get(self._request_id, "")
        outgoing: OutgoingRequest | None = None
        cause = ""
        try:
            outgoing = self._to_outgoing(request, request_id, self._find_route(request))
            response = await self._forward(outgoing)
        except CallFailure as failure:
            objective = outgoing.route.objective_seconds if outgoing is not None else 0.0
            return_seconds = self._return_time.seconds(failure, objective)
            response, cause = failure_response(failure, return_seconds), failure.cause
        self._report(request, request_id, outgoing, response.status, cause)
        return response

    def _report(
        self,
        request: HttpRequest,
        request_id: str,
        outgoing: OutgoingRequest | None,
        status: int,
        cause: str,
    ) -> None:
        seconds = time.monotonic() - request.arrived
        route = outgoing.route.name if outgoing is not None else ""
        self._metrics.count_answer(route, status, seconds)
        facts: dict[str, object] = {}
        if outgoing is not None:
            facts = {
                "service": outgoing.service,
                "member": outgoing.member,
                "member_incarnation": outgoing.member_incarnation,
                "tries": outgoing.sent_count,
                "redirects": outgoing.redirects,
            }
        self._log.decide(
            "request-answered",
            request_id,
            is_routine=status < FIRST_ERROR,
            route=route,
            status=status,
            cause=cause,
            ms=round(seconds * 1000, 1),
            configuration=self._configuration.version,
            **facts,
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
        return route

    def _to_outgoing(self, request: HttpRequest, request_id: str, route: Route) -> OutgoingRequest:
        limit = request.arrived + route.timeout_seconds
        patience = self._parse_patience(request)
        if patience is not None:
            limit = min(limit, request.arrived + max(0.0, patience - CALLER_TRAVEL_SECONDS))
        return OutgoingRequest(
            request_id=request_id,
            route=route,
            service=self._splitter.choose(route),
            deadline=limit,
            method=request.method,
            target=request.target,
            fields=request.fields,
            body=request.body,
        )

    def _parse_patience(self, request: HttpRequest) -> float | None:
        """Return how long the caller waits in seconds, or None if it does not say."""
        text = request.values_by_name.get(self._deadline)
        if text is None:
            return None
        try:
            milliseconds = float(text)
        except ValueError:
            milliseconds = -1.0
        if not 0.0 <= milliseconds <= LONGEST_DEADLINE_MS:
            raise CallFailure(
                Verdict.NOT_RUN, "malformed-deadline", f"deadline {text!r} is no time", 400
            )
        return milliseconds / 1000

    async def _forward(self, outgoing: OutgoingRequest) -> HttpResponse:
        try:
            async with asyncio.timeout_at(to_loop_time(outgoing.deadline + LAST_WORD_SECONDS)):
                reply = await self._forwarder.forward(outgoing)
        except TimeoutError as error:
            raise CallFailure(
                Verdict.MAY_HAVE_RUN, "timeout", "no answer came in time", 504
            ) from error
        return HttpResponse(reply.status, reply.fields, reply.body)
