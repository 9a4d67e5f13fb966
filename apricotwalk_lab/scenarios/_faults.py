"""Faults that a scenario injects into its processes and the network between them."""

import asyncio
import signal
from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum
from typing import ClassVar

from apricotwalk.policy import PolicyRecord
from apricotwalk_lab.scenarios._bench import Bench
from apricotwalk_lab.standins.backend_server import Control
from apricotwalk_lab.standins.link import Link
from apricotwalk_lab.standins.log_service import Faults

__all__ = [
    "BreakLink",
    "Crash",
    "Cut",
    "CutSide",
    "DelayLink",
    "Drain",
    "FailFast",
    "Fault",
    "HealAll",
    "HealLink",
    "LieLoad",
    "LieSlots",
    "LinkFault",
    "LinkKind",
    "LogDown",
    "LogLosesAnswers",
    "LogSlow",
    "LogUp",
    "LoseDatagrams",
    "Part",
    "ProcessFault",
    "PublishRecord",
    "RestartNodes",
    "Roll",
    "Separate",
    "SilenceLink",
    "Slow",
    "Target",
    "Truncate",
]

ALL = "all"


class Fault(ABC):
    """An event injected into the processes of a run."""

    #: If true, faults with a later time wait until this fault has taken effect.
    is_awaited_by_later_faults: ClassVar[bool] = False

    @abstractmethod
    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""


class Part(StrEnum):
    """The part of an instance that a fault affects, or the log service."""

    WHOLE = "whole"
    NODE = "node"
    SERVER = "server"
    LOG = "log"


@dataclass(frozen=True, slots=True)
class Target:
    """The processes that a fault affects: a part of the instance `name`, or the log service."""

    part: Part
    name: str = ""

    def includes_node(self) -> bool:
        """Return whether the fault affects the node."""
        return self.part in (Part.WHOLE, Part.NODE)

    def includes_server(self) -> bool:
        """Return whether the fault affects the backend server."""
        return self.part in (Part.WHOLE, Part.SERVER)


@dataclass(frozen=True, slots=True)
class ProcessFault(Fault):
    """Kill, freeze, thaw, stop, start or replace processes.

    Parameters
    ----------
    verb : str
        The action: `kill`, `freeze`, `thaw`, `stop`, `start` or `replace`.
    target : Target
        The affected processes.
    """

    verb: str
    target: Target

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        bench.record_fault(self.verb, self.target.name or "log")
        if self.target.part is Part.LOG:
            await self._apply_to_log(bench)
            return
        if self.verb == "freeze":
            self._signal(bench, signal.SIGSTOP)
        elif self.verb == "thaw":
            self._signal(bench, signal.SIGCONT)
        if self.verb == "stop":
            await self._stop(bench)
        if self.verb in ("kill", "replace"):
            await self._kill(bench)
        if self.verb in ("start", "replace"):
            await self._start(bench)

    def _signal(self, bench: Bench, signal_number: signal.Signals) -> None:
        if self.target.includes_node():
            bench.signal_node(self.target.name, signal_number)
        if self.target.includes_server():
            bench.signal_server(self.target.name, signal_number)

    async def _kill(self, bench: Bench) -> None:
        if self.target.includes_server():
            bench.kill_server(self.target.name)
        if self.target.includes_node():
            await bench.kill_node(self.target.name)

    async def _stop(self, bench: Bench) -> None:
        if self.target.includes_node():
            await bench.stop_node(self.target.name)
        if self.target.includes_server():
            bench.kill_server(self.target.name)

    async def _start(self, bench: Bench) -> None:
        if self.target.includes_node():
            await bench.start_node(self.target.name)
        if self.target.includes_server():
            await bench.start_server(self.target.name)

    async def _apply_to_log(self, bench: Bench) -> None:
        signal_numbers = {
            "kill": signal.SIGKILL,
            "freeze": signal.SIGSTOP,
            "thaw": signal.SIGCONT,
            "stop": signal.SIGTERM,
        }
        if self.verb in signal_numbers:
            bench.signal_log(signal_numbers[self.verb])
        if self.verb in ("start", "replace"):
            bench.signal_log(signal.SIGKILL)
            bench.fleet.start_log_service()


@dataclass(frozen=True, slots=True)
class Roll(Fault):
    """Rolling restart: stop and start each instance of a service, one after another."""

    service: str

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        instances = bench.fleet.instances_by_name
        for name, instance in list(instances.items()):
            if instance.plan.service != self.service:
                continue
            bench.record_fault("roll", name)
            await ProcessFault("stop", Target(Part.WHOLE, name)).apply(bench)
            await ProcessFault("start", Target(Part.WHOLE, name)).apply(bench)
            await bench.wait_until_ready(name)


