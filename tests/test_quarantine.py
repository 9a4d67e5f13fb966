"""Requests that crash each backend server that runs them."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotwalk.core import CallFailure, ManualClock, Suspect, Verdict
from apricotwalk.quarantine import CrashWatch, QuarantineRegistry, fingerprint

POISON = fingerprint("school", "menu", "POST", "/menu", b"poison")
INNOCENT = fingerprint("school", "menu", "POST", "/menu", b"fine")


class FakeBackend:
    """A backend server that listens or does not."""

    def __init__(self, is_alive=False):
        self.is_alive = is_alive

    async def is_listening(self):
        return self.is_alive


def broken_answer():
    return CallFailure(Verdict.MAY_HAVE_RUN, "answer-incomplete", "broke off", 502)


async def run_until_broken(watch, call_id, mark, backend, may_break):
    async with watch.run(call_id, mark, "menu", backend):
        await may_break.wait()
        raise broken_answer()


def new_watch(instance="menu-1"):
    return CrashWatch(instance, QuarantineRegistry(ManualClock()), lambda service: None)


def crash(watch, *marks, backend=None):
    async def body():
        may_break = asyncio.Event()
        tasks = [
            asyncio.create_task(
                run_until_broken(watch, f"call-{i}", mark, backend or FakeBackend(), may_break)
            )
            for i, mark in enumerate(marks)
        ]
        await asyncio.sleep(0)
        may_break.set()
        return await asyncio.gather(*tasks, return_exceptions=True)

    return body()


@given(
    st.lists(
        st.builds(
            Suspect,
            st.integers(0, 3),
            st.lists(st.sampled_from(["a#1", "a#2", "b#1"]), max_size=2, unique=True).map(sorted),
            st.booleans(),
        ),
        max_size=8,
    ),
    st.randoms(use_true_random=False),
)
def test_registry_is_independent_of_report_order_and_duplicates(reports, generator):
    first, second = QuarantineRegistry(ManualClock()), QuarantineRegistry(ManualClock())
    first.merge(reports)
    shuffled = [*reports, *reports]
    generator.shuffle(shuffled)
    second.merge(shuffled)
    marks = range(4)
    assert [first.find(mark) for mark in marks] == [second.find(mark) for mark in marks]


def test_request_is_quarantined_after_crashes_on_two_nodes(run):
    first, second = new_watch("menu-1"), new_watch("menu-2")
    failures = run(crash(first, POISON))
    assert failures[0].cause == "server-crashed"
    assert failures[0].verdict is Verdict.MAY_HAVE_RUN
    assert not first.registry.is_quarantined(POISON)
    second.registry.merge(first.registry.suspects())
    run(crash(second, POISON))
    assert second.registry.is_quarantined(POISON)
    refused = run(crash(second, POISON))
    assert (refused[0].cause, refused[0].verdict) == ("quarantined", Verdict.NOT_RUN)


def test_second_crash_is_attributed_to_the_suspect_alone(run):
    watch = new_watch()
    watch.registry.report(POISON, "menu-2#1")
    run(crash(watch, POISON, INNOCENT))
    assert watch.registry.is_quarantined(POISON)
    assert not watch.registry.is_suspected(INNOCENT)


def test_broken_connection_to_a_live_server_is_not_a_crash(run):
    watch = new_watch()
    failures = run(crash(watch, POISON, backend=FakeBackend(is_alive=True)))
    assert failures[0].cause == "answer-incomplete"
    assert not watch.registry.is_suspected(POISON)


def test_suspect_that_completes_is_cleared(run):
    async def body():
        watch = new_watch()
        watch.registry.report(INNOCENT, "menu-2#1")
        async with (
            watch.suspect_slot(INNOCENT, 1.0),
            watch.run("c", INNOCENT, "menu", FakeBackend()),
        ):
            pass
        watch.registry.report(INNOCENT, "menu-3#1")
        assert not watch.registry.is_quarantined(INNOCENT)

    run(body())


def test_suspects_run_one_at_a_time_beside_other_requests(run):
    async def body():
        watch = new_watch()
        watch.registry.report(POISON, "menu-2#1")
        async with watch.suspect_slot(POISON, 1.0):
            async with watch.suspect_slot(INNOCENT, 1.0):
                pass
            with pytest.raises(CallFailure) as caught:
                async with watch.suspect_slot(POISON, 0.01):
                    pass
            assert caught.value.verdict is Verdict.NOT_RUN

    run(body())


def test_registry_is_bounded_and_its_entries_expire():
    clock = ManualClock()
    board = QuarantineRegistry(clock)
    for mark in range(2000):
        board.report(mark, "a#1")
    assert len(board.suspects(largest_count=5000)) == 512
    clock.advance(601.0)
    assert board.suspects() == []


def test_disabled_registry_quarantines_no_request():
    board = QuarantineRegistry(ManualClock(), is_enabled=False)
    for crash_number in range(5):
        board.report(POISON, f"a#{crash_number}")
    assert not board.is_quarantined(POISON)
