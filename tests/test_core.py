"""Tests of supervision and verdicts."""

import asyncio

import pytest

from apricotwalk.core import Service, Supervisor, Verdict


class RecordingService(Service):
    def __init__(self, name: str, journal: list[str], fails: str = "") -> None:
        self._name = name
        self._journal = journal
        self._fails = fails

    async def start(self) -> None:
        if self._fails == "start":
            raise OSError(self._name)
        self._journal.append(f"start {self._name}")

    async def close(self) -> None:
        self._journal.append(f"close {self._name}")
        if self._fails == "close":
            raise OSError(self._name)


def test_services_close_in_reverse_order(run):
    journal: list[str] = []
    supervisor = Supervisor("test")
    for name in ("a", "b"):
        supervisor.add(RecordingService(name, journal))

    async def body():
        await supervisor.start()
        await supervisor.close()
        await supervisor.close()

    run(body())
    assert journal == ["start a", "start b", "close b", "close a"]


def test_failed_start_closes_the_services_already_started(run):
    journal: list[str] = []
    supervisor = Supervisor("test")
    supervisor.add(RecordingService("a", journal))
    supervisor.add(RecordingService("b", journal, fails="start"))
    with pytest.raises(OSError, match="b"):
        run(supervisor.start())
    assert journal == ["start a", "close a"]


def test_every_closing_error_is_reported(run):
    journal: list[str] = []
    supervisor = Supervisor("test")
    for name in ("a", "b"):
        supervisor.add(RecordingService(name, journal, fails="close"))

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
