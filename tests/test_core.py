"""Tests of the supervisor of services and of verdicts."""

import asyncio

import pytest

from apricotwalk.core import Service, Supervisor, Verdict


class RecordingService(Service):
    """Records its calls; the method named by `failing_method` raises an error."""

    def __init__(self, name: str, calls: list[str], failing_method: str = "") -> None:
        self._name = name
        self._calls = calls
        self._failing_method = failing_method

    async def start(self) -> None:
        if self._failing_method == "start":
            raise OSError(self._name)
        self._calls.append(f"start {self._name}")

    async def close(self) -> None:
        self._calls.append(f"close {self._name}")
        if self._failing_method == "close":
            raise OSError(self._name)


def test_services_close_in_reverse_order(run):
    calls: list[str] = []
    supervisor = Supervisor("test")
    for name in ("a", "b"):
        supervisor.add(RecordingService(name, calls))

    async def body():
        await supervisor.start()
        await supervisor.close()
        await supervisor.close()

    run(body())
    assert calls == ["start a", "start b", "close b", "close a"]


def test_failed_start_closes_the_services_already_started(run):
    calls: list[str] = []
    supervisor = Supervisor("test")
    supervisor.add(RecordingService("a", calls))
    supervisor.add(RecordingService("b", calls, failing_method="start"))
    with pytest.raises(OSError, match="b"):
        run(supervisor.start())
    assert calls == ["start a", "close a"]


def test_every_closing_error_is_reported(run):
    calls: list[str] = []
    supervisor = Supervisor("test")
    for name in ("a", "b"):
        supervisor.add(RecordingService(name, calls, failing_method="close"))

    async def body():
        await supervisor.start()
        await supervisor.close()

    with pytest.raises(ExceptionGroup) as caught:
        run(body())
    assert [str(error) for error in caught.value.exceptions] == ["b", "a"]


def test_failed_loop_is_restarted(run):
    runs: list[int] = []

    async def body():
        supervisor = Supervisor("test")
        done = asyncio.Event()

        async def loop() -> None:
            runs.append(1)
            if len(runs) < 3:
                raise ValueError("try again")
            done.set()

        supervisor.run_loop("loop", loop)
        await asyncio.wait_for(done.wait(), 10)
        await supervisor.close()

    run(body())
    assert len(runs) == 3


def test_only_not_run_is_safe_to_repeat():
    assert [v for v in Verdict if v.is_safe_to_repeat] == [Verdict.NOT_RUN]
