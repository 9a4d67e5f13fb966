"""Test of a request that passes through several separate processes."""

import json

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from apricotwalk_lab.processes import Fleet, InstancePlan
from apricotwalk_lab.standins.backend_server import Work
from tests.publishing import publish_school

TEMPLATE = {
    "name": "chain",
    "version": 1,
    "parameters": {"patience_ms": {"minimum": 100, "maximum": 5000, "default": 3000}},
    "routes": [
        {
            "name": "roster",
            "method": "GET",
            "path": "/roster",
            "service": "roster",
            "rank": 0,
            "deadline_ms": "${patience_ms}",
            "retry_budget": 2,
        },
        {
            "name": "menu",
            "method": "GET",
            "path": "/menu",
            "service": "menu",
            "rank": 2,
            "deadline_ms": 2000,
        },
        {
            "name": "diet",
            "method": "GET",
            "path": "/diet",
            "service": "diet",
            "rank": 1,
            "deadline_ms": 2000,
        },
    ],
}
PLANS = [
    InstancePlan("roster-1", "roster", works=[Work("/roster", 5.0, ["GET /menu/7"])]),
    InstancePlan("menu-1", "menu", works=[Work("/menu", 5.0, ["GET /diet/7"])]),
    InstancePlan("diet-1", "diet", works=[Work("/diet", 5.0)]),
    InstancePlan("diet-2", "diet", works=[Work("/diet", 5.0)]),
]


@pytest.mark.processes
def test_request_crosses_three_services(run, tmp_path):
    async def body():
        fleet = Fleet(tmp_path / "fleet", PLANS)
        try:
            await fleet.start()
            await publish_school(fleet, tmp_path, TEMPLATE)
            client = AsyncHTTPClient()
            entry = fleet.instances_by_name["diet-1"].callers
            response = await client.fetch(
                HTTPRequest(
                    f"http://{entry}/roster/42",
                    headers={"Apricotwalk-Customer": "school", "X-Echo": "mine-42"},
                ),
                raise_error=False,
            )
            assert response.code == 200, response.body
            assert response.headers["Apricotwalk-Verdict"] == "completed"
            assert response.body.startswith(b"mine-42")
            request_id = response.headers["Apricotwalk-Request"]
            for name in ("roster-1", "menu-1"):
                executions = await fleet.executions(name)
                assert [e.request for e in executions] == [request_id]
            unknown = await client.fetch(
                HTTPRequest(f"http://{entry}/roster/42", headers={"Apricotwalk-Customer": "x"}),
                raise_error=False,
            )
            assert unknown.code == 403
            assert json.loads(unknown.body)["verdict"] == "not-run"
        finally:
            await fleet.close()

    run(body())
