"""Tests of the bench on which scenarios apply their faults."""

import asyncio
import random
import subprocess

import pytest

from apricotwalk.policy import Customer
from apricotwalk_lab.processes import InstancePlan
from apricotwalk_lab.scenarios._bench import Bench
from apricotwalk_lab.scenarios._faults import (
    LieSlots,
    LogDown,
    LogLosesAnswers,
    LogSlow,
    PublishRecord,
    Slow,
    Truncate,
)


class FleetWithSlowFirstMessage:
    """A fleet that takes longer to deliver its first control message than its second one.

    Each message holds the complete behavior of a server, so an earlier message that arrives
    after a later one would undo the later fault.
    """

    def __init__(self):
        self.delays = [0.02, 0.0]
        self.received = []

    async def control_backend(self, name, control):
        sent = (control.slowdown, control.reported_slots)
        await asyncio.sleep(self.delays.pop(0))
        self.received.append(sent)


@pytest.mark.parametrize("is_slow_first", [True, False])
def test_concurrent_faults_do_not_overwrite_each_other(run, tmp_path, is_slow_first):
    async def body():
        plan = InstancePlan(name="menu-1", service="menu", availability_zone="z", slots=2)
        bench = Bench(tmp_path, [plan], random.Random(1), 3600.0, [], False)
        bench.fleet = FleetWithSlowFirstMessage()
        faults = [Slow("menu-1", 10.0), LieSlots("menu-1", 600)]
        if not is_slow_first:
            faults.reverse()
        await asyncio.gather(*(fault.apply(bench) for fault in faults))
        assert bench.fleet.received[-1] == (10.0, 600)

    run(body())


class RecordingFleet:
    """A fleet that delivers each control message after a delay and records it."""

    def __init__(self):
        self.controls = []
        self.faults = []

    async def control_backend(self, name, control):
        await asyncio.sleep(0.01)
        self.controls.append(control)

    async def set_log_faults(self, faults):
        await asyncio.sleep(0.01)
        self.faults.append(faults)


@pytest.mark.parametrize("is_counted_first", [True, False])
def test_fault_with_a_count_is_sent_once_beside_other_faults(run, tmp_path, is_counted_first):
    async def body():
        plan = InstancePlan(name="menu-1", service="menu", availability_zone="z", slots=2)
        bench = Bench(tmp_path, [plan], random.Random(1), 3600.0, [], False)
        bench.fleet = RecordingFleet()
        pairs = [
            [Truncate("menu-1", 3), Slow("menu-1", 10.0)],
            [LogLosesAnswers(4), LogSlow(0.5)],
        ]
        for pair in pairs:
            if not is_counted_first:
                pair.reverse()
            await asyncio.gather(*(fault.apply(bench) for fault in pair))
        assert sorted(each.truncate_answers for each in bench.fleet.controls) == [0, 3]
        assert sorted(each.lose_answers for each in bench.fleet.faults) == [0, 4]

    run(body())


class FleetWithSlowTool(RecordingFleet):
    """A fleet on which the operator's tool starts slowly.

    It records whether the log service was down when the tool had started.
    """

    def __init__(self, directory):
        super().__init__()
        self.directory = directory
        self.was_down_at_publish = None

    async def run_cli(self, *arguments):
        await asyncio.sleep(0.05)
        self.was_down_at_publish = any(each.is_down for each in self.faults)
        return subprocess.CompletedProcess(arguments, 0, "", "")


def test_outage_starts_after_publishes_already_in_progress(run, tmp_path):
    async def body():
        plan = InstancePlan(name="menu-1", service="menu", availability_zone="z", slots=2)
        bench = Bench(tmp_path, [plan], random.Random(1), 3600.0, [], False)
        bench.fleet = FleetWithSlowTool(tmp_path)
        record = Customer(name="school", version=2, template="mesh", template_version=1)
        publish = asyncio.create_task(PublishRecord(record).apply(bench))
        await asyncio.sleep(0.01)
        await LogDown().apply(bench)
        await publish
        assert bench.fleet.was_down_at_publish is False
        assert bench.fleet.faults[-1].is_down

    run(body())
