"""Benchmark of four paths over two instances, each measured alongside direct calls."""

import asyncio
import http.client
import json
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from apricotwalk_lab.bench._load import PathLoad, run_loads
from apricotwalk_lab.bench._processes import (
    cpu_seconds,
    idle_share,
    machine_times,
    resident_megabytes,
)
from apricotwalk_lab.bench._report import BenchRow
from apricotwalk_lab.processes import Fleet, InstancePlan

__all__ = ["CUSTOMER_HEADERS", "BenchFleet", "bench_plans", "publish", "run_bench"]

CUSTOMER_HEADERS = {"Apricotwalk-Customer": "bench"}
HELD_CALL_SECONDS = 600
IDLE_SAMPLE_SECONDS = 2.0
WARM_UP_SECONDS = 1.0
HELD_CALL_ARRIVAL_SECONDS = 0.2
ROUTES = [("near", "/near", "near"), ("far", "/far", "far"), ("hold", "/hold", "near")]
TEMPLATE = {
    "name": "bench",
    "version": 1,
    "routes": [
        {
            "name": name,
            "method": "GET",
            "path": path,
            "service": service,
            "rank": 1,
            "deadline_ms": HELD_CALL_SECONDS * 1000,
        }
        for name, path, service in ROUTES
    ],
}
CUSTOMER = {"name": "bench", "version": 1, "template": "bench", "template_version": 1}


class BenchFleet(Fleet):
    """Fleet whose backend servers respond without delay."""

    def start_backend(self, name: str) -> None:
        """Start the fast backend server of an instance."""
        instance = self.instances_by_name[name]
        instance.backend_process = self._spawn(
            f"{name}.backend",
            "apricotwalk_lab.bench.fast_server",
            instance.backend,
            instance.server,
            instance.plan.service,
        )


def bench_plans() -> list[InstancePlan]:
    """Return the plans of the two instances of the benchmark."""
    return [InstancePlan("near-1", "near"), InstancePlan("far-1", "far")]


async def publish(fleet: Fleet) -> None:
    """Publish the template and customer of the benchmark and wait until they are in force.

    Raises
    ------
    RuntimeError
        If a command fails; the message is its standard error.
    """
    commands = (("template", "publish", TEMPLATE), ("customer", "create", CUSTOMER))
    for noun, verb, content in commands:
        path = fleet.directory / f"{noun}-record.json"
        path.write_text(json.dumps(content), encoding="utf-8")
        result = await fleet.run_cli(noun, verb, str(path))
        if result.returncode != 0:
            raise RuntimeError(result.stderr)
    await fleet.wait_for_customer("bench")


def _get(address: str, path: str) -> bytes:
    connection = http.client.HTTPConnection(address, timeout=5)
    connection.request("GET", path)
    body = connection.getresponse().read()
    connection.close()
    return body


def _open_held_call(fleet: Fleet) -> tuple[http.client.HTTPConnection, str]:
    near = fleet.instances_by_name["near-1"]
    connection = http.client.HTTPConnection(near.callers, timeout=HELD_CALL_SECONDS)
    connection.request("GET", "/hold", headers=CUSTOMER_HEADERS)
    time.sleep(HELD_CALL_ARRIVAL_SECONDS)
    return connection, _get(near.backend, "/held").decode()


def _pids_by_process(fleet: Fleet) -> dict[str, int]:
    pids: dict[str, int] = {}
    for name, instance in fleet.instances_by_name.items():
        if instance.node_process is not None and instance.backend_process is not None:
            pids[f"{name}.node"] = instance.node_process.pid
            pids[f"{name}.backend"] = instance.backend_process.pid
    return pids


def _read_cpu(pids: dict[str, int]) -> dict[str, float]:
    return {process: cpu_seconds(pid) for process, pid in pids.items()}


def _idle_rates(pids: dict[str, int]) -> dict[str, float]:
    before = _read_cpu(pids)
    time.sleep(IDLE_SAMPLE_SECONDS)
    after = _read_cpu(pids)
    return {process: (after[process] - before[process]) / IDLE_SAMPLE_SECONDS for process in pids}


