"""Counters and latency histograms of a mesh node in the Prometheus text format."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

__all__ = ["MeshMetrics"]

# The buckets cover the latency objectives of the external platform's routes, 150 ms to 4 s.
LATENCY_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 4.0)
# The number of label values is bounded; further routes are counted under one shared label.
MAX_ROUTE_COUNT = 64
OVERFLOW_ROUTE = "other"


class MeshMetrics:
    """Metrics of one mesh node, in a registry of their own."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._answers = Counter(
            "apricotwalk_answers",
            "Answers to callers.",
            ["route", "status"],
            registry=self._registry,
        )
        self._answer_seconds = Histogram(
            "apricotwalk_answer_seconds",
            "Time from the arrival of a request to its answer.",
            ["route"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._outcomes = Counter(
            "apricotwalk_server_side_outcomes",
            "Outcomes of forwarded requests by cause.",
            ["cause"],
            registry=self._registry,
        )
        self._server_seconds = Histogram(
            "apricotwalk_server_seconds",
            "Time that the backend server took for an answer.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.configuration_version = Gauge(
            "apricotwalk_configuration_version",
            "Version of the configuration in force.",
            registry=self._registry,
        )
        self.configuration_faults = Gauge(
            "apricotwalk_configuration_faults",
            "Parts of the configuration in force that are not understood.",
            registry=self._registry,
        )
        self.members = Gauge(
            "apricotwalk_members", "Membership records held.", registry=self._registry
        )
        self.load = Gauge(
            "apricotwalk_load",
            "Work in flight and waiting over the limit of the backend server.",
            registry=self._registry,
        )
        self.announced_rate = Gauge(
            "apricotwalk_announced_rate",
            "Requests per second that the backend server announces as its limit; +Inf if none.",
            registry=self._registry,
        )
        self.body_bytes = Gauge(
            "apricotwalk_body_bytes",
            "Bytes of large bodies of requests and of answers that the node holds.",
            ["bodies"],
            registry=self._registry,
        )
        self._sent = Counter(
            "apricotwalk_server_requests",
            "Requests sent to the backend server.",
            ["is_repeat"],
            registry=self._registry,
        )
        self._store_calls = Counter(
            "apricotwalk_store_calls",
            "Calls to the store, by stream and kind.",
            ["stream", "kind"],
            registry=self._registry,
        )
        # Looking up a child by its labels takes longer than counting with it.
        self._answers_by_labels: dict[tuple[str, int], tuple[Counter, Histogram]] = {}
        self._outcomes_by_cause: dict[str, Counter] = {}
        self._sent_by_is_repeat = {
            is_repeat: self._sent.labels(str(is_repeat).lower()) for is_repeat in (False, True)
        }
        self._routes: set[str] = set()

    def count_answer(self, route: str, status: int, seconds: float) -> None:
        """Count an answer to a caller and record its latency in seconds."""
        if route not in self._routes:
            if len(self._routes) >= MAX_ROUTE_COUNT:
                route = OVERFLOW_ROUTE
            self._routes.add(route)
        children = self._answers_by_labels.get((route, status))
        if children is None:
            children = self._answers.labels(route, status), self._answer_seconds.labels(route)
            self._answers_by_labels[route, status] = children
        counter, histogram = children
        counter.inc()
        histogram.observe(seconds)

    def count_server_side_outcome(self, cause: str) -> None:
        """Count the outcome of a forwarded request by its cause."""
        counter = self._outcomes_by_cause.get(cause)
        if counter is None:
            counter = self._outcomes_by_cause[cause] = self._outcomes.labels(cause)
        counter.inc()

    def count_sent(self, is_repeat: bool) -> None:
        """Count a request that is sent to the backend server."""
        self._sent_by_is_repeat[is_repeat].inc()

    def count_store_call(self, stream: str, kind: str) -> None:
        """Count a call to the store, whatever its outcome."""
        self._store_calls.labels(stream, kind).inc()

    def observe_server_seconds(self, seconds: float) -> None:
        """Record the response time of the backend server in seconds."""
        self._server_seconds.observe(seconds)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
