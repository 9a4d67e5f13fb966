"""Tests of at-most-once execution under lost answers, freezes, outages and replacements."""

import asyncio
import random
import time

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from apricotwalk.claims import RESEND_WINDOW_SECONDS, ClaimLog, ClaimOwner, KeyIssuer
from apricotwalk.core import CallFailure, ManualClock, Verdict
from apricotwalk.policy import Execution, Treatment
from apricotwalk.quarantine import QuarantineRegistry
from apricotwalk.retries import ResendThrottle, RetryBudget
from apricotwalk.routing import TargetSelector
from apricotwalk.serving import AtMostOnceDispatcher, Dispatcher, OutgoingCall
from apricotwalk.settings import Address
from apricotwalk.telemetry import Metrics
from tests.fakes import FakeExecutor, FakeLog, FakeMembership, FakePool, new_events

NODE_COUNT = 3
TREATMENT = Treatment("charge", "ledger", "POST", "/charge", 0, 5.0, 2, Execution.AT_MOST_ONCE, 0.0)


async def cancel_other_tasks():
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def new_call(key, attempt=0):
    return OutgoingCall(
        request_id="r",
        customer="school",
        treatment=TREATMENT,
        rank=0,
        deadline=time.monotonic() + 5.0,
        budget=RetryBudget(2),
        key=key,
        depth=0,
        method="POST",
        path="/charge",
        headers=[],
        body=b"",
        lineage="lineage",
        is_first_attempt=attempt == 1,
    )


class KeyedNode:
    """One run of a node whose executor, log, membership and connection pool are fakes."""

    def __init__(self, index, start, clock, log, pool, executions_by_key):
        self.address = Address("127.0.0.1", 7000 + index)
        owner = ClaimOwner(f"n{index}", f"start{start}", str(self.address))
        events = new_events(owner.instance)
        self.executor = FakeExecutor(executions_by_key)
        throttle = ResendThrottle(clock)
        self.claims = ClaimLog(log, owner, clock, events, append_interval_seconds=0.0)
        dispatcher = Dispatcher(
            FakeMembership([owner.instance]),
            TargetSelector("zone-a", random.Random(0), clock),
            pool,
            self.executor,
            None,
            throttle,
            QuarantineRegistry(clock),
            events,
            Metrics(None),
        )
        self.keyed = AtMostOnceDispatcher(
            dispatcher, KeyIssuer(owner, clock), self.claims, pool, throttle, events, clock
        )
        pool.handlers_by_address[self.address] = self.keyed


