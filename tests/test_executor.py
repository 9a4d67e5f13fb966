"""Tests of answers and verdicts of the node beside a backend server."""

import asyncio

import msgspec
import pytest
from xxhash import xxh3_64_intdigest

from apricotwalk.admission import AdmissionController, Outcome, Permit
from apricotwalk.core import CallFailure, ManualClock, Verdict
from apricotwalk.quarantine import CrashWatch, QuarantineRegistry
from apricotwalk.routing import CalleeThresholds
from apricotwalk.serving import ActiveCalls, Answer, Executor
from apricotwalk.serving import _executor as executor_module
from apricotwalk.telemetry import Metrics
from apricotwalk.wire import CallMessage
from tests.fakes import new_events


class RecordingPermit(Permit):
    def __init__(self, outcomes):
        self.outcomes = outcomes
        self.is_released = False

    def release(self, outcome):
        if not self.is_released:
            self.outcomes.append(outcome)
        self.is_released = True

    def pause(self):
        pass

    def resume(self):
        pass


class OpenAdmission(AdmissionController):
    """Admits all work, each time after a call of `before_grant`."""

    def __init__(self):
        self.outcomes = []
        self.before_grant = lambda: None

    async def acquire(self, item):
        self.before_grant()
        return RecordingPermit(self.outcomes)

    def set_slots(self, slots):
        pass

    def load(self):
        return 0.0

    def in_flight(self):
        return 0


class ScriptedBackend:
    """Answers with `result`, raises it or waits if it is None, and counts the requests."""

    def __init__(self, result=None):
        self.result = result
        self.sent = 0
        self.drops = 0

    async def send(self, method, path, headers, body):
        self.sent += 1
        if self.result is None:
            await asyncio.Event().wait()
        if isinstance(self.result, Exception):
            raise self.result
        return self.result

    async def is_listening(self):
        return True

    def drop_idle(self):
        self.drops += 1


def new_executor(result=None, thresholds=None):
    admission = OpenAdmission()
    watch = CrashWatch("a", QuarantineRegistry(ManualClock()), lambda service, suspects: None)
    executor = Executor(
        admission, ActiveCalls(), new_events(), Metrics(None), watch, thresholds=thresholds
    )
    executor.backend = ScriptedBackend(result)
    return executor, admission


def new_message(body=b"body", remaining_ms=2000.0, digest=None, rank=0):
    return CallMessage(
        call_id="c1",
        request_id="r1",
        customer="school",
        route="menu",
        service="menu",
        rank=rank,
        remaining_ms=remaining_ms,
        retry_budget=2,
        at_most_once=False,
        key="",
        depth=0,
        stamp=0,
        method="POST",
        path="/menu",
        headers=[],
        body=body,
        digest=xxh3_64_intdigest(body) if digest is None else digest,
    )


def test_unexpected_error_is_answered_as_may_have_run(run):
    executor, admission = new_executor(ValueError("surprise"))
    answer = run(executor.handle_call(new_message()))
    assert (answer.verdict, answer.cause) == (Verdict.MAY_HAVE_RUN, "internal-error")
    assert len(admission.outcomes) == 1


def test_damaged_request_is_not_run(run):
    executor, _ = new_executor(Answer(Verdict.COMPLETED, 200))
    answer = run(executor.handle_call(new_message(digest=1)))
    assert (answer.verdict, answer.cause) == (Verdict.NOT_RUN, "digest-mismatch")
    assert executor.backend.sent == 0


def test_leaving_server_refuses_new_work(run):
    executor, admission = new_executor(Answer(Verdict.COMPLETED, 200))
    executor.leave()
    answer = run(executor.handle_call(new_message()))
    assert (answer.verdict, answer.cause) == (Verdict.NOT_RUN, "leaving")
    assert admission.outcomes == []