@dataclass(frozen=True, slots=True)
class RestartNodes(Fault):
    """Kill and restart the nodes of several instances in turn.

    Parameters
    ----------
    names : list of str
        Names of the instances.
    times : int
        Total number of restarts.
    interval_seconds : float
        Time from the start of one restart to the start of the next.
    """

    names: list[str]
    times: int
    interval_seconds: float

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        async with asyncio.TaskGroup() as group:
            for index in range(self.times):
                name = self.names[index % len(self.names)]
                fault = ProcessFault("replace", Target(Part.NODE, name))
                group.create_task(self._apply_after_delay(fault, index, bench))

    async def _apply_after_delay(self, fault: ProcessFault, index: int, bench: Bench) -> None:
        await asyncio.sleep(index * self.interval_seconds)
        await fault.apply(bench)


@dataclass(frozen=True, slots=True)
class Drain(Fault):
    """Ask a node to drain its backend server."""

    name: str

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        await bench.drain(self.name)


class LinkKind(StrEnum):
    """The link that a fault affects: to the node, to its backend server or to the log service."""

    PEERS = "peers"
    SERVER = "server"
    LOG = "log"


class LinkFault(Fault):
    """A fault in the network between processes, which requires links in the fleet."""


@dataclass(frozen=True, slots=True)
class _SingleLinkFault(LinkFault):
    kind: LinkKind
    name: str

    def link(self, bench: Bench) -> Link:
        """Return the affected link."""
        links_by_kind = {
            LinkKind.PEERS: bench.peers_links,
            LinkKind.SERVER: bench.server_links,
            LinkKind.LOG: bench.log_links,
        }
        return links_by_kind[self.kind][self.name]


@dataclass(frozen=True, slots=True)
class SilenceLink(_SingleLinkFault):
    """Drop all further bytes on the currently open connections of a link."""

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        bench.record_fault("silence", self.name)
        self.link(bench).blackhole_connections()


@dataclass(frozen=True, slots=True)
class BreakLink(_SingleLinkFault):
    """Abort the currently open connections of a link."""

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        bench.record_fault("break", self.name)
        self.link(bench).reset_connections()


@dataclass(frozen=True, slots=True)
class DelayLink(_SingleLinkFault):
    """Delay everything that a link forwards."""

    seconds: float

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        bench.record_fault("delay", self.name)
        self.link(bench).faults.delay_seconds = self.seconds


@dataclass(frozen=True, slots=True)
class HealLink(_SingleLinkFault):
    """Remove all faults of one link."""

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        bench.record_fault("heal", self.name)
        self.link(bench).heal()


@dataclass(frozen=True, slots=True)
class HealAll(LinkFault):
    """Remove all faults of all links."""

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        bench.record_fault("heal", ALL)
        for link in bench.links():
            link.heal()


@dataclass(frozen=True, slots=True)
class LoseDatagrams(LinkFault):
    """Drop a percentage of the datagrams to a node."""

    name: str
    percent: float

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        bench.record_fault("lose", self.name)
        bench.peers_links[self.name].faults.datagram_loss = self.percent / 100


class CutSide(StrEnum):
    """The side that a node is partitioned from, if it is not another instance."""

    SERVER = "server"
    LOG = "log"
    ALL = "all"


@dataclass(frozen=True, slots=True)
class Cut(LinkFault):
    """Network partition between a node and another side.

    Parameters
    ----------
    name : str
        Instance whose node is cut off.
    other : str or CutSide
        Name of another instance, or one of the other sides.
    """

    name: str
    other: str | CutSide

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        bench.record_fault("cut", self.name)
        if self.other is CutSide.SERVER:
            bench.server_links[self.name].faults.is_cut = True
        elif self.other is CutSide.LOG:
            bench.log_links[self.name].faults.is_cut = True
        elif self.other is CutSide.ALL:
            self._cut_from_all(bench)
        else:
            bench.peers_links[self.name].faults.blocked_sources.add(str(self.other))
            bench.peers_links[str(self.other)].faults.blocked_sources.add(self.name)

    def _cut_from_all(self, bench: Bench) -> None:
        bench.peers_links[self.name].faults.is_cut = True
        bench.log_links[self.name].faults.is_cut = True
        for name, link in bench.peers_links.items():
            if name != self.name:
                link.faults.blocked_sources.add(self.name)


