"""Sending of requests at set times, whatever became of earlier ones."""

import asyncio
import random
import time

from apricotwalk.core import CallFailure, Verdict, new_identifier
from apricotwalk.serving import BackendClient
from apricotwalk.settings import Address
from apricotwalk_lab.load._profile import RetryPolicy, Stream, Surge, rate_at
from apricotwalk_lab.load._record import RequestRecord

__all__ = ["LoadGenerator"]

LARGEST_ANSWER_BYTES = 1_048_576
PATIENCE_MARGIN_SECONDS = 0.1
ENTRY_TRIES = 3
UNREACHABLE = "backend-unreachable"
CUSTOMER_HEADER = "Apricotwalk-Customer"
KEY_HEADER = "Idempotency-Key"


class LoadGenerator:
    """An open-loop generator on connections that are kept open.

    Parameters
    ----------
    entries : list of str
        Addresses of nodes' listeners for callers.
    streams : list of Stream
        What is sent.
    surges : list of Surge
        When more is sent.
    policy : CallerPolicy
        What callers do without a complete answer.
    seed : int
        Seed of arrival times and choices of entry.

    Notes
    -----
    Arrivals of each stream are a Poisson process whose rate follows the surges, drawn by
    thinning.  A request whose entry cannot be connected to, or closes the
    connection, is sent to another one with the same key.  Identifiers, which are also the keys,
    differ from run to run.
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
            BackendClient(Address.parse(entry), LARGEST_ANSWER_BYTES) for entry in entries
        ]
        self._streams = streams
        self._surges = surges or []
        self._policy = policy or RetryPolicy()
        self._seed = seed
        self._run = new_identifier()
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._began = 0.0

    async def run(self, seconds: float) -> list[RequestRecord]:
        """Send for `seconds`, wait for the last answers and return every record."""
        self._began = time.monotonic()
        senders = [
            self._send_stream(index, stream, seconds) for index, stream in enumerate(self._streams)
        ]
        await asyncio.gather(*senders)
        if self._tasks:
            await asyncio.wait(self._tasks)
        return self.records

    async def close(self) -> None:
        """Close every connection."""
        for client in self._clients:
            await client.close()

    def _elapsed(self) -> float:
        return time.monotonic() - self._began

    async def _send_stream(self, index: int, stream: Stream, seconds: float) -> None:
        generator = random.Random(f"{self._seed}/{index}")
        highest = stream.per_second * max([1.0, *(s.factor for s in self._surges)])
        moment = 0.0
        count = 0
        while highest > 0.0:
            moment += generator.expovariate(highest)
            if moment >= seconds:
                return
            accepted = generator.random() < rate_at(stream, self._surges, moment) / highest
            if not accepted:
                continue
            await asyncio.sleep(max(0.0, moment - self._elapsed()))
            count += 1
            self._spawn(stream, f"{self._run}-{index}-{count}")

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
        for client in self._random.sample(self._clients, min(ENTRY_TRIES, len(self._clients))):
            try:
                async with asyncio.timeout(treatment.deadline_seconds + PATIENCE_MARGIN_SECONDS):
                    answer = await client.send(treatment.method, path, headers, b"")
                record.status = answer.status
                record.cause = "" if answer.status == 200 else "status"
                return
            except TimeoutError:
                record.status = 0
                record.cause = "timeout"
                return
            except CallFailure as failure:
                record.status = failure.status if failure.verdict is Verdict.NOT_RUN else 0
                record.cause = failure.cause
                if failure.cause != UNREACHABLE:
                    return
            except OSError as error:
                record.status = 0
                record.cause = type(error).__name__
