"""Node process that runs only membership and configuration, without serving calls."""

import asyncio
import os
import random
import signal
import socket
import sys
import time

import msgspec
from loguru import logger

from apricotwalk.configuration import (
    PLAIN_PULL,
    PLAIN_PUSH,
    PUSH_YOUNG_PULL_OLD,
    ConfigurationFollower,
)
from apricotwalk.control import ControlSocket, KeyRing
from apricotwalk.core import SystemClock
from apricotwalk.logservice import HttpLogService
from apricotwalk.membership import Directory, Member, PartialMembership
from apricotwalk.settings import Address, KeySettings
from apricotwalk.telemetry import EventLog, HybridClock
from apricotwalk_lab.slopes._messages import LightNodeSettings, Report

__all__ = ["main"]

MICROSECONDS_PER_SECOND = 1_000_000
OBSERVATION_INTERVAL_SECONDS = 0.2
OBSERVATIONS_PER_REPORT = 5
IP_UDP_HEADER_BYTES = 28
CUSTOMER = "slope"
RETENTION_SECONDS = 86_400.0
RULES_BY_NAME = {
    "pull": PLAIN_PULL,
    "push": PLAIN_PUSH,
    "push-young-pull-old": PUSH_YOUNG_PULL_OLD,
}


class _LossySocket(ControlSocket):
    """Control socket that counts all received datagrams and drops a share of them."""

    loss = 0.0
    received_bytes = 0
    received_datagrams = 0
    far_peers: frozenset[str] = frozenset()
    is_partitioned = False

    def toggle_partition(self) -> None:
        """Start dropping all datagrams from `far_peers`, or stop if it is active."""
        self.is_partitioned = not self.is_partitioned

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.received_bytes += len(data) + IP_UDP_HEADER_BYTES
        self.received_datagrams += 1
        is_far = self.is_partitioned and f"{addr[0]}:{addr[1]}" in self.far_peers
        if not is_far and random.random() >= self.loss:
            super().datagram_received(data, addr)


class LightNode:
    """Runs membership and configuration and reports their state to the collector.

    Parameters
    ----------
    settings : LightNodeSettings
        Identity, addresses and parameters of the node.
    """

    def __init__(self, settings: LightNodeSettings) -> None:
        self._settings = settings
        clock = SystemClock()
        events = EventLog(settings.instance, settings.availability_zone, HybridClock(clock))
        own = Member(
            instance=settings.instance,
            service="",
            availability_zone=settings.availability_zone,
            region=settings.region,
            address=Address.parse(settings.peers),
            incarnation=int(time.time() * MICROSECONDS_PER_SECOND),
        )
        keys = KeyRing([KeySettings("lab", "laboratory-secret")])
        self._socket = _LossySocket(own.address, own.instance, own.incarnation, keys, events)
        self._socket.loss = settings.loss
        self._socket.far_peers = frozenset(settings.far_peers)
        log_service = HttpLogService(Address.parse(settings.log_service))
        generator = random.Random(settings.seed)
        self._membership = PartialMembership(
            own,
            self._socket,
            Directory(log_service),
            [Address.parse(seed) for seed in settings.seeds],
            settings.called_services,
            RETENTION_SECONDS,
            events,
            generator,
            clock,
        )
        self._configuration = ConfigurationFollower(
            log_service,
            self._socket,
            self._membership.sample.choose,
            RETENTION_SECONDS,
            events,
            clock,
            generator,
            RULES_BY_NAME[settings.rule],
        )
        self._report = Report(settings.instance, 0, 0, 0, 0, 0, 0.0, 0, 0, {}, {})
        self._used_instances: set[str] = set()

    async def run(self) -> None:
        """Run and report once a second until the parent process has exited."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self._socket.toggle_partition)
        await self._socket.start()
        await self._configuration.start()
        await self._membership.start()
        self._membership.announce(self._settings.service)
        collector = Address.parse(self._settings.collector)
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        observations = 0
        parent = os.getppid()
        while os.getppid() == parent:
            await asyncio.sleep(OBSERVATION_INTERVAL_SECONDS)
            self._update_report()
            observations += 1
            if observations % OBSERVATIONS_PER_REPORT == 0:
                payload = msgspec.msgpack.encode(self._report)
                sender.sendto(payload, (collector.host, collector.port))

    def _update_report(self) -> None:
        report = self._report
        now = time.monotonic()
        version = self._configuration.state.customer_version(CUSTOMER)
        if version != report.version:
            report.version = version
            report.in_force_at = now
        used: set[str] = set()
        for service in self._settings.called_services:
            used.update(member.instance for member in self._membership.members(service))
        for instance in self._used_instances - used:
            report.lost_at_by_instance[instance] = now
        for instance in used - self._used_instances:
            report.found_at_by_instance[instance] = now
        self._used_instances = used
        report.used_members = len(used)
        report.known_members = self._membership.known_count()
        report.received_bytes = self._socket.received_bytes
        report.payload_messages = self._configuration.gossip.payload_messages
        report.sent_bytes = self._socket.sent_bytes
        report.received_datagrams = self._socket.received_datagrams


def main() -> None:
    """Run a light node with the settings given as JSON in the first argument."""
    logger.remove()
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    settings = msgspec.json.decode(sys.argv[1], type=LightNodeSettings)
    asyncio.run(LightNode(settings).run())


if __name__ == "__main__":
    main()