class KeyedWorkMachine(RuleBasedStateMachine):
    """Callers send and resend keys to any node while faults are injected and cleared."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock(1000.0)
        self.log = FakeLog()
        self.pool = FakePool()
        self.executions_by_key = {}
        self.sent_keys = set()
        self.issued_keys = []
        self.pending_calls = []
        self.starts = 0
        self.nodes = [None] * NODE_COUNT
        for index in range(NODE_COUNT):
            self._start_node(index)

    def teardown(self):
        self.thaw_everything()
        for node in self.nodes:
            self.loop.run_until_complete(node.claims.close())
        self.loop.run_until_complete(cancel_other_tasks())
        self.loop.close()

    @rule(node=st.integers(0, 2), key=st.integers(0, 2), ending=st.sampled_from(list(Verdict)))
    def send(self, node, key, ending):
        for each in self.nodes:
            each.executor.verdict = ending.value
        self._start_call(node, f"own-{key}")

    @rule(node=st.integers(0, 2), position=st.integers(0, 5), ending=st.sampled_from(list(Verdict)))
    def send_issued(self, node, position, ending):
        if not self.issued_keys:
            return
        for each in self.nodes:
            each.executor.verdict = ending.value
        self._start_call(node, self.issued_keys[position % len(self.issued_keys)])

    @rule(node=st.integers(0, 2))
    def issue(self, node):
        self.issued_keys.append(str(self.nodes[node].keyed.issue_key()))

    @rule(nodes=st.permutations(range(NODE_COUNT)), key=st.integers(0, 2))
    def send_to_all_at_once(self, nodes, key):
        for node in nodes:
            self._start_call(node, f"own-{key}", rounds=0)
        self._run_event_loop()

    @rule(node=st.integers(0, 2))
    def freeze_between_run_and_answer(self, node):
        self.nodes[node].executor.is_open.clear()

    @rule()
    def freeze_between_claim_and_run(self):
        self.log.is_open.clear()

    @rule()
    def thaw_everything(self):
        self.log.is_open.set()
        for node in self.nodes:
            node.executor.is_open.set()
        self._run_event_loop()

    @rule(lost=st.sampled_from(["append", "slow append", "owner's answer"]))
    def lose_next(self, lost):
        if lost == "append":
            self.log.lose_answers = 1
        elif lost == "slow append":
            self.log.delay_appends = 1
        else:
            self.pool.lose_answers = 1

    @rule()
    def complete_delayed_appends(self):
        self.log.apply_delayed_appends()

    @rule(is_down=st.booleans())
    def set_outage(self, is_down):
        self.log.is_down = is_down

    @rule(node=st.integers(0, 2), is_disconnected=st.booleans())
    def disconnect(self, node, is_disconnected):
        change = (
            self.pool.unreachable_addresses.add
            if is_disconnected
            else self.pool.unreachable_addresses.discard
        )
        change(self.nodes[node].address)

    @rule(node=st.integers(0, 2))
    def replace_node(self, node):
        self.loop.run_until_complete(self.nodes[node].claims.close())
        self._start_node(node)

    @rule()
    def pass_resend_window(self):
        self.clock.advance(RESEND_WINDOW_SECONDS + 1)

    @invariant()
    def no_key_runs_twice(self):
        assert all(count == 1 for count in self.executions_by_key.values())

    @invariant()
    def verdicts_match_executions(self):
        for task in [each for each in self.pending_calls if each.done()]:
            self.pending_calls.remove(task)
            task.result()

    def _start_node(self, index):
        self.starts += 1
        node = KeyedNode(
            index, self.starts, self.clock, self.log, self.pool, self.executions_by_key
        )
        self.loop.run_until_complete(node.claims.start())
        self.nodes[index] = node

    def _start_call(self, node, key, rounds=60):
        is_first = key not in self.sent_keys
        self.sent_keys.add(key)
        call = new_call(key, attempt=1 if is_first else 0)
        self.pending_calls.append(self.loop.create_task(self._check(self.nodes[node], call)))
        self._run_event_loop(rounds)

    def _run_event_loop(self, rounds=60):
        async def yield_often():
            for _ in range(rounds):
                await asyncio.sleep(0)

        self.loop.run_until_complete(yield_often())

    async def _check(self, node, call):
        try:
            await node.keyed.dispatch(call)
        except CallFailure as failure:
            if failure.verdict is Verdict.NOT_RUN:
                assert call.key not in self.executions_by_key
            return
        assert self.executions_by_key[call.key] == 1


TestKeyedWork = KeyedWorkMachine.TestCase


def new_nodes(executions_by_key):
    clock, log, pool = ManualClock(1000.0), FakeLog(), FakePool()
    nodes = [KeyedNode(i, i, clock, log, pool, executions_by_key) for i in range(2)]
    return nodes, log, pool


@pytest.mark.parametrize("attempt, verdict", [(1, "not-run"), (2, "may-have-run")])
def test_slow_log_ends_a_claim_at_the_deadline(run, attempt, verdict):
    async def body():
        nodes, log, _ = new_nodes({})
        await nodes[0].claims.start()
        log.is_open.clear()
        call = new_call("own", attempt)
        call.deadline = time.monotonic() + 0.05
        with pytest.raises(CallFailure) as caught:
            await nodes[0].keyed.dispatch(call)
        assert (caught.value.cause, caught.value.verdict.value) == ("claims-unavailable", verdict)
        await nodes[0].claims.close()

    run(body())


def test_forwarded_resend_is_replayed_with_its_budget_unspent(run):
    async def body():
        executions_by_key = {}
        nodes, _, _ = new_nodes(executions_by_key)
        key = str(nodes[0].keyed.issue_key())
        first, second = new_call(key), new_call(key)
        await nodes[0].keyed.dispatch(first)
        answer = await nodes[1].keyed.dispatch(second)
        assert answer.verdict is Verdict.COMPLETED
        assert executions_by_key == {key: 1}
        assert second.budget.remaining == 2

    run(body())


def test_resends_of_refused_work_are_bounded(run):
    async def body():
        nodes, _, _ = new_nodes({})
        nodes[0].executor.verdict = "not-run"
        key = str(nodes[0].keyed.issue_key())
        causes = []
        for _ in range(30):
            with pytest.raises(CallFailure) as caught:
                await nodes[0].keyed.dispatch(new_call(key))
            assert caught.value.verdict is Verdict.NOT_RUN
            causes.append(caught.value.cause)
        assert causes.count("resends-exhausted") >= 8
        assert causes[0] == "shed"

    run(body())


def test_key_of_an_earlier_start_is_may_have_run(run):
    async def body():
        nodes, _, pool = new_nodes({})
        key = str(nodes[0].keyed.issue_key())
        KeyedNode(0, 9, ManualClock(1000.0), FakeLog(), pool, {})
        with pytest.raises(CallFailure) as caught:
            await nodes[1].keyed.dispatch(new_call(key))
        assert (caught.value.cause, caught.value.verdict) == (
            "owner-restarted",
            Verdict.MAY_HAVE_RUN,
        )

    run(body())
