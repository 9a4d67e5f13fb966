"""The processes of a run with the links between them, and what a poller sees of the nodes."""

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

POLL_SECONDS = 0.2
POLL_TIMEOUT_SECONDS = 1.0
STOP_SECONDS = 20.0
LOG_START_SECONDS = 10.0
READY_CHECK_SECONDS = 0.05
SPREAD_SECONDS = 1.0
# The bound of the scenarios for a version to be in force everywhere.
VERSION_SPREAD_SECONDS = 5.0
# A node starts in half a second, and in several on a machine that runs many of them.
LAST_ANSWER_SECONDS = 10.0


class Bench:
    """A fleet on which faults are applied.

    Parameters
    ----------
    directory : Path
        Where settings, logs and records are written.
    plans : list of InstancePlan
        The instances.
    generator : random.Random
        Source of randomness.
    retention_seconds : float
        How long the log service keeps records.
    disabled : list of str
        Mechanisms that every node switches off.
    has_links : bool
        Whether processes reach each other through links.
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
        self._publishes_under_way = 0
        self._publishes_ended = asyncio.Event()
        self._publishes_ended.set()
        self.peers_links: dict[str, Link] = {}
        self.server_links: dict[str, Link] = {}
        self.log_links: dict[str, Link] = {}
        self._random = generator
        self._ended_by_bench: set[int] = set()
        self._events: dict[str, Any] = {}
        self._client = AsyncHTTPClient(
            force_instance=True, max_clients=200, defaults={"request_timeout": POLL_TIMEOUT_SECONDS}
        )
        self._poller: asyncio.Task[None] | None = None

    async def start(self, records: list[PolicyRecord]) -> None:
        """Start everything, with `records` published beforehand."""
        self.fleet.directory.mkdir(parents=True, exist_ok=True)
        if self.fleet.has_links:
            await self._start_links()
        self.fleet.start_log_service()
        await self._publish_first(records)
        for name in self.fleet.instances_by_name:
            self.fleet.start_node(name)
            self.fleet.start_backend(name)
        await self.fleet.wait_ready()
        for record in records:
            if hasattr(record, "template"):
                await self.fleet.wait_for_customer(record.name, record.version)
        await asyncio.sleep(SPREAD_SECONDS)
        self.evidence.started = time.time()
        self._poller = asyncio.create_task(self._poll_versions())

    async def close(self) -> None:
        """End every process and link."""
        if self._poller is not None:
            self._poller.cancel()
            await asyncio.gather(self._poller, return_exceptions=True)
        await self.fleet.close()
        for link in self.links():
            await link.close()
        self._client.close()

    def links(self) -> list[Link]:
        """Return every link."""
        return [
            *self.peers_links.values(),
            *self.server_links.values(),
            *self.log_links.values(),
        ]

    def instances_in(self, region: str) -> list[str]:
        """Return the names of the instances of a region."""
        instances = self.fleet.instances_by_name.items()
        return [name for name, instance in instances if instance.plan.region == region]

    def note(self, verb: str, target: str) -> None:
        """Record that a fault took effect now."""
        self.evidence.faults.append(AppliedFault(time.time(), verb, target))

    def signal_node(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the node of an instance."""
        self._signal(self.fleet.instances_by_name[name].node_process, number)

    def signal_server(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the backend server of an instance."""
        self._signal(self.fleet.instances_by_name[name].backend_process, number)

    def signal_log(self, number: signal.Signals) -> None:
        """Send a signal to the log service."""
        self._signal(self.fleet.log_process, number)

    async def kill_node(self, name: str) -> None:
        """End a node without warning, keeping its events for the time line."""
        await self._save_events(name)
        self.signal_node(name, signal.SIGKILL)
        if name in self.peers_links:
            self.peers_links[name].stop_listening()

    def kill_server(self, name: str) -> None:
        """End a backend server without warning."""
        self.signal_server(name, signal.SIGKILL)
        if name in self.server_links:
            self.server_links[name].stop_listening()

    async def stop_node(self, name: str) -> None:
        """Ask a node to stop and wait until it has ended."""
        process = self.fleet.instances_by_name[name].node_process
        await self._save_events(name)
        self.signal_node(name, signal.SIGTERM)
        if process is not None:
            with suppress(subprocess.TimeoutExpired):
                await asyncio.to_thread(process.wait, STOP_SECONDS)
        if name in self.peers_links:
            self.peers_links[name].stop_listening()

    async def start_node(self, name: str) -> None:
        """Start a new node of an instance."""
        await self._await_end(self.fleet.instances_by_name[name].node_process)
        if name in self.peers_links:
            await self.peers_links[name].start()
        self.fleet.start_node(name)

    async def start_server(self, name: str) -> None:
        """Start a new backend server of an instance."""
        await self._await_end(self.fleet.instances_by_name[name].backend_process)
        if name in self.server_links:
            await self.server_links[name].start()
        self.control_by_instance[name] = Control()
        self.fleet.start_backend(name)

    async def drain(self, name: str) -> None:
        """Tell a node that its backend server leaves; one that does not answer is not told."""
        address = self.fleet.instances_by_name[name].server
        request = HTTPRequest(f"http://{address}/apricotwalk/leave", method="POST", body=b"")
        with suppress(OSError, HTTPClientError):
            await self._client.fetch(request)
            self.note("drain", name)

    async def wait_until_ready(self, name: str) -> None:
        """Wait until a node answers and has its backend server."""
        async with asyncio.timeout(STOP_SECONDS):
            while True:
                with suppress(OSError, HTTPClientError):
                    if (await self._ask(name, "status"))["has_server"]:
                        return
                await asyncio.sleep(READY_CHECK_SECONDS)

    async def apply_control(self, name: str) -> None:
        """Send the behaviour noted for a backend server to it.

        Notes
        -----
        Each message holds the whole behaviour, so one must not overtake another.  Answers to
        truncate are counted down by the server, so they are sent once.
        """
        async with self._control_locks_by_instance[name]:
            control = self.control_by_instance[name]
            message = msgspec.structs.replace(control)
            control.truncate_answers = 0
            with suppress(OSError, HTTPClientError):
                await self.fleet.control_backend(name, message)

    async def apply_log_faults(self) -> None:
        """Send the faults noted for the log service to it, one message after another.

        Notes
        -----
        Answers to lose are counted down by the log service, so they are sent once.
        """
        async with self._log_faults_lock:
            message = msgspec.structs.replace(self.log_faults)
            self.log_faults.lose_answers = 0
            await self.fleet.control_log(message)

    async def publish(self, record: PolicyRecord) -> None:
        """Publish a record by the operator's tool and note the outcome."""
        kind = "customer" if hasattr(record, "template") else "template"
        number = len(self.evidence.publishes)
        name = f"{kind} {record.name} version {record.version}"
        self.evidence.publishes.append(Publish(time.time(), name, False, "no answer"))
        content = msgspec.to_builtins(record)
        del content["kind"], content["publish_id"]
        path = self.fleet.directory / f"publish-{number}.json"
        path.write_bytes(msgspec.json.encode(content))
        verb = "create" if kind == "customer" else "publish"
        self._publishes_under_way += 1
        self._publishes_ended.clear()
        try:
            result = await self.fleet.operate(kind, verb, str(path))
        finally:
            self._publishes_under_way -= 1
            if not self._publishes_under_way:
                self._publishes_ended.set()
        output = " ".join((result.stdout + result.stderr).split())
        self.evidence.publishes[number] = Publish(time.time(), name, result.returncode == 0, output)

    async def finish_publishes(self) -> None:
        """Wait until every publish that has begun has ended.

        Notes
        -----
        How long the operator's tool takes to start depends on the machine, so the order of a
        publish and an outage cannot be given by times alone.
        """
        await self._publishes_ended.wait()

    async def collect(self) -> None:
        """Read the records of the backend servers and see which of them crashed."""
        await self._let_versions_spread()
        for name, instance in self.fleet.instances_by_name.items():
            executions, inner_calls = read_records(self.fleet.record_path(name))
            self.evidence.executions += executions
            self.evidence.inner_calls += inner_calls
            if self._has_crashed(instance.backend_process):
                self.evidence.crashed_servers.append(name)

    async def collect_events(self) -> list[Any]:
        """Return the events of every node, also of those that were ended, in causal order."""
        for name in self.fleet.instances_by_name:
            await self._save_events(name)
        events = [event for kept in self._events.values() for event in kept]
        return sorted(events, key=lambda event: event["stamp"])

    async def _start_links(self) -> None:
        instances = self.fleet.instances_by_name
        names = list(instances)
        sources = {_endpoint(each.peers): name for name, each in instances.items()}
        log = _endpoint(self.fleet.log_address)
        for name, each in instances.items():
            peers, server = _endpoint(each.peers_link), _endpoint(each.backend_link)
            self.peers_links[name] = Link(
                peers, _endpoint(each.peers), names, self._random, sources
            )
            self.server_links[name] = Link(server, _endpoint(each.backend), [], self._random)
            self.log_links[name] = Link(_endpoint(each.log_link), log, [], self._random)
        for link in self.links():
            await link.start()

    async def _publish_first(self, records: list[PolicyRecord]) -> None:
        body = b"[" + b",".join(encode_record(record) for record in records) + b"]"
        url = f"http://{self.fleet.log_address}/streams/{CONFIGURATION_STREAM}/records"
        async with asyncio.timeout(LOG_START_SECONDS):
            while True:
                with suppress(OSError):
                    await self._client.fetch(HTTPRequest(url, method="POST", body=body))
                    return
                await asyncio.sleep(READY_CHECK_SECONDS)

    async def _let_versions_spread(self) -> None:
        """Take a last sample of versions when the last one accepted must be in force everywhere.

        Notes
        -----
        On a busy machine the operator's tool may end its publish as the load ends, and a node
        that was restarted just before may not answer yet; without a sample of the present
        process, the last one of an earlier process would count.
        """
        accepted = [publish.at for publish in self.evidence.publishes if publish.is_accepted]
        if not accepted:
            return
        await asyncio.sleep(max(0.0, max(accepted) + VERSION_SPREAD_SECONDS - time.time()))
        with suppress(TimeoutError):
            async with asyncio.timeout(LAST_ANSWER_SECONDS):
                await asyncio.gather(*map(self._poll_until_answered, self.fleet.instances_by_name))

    async def _poll_until_answered(self, name: str) -> None:
        process = self.fleet.instances_by_name[name].node_process
        while process is not None and process.poll() is None:
            if await self._poll_version(name):
                return
            await asyncio.sleep(POLL_SECONDS)

    async def _poll_versions(self) -> None:
        names = list(self.fleet.instances_by_name)
        await asyncio.gather(*(self._poll_versions_of(name) for name in names))

    async def _poll_versions_of(self, name: str) -> None:
        """Ask one node apart from the others, so that a frozen one delays no other's sample."""
        while True:
            await self._poll_version(name)
            await asyncio.sleep(POLL_SECONDS)

    async def _poll_version(self, name: str) -> bool:
        """Take a sample of one node, and return whether it answered."""
        try:
            status = await self._ask(name, "status")
        except (OSError, HTTPClientError):
            return False  # it is stopped, frozen or cut off, as scenarios have it
        sample = VersionSample(time.time(), name, status["customers"])
        self.evidence.versions.append(sample)
        return True

    async def _save_events(self, name: str) -> None:
        process = self.fleet.instances_by_name[name].node_process
        if process is None or process.poll() is not None:
            return
        with suppress(OSError, HTTPClientError):
            self._events[f"{name}:{process.pid}"] = await self._ask(name, "events")

    async def _ask(self, name: str, question: str) -> Any:
        address = self.fleet.instances_by_name[name].server
        response = await self._client.fetch(f"http://{address}/apricotwalk/{question}")
        return msgspec.json.decode(response.body)

    def _has_crashed(self, process: subprocess.Popen[bytes] | None) -> bool:
        if process is None or process.poll() is None:
            return False
        return process.pid not in self._ended_by_bench

    def _signal(self, process: subprocess.Popen[bytes] | None, number: signal.Signals) -> None:
        if process is None or process.poll() is not None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._ended_by_bench.add(process.pid)
        process.send_signal(number)

    async def _await_end(self, process: subprocess.Popen[bytes] | None) -> None:
        if process is None:
            return
        if process.poll() is None:
            self._signal(process, signal.SIGKILL)
        await asyncio.to_thread(process.wait, STOP_SECONDS)


def _endpoint(address: str) -> Endpoint:
    host, port = address.rsplit(":", 1)
    return host, int(port)
