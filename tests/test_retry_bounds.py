"""Tests of the bounds on retries over a call chain whose last service always fails."""

import asyncio
import random
import time

import pytest

from apricotwalk.core import ManualClock, Mechanism, MechanismSwitches, Verdict
from apricotwalk.policy import Execution, Treatment
from apricotwalk.quarantine import QuarantineRegistry
from apricotwalk.retries import ResendThrottle, RetryBudget, new_budget
from apricotwalk.routing import TargetSelector
from apricotwalk.serving import Dispatcher, OutgoingCall
from apricotwalk.telemetry import Metrics
from apricotwalk.wire import AnswerMessage
from tests.fakes import FakeMembership, new_events

DEPTH = 5
BUDGET = 4


class ChainExecutor:
    """Executes one level of the chain: makes the inner calls and fails if any of them fails."""

    def __init__(self, chain, level):
        self.chain = chain
        self.level = level

    async def handle_call(self, message):
        self.chain.executions_by_level[self.level] += 1
        budget = new_budget(message.retry_budget, self.chain.switches)
        is_leaf = self.level == DEPTH - 1
        is_completed = False
        if not is_leaf:
            inner = [self.chain.call(self.level + 1, budget) for _ in range(self.chain.fan_out)]
            is_completed = all(await asyncio.gather(*inner))
        verdict = Verdict.COMPLETED if is_completed else self.chain.failure
        return AnswerMessage(message.call_id, verdict, 502, "x", "x", budget.remaining)


class Chain:
    """A call chain of five levels with a real dispatcher each, whose last level always fails."""

    def __init__(self, failure, fan_out=1, switches=None):
        self.failure = failure
        self.fan_out = fan_out
        self.switches = switches or MechanismSwitches()
        self.executions_by_level = [0] * DEPTH
        self.dispatchers = [self._dispatcher(level) for level in range(DEPTH)]

    async def call(self, level, budget):
        if not self.switches.is_on(Mechanism.RETRY_BUDGET):
            budget = new_budget(BUDGET, self.switches)
        treatment = Treatment(
            "r", f"s{level}", "GET", "/", 0, 9.0, BUDGET, Execution.REPEATABLE, 0.0
        )
        call = OutgoingCall(
            "r", "c", treatment, 0, time.monotonic() + 9, budget, "", level, "GET", "/", [], b""
        )
        try:
            await self.dispatchers[level].dispatch(call)
        except Exception:
            return False
        return True

    def _dispatcher(self, level):
        clock = ManualClock()
        return Dispatcher(
            FakeMembership(["a"]),
            TargetSelector("zone-a", random.Random(0), clock),
            None,
            ChainExecutor(self, level),
            None,
            ResendThrottle(clock),
            QuarantineRegistry(clock),
            new_events(),
            Metrics(None),
            self.switches,
        )


@pytest.mark.parametrize("failure", [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
def test_retries_of_all_levels_stay_within_one_budget(run, failure):
    chain = Chain(failure)
    run(chain.call(0, RetryBudget(BUDGET)))
    retries = chain.executions_by_level[-1] - 1
    assert chain.executions_by_level[0] <= chain.executions_by_level[-1]
    assert 0 < retries <= BUDGET


@pytest.mark.parametrize("fan_out", [2, 3])
def test_retry_budget_is_divided_at_fan_out(run, fan_out):
    chain = Chain(Verdict.MAY_HAVE_RUN, fan_out)
    run(chain.call(0, RetryBudget(BUDGET)))
    for level, executions in enumerate(chain.executions_by_level):
        assert executions <= (1 + BUDGET) * fan_out**level
    no_retries = Chain(Verdict.MAY_HAVE_RUN, fan_out)
    run(no_retries.call(0, RetryBudget(0)))
    assert no_retries.executions_by_level == [fan_out**level for level in range(DEPTH)]


def test_retries_multiply_when_each_hop_has_its_own_budget(run):
    switches = MechanismSwitches([Mechanism.RETRY_BUDGET])
    chain = Chain(Verdict.MAY_HAVE_RUN, switches=switches)
    run(chain.call(0, RetryBudget(BUDGET)))
    assert chain.executions_by_level[-1] == (1 + BUDGET) ** DEPTH


def test_resends_stay_below_a_tenth_of_first_attempts():
    clock = ManualClock()
    throttle = ResendThrottle(clock)
    while throttle.try_withdraw("school", "menu"):
        pass
    for _ in range(100):
        throttle.deposit("school", "menu")
    granted = sum(throttle.try_withdraw("school", "menu") for _ in range(100))
    assert 9 <= granted <= 10
    assert throttle.try_withdraw("hotel", "menu")
    clock.advance(3.0)
    assert sum(throttle.try_withdraw("school", "menu") for _ in range(100)) in (3, 4)
