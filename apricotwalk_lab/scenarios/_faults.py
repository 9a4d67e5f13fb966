"""Faults that a scenario applies to its processes and to the network between them."""

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
    """Something that happens to the processes of a run."""

    #: Whether faults of a later time wait until this one has taken effect.
    is_awaited_by_later_faults: ClassVar[bool] = False

    @abstractmethod
    async def apply(self, bench: Bench) -> None:
        """Make it happen."""


class Part(StrEnum):
    """The processes of an instance, or the log service, that a fault concerns."""

    WHOLE = "whole"
    NODE = "node"
    SERVER = "server"
    LOG = "log"


@dataclass(frozen=True, slots=True)
class Target:
    """The processes that a fault concerns."""

    part: Part
    name: str = ""

    def has_node(self) -> bool:
        """Return whether the node is concerned."""
        return self.part in (Part.WHOLE, Part.NODE)

    def has_server(self) -> bool:
        """Return whether the backend server is concerned."""
        return self.part in (Part.WHOLE, Part.SERVER)


@dataclass(frozen=True, slots=True)
class ProcessFault(Fault):
    """Kill, freeze, thaw, stop, start or replace processes.

    Parameters
    ----------
    verb : str
        Which of these.
    target : Target
        What it happens to.
    """

    verb: str
    target: Target

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        bench.note(self.verb, self.target.name or "log")
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

    def _signal(self, bench: Bench, number: signal.Signals) -> None:
        if self.target.has_node():
            bench.signal_node(self.target.name, number)
        if self.target.has_server():
            bench.signal_server(self.target.name, number)

    async def _kill(self, bench: Bench) -> None:
        if self.target.has_server():
            bench.kill_server(self.target.name)
        if self.target.has_node():
            await bench.kill_node(self.target.name)

    async def _stop(self, bench: Bench) -> None:
        if self.target.has_node():
            await bench.stop_node(self.target.name)
        if self.target.has_server():
            bench.kill_server(self.target.name)

    async def _start(self, bench: Bench) -> None:
        if self.target.has_node():
            await bench.start_node(self.target.name)
        if self.target.has_server():
            await bench.start_server(self.target.name)

    async def _apply_to_log(self, bench: Bench) -> None:
        numbers = {
            "kill": signal.SIGKILL,
            "freeze": signal.SIGSTOP,
            "thaw": signal.SIGCONT,
            "stop": signal.SIGTERM,
        }
        if self.verb in numbers:
            bench.signal_log(numbers[self.verb])
        if self.verb in ("start", "replace"):
            bench.signal_log(signal.SIGKILL)
            bench.fleet.start_log_service()


@dataclass(frozen=True, slots=True)
class Roll(Fault):
    """Stop and start each instance of a service, one after another."""

    service: str

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        instances = bench.fleet.instances_by_name
        for name, instance in list(instances.items()):
            if instance.plan.service != self.service:
                continue
            bench.note("roll", name)
            await ProcessFault("stop", Target(Part.WHOLE, name)).apply(bench)
            await ProcessFault("start", Target(Part.WHOLE, name)).apply(bench)
            await bench.wait_until_ready(name)


@dataclass(frozen=True, slots=True)
class RestartNodes(Fault):
    """Kill and start the nodes of several instances in turn.

    Parameters
    ----------
    names : list of str
        The instances.
    times : int
        How many restarts in all.
    interval_seconds : float
        Time from one restart to the next.
    """

    names: list[str]
    times: int
    interval_seconds: float

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        async with asyncio.TaskGroup() as group:
            for index in range(self.times):
                name = self.names[index % len(self.names)]
                fault = ProcessFault("replace", Target(Part.NODE, name))
                group.create_task(self._apply_later(fault, index, bench))

    async def _apply_later(self, fault: ProcessFault, index: int, bench: Bench) -> None:
        await asyncio.sleep(index * self.interval_seconds)
        await fault.apply(bench)


@dataclass(frozen=True, slots=True)
class Drain(Fault):
    """Tell a node that its backend server leaves."""

    name: str

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        await bench.drain(self.name)


class LinkKind(StrEnum):
    """Which way of an instance a link fault concerns."""

    PEERS = "peers"
    SERVER = "server"
    LOG = "log"


class LinkFault(Fault):
    """A fault of the network between processes."""


@dataclass(frozen=True, slots=True)
class _OneLinkFault(LinkFault):
    kind: LinkKind
    name: str

    def link(self, bench: Bench) -> Link:
        """Return the link that the fault concerns."""
        links_by_kind = {
            LinkKind.PEERS: bench.peers_links,
            LinkKind.SERVER: bench.server_links,
            LinkKind.LOG: bench.log_links,
        }
        return links_by_kind[self.kind][self.name]


@dataclass(frozen=True, slots=True)
class SilenceLink(_OneLinkFault):
    """Swallow all further bytes of the connections open now."""

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        bench.note("silence", self.name)
        self.link(bench).silence()


@dataclass(frozen=True, slots=True)
class BreakLink(_OneLinkFault):
    """Close the connections open now."""

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        bench.note("break", self.name)
        self.link(bench).break_connections()


@dataclass(frozen=True, slots=True)
class DelayLink(_OneLinkFault):
    """Hold back everything for a while."""

    seconds: float

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        bench.note("delay", self.name)
        self.link(bench).faults.delay_seconds = self.seconds


@dataclass(frozen=True, slots=True)
class HealLink(_OneLinkFault):
    """Remove every fault of a link."""

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        bench.note("heal", self.name)
        self.link(bench).heal()


@dataclass(frozen=True, slots=True)
class HealAll(LinkFault):
    """Remove every fault of every link."""

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        bench.note("heal", ALL)
        for link in bench.links():
            link.heal()


