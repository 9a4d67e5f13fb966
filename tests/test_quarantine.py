"""Tests of the quarantine of requests that crash the backend servers that execute them."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotwalk.core import CallFailure, ManualClock, Suspect, Verdict
from apricotwalk.quarantine import CrashWatch, QuarantineRegistry, fingerprint

CRASHING = fingerprint("school", "menu", "POST", "/menu", b"poison")
HARMLESS = fingerprint("school", "menu", "POST", "/menu", b"fine")


class FakeBackend:
    """A backend server that accepts connections only while `is_alive` is set."""

    def __init__(self, is_alive=False):
        self.is_alive = is_alive

    async def is_listening(self):
        return self.is_alive


def new_broken_answer():
    return CallFailure(Verdict.MAY_HAVE_RUN, "answer-incomplete", "broke off", 502)


async def run_until_failure(watch, call_id, digest, backend, may_fail):
    async with watch.run(call_id, digest, "menu", backend):
        await may_fail.wait()
        raise new_broken_answer()


def new_watch(instance="menu-1"):
    return CrashWatch(instance, QuarantineRegistry(ManualClock()), lambda service, suspects: None)


def crash_server(watch, *digests, backend=None):
    async def body():
        may_fail = asyncio.Event()
        tasks = [
            asyncio.create_task(
                run_until_failure(watch, f"call-{i}", digest, backend or FakeBackend(), may_fail)
            )
            for i, digest in enumerate(digests)
        ]
        await asyncio.sleep(0)
        may_fail.set()
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
    digests = range(4)
    assert [first.find(digest) for digest in digests] == [second.find(digest) for digest in digests]


def test_request_is_quarantined_after_crashes_on_two_nodes(run):
    first, second = new_watch("menu-1"), new_watch("menu-2")
    failures = run(crash_server(first, CRASHING))
    assert failures[0].cause == "server-crashed"
    assert failures[0].verdict is Verdict.MAY_HAVE_RUN
    assert not first.registry.is_quarantined(CRASHING)
    second.registry.merge(first.registry.suspects())
    run(crash_server(second, CRASHING))
    assert second.registry.is_quarantined(CRASHING)
    refused = run(crash_server(second, CRASHING))
    assert (refused[0].cause, refused[0].verdict) == ("quarantined", Verdict.NOT_RUN)


def test_second_crash_is_attributed_to_the_suspect_alone(run):
    watch = new_watch()
    watch.registry.report(CRASHING, "menu-2#1")
    run(crash_server(watch, CRASHING, HARMLESS))
    assert watch.registry.is_quarantined(CRASHING)
    assert not watch.registry.is_suspected(HARMLESS)


def test_broken_connection_to_a_live_server_is_not_a_crash(run):
    watch = new_watch()
    failures = run(crash_server(watch, CRASHING, backend=FakeBackend(is_alive=True)))
    assert failures[0].cause == "answer-incomplete"
    assert not watch.registry.is_suspected(CRASHING)


def test_crash_is_reported_if_the_listener_closes_after_the_connection(run):
    """Seen in the scenario crash-request: two of four crashes were taken for lost answers."""

    async def body():
        told = []
        watch = CrashWatch(
            "menu-1",
            QuarantineRegistry(ManualClock()),
            lambda service, suspects: told.extend(suspects),
        )
        backend = FakeBackend(is_alive=True)
        failures = await crash_server(watch, CRASHING, backend=backend)
        assert failures[0].cause == "answer-incomplete"
        backend.is_alive = False
        async with asyncio.timeout(1.0):
            while not told:
                await asyncio.sleep(0.005)
        assert watch.registry.is_suspected(CRASHING)
        assert [suspect.fingerprint for suspect in told] == [CRASHING]

    run(body())


def test_suspect_that_completes_is_cleared(run):
    async def body():
        watch = new_watch()
        watch.registry.report(HARMLESS, "menu-2#1")
        async with (
            watch.suspect_slot(HARMLESS, 1.0),
            watch.run("c", HARMLESS, "menu", FakeBackend()),
        ):
            pass
        watch.registry.report(HARMLESS, "menu-3#1")
        assert not watch.registry.is_quarantined(HARMLESS)

    run(body())


def test_crashes_after_a_completion_count_again(run):
    async def body():
        watch = new_watch()
        watch.registry.report(CRASHING, "menu-2#1")
        async with watch.run("c", CRASHING, "menu", FakeBackend()):
            pass
        assert not watch.registry.is_suspected(CRASHING)
        for crash in ("menu-3#1", "menu-4#1"):
            watch.registry.report(CRASHING, crash)
        assert watch.registry.is_quarantined(CRASHING)

    run(body())


def test_rejected_suspect_stays_suspected(run):
    async def body():
        watch = new_watch()
        watch.registry.report(CRASHING, "menu-2#1")
        with pytest.raises(CallFailure):
            async with watch.run("c", CRASHING, "menu", FakeBackend()):
                raise CallFailure(Verdict.NOT_RUN, "backend-refused", "full")
        async with watch.run("d", CRASHING, "menu", FakeBackend()) as watched_run:
            watched_run.has_executed = False
        watch.registry.report(CRASHING, "menu-3#1")
        assert watch.registry.is_quarantined(CRASHING)

    run(body())


def test_every_request_that_ran_during_a_crash_is_told_to_the_peers(run):
    told = []
    watch = CrashWatch(
        "menu-1",
        QuarantineRegistry(ManualClock()),
        lambda service, suspects: told.append((service, {each.fingerprint for each in suspects})),
    )
    run(crash_server(watch, *range(80)))
    assert told == [("menu", set(range(80)))]


def test_peer_without_cleared_crashes_clears_all_of_its_crashes():
    registry = QuarantineRegistry(ManualClock())
    registry.merge([Suspect(CRASHING, ["a#1", "b#1"], True)])
    registry.report(CRASHING, "b#1")
    assert not registry.is_suspected(CRASHING)
    registry.report(CRASHING, "c#1")
    assert registry.is_suspected(CRASHING) and not registry.is_quarantined(CRASHING)


def test_suspects_run_one_at_a_time_beside_other_requests(run):
    async def body():
        watch = new_watch()
        watch.registry.report(CRASHING, "menu-2#1")
        async with watch.suspect_slot(CRASHING, 1.0):
            async with watch.suspect_slot(HARMLESS, 1.0):
                pass
            with pytest.raises(CallFailure) as caught:
                async with watch.suspect_slot(CRASHING, 0.01):
                    pass
            assert caught.value.verdict is Verdict.NOT_RUN

    run(body())


def test_repeat_waits_for_the_report_of_an_attempt_that_crashed_at_the_same_time(run):
    """Two attempts that crash two servers together must not both be executed again."""

    async def body():
        watch = new_watch()
        watch.registry.report(CRASHING, "menu-2#1")
        asyncio.get_running_loop().call_later(0.02, watch.registry.report, CRASHING, "menu-3#1")
        with pytest.raises(CallFailure) as caught:
            async with watch.suspect_slot(CRASHING, 1.0):
                pass
        assert caught.value.cause == "quarantined"
        async with asyncio.timeout(1.0), watch.suspect_slot(HARMLESS, 1.0):
            pass

    run(body())


def test_registry_is_bounded_and_its_entries_expire():
    clock = ManualClock()
    registry = QuarantineRegistry(clock)
    for digest in range(10_000):
        registry.report(digest, "a#1")
    assert len(registry.suspects(max_count=10_000)) == 4096
    clock.advance(601.0)
    assert registry.suspects() == []


def test_disabled_registry_quarantines_no_request():
    registry = QuarantineRegistry(ManualClock(), is_enabled=False)
    for crash_number in range(5):
        registry.report(CRASHING, f"a#{crash_number}")
    assert not registry.is_quarantined(CRASHING)


def test_message_about_a_request_carries_its_own_entry():
    """The entries of requests that ran beside a crashing one pushed its own out of the message."""
    registry = QuarantineRegistry(ManualClock(), crash_limit=3)
    for crash in ("menu-1#1", "menu-2#1", "menu-3#1"):
        registry.report(CRASHING, crash)
    for digest in range(40):
        registry.report(digest, "menu-3#1")
    suspects = registry.suspects_for(lambda: CRASHING)
    assert suspects[0].fingerprint == CRASHING
    assert len(suspects) == len(registry.suspects())
    assert len({suspect.fingerprint for suspect in suspects}) == len(suspects)


@pytest.mark.parametrize("has_ended", [False, True])
def test_abandoned_request_is_suspected_if_the_server_is_lost(run, has_ended):
    watch = new_watch()

    async def body():
        async def wait():
            async with watch.run("call-1", CRASHING, "menu", FakeBackend()):
                await asyncio.sleep(10)

        task = asyncio.create_task(wait())
        await asyncio.sleep(0)
        if has_ended:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        watch.report_lost_server("menu")
        task.cancel()

    run(body())
    assert watch.registry.is_suspected(CRASHING)
