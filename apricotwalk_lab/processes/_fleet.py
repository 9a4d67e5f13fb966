"""A log service and instances, each a backend server with its node, as processes."""

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

READY_SECONDS = 60.0
READY_CHECK_SECONDS = 0.05
END_SECONDS = 15.0
PORTS_PER_INSTANCE = 7


@dataclass(slots=True)
class InstancePlan:
    """An instance that an experiment wants.

    Parameters
    ----------
    name, service, availability_zone : str
        Its name, the service that it offers and where it stands.
    slots : int
        Requests that its backend server works on at once.
    works : list of Work
        How its backend server works.
    cold_seconds, cold_factor : float
        How long and how much the backend server is slower after its start.
    keeps_deadlines : bool
        Whether its backend server refuses work whose deadline has passed.
    accepts_cancellation : bool
        Whether its backend server ends work when the connection is closed.
    region : str
        Region in which it stands.
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
    """An instance with its addresses and processes.

    Parameters
    ----------
    plan : InstancePlan
        What was wanted.
    callers, server, peers, backend : str
        Where its node and its backend server listen.
    peers_link, backend_link, log_link : str
        Where links to its node, to its backend server and from its node to the log service
        listen, if the experiment places them.
    node_process, backend_process : subprocess.Popen, optional
        Its processes.
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
    """Starts, observes and ends the processes of one experiment.

    Parameters
    ----------
    directory : Path
        Where settings files and logs are written.
    plans : list of InstancePlan
        The instances.
    retention_seconds : float
        How long the log service keeps records.
    node_settings : dict, optional
        Further settings of every node.
    has_links : bool
        Whether processes reach each other through links, which the experiment starts.
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
        ports = free_ports(1 + PORTS_PER_INSTANCE * len(plans), host)
        self.log_address = f"{host}:{ports[0]}"
        self.instances_by_name: dict[str, RunningInstance] = {}
        for index, plan in enumerate(plans):
            first = 1 + PORTS_PER_INSTANCE * index
            addresses = [f"{host}:{port}" for port in ports[first : first + PORTS_PER_INSTANCE]]
            self.instances_by_name[plan.name] = RunningInstance(plan, *addresses)
        self._processes: list[subprocess.Popen[bytes]] = []
        self.log_process: subprocess.Popen[bytes] | None = None
        self._client = AsyncHTTPClient(force_instance=True, max_clients=1000)

    async def start(self) -> None:
        """Start every process and wait until each node has its server and its peers."""
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
        """Start the node of an instance."""
        instance = self.instances_by_name[name]
        others = self.instances_by_name.values()
        seeds = [each.peers_link if self.has_links else each.peers for each in others]
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
        """Return the module that runs the node of an instance."""
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
        """Return the file that outlives the backend server and holds its executions."""
        return self.directory / f"{name}.executions.jsonl"

    async def kill(self, name: str) -> None:
        """Kill the node and the backend server of an instance."""
        instance = self.instances_by_name[name]
        for process in (instance.node_process, instance.backend_process):
            if process is not None:
                process.kill()
                await asyncio.to_thread(process.wait, END_SECONDS)

    async def wait_ready(self) -> None:
        """Wait until every node has its server and knows every member.

        Raises
        ------
        TimeoutError
            If that takes longer than 60 s.
        """
        async with asyncio.timeout(READY_SECONDS):
            for name in self.instances_by_name:
                while not await self._is_ready(name):
                    await asyncio.sleep(READY_CHECK_SECONDS)

    async def status(self, name: str) -> dict[str, Any]:
        """Return what the node of an instance says of itself."""
        return dict(
            await self._get_json(self.instances_by_name[name].server, "/apricotwalk/status")
        )

    async def executions(self, name: str) -> list[Execution]:
        """Return the executions that the backend server of an instance recorded."""
        content = await self._get_json(self.instances_by_name[name].backend, "/executions")
        return msgspec.convert(content, list[Execution])

    async def control_backend(self, name: str, control: Control) -> None:
        """Change the behaviour of a backend server."""
        await self._post(self.instances_by_name[name].backend, "/control", control)

    async def set_log_faults(self, faults: Any) -> None:
        """Set the faults of the log service."""
        await self._post(self.log_address, "/faults", faults)

    async def wait_for_customer(self, customer: str, version: int = 1) -> float:
        """Wait until a customer's version is in force on every node; return the seconds."""
        began = time.monotonic()
        async with asyncio.timeout(READY_SECONDS):
            for name in self.instances_by_name:
                while (await self.status(name))["customers"].get(customer, 0) < version:
                    await asyncio.sleep(READY_CHECK_SECONDS)
        return time.monotonic() - began

    async def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operator's tool and return its result."""
        command = [sys.executable, "-m", "apricotwalk.cli", *arguments, "--log", self.log_address]
        return await asyncio.to_thread(
            subprocess.run, command, capture_output=True, text=True, timeout=30
        )

    async def close(self) -> None:
        """End every process that this fleet has started."""
        self._client.close()
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            await asyncio.to_thread(process.wait, END_SECONDS)

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
