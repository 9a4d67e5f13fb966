"""Fleet of processes: a log service, and a node and a backend server per instance."""

import asyncio
import json
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from apricotwalk_lab.processes._ports import free_ports, loopback_host
from apricotwalk_lab.standins.backend_server import Control, Execution, ServerSettings, Work

__all__ = ["Fleet", "InstancePlan", "RunningInstance"]

READY_TIMEOUT_SECONDS = 60.0
READY_CHECK_INTERVAL_SECONDS = 0.05
EXIT_TIMEOUT_SECONDS = 15.0
PORTS_PER_INSTANCE_COUNT = 7


@dataclass(slots=True)
class InstancePlan:
    """Configuration of an instance of an experiment.

    Parameters
    ----------
    name, service, availability_zone : str
        Name of the instance, service that it offers, and its availability zone.
    slots : int
        Number of requests that its backend server executes concurrently.
    works : list of Work
        Work that its backend server does, by path.
    cold_seconds, cold_factor : float
        Length of the cold start of the backend server in seconds, and the factor by which its
        service times are multiplied at the beginning of it.
    keeps_deadlines : bool
        Whether its backend server rejects work whose deadline has passed.
    accepts_cancellation : bool
        Whether its backend server cancels work when the connection of the request is closed.
    region : str
        Region of the instance.
    """

    name: str
    service: str
    availability_zone: str = "zone-a"
    slots: int = 8
    works: list[Work] = field(default_factory=list)
    cold_seconds: float = 0.0
    cold_factor: float = 1.0
    keeps_deadlines: bool = False
    accepts_cancellation: bool = True
    region: str = "region"


@dataclass(slots=True)
class RunningInstance:
    """Instance with its addresses and processes.

    Parameters
    ----------
    plan : InstancePlan
        Configuration of the instance.
    callers, server, peers, backend : str
        Addresses of the listeners of its node for callers, for the backend server and for peers,
        and address of its backend server.
    peers_link, backend_link, log_link : str
        Addresses of the links to its node, to its backend server, and from its node to the log
        service.  Used only if the experiment starts links.
    node_process, backend_process : subprocess.Popen, optional
        Processes of its node and of its backend server; None until they are started.
    """

    plan: InstancePlan
    callers: str
    server: str
    peers: str
    backend: str
    peers_link: str
    backend_link: str
    log_link: str
    node_process: subprocess.Popen[bytes] | None = field(default=None, init=False)
    backend_process: subprocess.Popen[bytes] | None = field(default=None, init=False)


