"""Open-loop generator that sends requests at scheduled times, whether or not earlier ones ended."""

import asyncio
import random
import time

from apricotwalk.core import CallFailure, Verdict, new_identifier
from apricotwalk.serving import BackendClient
from apricotwalk.settings import Address
from apricotwalk_lab.load._profile import RetryPolicy, Stream, Surge, rate_at
from apricotwalk_lab.load._record import RequestRecord

__all__ = ["LoadGenerator"]

MAX_RESPONSE_BYTES = 1_048_576
TIMEOUT_MARGIN_SECONDS = 0.1
MAX_ENTRY_COUNT = 3
UNREACHABLE_CAUSE = "backend-unreachable"
CUSTOMER_HEADER = "Apricotwalk-Customer"
KEY_HEADER = "Idempotency-Key"


class LoadGenerator:
    """Open-loop load generator that uses persistent connections.

    Parameters
    ----------
    entries : list of str
        Addresses of the caller listeners of the nodes, as ``host:port``.
    streams : list of Stream
        Request streams to send.
    surges : list of Surge, optional
        Intervals with a higher request rate.  None means a constant rate.
    policy : RetryPolicy, optional
        Retries of a request without a complete response.  None means no retries.
    seed : int
        Seed for the arrival times and for the choice of entry nodes.

    Notes
    -----
    The arrivals of each stream form an inhomogeneous Poisson process, sampled by thinning; its
    rate follows the surges.  If the connection to an entry node fails or is closed by that node,
    the request is sent to another entry node with the same idempotency key, to at most three nodes
    per attempt.  Request identifiers, which serve as idempotency keys, differ between runs even
    with the same seed.
    """

    def __init__(
        self,
        entries: list[str],
        streams: list[Stream],
        surges: list[Surge] | None = None,
        policy: RetryPolicy | None = None,
        seed: int = 1,
    ) -> None:
        self.records: list[RequestRecord] = []
        self._clients = [
            BackendClient(Address.parse(entry), MAX_RESPONSE_BYTES) for entry in entries
        ]
        self._streams = streams
        self._surges = surges or []
        self._policy = policy or RetryPolicy()
        self._seed = seed
        self._run_identifier = new_identifier()
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._started_at = 0.0

    async def run(self, seconds: float) -> list[RequestRecord]:
        """Send requests for `seconds`, wait for the last responses and return all records.

        Parameters
        ----------
        seconds : float
            Length of the load in seconds.

        Returns
        -------
        list of RequestRecord
            One record per request, in the order in which they were sent.
        """
        self._started_at = time.monotonic()
        senders = [
            self._send_stream(index, stream, seconds) for index, stream in enumerate(self._streams)
        ]
        await asyncio.gather(*senders)
        if self._tasks:
            await asyncio.wait(self._tasks)
        return self.records

    async def close(self) -> None:
        """Close the connections to all entry nodes."""
        for client in self._clients:
            await client.close()

    def _elapsed(self) -> float:
        return time.monotonic() - self._started_at

    async def _send_stream(self, index: int, stream: Stream, seconds: float) -> None:
        generator = random.Random(f"{self._seed}/{index}")
        peak_rate = stream.per_second * max([1.0, *(s.factor for s in self._surges)])
        arrival_seconds = 0.0
        count = 0
        while peak_rate > 0.0:
            arrival_seconds += generator.expovariate(peak_rate)
            if arrival_seconds >= seconds:
                return
            accepted = (
                generator.random() < rate_at(stream, self._surges, arrival_seconds) / peak_rate
            )
            if not accepted:
                continue
            await asyncio.sleep(max(0.0, arrival_seconds - self._elapsed()))
            count += 1
            self._spawn(stream, f"{self._run_identifier}-{index}-{count}")

    def _spawn(self, stream: Stream, identifier: str) -> None:
        task = asyncio.create_task(self._request(stream, identifier))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(self, stream: Stream, identifier: str) -> None:
        treatment = stream.treatment
        record = RequestRecord(
            identifier, stream.customer, treatment.route, treatment.rank, self._elapsed()
        )
        self.records.append(record)
        while record.tries < self._policy.tries and not record.is_complete:
            if record.tries:
                await asyncio.sleep(self._policy.wait_seconds)
            record.tries += 1
            await self._send(stream, record)
        record.ended = self._elapsed()

    async def _send(self, stream: Stream, record: RequestRecord) -> None:
        treatment = stream.treatment
        path = f"{stream.path}/{record.identifier}-{record.tries}"
        headers = [(CUSTOMER_HEADER, stream.customer), (KEY_HEADER, record.identifier)]
        for client in self._random.sample(self._clients, min(MAX_ENTRY_COUNT, len(self._clients))):
            try:
                async with asyncio.timeout(treatment.deadline_seconds + TIMEOUT_MARGIN_SECONDS):
                    response = await client.send(treatment.method, path, headers, b"")
                record.status = response.status
                record.cause = "" if response.status == 200 else "status"
                return
            except TimeoutError:
                record.status = 0
                record.cause = "timeout"
                return
            except CallFailure as failure:
                record.status = failure.status if failure.verdict is Verdict.NOT_RUN else 0
                record.cause = failure.cause
                if failure.cause != UNREACHABLE_CAUSE:
                    return
            except OSError as error:
                record.status = 0
                record.cause = type(error).__name__
