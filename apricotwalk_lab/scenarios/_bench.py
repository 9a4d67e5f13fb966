"""The test bed of a scenario: its processes, the links between them and a poller of the nodes."""

import asyncio
import random
import signal
import subprocess
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from apricotwalk.policy import CONFIGURATION_STREAM, PolicyRecord, encode_record
from apricotwalk_lab.processes import Fleet, InstancePlan
from apricotwalk_lab.scenarios._evidence import (
    AppliedFault,
    Evidence,
    Publish,
    VersionSample,
    read_records,
)
from apricotwalk_lab.standins.backend_server import Control
from apricotwalk_lab.standins.link import Endpoint, Link
from apricotwalk_lab.standins.log_service import Faults

__all__ = ["Bench"]

POLL_INTERVAL_SECONDS = 0.2
POLL_TIMEOUT_SECONDS = 1.0
STOP_TIMEOUT_SECONDS = 20.0
LOG_START_TIMEOUT_SECONDS = 10.0
READY_CHECK_INTERVAL_SECONDS = 0.05
STARTUP_SETTLING_SECONDS = 1.0
# Scenarios expect an accepted version to be in force on every node within this time.
VERSION_PROPAGATION_SECONDS = 5.0
# A node starts within half a second, but takes several seconds on a machine that runs many nodes.
FINAL_SAMPLE_TIMEOUT_SECONDS = 10.0