class Fleet:
    """Starts, controls and stops the processes of one experiment.

    Parameters
    ----------
    directory : Path
        Directory for settings files and logs.
    plans : list of InstancePlan
        Configurations of the instances.
    retention_seconds : float
        Time in seconds for which the log service retains records.
    node_settings : dict, optional
        Additional settings of every node, which override the generated ones.
    has_links : bool
        Whether processes communicate through links, which the experiment starts.
    """

    def __init__(
        self,
        directory: Path,
        plans: list[InstancePlan],
        retention_seconds: float = 86_400.0,
        node_settings: dict[str, Any] | None = None,
        has_links: bool = False,
    ) -> None:
        self.directory = directory
        self._retention_seconds = retention_seconds
        self._node_settings = node_settings or {}
        self.has_links = has_links
        host = loopback_host()
        ports = free_ports(1 + PORTS_PER_INSTANCE_COUNT * len(plans), host)
        self.log_address = f"{host}:{ports[0]}"
        self.instances_by_name: dict[str, RunningInstance] = {}
        for index, plan in enumerate(plans):
            first = 1 + PORTS_PER_INSTANCE_COUNT * index
            addresses = [
                f"{host}:{port}" for port in ports[first : first + PORTS_PER_INSTANCE_COUNT]
            ]
            self.instances_by_name[plan.name] = RunningInstance(plan, *addresses)
        self._processes: list[subprocess.Popen[bytes]] = []
        self.log_process: subprocess.Popen[bytes] | None = None
        self._client = AsyncHTTPClient(force_instance=True, max_clients=1000)

    async def start(self) -> None:
        """Start all processes and wait until the fleet is ready.

        Raises
        ------
        TimeoutError
            If the fleet is not ready within 60 s.
        """
        self.directory.mkdir(parents=True, exist_ok=True)
        self.start_log_service()
        for name in self.instances_by_name:
            self.start_node(name)
            self.start_backend(name)
        await self.wait_ready()

    def start_log_service(self) -> None:
        """Start the stand-in log service."""
        host, port = self.log_address.rsplit(":", 1)
        self.log_process = self._spawn(
            "log",
            "apricotwalk_lab.standins.log_service",
            "--host",
            host,
            "--port",
            port,
            "--retention-seconds",
            str(self._retention_seconds),
        )

    def start_node(self, name: str) -> None:
        """Write the settings file of the node of an instance and start the node."""
        instance = self.instances_by_name[name]
        instances = self.instances_by_name.values()
        seeds = [each.peers_link if self.has_links else each.peers for each in instances]
        listen = {
            "callers": instance.callers,
            "server": instance.server,
            "peers": instance.peers,
        }
        if self.has_links:
            listen["advertised"] = instance.peers_link
        settings = {
            "instance": name,
            "availability_zone": instance.plan.availability_zone,
            "region": instance.plan.region,
            "listen": listen,
            "log_service": instance.log_link if self.has_links else self.log_address,
            "seeds": seeds[:3],
            "log_retention_seconds": self._retention_seconds,
            "watched_services": sorted(
                {each.plan.service for each in self.instances_by_name.values()}
            ),
            **self._node_settings,
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        instance.node_process = self._spawn(f"{name}.node", self.node_module(name), str(path))

    def node_module(self, name: str) -> str:
        """Return the name of the module that is run as the node of an instance."""
        return "apricotwalk.daemon"

    def start_backend(self, name: str) -> None:
        """Start the backend server of an instance."""
        instance = self.instances_by_name[name]
        settings = ServerSettings(
            instance=name,
            service=instance.plan.service,
            address=instance.backend,
            node=instance.server,
            slots=instance.plan.slots,
            works=instance.plan.works,
            announced=instance.backend_link if self.has_links else "",
            record_path=str(self.record_path(name)),
            cold_seconds=instance.plan.cold_seconds,
            cold_factor=instance.plan.cold_factor,
            keeps_deadlines=instance.plan.keeps_deadlines,
            accepts_cancellation=instance.plan.accepts_cancellation,
        )
        text = msgspec.json.encode(settings).decode()
        instance.backend_process = self._spawn(
            f"{name}.backend", "apricotwalk_lab.standins.backend_server", text
        )

    def record_path(self, name: str) -> Path:
        """Return the path of the file in which a backend server persists its executions."""
        return self.directory / f"{name}.executions.jsonl"

    async def kill(self, name: str) -> None:
        """Kill the node and the backend server of an instance and wait until they have exited."""
        instance = self.instances_by_name[name]
        for process in (instance.node_process, instance.backend_process):
            if process is not None:
                process.kill()
                await asyncio.to_thread(process.wait, EXIT_TIMEOUT_SECONDS)

    async def wait_ready(self) -> None:
        """Wait until every node has a registered backend server and lists all members.

        Raises
        ------
        TimeoutError
            If the fleet is not ready within 60 s.
        """
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            for name in self.instances_by_name:
                while not await self._is_ready(name):
                    await asyncio.sleep(READY_CHECK_INTERVAL_SECONDS)

    async def status(self, name: str) -> dict[str, Any]:
        """Return the status that the node of an instance reports."""
        return dict(
            await self._get_json(self.instances_by_name[name].server, "/apricotwalk/status")
        )

    async def executions(self, name: str) -> list[Execution]:
        """Return the executions recorded by the backend server of an instance."""
        content = await self._get_json(self.instances_by_name[name].backend, "/executions")
        return msgspec.convert(content, list[Execution])

    async def control_backend(self, name: str, control: Control) -> None:
        """Set the simulated behavior of the backend server of an instance."""
        await self._post(self.instances_by_name[name].backend, "/control", control)

    async def set_log_faults(self, faults: Any) -> None:
        """Set the faults that the log service simulates."""
        await self._post(self.log_address, "/faults", faults)

    async def wait_for_customer(self, customer: str, version: int = 1) -> float:
        """Wait until a version of a customer, or a later one, is in force on every node.

        Parameters
        ----------
        customer : str
            Name of the customer.
        version : int
            Lowest accepted version.

        Returns
        -------
        float
            Time waited, in seconds.

        Raises
        ------
        TimeoutError
            If the version is not in force on every node within 60 s.
        """
        started_at = time.monotonic()
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            for name in self.instances_by_name:
                while (await self.status(name))["customers"].get(customer, 0) < version:
                    await asyncio.sleep(READY_CHECK_INTERVAL_SECONDS)
        return time.monotonic() - started_at

    async def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the ``apricotwalk`` command against the log service of this fleet.

        Parameters
        ----------
        *arguments : str
            Arguments of the command; ``--log`` is appended.

        Returns
        -------
        subprocess.CompletedProcess
            Exit code and captured output.

        Raises
        ------
        subprocess.TimeoutExpired
            If the command does not exit within 30 s.
        """
        command = [sys.executable, "-m", "apricotwalk.cli", *arguments, "--log", self.log_address]
        return await asyncio.to_thread(
            subprocess.run, command, capture_output=True, text=True, timeout=30
        )

    async def close(self) -> None:
        """Kill all processes started by this fleet and wait until they have exited."""
        self._client.close()
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            await asyncio.to_thread(process.wait, EXIT_TIMEOUT_SECONDS)

    def _spawn(self, label: str, module: str, *arguments: str) -> subprocess.Popen[bytes]:
        with (self.directory / f"{label}.log").open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments], stdout=output, stderr=output
            )
        self._processes.append(process)
        return process

    async def _is_ready(self, name: str) -> bool:
        try:
            status = await self.status(name)
        except (OSError, HTTPClientError):
            return False
        return bool(status["has_server"]) and status["members"] >= len(self.instances_by_name)

    async def _get_json(self, address: str, path: str) -> Any:
        response = await self._client.fetch(f"http://{address}{path}")
        return json.loads(response.body)

    async def _post(self, address: str, path: str, content: Any) -> None:
        body = msgspec.json.encode(content)
        await self._client.fetch(HTTPRequest(f"http://{address}{path}", method="POST", body=body))
