"""Processes of the light nodes and of the log service that they use."""

import random
import signal
import subprocess
import sys

import msgspec
from msgspec import structs

from apricotwalk_lab.processes import free_ports
from apricotwalk_lab.slopes._messages import LightNodeSettings

__all__ = ["LightFleet"]

MEMBERS_PER_SERVICE = 7
ZONE_COUNT = 3
REGION_COUNT = 2
SEED_COUNT = 3
EXIT_TIMEOUT_SECONDS = 10.0


class LightFleet:
    """Starts and stops the processes of one run.

    Parameters
    ----------
    size : int
        Number of light nodes.
    loss : float
        Share of received datagrams that each node drops, between 0 and 1.
    collector : str
        UDP address that receives the reports of the nodes.
    rule : str
        Name of the gossip rule for configuration; a key of `RULES_BY_NAME`.
    called : int
        Number of services that each node calls.
    seed : int
        Seed of the choice of called services and of the random numbers of the nodes.
    """

    def __init__(
        self, size: int, loss: float, collector: str, rule: str, called: int, seed: int
    ) -> None:
        self.processes_by_instance: dict[str, subprocess.Popen[bytes]] = {}
        ports = free_ports(size + 1)
        self.log_address = f"127.0.0.1:{ports[0]}"
        self.settings_by_instance: dict[str, LightNodeSettings] = {}
        self._replacements = 0
        self._log_process: subprocess.Popen[bytes] | None = None
        generator = random.Random(seed)
        services = [f"service-{index}" for index in range(max(2, size // MEMBERS_PER_SERVICE))]
        peers = [f"127.0.0.1:{port}" for port in ports[1:]]
        regions = [index // len(services) % REGION_COUNT for index in range(size)]
        for index, address in enumerate(peers):
            name = f"node-{index}"
            self.settings_by_instance[name] = LightNodeSettings(
                instance=name,
                availability_zone=f"zone-{index % ZONE_COUNT}",
                region=f"region-{regions[index]}",
                service=services[index % len(services)],
                called_services=generator.sample(services, min(called, len(services))),
                peers=address,
                seeds=peers[:SEED_COUNT],
                log_service=self.log_address,
                collector=collector,
                loss=loss,
                rule=rule,
                far_peers=[
                    peer
                    for peer, region in zip(peers, regions, strict=True)
                    if region != regions[index]
                ],
                seed=seed + index,
            )

    def start_log_service(self) -> None:
        """Start the stand-in log service."""
        port = self.log_address.rpartition(":")[2]
        self._log_process = _spawn("apricotwalk_lab.standins.log_service", "--port", port)

    def start_node(self, instance: str) -> None:
        """Start one light node."""
        text = msgspec.json.encode(self.settings_by_instance[instance]).decode()
        process = _spawn("apricotwalk_lab.slopes.light_node", text)
        self.processes_by_instance[instance] = process

    def callers_of(self, service: str) -> list[str]:
        """Return the names of all instances that call `service`."""
        return [
            name
            for name, settings in self.settings_by_instance.items()
            if service in settings.called_services
        ]

    def freeze_node(self, instance: str) -> None:
        """Suspend one light node with ``SIGSTOP``."""
        self.processes_by_instance[instance].send_signal(signal.SIGSTOP)

    def resume_node(self, instance: str) -> None:
        """Resume a frozen light node with ``SIGCONT``."""
        self.processes_by_instance[instance].send_signal(signal.SIGCONT)

    def toggle_partition(self) -> None:
        """Start the network partition between the regions, or end it if it is active."""
        for process in self.processes_by_instance.values():
            process.send_signal(signal.SIGUSR1)

    def replace_node(self, instance: str) -> str:
        """Kill one light node, start one with a new name and address, and return the new name."""
        settings = self.settings_by_instance.pop(instance)
        self.kill_node(instance)
        self._replacements += 1
        name = f"replacement-{self._replacements}"
        peers = f"127.0.0.1:{free_ports(1)[0]}"
        self.settings_by_instance[name] = structs.replace(settings, instance=name, peers=peers)
        self.start_node(name)
        return name

    def kill_node(self, instance: str) -> None:
        """Kill one light node with ``SIGKILL``, so that it cannot announce its departure."""
        process = self.processes_by_instance.pop(instance)
        process.kill()
        process.wait(EXIT_TIMEOUT_SECONDS)

    def close(self) -> None:
        """Kill every process that this fleet has started and wait until all have exited."""
        processes = list(self.processes_by_instance.values())
        if self._log_process is not None:
            processes.append(self._log_process)
        for process in processes:
            process.kill()
        for process in processes:
            process.wait(EXIT_TIMEOUT_SECONDS)


def _spawn(module: str, *arguments: str) -> subprocess.Popen[bytes]:
    return subprocess.Popen([sys.executable, "-m", module, *arguments], stdout=subprocess.DEVNULL)