@dataclass(frozen=True, slots=True)
class Separate(LinkFault):
    """Network partition between the nodes of two regions."""

    region: str
    other: str

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        bench.record_fault("separate", self.region)
        for name in bench.instances_in(self.region):
            for other in bench.instances_in(self.other):
                await Cut(name, other).apply(bench)


class _LogFault(Fault):
    @abstractmethod
    def change(self, faults: Faults) -> None:
        """Update the fault settings of the log service."""

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        bench.record_fault(type(self).__name__, "log")
        self.change(bench.log_faults)
        await bench.apply_log_faults()


@dataclass(frozen=True, slots=True)
class LogDown(_LogFault):
    """Outage of the log service, which begins once no publish is in progress."""

    is_awaited_by_later_faults: ClassVar[bool] = True

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        await bench.wait_for_publishes()
        await super(LogDown, self).apply(bench)

    def change(self, faults: Faults) -> None:
        """Update the fault settings of the log service."""
        faults.is_down = True


@dataclass(frozen=True, slots=True)
class LogUp(_LogFault):
    """End of an outage or slowdown of the log service."""

    def change(self, faults: Faults) -> None:
        """Update the fault settings of the log service."""
        faults.is_down = False
        faults.delay_seconds = 0.0


@dataclass(frozen=True, slots=True)
class LogSlow(_LogFault):
    """Delay before each answer of the log service."""

    seconds: float

    def change(self, faults: Faults) -> None:
        """Update the fault settings of the log service."""
        faults.delay_seconds = self.seconds


@dataclass(frozen=True, slots=True)
class LogLosesAnswers(_LogFault):
    """Loss of the answers to the next appends to the log service, which still take effect."""

    count: int

    def change(self, faults: Faults) -> None:
        """Update the fault settings of the log service."""
        faults.lose_answers = self.count


@dataclass(frozen=True, slots=True)
class _ServerFault(Fault):
    verb: ClassVar[str]

    name: str

    @abstractmethod
    def change(self, control: Control) -> None:
        """Update the behavior settings of the backend server."""

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        bench.record_fault(self.verb, self.name)
        self.change(bench.control_by_instance[self.name])
        await bench.apply_control(self.name)


@dataclass(frozen=True, slots=True)
class Slow(_ServerFault):
    """Multiply the service times of a backend server by a factor."""

    verb: ClassVar[str] = "slow"

    factor: float

    def change(self, control: Control) -> None:
        """Update the behavior settings of the backend server."""
        control.slowdown = self.factor


@dataclass(frozen=True, slots=True)
class FailFast(_ServerFault):
    """Make a backend server immediately answer every request with an error."""

    verb: ClassVar[str] = "fail"

    def change(self, control: Control) -> None:
        """Update the behavior settings of the backend server."""
        control.fail_fast = True


@dataclass(frozen=True, slots=True)
class Truncate(_ServerFault):
    """Truncate the next answers of a backend server half-way."""

    verb: ClassVar[str] = "truncate"

    count: int

    def change(self, control: Control) -> None:
        """Update the behavior settings of the backend server."""
        control.truncate_answers = self.count


@dataclass(frozen=True, slots=True)
class LieSlots(_ServerFault):
    """Make a backend server announce a wrong number of slots."""

    verb: ClassVar[str] = "lie"

    slots: int

    def change(self, control: Control) -> None:
        """Update the behavior settings of the backend server."""
        control.reported_slots = self.slots


@dataclass(frozen=True, slots=True)
class LieLoad(_ServerFault):
    """Make a backend server report a wrong load."""

    verb: ClassVar[str] = "lie"

    load: float

    def change(self, control: Control) -> None:
        """Update the behavior settings of the backend server."""
        control.reported_load = self.load


@dataclass(frozen=True, slots=True)
class Crash(Fault):
    """Make requests with a given text in the body crash the backend servers of a service."""

    service: str
    text: str

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        bench.record_fault("crash", self.service)
        for name, instance in bench.fleet.instances_by_name.items():
            if instance.plan.service == self.service:
                bench.control_by_instance[name].crash_on = self.text
                await bench.apply_control(name)


@dataclass(frozen=True, slots=True)
class PublishRecord(Fault):
    """Publish a record with the operator's tool."""

    record: PolicyRecord

    async def apply(self, bench: Bench) -> None:
        """Apply the fault."""
        bench.record_fault("publish", self.record.name)
        await bench.publish(self.record)