@dataclass(frozen=True, slots=True)
class LoseDatagrams(LinkFault):
    """Lose a share of the datagrams to a node."""

    name: str
    percent: float

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        bench.note("lose", self.name)
        bench.peers_links[self.name].faults.datagram_loss = self.percent / 100


class CutSide(StrEnum):
    """What a node is cut from, when it is not another instance."""

    SERVER = "server"
    LOG = "log"
    ALL = "all"


@dataclass(frozen=True, slots=True)
class Cut(LinkFault):
    """Swallow everything between a node and something else.

    Parameters
    ----------
    name : str
        Instance of the node.
    other : str or CutSide
        Another instance, or what else.
    """

    name: str
    other: str | CutSide

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        bench.note("cut", self.name)
        if self.other is CutSide.SERVER:
            bench.server_links[self.name].faults.is_cut = True
        elif self.other is CutSide.LOG:
            bench.log_links[self.name].faults.is_cut = True
        elif self.other is CutSide.ALL:
            self._cut_from_all(bench)
        else:
            bench.peers_links[self.name].faults.cut_sources.add(str(self.other))
            bench.peers_links[str(self.other)].faults.cut_sources.add(self.name)

    def _cut_from_all(self, bench: Bench) -> None:
        bench.peers_links[self.name].faults.is_cut = True
        bench.log_links[self.name].faults.is_cut = True
        for name, link in bench.peers_links.items():
            if name != self.name:
                link.faults.cut_sources.add(self.name)


@dataclass(frozen=True, slots=True)
class Separate(LinkFault):
    """Swallow everything between the nodes of two regions."""

    region: str
    other: str

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        bench.note("separate", self.region)
        for name in bench.instances_in(self.region):
            for other in bench.instances_in(self.other):
                await Cut(name, other).apply(bench)


class _LogFault(Fault):
    @abstractmethod
    def change(self, faults: Faults) -> None:
        """Change the faults of the log service."""

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        bench.note(type(self).__name__, "log")
        self.change(bench.log_faults)
        await bench.apply_log_faults()


@dataclass(frozen=True, slots=True)
class LogDown(_LogFault):
    """The log service refuses every request, once the publishes begun before have ended."""

    is_awaited_by_later_faults: ClassVar[bool] = True

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        await bench.finish_publishes()
        await super(LogDown, self).apply(bench)

    def change(self, faults: Faults) -> None:
        """Change the faults of the log service."""
        faults.is_down = True


@dataclass(frozen=True, slots=True)
class LogUp(_LogFault):
    """The log service works again."""

    def change(self, faults: Faults) -> None:
        """Change the faults of the log service."""
        faults.is_down = False
        faults.delay_seconds = 0.0


@dataclass(frozen=True, slots=True)
class LogSlow(_LogFault):
    """The log service waits before each answer."""

    seconds: float

    def change(self, faults: Faults) -> None:
        """Change the faults of the log service."""
        faults.delay_seconds = self.seconds


@dataclass(frozen=True, slots=True)
class LogLosesAnswers(_LogFault):
    """Coming appends take effect and their answers are lost."""

    count: int

    def change(self, faults: Faults) -> None:
        """Change the faults of the log service."""
        faults.lose_answers = self.count


@dataclass(frozen=True, slots=True)
class _ServerFault(Fault):
    verb: ClassVar[str]

    name: str

    @abstractmethod
    def change(self, control: Control) -> None:
        """Change the behaviour of the backend server."""

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        bench.note(self.verb, self.name)
        self.change(bench.control_by_instance[self.name])
        await bench.apply_control(self.name)


@dataclass(frozen=True, slots=True)
class Slow(_ServerFault):
    """A backend server takes longer by a factor."""

    verb: ClassVar[str] = "slow"

    factor: float

    def change(self, control: Control) -> None:
        """Change the behaviour of the backend server."""
        control.slowdown = self.factor


@dataclass(frozen=True, slots=True)
class FailFast(_ServerFault):
    """A backend server answers every request at once with an error."""

    verb: ClassVar[str] = "fail"

    def change(self, control: Control) -> None:
        """Change the behaviour of the backend server."""
        control.fail_fast = True


@dataclass(frozen=True, slots=True)
class Truncate(_ServerFault):
    """Coming answers of a backend server break off half-way."""

    verb: ClassVar[str] = "truncate"

    count: int

    def change(self, control: Control) -> None:
        """Change the behaviour of the backend server."""
        control.truncate_answers = self.count


@dataclass(frozen=True, slots=True)
class LieSlots(_ServerFault):
    """A backend server announces other slots than it has."""

    verb: ClassVar[str] = "lie"

    slots: int

    def change(self, control: Control) -> None:
        """Change the behaviour of the backend server."""
        control.reported_slots = self.slots


@dataclass(frozen=True, slots=True)
class LieLoad(_ServerFault):
    """A backend server reports another load than it has."""

    verb: ClassVar[str] = "lie"

    load: float

    def change(self, control: Control) -> None:
        """Change the behaviour of the backend server."""
        control.reported_load = self.load


@dataclass(frozen=True, slots=True)
class Crash(Fault):
    """A request with a text in its body ends each backend server of a service that runs it."""

    service: str
    text: str

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        bench.note("crash", self.service)
        for name, instance in bench.fleet.instances_by_name.items():
            if instance.plan.service == self.service:
                bench.control_by_instance[name].crash_on = self.text
                await bench.apply_control(name)


@dataclass(frozen=True, slots=True)
class PublishRecord(Fault):
    """An operator publishes a record."""

    record: PolicyRecord

    async def apply(self, bench: Bench) -> None:
        """Make it happen."""
        bench.note("publish", self.record.name)
        await bench.publish(self.record)
