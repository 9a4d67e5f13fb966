"""Calls at a fixed rate over persistent connections."""

import http.client
import threading
import time
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

__all__ = ["PathLoad", "run_loads"]

MIN_LATENCY_MICROSECONDS = 1
MAX_LATENCY_MICROSECONDS = 10_000_000
SIGNIFICANT_DIGIT_COUNT = 3
CALL_TIMEOUT_SECONDS = 5.0
MICROSECONDS_PER_SECOND = 1_000_000
OK_STATUS = 200


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_MICROSECONDS, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGIT_COUNT)


@dataclass(slots=True)
class PathLoad:
    """Calls at a fixed rate to one path, with their latencies.

    Parameters
    ----------
    name : str
        Name of the path.
    address : str
        Address to call, as ``host:port``.
    path : str
        Path of the URL.
    headers : dict of str to str
        Headers of each call.
    rate : float
        Calls per second.
    histogram : HdrHistogram
        Latencies in microseconds, measured from the time for which each call was scheduled.
    failures : int
        Number of calls without a response of status 200.
    calls : int
        Number of calls made.
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
        """Return a percentile (0 to 100) of the latency in milliseconds."""
        return float(self.histogram.get_value_at_percentile(percentile)) / 1000

    def reset(self) -> None:
        """Discard the recorded latencies and counts."""
        self.histogram.reset()
        self.failures = 0
        self.calls = 0

    def run(self, started_at: float, seconds: float) -> None:
        """Make calls at the fixed rate over one connection.

        Parameters
        ----------
        started_at : float
            Time of the first call, on the clock of `time.perf_counter`.
        seconds : float
            Length of the load in seconds.

        Notes
        -----
        Latency is measured from the scheduled time of a call, also if the previous call has not
        ended by then.  A stall is therefore counted for every call that it delays, which avoids
        coordinated omission.
        """
        connection = http.client.HTTPConnection(self.address, timeout=CALL_TIMEOUT_SECONDS)
        interval = 1.0 / self.rate
        for index in range(int(seconds * self.rate)):
            due_at = started_at + index * interval
            time.sleep(max(0.0, due_at - time.perf_counter()))
            self._call(connection, due_at)
        connection.close()

    def _call(self, connection: http.client.HTTPConnection, due_at: float) -> None:
        self.calls += 1
        try:
            connection.request("GET", self.path, headers=self.headers)
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            self.failures += 1
            return
        if response.status != OK_STATUS:
            self.failures += 1
        elapsed = time.perf_counter() - due_at
        self.histogram.record_value(max(1, int(elapsed * MICROSECONDS_PER_SECOND)))


def run_loads(loads: list[PathLoad], seconds: float) -> None:
    """Run several loads concurrently, with their calls evenly interleaved.

    Parameters
    ----------
    loads : list of PathLoad
        Loads to run, each in a thread of its own.
    seconds : float
        Length of each load in seconds.
    """
    started_at = time.perf_counter() + 0.05
    threads = []
    for index, load in enumerate(loads):
        offset = index / (load.rate * len(loads))
        threads.append(threading.Thread(target=load.run, args=(started_at + offset, seconds)))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
