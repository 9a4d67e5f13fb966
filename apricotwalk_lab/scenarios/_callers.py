"""Load generation: callers that send a scenario's requests and record the answers."""

import asyncio
import json
import random
import time
from dataclasses import dataclass

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from apricotwalk_lab.scenarios._evidence import Attempt, Request
from apricotwalk_lab.scenarios._scenario import KeyKind, Load
from apricotwalk_lab.standins.backend_server import ECHO_HEADER, TAG_HEADER, is_valid_answer_body

__all__ = ["Callers"]

RESEND_PAUSE_SECONDS = 0.1
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_CLIENT_COUNT = 1000


@dataclass(frozen=True, slots=True)
class _Submission:
    """A request as one of its callers sends it, with the index of the first entry to use."""

    load: Load
    request: Request
    first_entry: int
    caller: int


class Callers:
    """Open-loop load generator that resends failed requests and verifies every answer.

    Parameters
    ----------
    address_by_entry : dict of str to str
        Address at which the node of each instance accepts callers.
    generator : random.Random
        Random generator for arrival times, entries and keys.
    """

    def __init__(self, address_by_entry: dict[str, str], generator: random.Random) -> None:
        self.requests: list[Request] = []
        self._address_by_entry = address_by_entry
        self._random = generator
        self._client = AsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENT_COUNT)

    def close(self) -> None:
        """Close the HTTP client."""
        self._client.close()

    async def send_load(self, load: Load, started: float) -> None:
        """Send every request of a load and wait until all of them have ended.

        Parameters
        ----------
        load : Load
            Requests to send and their rate.
        started : float
            Monotonic time of scenario second 0.
        """
        count = round((load.ends - load.begins) * load.per_second)
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                jitter = self._random.random() / load.per_second
                due = started + load.begins + number / load.per_second + jitter * 0.5
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                group.create_task(self._send_request(load, number))

    async def _send_request(self, load: Load, number: int) -> None:
        request = Request(load.name, f"{load.name}-{number}", "", time.time())
        entry = self._random.randrange(len(self._entries(load)))
        self.requests.append(request)
        request.key = await self._obtain_key(load, entry)
        submissions = [
            _Submission(load, request, entry + caller, caller) for caller in range(load.callers)
        ]
        await asyncio.gather(*(self._send_with_resends(submission) for submission in submissions))

    def _entries(self, load: Load) -> list[str]:
        return load.entries or list(self._address_by_entry)

    async def _obtain_key(self, load: Load, first_entry: int) -> str:
        if load.keys is KeyKind.NONE:
            return ""
        if load.keys is KeyKind.OWN:
            return f"{load.name}-{self._random.getrandbits(64):016x}"
        entries = self._entries(load)
        for step in range(len(entries)):
            entry = entries[(first_entry + step) % len(entries)]
            try:
                response = await self._client.fetch(self._key_request(load, entry))
            except (OSError, HTTPClientError):
                continue
            return str(json.loads(response.body)["key"])
        return ""

    def _key_request(self, load: Load, entry: str) -> HTTPRequest:
        return HTTPRequest(
            f"http://{self._address_by_entry[entry]}/apricotwalk/keys",
            method="POST",
            body=b"",
            headers={"Apricotwalk-Customer": load.customer},
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            request_timeout=load.timeout_seconds,
        )

    async def _send_with_resends(self, submission: _Submission) -> None:
        entries = self._entries(submission.load)
        resends = submission.load.resends
        refusals = 0
        for step in range(resends + len(entries)):
            entry = entries[(submission.first_entry + step) % len(entries)]
            attempt = await self._send_attempt(submission, entry, step, 1 + step - refusals)
            if attempt.is_completed():
                return
            refusals += attempt.was_refused
            if step - refusals >= resends:
                return
            if not attempt.was_refused:
                await asyncio.sleep(RESEND_PAUSE_SECONDS)

    async def _send_attempt(
        self, submission: _Submission, entry: str, step: int, number: int
    ) -> Attempt:
        tag = f"{submission.request.echo}/{submission.caller}.{step}"
        attempt = Attempt(tag, entry, number, time.time())
        submission.request.tries.append(attempt)
        try:
            response = await self._client.fetch(
                self._to_http_request(submission, attempt), raise_error=False
            )
        except ConnectionRefusedError:
            attempt.was_refused = True
        except (OSError, HTTPClientError) as error:
            attempt.error = str(error) or type(error).__name__
        else:
            _record_answer(attempt, response, submission.request.echo)
        attempt.ended = time.time()
        return attempt

    def _to_http_request(self, submission: _Submission, attempt: Attempt) -> HTTPRequest:
        load = submission.load
        headers = {
            "Apricotwalk-Customer": load.customer,
            "Apricotwalk-Attempt": str(attempt.number),
            ECHO_HEADER: submission.request.echo,
            TAG_HEADER: attempt.tag,
        }
        if submission.request.key:
            headers["Idempotency-Key"] = submission.request.key
        return HTTPRequest(
            f"http://{self._address_by_entry[attempt.entry]}{load.path}",
            method=load.method,
            headers=headers,
            body=load.body.encode() if load.method != "GET" else None,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            request_timeout=load.timeout_seconds,
        )


def _record_answer(attempt: Attempt, response: HTTPResponse, echo: str) -> None:
    if response.code == 599:
        attempt.error = str(response.error)
        attempt.was_refused = isinstance(response.error, ConnectionRefusedError)
        return
    attempt.status = response.code
    attempt.verdict = response.headers.get("Apricotwalk-Verdict", "")
    attempt.is_whole = is_valid_answer_body(response.body, echo)
    if not attempt.is_completed():
        attempt.cause = _read_cause(response.body)


def _read_cause(body: bytes) -> str:
    try:
        return str(json.loads(body)["cause"])
    except (ValueError, KeyError, TypeError):
        return body[:80].decode("utf-8", "replace")