class Bench:
    """A fleet of processes to which a scenario's faults are applied.

    Parameters
    ----------
    directory : Path
        Directory for settings, logs and records.
    plans : list of InstancePlan
        The instances to start.
    generator : random.Random
        Random generator that draws lost datagrams.
    retention_seconds : float
        Retention time of the log service.
    disabled : list of str
        Names of the mechanisms that are disabled on every node.
    has_links : bool
        Whether the traffic between processes goes through links, which can inject network faults.
    """

    def __init__(
        self,
        directory: Path,
        plans: list[InstancePlan],
        generator: random.Random,
        retention_seconds: float,
        disabled: list[str],
        has_links: bool,
    ) -> None:
        settings = {"disabled_mechanisms": disabled} if disabled else None
        self.fleet = Fleet(directory, plans, retention_seconds, settings, has_links)
        self.evidence = Evidence(time.time(), [plan.name for plan in plans])
        self.log_faults = Faults()
        self.control_by_instance = {plan.name: Control() for plan in plans}
        self._control_locks_by_instance = {plan.name: asyncio.Lock() for plan in plans}
        self._log_faults_lock = asyncio.Lock()
        self._pending_publish_count = 0
        self._publishes_ended = asyncio.Event()
        self._publishes_ended.set()
        self.peers_links: dict[str, Link] = {}
        self.server_links: dict[str, Link] = {}
        self.log_links: dict[str, Link] = {}
        self._random = generator
        self._pids_ended_by_bench: set[int] = set()
        self._events_by_process: dict[str, Any] = {}
        self._client = AsyncHTTPClient(
            force_instance=True, max_clients=200, defaults={"request_timeout": POLL_TIMEOUT_SECONDS}
        )
        self._poller: asyncio.Task[None] | None = None

    async def start(self, records: list[PolicyRecord]) -> None:
        """Publish `records`, start every process and wait until the fleet is ready.

        Parameters
        ----------
        records : list of PolicyRecord
            Templates and customers, published before the nodes start.

        Raises
        ------
        TimeoutError
            If the log service or a node does not become ready in time.
        """
        self.fleet.directory.mkdir(parents=True, exist_ok=True)
        if self.fleet.has_links:
            await self._start_links()
        self.fleet.start_log_service()
        await self._publish_initial_records(records)
        for name in self.fleet.instances_by_name:
            self.fleet.start_node(name)
            self.fleet.start_backend(name)
        await self.fleet.wait_ready()
        for record in records:
            if hasattr(record, "template"):
                await self.fleet.wait_for_customer(record.name, record.version)
        await asyncio.sleep(STARTUP_SETTLING_SECONDS)
        self.evidence.started = time.time()
        self._poller = asyncio.create_task(self._poll_versions())

    async def close(self) -> None:
        """Stop the poller, every process and every link."""
        if self._poller is not None:
            self._poller.cancel()
            await asyncio.gather(self._poller, return_exceptions=True)
        await self.fleet.close()
        for link in self.links():
            await link.close()
        self._client.close()

    def links(self) -> list[Link]:
        """Return the links to nodes, to backend servers and to the log service."""
        return [
            *self.peers_links.values(),
            *self.server_links.values(),
            *self.log_links.values(),
        ]

    def instances_in(self, region: str) -> list[str]:
        """Return the names of the instances of a region."""
        instances = self.fleet.instances_by_name.items()
        return [name for name, instance in instances if instance.plan.region == region]

    def record_fault(self, verb: str, target: str) -> None:
        """Append a fault to the evidence, with the current time."""
        self.evidence.faults.append(AppliedFault(time.time(), verb, target))

    def signal_node(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to the node of an instance."""
        self._signal(self.fleet.instances_by_name[name].node_process, signal_number)

    def signal_server(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to the backend server of an instance."""
        self._signal(self.fleet.instances_by_name[name].backend_process, signal_number)

    def signal_log(self, signal_number: signal.Signals) -> None:
        """Send a signal to the log service."""
        self._signal(self.fleet.log_process, signal_number)

    async def kill_node(self, name: str) -> None:
        """Kill a node with SIGKILL, after reading its events for the timeline."""
        await self._save_events(name)
        self.signal_node(name, signal.SIGKILL)
        if name in self.peers_links:
            self.peers_links[name].stop_listening()

    def kill_server(self, name: str) -> None:
        """Kill a backend server with SIGKILL."""
        self.signal_server(name, signal.SIGKILL)
        if name in self.server_links:
            self.server_links[name].stop_listening()

    async def stop_node(self, name: str) -> None:
        """Send SIGTERM to a node and wait until its process has ended."""
        process = self.fleet.instances_by_name[name].node_process
        await self._save_events(name)
        self.signal_node(name, signal.SIGTERM)
        if process is not None:
            with suppress(subprocess.TimeoutExpired):
                await asyncio.to_thread(process.wait, STOP_TIMEOUT_SECONDS)
        if name in self.peers_links:
            self.peers_links[name].stop_listening()

    async def start_node(self, name: str) -> None:
        """Start a new node process for an instance, after ending the previous one."""
        await self._ensure_ended(self.fleet.instances_by_name[name].node_process)
        if name in self.peers_links:
            await self.peers_links[name].start()
        self.fleet.start_node(name)

    async def start_server(self, name: str) -> None:
        """Start a new backend server process for an instance, after ending the previous one."""
        await self._ensure_ended(self.fleet.instances_by_name[name].backend_process)
        if name in self.server_links:
            await self.server_links[name].start()
        self.control_by_instance[name] = Control()
        self.fleet.start_backend(name)

    async def drain(self, name: str) -> None:
        """Ask a node to drain its backend server.

        Notes
        -----
        The fault is recorded only if the node answers; a connection error is ignored.
        """
        address = self.fleet.instances_by_name[name].server
        request = HTTPRequest(f"http://{address}/apricotwalk/leave", method="POST", body=b"")
        with suppress(OSError, HTTPClientError):
            await self._client.fetch(request)
            self.record_fault("drain", name)

    async def wait_until_ready(self, name: str) -> None:
        """Wait until a node answers and reports that its backend server is registered.

        Raises
        ------
        TimeoutError
            If this takes longer than `STOP_TIMEOUT_SECONDS`.
        """
        async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
            while True:
                with suppress(OSError, HTTPClientError):
                    if (await self._fetch_from_node(name, "status"))["has_server"]:
                        return
                await asyncio.sleep(READY_CHECK_INTERVAL_SECONDS)

    async def apply_control(self, name: str) -> None:
        """Send the configured behavior of a backend server to its process.

        Notes
        -----
        Each message holds the complete behavior, so a lock keeps the messages in order.  The
        server itself counts down the answers to truncate, so their number is sent only once.
        """
        async with self._control_locks_by_instance[name]:
            control = self.control_by_instance[name]
            message = msgspec.structs.replace(control)
            control.truncate_answers = 0
            with suppress(OSError, HTTPClientError):
                await self.fleet.control_backend(name, message)

    async def apply_log_faults(self) -> None:
        """Send the configured faults of the log service to its process, in order.

        Notes
        -----
        The log service itself counts down the answers to lose, so their number is sent only
        once.
        """
        async with self._log_faults_lock:
            message = msgspec.structs.replace(self.log_faults)
            self.log_faults.lose_answers = 0
            await self.fleet.set_log_faults(message)

    async def publish(self, record: PolicyRecord) -> None:
        """Publish a record with the operator's tool and record the outcome in the evidence."""
        kind = "customer" if hasattr(record, "template") else "template"
        number = len(self.evidence.publishes)
        name = f"{kind} {record.name} version {record.version}"
        self.evidence.publishes.append(Publish(time.time(), name, False, "no answer"))
        content = msgspec.to_builtins(record)
        del content["kind"], content["publish_id"]
        path = self.fleet.directory / f"publish-{number}.json"
        path.write_bytes(msgspec.json.encode(content))
        verb = "create" if kind == "customer" else "publish"
        self._pending_publish_count += 1
        self._publishes_ended.clear()
        try:
            result = await self.fleet.run_cli(kind, verb, str(path))
        finally:
            self._pending_publish_count -= 1
            if not self._pending_publish_count:
                self._publishes_ended.set()
        output = " ".join((result.stdout + result.stderr).split())
        self.evidence.publishes[number] = Publish(time.time(), name, result.returncode == 0, output)

    async def wait_for_publishes(self) -> None:
        """Wait until no publish is in progress.

        Notes
        -----
        The start-up time of the operator's tool depends on the machine, so scenario times alone
        do not determine the order of a publish and an outage.
        """
        await self._publishes_ended.wait()

    async def collect(self) -> None:
        """Add the records of the backend servers and the crashed servers to the evidence."""
        await self._sample_final_versions()
        for name, instance in self.fleet.instances_by_name.items():
            executions, inner_calls = read_records(self.fleet.record_path(name))
            self.evidence.executions += executions
            self.evidence.inner_calls += inner_calls
            if self._has_crashed(instance.backend_process):
                self.evidence.crashed_servers.append(name)

    async def collect_events(self) -> list[Any]:
        """Return the events of all node processes, including ended ones, in causal order."""
        for name in self.fleet.instances_by_name:
            await self._save_events(name)
        events = [
            event for process_events in self._events_by_process.values() for event in process_events
        ]
        return sorted(events, key=lambda event: event["stamp"])

    async def _start_links(self) -> None:
        instances = self.fleet.instances_by_name
        names = list(instances)
        name_by_source = {_endpoint(instance.peers): name for name, instance in instances.items()}
        log = _endpoint(self.fleet.log_address)
        for name, instance in instances.items():
            peers, server = _endpoint(instance.peers_link), _endpoint(instance.backend_link)
            self.peers_links[name] = Link(
                peers, _endpoint(instance.peers), names, self._random, name_by_source
            )
            self.server_links[name] = Link(server, _endpoint(instance.backend), [], self._random)
            self.log_links[name] = Link(_endpoint(instance.log_link), log, [], self._random)
        for link in self.links():
            await link.start()

    async def _publish_initial_records(self, records: list[PolicyRecord]) -> None:
        body = b"[" + b",".join(encode_record(record) for record in records) + b"]"
        url = f"http://{self.fleet.log_address}/streams/{CONFIGURATION_STREAM}/records"
        async with asyncio.timeout(LOG_START_TIMEOUT_SECONDS):
            while True:
                with suppress(OSError):
                    await self._client.fetch(HTTPRequest(url, method="POST", body=body))
                    return
                await asyncio.sleep(READY_CHECK_INTERVAL_SECONDS)

    async def _sample_final_versions(self) -> None:
        """Sample the versions of every node once the last accepted publish must be in force.

        Notes
        -----
        On a busy machine the operator's tool may complete a publish only when the load ends, and
        a node that was restarted shortly before may not answer yet.  Without a sample of the
        current process, the last sample of an earlier process would be used.
        """
        accepted = [publish.at for publish in self.evidence.publishes if publish.is_accepted]
        if not accepted:
            return
        await asyncio.sleep(max(0.0, max(accepted) + VERSION_PROPAGATION_SECONDS - time.time()))
        with suppress(TimeoutError):
            async with asyncio.timeout(FINAL_SAMPLE_TIMEOUT_SECONDS):
                await asyncio.gather(*map(self._poll_until_answered, self.fleet.instances_by_name))

    async def _poll_until_answered(self, name: str) -> None:
        process = self.fleet.instances_by_name[name].node_process
        while process is not None and process.poll() is None:
            if await self._poll_version(name):
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _poll_versions(self) -> None:
        names = list(self.fleet.instances_by_name)
        await asyncio.gather(*(self._poll_versions_of(name) for name in names))

    async def _poll_versions_of(self, name: str) -> None:
        """Poll one node in its own task, so that a frozen node does not delay other samples."""
        while True:
            await self._poll_version(name)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _poll_version(self, name: str) -> bool:
        """Sample the versions in force on one node, and return whether it answered."""
        try:
            status = await self._fetch_from_node(name, "status")
        except (OSError, HTTPClientError):
            return False  # Scenarios stop, freeze and cut off nodes, so this is expected.
        sample = VersionSample(time.time(), name, status["customers"])
        self.evidence.versions.append(sample)
        return True

    async def _save_events(self, name: str) -> None:
        process = self.fleet.instances_by_name[name].node_process
        if process is None or process.poll() is not None:
            return
        with suppress(OSError, HTTPClientError):
            self._events_by_process[f"{name}:{process.pid}"] = await self._fetch_from_node(
                name, "events"
            )

    async def _fetch_from_node(self, name: str, resource: str) -> Any:
        address = self.fleet.instances_by_name[name].server
        response = await self._client.fetch(f"http://{address}/apricotwalk/{resource}")
        return msgspec.json.decode(response.body)

    def _has_crashed(self, process: subprocess.Popen[bytes] | None) -> bool:
        if process is None or process.poll() is None:
            return False
        return process.pid not in self._pids_ended_by_bench

    def _signal(
        self, process: subprocess.Popen[bytes] | None, signal_number: signal.Signals
    ) -> None:
        if process is None or process.poll() is not None:
            return
        if signal_number in (signal.SIGKILL, signal.SIGTERM):
            self._pids_ended_by_bench.add(process.pid)
        process.send_signal(signal_number)

    async def _ensure_ended(self, process: subprocess.Popen[bytes] | None) -> None:
        if process is None:
            return
        if process.poll() is None:
            self._signal(process, signal.SIGKILL)
        await asyncio.to_thread(process.wait, STOP_TIMEOUT_SECONDS)


def _endpoint(address: str) -> Endpoint:
    host, port = address.rsplit(":", 1)
    return host, int(port)