class _Bench:
    def __init__(self, fleet: Fleet, rate: float, seconds: float) -> None:
        self._fleet = fleet
        self._rate = rate
        self._seconds = seconds
        self._pids = _pids_by_process(fleet)
        self._idle_rates = _idle_rates(self._pids)
        self._idle_megabytes = resident_megabytes(self._pids["near-1.node"])

    def measure(self, name: str, address: str, path: str, headers: dict[str, str]) -> BenchRow:
        """Measure one path alongside direct calls.

        Parameters
        ----------
        name : str
            Name of the path; ``direct`` measures the direct calls alone.
        address : str
            Address to call, as ``host:port``.
        path : str
            Path of the URL, which is also the name of the service called.
        headers : dict of str to str
            Headers of each call.

        Returns
        -------
        BenchRow
            Latency of the path and its overhead over the concurrent direct calls.
        """
        service = path.strip("/")
        target = self._fleet.instances_by_name[f"{service}-1"]
        direct = PathLoad("direct", target.backend, path, {}, self._rate)
        load = PathLoad(name, address, path, headers, self._rate)
        loads = [direct] if name == "direct" else [direct, load]
        run_loads(loads, WARM_UP_SECONDS)
        for each in loads:
            each.reset()
        cpu_before, machine_before = _read_cpu(self._pids), machine_times()
        started_at = time.monotonic()
        run_loads(loads, self._seconds)
        elapsed = time.monotonic() - started_at
        cpu_after, machine_after = _read_cpu(self._pids), machine_times()
        measured = loads[-1]
        return BenchRow(
            path=name,
            rate=self._rate,
            p50_ms=measured.percentile_ms(50),
            p99_ms=measured.percentile_ms(99),
            added_p50_ms=measured.percentile_ms(50) - direct.percentile_ms(50),
            added_p99_ms=measured.percentile_ms(99) - direct.percentile_ms(99),
            cpu_us_per_call={
                process: max(0.0, cpu_after[process] - cpu_before[process] - idle * elapsed)
                / max(1, measured.calls)
                * 1e6
                for process, idle in self._idle_rates.items()
            },
            idle_cpu_percent={p: 100 * idle for p, idle in self._idle_rates.items()},
            rss_mb={
                "idle": self._idle_megabytes,
                "loaded": resident_megabytes(self._pids["near-1.node"]),
            },
            calls=measured.calls,
            failures=measured.failures,
            idle_share=idle_share(machine_before, machine_after),
        )


async def run_bench(rate: float, seconds: float, report: Callable[[BenchRow], None]) -> None:
    """Run the benchmark of all paths on a new fleet.

    Parameters
    ----------
    rate : float
        Calls per second on each path.
    seconds : float
        Length of the measurement of each path, in seconds.
    report : callable
        Called with the row of each path as soon as it is measured.
    """
    with tempfile.TemporaryDirectory(prefix="apricotwalk-bench-") as directory:
        fleet = BenchFleet(Path(directory), bench_plans())
        try:
            await fleet.start()
            await publish(fleet)
            await asyncio.to_thread(_measure_paths, fleet, rate, seconds, report)
        finally:
            await fleet.close()


def _measure_paths(
    fleet: Fleet, rate: float, seconds: float, report: Callable[[BenchRow], None]
) -> None:
    bench = _Bench(fleet, rate, seconds)
    near = fleet.instances_by_name["near-1"]
    report(bench.measure("direct", near.backend, "/near", {}))
    report(bench.measure("one-node", near.callers, "/near", CUSTOMER_HEADERS))
    report(bench.measure("two-nodes", near.callers, "/far", CUSTOMER_HEADERS))
    connection, call_id = _open_held_call(fleet)
    report(bench.measure("inner-call", near.server, "/far", {"Apricotwalk-Call": call_id}))
    connection.close()
