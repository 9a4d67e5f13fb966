"""The listeners for readiness, heartbeats and metrics."""

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
    """Takes the heartbeats of the backend server beside the node.

    Parameters
    ----------
    reader : HeartbeatReader
        Reads calls.
    registry : BackendRegistry
        Takes what they say.
    log : DecisionLog
        Receives rejected calls.
    """

    def __init__(
        self, reader: HeartbeatReader, registry: BackendRegistry, log: DecisionLog
    ) -> None:
        self._reader = reader
        self._registry = registry
        self._log = log

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Return the acknowledgement of a call."""
        try:
            call = self._reader.read(request.method, request.target, request.body)
        except WireError as error:
            self._log.believe("heartbeat-rejected", detail=str(error))
            return text_response(HTTPStatus.BAD_REQUEST, f"{error}\n")
        if call is None:
            return text_response(HTTPStatus.NOT_FOUND, "no call of a backend server\n")
        self._registry.handle_call(call)
        return text_response(HTTPStatus.OK, "{}", JSON)


class ReadinessPort:
    """Says whether callers should send work to this node.

    Parameters
    ----------
    path : str
        Path on which it is asked.
    is_ready : callable
        Returns whether work is taken.
    """

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        self._path = path
        self._is_ready = is_ready

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Return 200 or 503."""
        if request.target.partition("?")[0] != self._path:
            return text_response(HTTPStatus.NOT_FOUND, "unknown path\n")
        if self._is_ready():
            return text_response(HTTPStatus.OK, "ready\n")
        return text_response(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")


class MetricsPort:
    """Serves counters and histograms as text.

    Parameters
    ----------
    metrics : MeshMetrics
        What is served.
    refresh : callable
        Brings the gauges up to date.
    """

    def __init__(self, metrics: MeshMetrics, refresh: Callable[[], None]) -> None:
        self._metrics = metrics
        self._refresh = refresh

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Return every metric."""
        self._refresh()
        return text_response(
            HTTPStatus.OK, self._metrics.text().decode(), "text/plain; version=0.0.4"
        )
