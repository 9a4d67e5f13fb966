"""Tests of complete responses, correct verdicts and single executions in real processes."""

import asyncio
import json
import time

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from apricotwalk_lab.processes import Fleet, InstancePlan
from apricotwalk_lab.standins.backend_server import Control, Work
from apricotwalk_lab.standins.log_service import Faults
from tests.publishing import publish_school

TEMPLATE = {
    "name": "keyed",
    "version": 1,
    "routes": [
        {
            "name": "dispatch",
            "method": "POST",
            "path": "/dispatch",
            "service": "ledger",
            "rank": 0,
            "deadline_ms": 3000,
            "retry_budget": 2,
            "execution": "at-most-once",
        },
        {
            "name": "menu",
            "method": "POST",
            "path": "/menu",
            "service": "menu",
            "rank": 2,
            "deadline_ms": 3000,
            "retry_budget": 2,
        },
        {
            "name": "order",
            "method": "POST",
            "path": "/order",
            "service": "orders",
            "rank": 1,
            "deadline_ms": 3000,
            "retry_budget": 2,
        },
    ],
}
PLANS = [
    InstancePlan("ledger-1", "ledger", works=[Work("/dispatch", 20.0)]),
    InstancePlan("ledger-2", "ledger", works=[Work("/dispatch", 20.0)]),
    InstancePlan("orders-1", "orders", works=[Work("/order", 5.0, ["POST /dispatch/inner"])]),
    InstancePlan("orders-2", "orders", works=[Work("/order", 5.0, ["POST /dispatch/inner"])]),
]


