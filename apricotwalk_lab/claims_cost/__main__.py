"""Benchmark the cost of idempotency keys: call latency and log appends for each kind of key.

Run as ``python -m apricotwalk_lab.claims_cost``; prints one JSON object per kind of key.  Every
kind is measured with the same open-loop load, distributed over all nodes of a small fleet on
loopback.
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

KEY_KINDS = ("none", "issued", "own")
INSTANCE_COUNT = 3
MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY_MICROSECONDS = 60 * MICROSECONDS_PER_SECOND


class CostRow(msgspec.Struct):
    """Measured cost of one kind of key.

    Parameters
    ----------
    key : str
        Kind of key: ``none``, ``issued`` by a node, or the caller's ``own``.
    rate : float
        Rate over all nodes, in requests per second.
    completed, sent : int
        Number of requests answered with status 200, and of all requests.
    p50_ms, p99_ms : float
        Percentiles of the latency, in milliseconds, without the time to fetch an issued key.
    appends_per_second : float
        Rate of appends to the log service.
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
    shared_fields = {"method": "POST", "service": "ledger", "rank": 0, "deadline_ms": 5000}
    template = {
        "name": "t",
        "version": 1,
        "routes": [{**shared_fields, **route} for route in routes],
    }
    customer = {"name": "school", "version": 1, "template": "t", "template_version": 1}
    for command, content in (
        (("template", "publish"), template),
        (("customer", "create"), customer),
    ):
        path = fleet.directory / f"{command[0]}.json"
        path.write_text(json.dumps(content), encoding="utf-8")
        result = await fleet.run_cli(*command, str(path))
        if result.returncode:
            raise RuntimeError(result.stderr)
    await fleet.wait_for_customer("school")


class _KeyKindLoad:
    """Open-loop load with one kind of key, which records the latencies."""

    def __init__(self, fleet: Fleet, client: AsyncHTTPClient, kind: str) -> None:
        self._caller_addresses = [instance.callers for instance in fleet.instances_by_name.values()]
        self._client = client
        self._kind = kind
        self.histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, 3)
        self.completed = 0

    async def run(self, rate: float, seconds: float) -> int:
        """Send requests for `seconds`, wait for all responses and return the number of requests."""
        started_at = time.monotonic()
        tasks = []
        for index in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started_at + index / rate - time.monotonic()))
            tasks.append(asyncio.create_task(self._send_one(index)))
        await asyncio.gather(*tasks)
        return len(tasks)

    async def _send_one(self, index: int) -> None:
        node = self._caller_addresses[index % len(self._caller_addresses)]
        headers = {"Apricotwalk-Customer": "school"}
        if self._kind == "own":
            headers["Idempotency-Key"] = new_identifier()
        if self._kind == "issued":
            response = await self._post(node, "/apricotwalk/keys", headers)
            headers["Idempotency-Key"] = json.loads(response.body)["key"]
        path = "/repeatable" if self._kind == "none" else "/keyed"
        started_at = time.monotonic()
        response = await self._post(node, path, headers)
        elapsed = time.monotonic() - started_at
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
        for kind in KEY_KINDS:
            load = _KeyKindLoad(fleet, client, kind)
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
    """Run the benchmark for every kind of key and print one JSON object for each."""
    parser = argparse.ArgumentParser(description="Measure the cost of idempotency keys.")
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    asyncio.run(_measure(arguments.rate, arguments.seconds))


if __name__ == "__main__":
    main()