@pytest.mark.parametrize("max_wait_seconds, expected", [(60.0, "completed"), (0.0, "not-run")])
def test_work_queued_when_the_server_leaves_runs_within_the_queue_time_limit(
    run, monkeypatch, max_wait_seconds, expected
):
    monkeypatch.setattr(executor_module, "MAX_QUEUE_AFTER_LEAVE_SECONDS", max_wait_seconds)
    executor, admission = new_executor(Answer(Verdict.COMPLETED, 200))
    admission.before_grant = executor.leave
    answer = run(executor.handle_call(new_message()))
    assert answer.verdict.value == expected
    assert len(admission.outcomes) == 1


def test_queued_work_is_not_run_when_the_server_is_lost(run):
    executor, admission = new_executor(Answer(Verdict.COMPLETED, 200))

    def lose_server():
        executor.backend = None

    admission.before_grant = lose_server
    answer = run(executor.handle_call(new_message()))
    assert (answer.verdict, answer.cause) == (Verdict.NOT_RUN, "no-server")
    assert admission.outcomes == [Outcome.CANCELLED]


def test_passed_deadline_is_may_have_run_and_drops_idle_connections(run):
    executor, admission = new_executor()
    answer = run(executor.handle_call(new_message(remaining_ms=20.0)))
    assert (answer.verdict, answer.cause) == (Verdict.MAY_HAVE_RUN, "deadline-passed")
    assert admission.outcomes == [Outcome.TIMED_OUT]
    assert executor.backend.drops == 1


@pytest.mark.parametrize(
    "remaining_ms, expected", [(60_000.0, Outcome.CANCELLED), (80.0, Outcome.TIMED_OUT)]
)
def test_cancellation_near_the_deadline_is_a_timeout(run, remaining_ms, expected):
    async def body():
        executor, admission = new_executor()
        call = asyncio.create_task(executor.handle_call(new_message(remaining_ms=remaining_ms)))
        await asyncio.sleep(0.01)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        assert admission.outcomes == [expected]

    run(body())


def test_unreachable_server_is_reported_lost_at_once(run):
    executor, _ = new_executor(CallFailure(Verdict.NOT_RUN, "backend-unreachable", "refused"))
    losses = []
    executor.on_server_lost = lambda: losses.append(1)
    answer = run(executor.handle_call(new_message()))
    assert answer.verdict is Verdict.NOT_RUN
    assert losses == [1]


@pytest.mark.parametrize(
    "callee, rank, sent", [("dietary", 3, 8), ("menu", 3, 20), ("dietary", 0, 20)]
)
def test_surge_of_work_with_inner_calls_is_bounded_before_it_runs(run, callee, rank, sent):
    async def body():
        thresholds = CalleeThresholds()
        thresholds.add_callees("menu", [callee])
        executor, admission = new_executor(thresholds=thresholds)
        calls = [executor.handle_call(new_message(rank=rank)) for _ in range(20)]
        tasks = [asyncio.ensure_future(call) for call in calls]
        await asyncio.sleep(0.05)
        assert executor.backend.sent == sent
        refused = [task.result() for task in tasks if task.done()]
        assert [(a.verdict, a.cause) for a in refused] == [(Verdict.NOT_RUN, "shed")] * (20 - sent)
        assert len(admission.outcomes) == 20 - sent
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run(body())


def test_floor_has_its_own_limit_when_the_route_limit_is_reached(run):
    async def body():
        thresholds = CalleeThresholds()
        thresholds.add_callees("menu", ["records"])
        executor, _ = new_executor(thresholds=thresholds)
        message_with_floor = msgspec.structs.replace(
            new_message(rank=3), customer="clinic", floor=0.1
        )
        messages = [new_message(rank=3)] * 20 + [message_with_floor] * 4
        tasks = [asyncio.ensure_future(executor.handle_call(message)) for message in messages]
        await asyncio.sleep(0.05)
        assert [task.done() for task in tasks[20:]] == [False, False, True, True]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run(body())
