"""Tests of idempotency keys, stored outcomes, and claims under log faults."""

import asyncio
from contextlib import suppress

import pytest

from apricotwalk.claims import (
    RESEND_WINDOW_SECONDS,
    ClaimLog,
    ClaimOwner,
    IssuedKey,
    KeyIssuer,
    OutcomeStore,
    derive_key,
)
from apricotwalk.core import CallFailure, LogServiceError, ManualClock, Verdict
from tests.fakes import FakeLog, new_events

OWNER = ClaimOwner("a", "1f", "127.0.0.1:7000")


def test_issued_key_round_trips_through_its_text_form():
    key = KeyIssuer(OWNER, ManualClock(12.5)).issue()
    assert IssuedKey.parse(str(key)) == key
    assert key.issued_ms == 12_500


@pytest.mark.parametrize("text", ["", "own-key", "apw1~a~b", "apw1~a~b~nowhere~1~2", "apw1~a~~~x~"])
def test_key_in_another_format_is_not_parsed_as_issued(text):
    assert IssuedKey.parse(text) is None


def test_derived_key_is_stable_and_keeps_the_owner():
    parent = str(KeyIssuer(OWNER, ManualClock()).issue())
    first = derive_key(parent, "POST", "/charge", "00")
    assert first == derive_key(parent, "POST", "/charge", "00")
    assert first != derive_key(parent, "POST", "/charge", "01")
    assert IssuedKey.parse(first).owner == OWNER
    assert IssuedKey.parse(derive_key("own", "POST", "/charge", "00")) is None


def test_outcome_is_replayed_and_work_started_once(run):
    async def body():
        store = OutcomeStore(ManualClock(), len)
        starts = []

        async def work():
            starts.append(1)
            await asyncio.sleep(0)
            return b"done"

        record = store.find_or_create("k", 1)
        results = await asyncio.gather(*[store.run("k", record, work) for _ in range(3)])
        results.append(await store.run("k", store.find_or_create("k", 1), work))
        assert results == [b"done"] * 4
        assert len(starts) == 1
        with pytest.raises(CallFailure) as caught:
            store.find_or_create("k", 2)
        assert caught.value.cause == "key-reused"

    run(body())


@pytest.mark.parametrize("verdict", list(Verdict)[:2])
def test_only_work_that_did_not_run_starts_again(run, verdict):
    async def body():
        store = OutcomeStore(ManualClock(), len)
        starts = []

        async def work():
            starts.append(1)
            raise CallFailure(verdict, "cause", "detail")

        for _ in range(2):
            with pytest.raises(CallFailure) as caught:
                await store.run("k", store.find_or_create("k", 1), work)
            assert caught.value.verdict is verdict
        assert len(starts) == (2 if verdict is Verdict.NOT_RUN else 1)

    run(body())


def test_work_continues_after_its_caller_is_cancelled(run):
    async def body():
        store = OutcomeStore(ManualClock(), len)
        may_end = asyncio.Event()

        async def work():
            await may_end.wait()
            return b"done"

        first = asyncio.create_task(store.run("k", store.find_or_create("k", 1), work))
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        assert store.running_count == 1
        may_end.set()
        assert await store.run("k", store.find_or_create("k", 1), work) == b"done"

    run(body())


def test_records_expire_after_the_window_and_never_while_running(run):
    async def body():
        clock = ManualClock()
        store = OutcomeStore(clock, len)
        may_end = asyncio.Event()

        async def work():
            await may_end.wait()
            return b"done"

        task = asyncio.create_task(store.run("k", store.find_or_create("k", 1), work))
        await asyncio.sleep(0)
        clock.advance(RESEND_WINDOW_SECONDS * 2)
        assert store.find("k") is not None
        may_end.set()
        await task
        clock.advance(RESEND_WINDOW_SECONDS - 1)
        assert store.find("k") is not None
        clock.advance(2)
        assert store.find("k") is None

    run(body())


def test_full_store_refuses_new_keys_and_drops_answers_not_records(run):
    async def body():
        store = OutcomeStore(ManualClock(), len, max_record_count=2, max_kept_bytes=5)

        async def work():
            return b"four"

        for key in ("k1", "k2"):
            await store.run(key, store.find_or_create(key, 1), work)
        with pytest.raises(CallFailure) as caught:
            store.find_or_create("k3", 1)
        assert caught.value.verdict is Verdict.NOT_RUN
        with pytest.raises(CallFailure) as caught:
            await store.run("k1", store.find_or_create("k1", 1), work)
        assert caught.value.cause == "answer-dropped"

    run(body())


def test_claims_share_appends_and_are_renewed(run):
    async def body():
        log, clock = FakeLog(), ManualClock()
        claims = ClaimLog(log, OWNER, clock, new_events(), retention_seconds=800.0)
        await claims.start()
        owners = await asyncio.gather(*[claims.find_owner("s", 8 * n) for n in range(50)])
        assert owners == [OWNER] * 50
        assert claims.append_count <= 2
        clock.advance(450.0)
        log.expire_all_records()
        await claims.renew("claims.s")
        other = ClaimLog(log, ClaimOwner("b", "2f", "127.0.0.1:7001"), clock, new_events())
        await other.start()
        assert await other.find_owner("s", 8) == OWNER
        await other.close()
        await claims.close()

    run(body())


def test_short_retention_refuses_keys_until_the_window_ends(run):
    async def body():
        log, clock = FakeLog(), ManualClock(1.0)
        claims = ClaimLog(log, OWNER, clock, new_events(), append_interval_seconds=0.0)
        await claims.start()
        await claims.find_owner("s", 8)
        log.expire_all_records()
        await claims.find_owner("s", 16)
        with pytest.raises(LogServiceError):
            await claims.find_owner("s", 24)
        clock.advance(RESEND_WINDOW_SECONDS + 1)
        assert await claims.find_owner("s", 24) == OWNER
        await claims.close()

    run(body())


def test_key_of_an_owner_that_stopped_is_not_claimed_again_within_the_window(run):
    """Guards against a second owner of a key whose claim expired from the log too early.

    A log that expires records within the window cannot show which owner claimed the key.
    """

    async def body():
        log, clock = FakeLog(), ManualClock(1.0)
        owners = []
        for name in ("a", "b"):
            owner = ClaimOwner(name, "1f", "127.0.0.1:7000")
            claims = ClaimLog(log, owner, clock, new_events(), retention_seconds=60.0)
            await claims.start()
            with suppress(LogServiceError):
                owners.append(await claims.find_owner("s", 8))
            await claims.close()
            clock.advance(70.0)
            log.expire_all_records()
        assert len(owners) <= 1

    run(body())


def test_unreadable_claims_are_skipped(run):
    async def body():
        log, clock = FakeLog(), ManualClock(1.0)
        await log.append("claims.s", [b'{"owner": 7}', b"[]"])
        claims = ClaimLog(log, OWNER, clock, new_events(), append_interval_seconds=0.0)
        await claims.start()
        assert await claims.find_owner("s", 8) == OWNER
        await claims.close()

    run(body())
