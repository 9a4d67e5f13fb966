"""Calls at a fixed rate over kept connections."""

import http.client
import threading
import time
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

__all__ = ["PathLoad", "run_loads"]

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 10_000_000
SIGNIFICANT_DIGITS = 3
CALL_TIMEOUT_SECONDS = 5.0
MICROSECONDS_PER_SECOND = 1_000_000
OK = 200


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class PathLoad:
    """Calls over one path and their latencies.

    Parameters
    ----------
    name : str
        Name of the path.
    address : str
        Where the calls go, host:port.
    path : str
        Path of the URL.
    headers : dict of str to str
        Headers of each call.
    rate : float
        Calls a second.
    histogram : HdrHistogram
        Latencies in microseconds, counted from the time at which the call was due.
    failures : int
        Calls without status 200.
    calls : int
        Calls made.
    """

    name: str
    address: str
    path: str
    headers: dict[str, str]
    rate: float
    histogram: HdrHistogram = field(default_factory=_new_histogram)
    failures: int = 0
    calls: int = 0

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency in milliseconds."""
        return float(self.histogram.get_value_at_percentile(percentile)) / 1000

    def reset(self) -> None:
        """Forget what was measured."""
        self.histogram.reset()
        self.failures = 0
        self.calls = 0

    def run(self, began: float, seconds: float) -> None:
        """Make calls from the time `began` on for `seconds`.

        Notes
        -----
        A call that is due while its predecessor still runs is measured from the time at which
        it was due, so a stall counts for every call that it holds up.
        """
        connection = http.client.HTTPConnection(self.address, timeout=CALL_TIMEOUT_SECONDS)
        interval = 1.0 / self.rate
        for index in range(int(seconds * self.rate)):
            due = began + index * interval
            time.sleep(max(0.0, due - time.perf_counter()))
            self._call(connection, due)
        connection.close()

    def _call(self, connection: http.client.HTTPConnection, due: float) -> None:
        self.calls += 1
        try:
            connection.request("GET", self.path, headers=self.headers)
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            self.failures += 1
            return
        if response.status != OK:
            self.failures += 1
        elapsed = time.perf_counter() - due
        self.histogram.record_value(max(1, int(elapsed * MICROSECONDS_PER_SECOND)))


def run_loads(loads: list[PathLoad], seconds: float) -> None:
    """Run several paths side by side, their calls evenly interleaved."""
    began = time.perf_counter() + 0.05
    threads = []
    for index, load in enumerate(loads):
        offset = index / (load.rate * len(loads))
        threads.append(threading.Thread(target=load.run, args=(began + offset, seconds)))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
