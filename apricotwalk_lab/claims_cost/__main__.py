"""Prints one JSON object a kind of key: latency of a call and appends to the log.

Run as ``python -m apricotwalk_lab.claims_cost``.  Each kind gets the same open loop of
requests, spread over every node of a small fleet on loopback.
"""

import argparse
import asyncio
import json
import tempfile
import time
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from apricotwalk.core import new_identifier
from apricotwalk_lab.processes import Fleet, InstancePlan
from apricotwalk_lab.standins.backend_server import Work

KINDS = ("none", "issued", "own")
INSTANCE_COUNT = 3
MICROSECONDS_PER_SECOND = 1_000_000
LONGEST_MICROSECONDS = 60 * MICROSECONDS_PER_SECOND


class CostRow(msgspec.Struct):
    """What one kind of key costs.

    Parameters
    ----------
    key : str
        ``none``, ``issued`` or ``own``.
    rate : float
        Requests a second over all nodes.
    completed, sent : int
        Number of requests.
    p50_ms, p99_ms : float
        Time to the answer, in milliseconds.
    appends_per_second : float
        Appends that the log service took.
    """

    key: str
    rate: float
    completed: int
    sent: int
    p50_ms: float
    p99_ms: float
    appends_per_second: float


async def _publish(fleet: Fleet) -> None:
    routes = [
        {"name": "repeatable", "path": "/repeatable"},
        {"name": "keyed", "path": "/keyed", "execution": "at-most-once"},
    ]
    common = {"method": "POST", "service": "ledger", "rank": 0, "deadline_ms": 5000}
    template = {"name": "t", "version": 1, "routes": [{**common, **route} for route in routes]}
    customer = {"name": "school", "version": 1, "template": "t", "template_version": 1}
    for words, content in ((("template", "publish"), template), (("customer", "create"), customer)):
        path = fleet.directory / f"{words[0]}.json"
        path.write_text(json.dumps(content), encoding="utf-8")
        result = await fleet.run_cli(*words, str(path))
        if result.returncode:
            raise RuntimeError(result.stderr)
    await fleet.wait_for_customer("school")


class _KindLoad:
    """Sends one kind of work at a constant rate and keeps the latencies."""

    def __init__(self, fleet: Fleet, client: AsyncHTTPClient, kind: str) -> None:
        self._callers = [each.callers for each in fleet.instances_by_name.values()]
        self._client = client
        self._kind = kind
        self.histogram = HdrHistogram(1, LONGEST_MICROSECONDS, 3)
        self.completed = 0

    async def run(self, rate: float, seconds: float) -> int:
        """Send for `seconds` and return the number of requests."""
        began = time.monotonic()
        tasks = []
        for index in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, began + index / rate - time.monotonic()))
            tasks.append(asyncio.create_task(self._send_one(index)))
        await asyncio.gather(*tasks)
        return len(tasks)

    async def _send_one(self, index: int) -> None:
        node = self._callers[index % len(self._callers)]
        headers = {"Apricotwalk-Customer": "school"}
        if self._kind == "own":
            headers["Idempotency-Key"] = new_identifier()
        if self._kind == "issued":
            response = await self._post(node, "/apricotwalk/keys", headers)
            headers["Idempotency-Key"] = json.loads(response.body)["key"]
        path = "/repeatable" if self._kind == "none" else "/keyed"
        began = time.monotonic()
        response = await self._post(node, path, headers)
        elapsed = time.monotonic() - began
        self.histogram.record_value(int(elapsed * MICROSECONDS_PER_SECOND))
        self.completed += response.code == 200

    async def _post(self, node: str, path: str, headers: dict[str, str]) -> HTTPResponse:
        request = HTTPRequest(f"http://{node}{path}", method="POST", headers=headers, body=b"x")
        return await self._client.fetch(request, raise_error=False)


async def _count_appends(fleet: Fleet, client: AsyncHTTPClient) -> int:
    response = await client.fetch(f"http://{fleet.log_address}/faults")
    return int(json.loads(response.body)["appends"])


async def _measure(rate: float, seconds: float) -> None:
    plans = [
        InstancePlan(f"ledger-{n}", "ledger", slots=32, works=[Work("/", 5.0)])
        for n in range(INSTANCE_COUNT)
    ]
    fleet = Fleet(Path(tempfile.mkdtemp()), plans)
    client = AsyncHTTPClient(force_instance=True, max_clients=1000)
    try:
        await fleet.start()
        await _publish(fleet)
        for kind in KINDS:
            load = _KindLoad(fleet, client, kind)
            before = await _count_appends(fleet, client)
            sent = await load.run(rate, seconds)
            appends = await _count_appends(fleet, client) - before
            p50, p99 = (load.histogram.get_value_at_percentile(p) / 1000 for p in (50, 99))
            row = CostRow(kind, rate, load.completed, sent, p50, p99, appends / seconds)
            print(msgspec.json.encode(row).decode(), flush=True)
    finally:
        client.close()
        await fleet.close()


def main() -> None:
    """Measure every kind of key."""
    parser = argparse.ArgumentParser(description="what keyed work costs")
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    asyncio.run(_measure(arguments.rate, arguments.seconds))


if __name__ == "__main__":
    main()