class Caller:
    """Sends requests of the customer "school" to the nodes of a fleet."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.client = AsyncHTTPClient(force_instance=True)

    async def send(self, node, path, key="", body=b"x", **headers):
        fields = {"Apricotwalk-Customer": "school", **headers}
        if key:
            fields["Idempotency-Key"] = key
        url = f"http://{self.fleet.instances_by_name[node].callers}{path}"
        request = HTTPRequest(url, method="POST", headers=fields, body=body, request_timeout=10)
        return await self.client.fetch(request, raise_error=False)

    async def issue_key(self, node):
        response = await self.send(node, "/apricotwalk/keys")
        return json.loads(response.body)["key"]


MENU_PLANS = [InstancePlan(f"menu-{n}", "menu", works=[Work("/menu", 5.0)]) for n in range(1, 6)]


async def start_fleet(tmp_path, plans=PLANS):
    fleet = Fleet(tmp_path / "fleet", plans)
    await fleet.start()
    await publish_school(fleet, tmp_path, TEMPLATE)
    return fleet


async def count_executions(fleet, prefix, key=None):
    executions = [e for plan in PLANS for e in await fleet.executions(plan.name)]
    return len([e for e in executions if e.path.startswith(prefix) and key in (None, e.key)])


def verdict(response):
    return response.headers["Apricotwalk-Verdict"]


@pytest.mark.processes
def test_each_idempotency_key_is_executed_once(run, tmp_path):
    async def body():
        fleet = await start_fleet(tmp_path)
        try:
            caller = Caller(fleet)
            nodes = [plan.name for plan in PLANS]
            for key in ("own-1", await caller.issue_key("orders-1")):
                answers = await asyncio.gather(
                    *[caller.send(node, "/dispatch/1", key) for node in nodes]
                )
                assert {(a.code, verdict(a)) for a in answers} == {(200, "completed")}
                assert await count_executions(fleet, "/dispatch", key) == 1
            other = await caller.send("ledger-1", "/dispatch/1", "own-1", body=b"y")
            assert (other.code, verdict(other)) == (422, "may-have-run")
            await caller.fleet.set_log_faults(Faults(lose_answers=1))
            lost = await caller.send("ledger-1", "/dispatch/2", "own-2")
            assert verdict(lost) == "completed"
            assert await count_executions(fleet, "/dispatch/2") == 1
        finally:
            await fleet.close()

    run(body())


@pytest.mark.processes
def test_log_outage_refuses_caller_chosen_keys_only(run, tmp_path):
    async def body():
        fleet = await start_fleet(tmp_path)
        try:
            caller = Caller(fleet)
            first = await caller.send("ledger-1", "/dispatch/1", "own-1")
            assert verdict(first) == "completed"
            await fleet.set_log_faults(Faults(is_down=True))
            issued = await caller.issue_key("orders-1")
            assert verdict(await caller.send("ledger-2", "/dispatch/2", issued)) == "completed"
            new = await caller.send(
                "ledger-2", "/dispatch/3", "own-3", **{"Apricotwalk-Attempt": "1"}
            )
            assert verdict(new) == "not-run"
            assert json.loads(new.body)["cause"] == "claims-unavailable"
            resent = await caller.send("ledger-2", "/dispatch/1", "own-1")
            assert verdict(resent) == "may-have-run"
            known = await caller.send("ledger-1", "/dispatch/1", "own-1")
            assert verdict(known) == "completed"
            assert await count_executions(fleet, "/dispatch") == 2
        finally:
            await fleet.close()

    run(body())


@pytest.mark.processes
def test_inner_at_most_once_call_runs_once_for_a_repeated_parent(run, tmp_path):
    async def body():
        fleet = await start_fleet(tmp_path)
        try:
            caller = Caller(fleet)
            for _ in range(2):
                response = await caller.send("ledger-1", "/order/1", "parent-1")
                assert verdict(response) == "completed"
            assert await count_executions(fleet, "/order") == 2
            assert await count_executions(fleet, "/dispatch") == 1
        finally:
            await fleet.close()

    run(body())


@pytest.mark.processes
def test_graceful_stop_interrupts_no_request(run, tmp_path):
    async def body():
        fleet = await start_fleet(tmp_path)
        try:
            caller = Caller(fleet)
            await fleet.control_backend("ledger-1", Control(slowdown=20.0))
            await fleet.control_backend("ledger-2", Control(slowdown=20.0))
            answers = [
                asyncio.create_task(caller.send(node, f"/order/{index}"))
                for index in range(4)
                for node in ("ledger-1", "orders-1", "ledger-2")
            ]
            await asyncio.sleep(0.15)
            process = fleet.instances_by_name["ledger-1"].node_process
            process.terminate()
            began = time.time()
            responses = await asyncio.gather(*answers)
            assert {response.code for response in responses} == {200}
            await asyncio.to_thread(process.wait, 20)
            executions = await fleet.executions("ledger-1")
            assert all(e.began < began + 3.0 for e in executions)
            later = await caller.send("orders-1", "/order/9")
            assert later.code == 200
        finally:
            await fleet.close()

    run(body())


@pytest.mark.processes
def test_crashing_request_is_quarantined_within_three_servers(run, tmp_path):
    async def body():
        fleet = await start_fleet(tmp_path, MENU_PLANS)
        try:
            caller = Caller(fleet)
            for plan in MENU_PLANS:
                await fleet.control_backend(plan.name, Control(crash_on="poison"))
            responses = await asyncio.gather(
                caller.send("menu-1", "/menu/1", body=b"poison"),
                caller.send("menu-2", "/menu/1", body=b"poison"),
                *[caller.send(f"menu-{n}", f"/menu/{n}") for n in range(1, 6)],
            )
            assert {verdict(response) for response in responses[:2]} <= {"may-have-run", "not-run"}
            for n in range(1, 6):
                resent = await caller.send(f"menu-{n}", "/menu/1", body=b"poison")
                assert resent.code == 422, resent.body
            crashed = [
                instance
                for instance in fleet.instances_by_name.values()
                if instance.backend_process.poll() is not None
            ]
            assert len(crashed) <= 3
            for n in range(1, 6):
                other = await caller.send(f"menu-{n}", "/menu/1", body=b"fine")
                assert other.code == 200, other.body
        finally:
            await fleet.close()

    run(body())


@pytest.mark.processes
def test_refused_retry_of_a_keyed_request_may_have_run(run, tmp_path):
    """A retry of an unknown customer's keyed request gets may-have-run, a first attempt not-run.

    A node that does not know the customer has no record of earlier attempts either.
    """

    async def body():
        fleet = await start_fleet(tmp_path)
        try:
            caller = Caller(fleet)
            unknown_customer = {"Apricotwalk-Customer": "stranger"}
            verdicts = []
            for attempt in ("1", "2"):
                unknown_customer["Apricotwalk-Attempt"] = attempt
                response = await caller.send("ledger-1", "/dispatch", "a-key", **unknown_customer)
                assert response.code == 403
                verdicts.append(verdict(response))
            assert verdicts == ["not-run", "may-have-run"]
            response = await caller.send(
                "ledger-1", "/dispatch", **{"Apricotwalk-Customer": "stranger"}
            )
            assert verdict(response) == "not-run"
        finally:
            await fleet.close()

    run(body())


@pytest.mark.processes
def test_node_without_configuration_returns_503_with_retry_after(run, tmp_path):
    """A retry of a keyed request gets may-have-run; other requests get not-run.

    A node without configuration has no record of earlier attempts of keyed requests.
    """

    async def body():
        fleet = Fleet(tmp_path / "fleet", MENU_PLANS[:1])
        await fleet.start()
        try:
            caller = Caller(fleet)
            cases = [("", {}, "not-run")]
            for attempt, expected_verdict in (("1", "not-run"), ("2", "may-have-run")):
                cases.append(("a-key", {"Apricotwalk-Attempt": attempt}, expected_verdict))
            for key, fields, expected_verdict in cases:
                response = await caller.send("menu-1", "/menu", key, **fields)
                assert (response.code, verdict(response)) == (503, expected_verdict)
                assert json.loads(response.body)["cause"] == "no-configuration"
                assert float(response.headers["Retry-After"]) > 0.0
            await publish_school(fleet, tmp_path, TEMPLATE)
            response = await caller.send("menu-1", "/menu")
            assert response.code == 200
            unknown_customer = {"Apricotwalk-Customer": "stranger"}
            response = await caller.send("menu-1", "/menu", **unknown_customer)
            assert json.loads(response.body)["cause"] == "unknown-customer"
        finally:
            await fleet.close()

    run(body())
