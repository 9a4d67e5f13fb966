"""HTTP handlers for readiness, heartbeats and metrics."""

from collections.abc import Callable
from http import HTTPStatus

from apricotwalk.border import HeartbeatReader
from apricotwalk.core import WireError
from apricotwalk.forwarding import BackendRegistry
from apricotwalk.http1 import HttpRequest, HttpResponse, text_response
from apricotwalk.metrics import MeshMetrics
from apricotwalk.telemetry import DecisionLog

__all__ = ["HeartbeatPort", "MetricsPort", "ReadinessPort"]

JSON = "application/json"


class HeartbeatPort:
    """Receives the heartbeats of the local backend server.

    Parameters
    ----------
    reader : HeartbeatReader
        Parses the heartbeat calls.
    registry : BackendRegistry
        Updated with each heartbeat.
    log : DecisionLog
        Log for rejected heartbeats.
    """

    def __init__(
        self, reader: HeartbeatReader, registry: BackendRegistry, log: DecisionLog
    ) -> None:
        self._reader = reader
        self._registry = registry
        self._log = log

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Apply a heartbeat call and return its acknowledgement."""
        try:
            call = self._reader.read(request.method, request.target, bytes(request.body))
        except WireError as error:
            self._log.record_state_change("heartbeat-rejected", detail=str(error))
            return text_response(HTTPStatus.BAD_REQUEST, f"{error}\n")
        if call is None:
            return text_response(HTTPStatus.NOT_FOUND, "no call of a backend server\n")
        self._registry.handle_call(call)
        return text_response(HTTPStatus.OK, "{}", JSON)


class ReadinessPort:
    """Reports whether callers should send requests to this node.

    Parameters
    ----------
    path : str
        Path of the readiness check.
    is_ready : callable
        Returns whether the node accepts requests.
    """

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        self._path = path
        self._is_ready = is_ready

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Return 200 if the node is ready, 503 if not, and 404 for any other path."""
        if request.target.partition("?")[0] != self._path:
            return text_response(HTTPStatus.NOT_FOUND, "unknown path\n")
        if self._is_ready():
            return text_response(HTTPStatus.OK, "ready\n")
        return text_response(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")


class MetricsPort:
    """Serves the metrics in the Prometheus text format.

    Parameters
    ----------
    metrics : MeshMetrics
        Metrics to serve.
    refresh : callable
        Updates the gauges before each answer.
    """

    def __init__(self, metrics: MeshMetrics, refresh: Callable[[], None]) -> None:
        self._metrics = metrics
        self._refresh = refresh

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Return all metrics with up-to-date gauges."""
        self._refresh()
        return text_response(
            HTTPStatus.OK, self._metrics.text().decode(), "text/plain; version=0.0.4"
        )
