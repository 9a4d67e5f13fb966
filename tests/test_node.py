"""Test of node processes with shared keys while records expire and the log service is down."""

import asyncio

import pytest

from apricotwalk.logservice import HttpLogService
from apricotwalk.policy import (
    CONFIGURATION_STREAM,
    Customer,
    PolicyRecord,
    Route,
    Template,
    encode_record,
)
from apricotwalk.settings import Address
from apricotwalk_lab.processes import Fleet, InstancePlan

WAIT_SECONDS = 60
RETENTION_SECONDS = 5.0
RECORDS: list[PolicyRecord] = [
    Template("school", 1, [Route("menu", "GET", "/", "menu", 0, deadline_ms=500.0)]),
    Customer("accra", 1, "school", 1),
]


@pytest.fixture
def fleet(tmp_path):
    plans = [InstancePlan("menu-1", "menu"), InstancePlan("menu-2", "menu")]
    keys = [{"id": "may", "secret": "0123456789abcdef"}]
    return Fleet(tmp_path, plans, RETENTION_SECONDS, {"keys": keys})


async def wait_until_serving(fleet, name):
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            try:
                status = await fleet.status(name)
            except OSError:
                status = {"customers": {}, "members": 0}
            if status["customers"] == {"accra": 1} and status["members"] == 2:
                return
            await asyncio.sleep(0.05)


async def wait_until_expired(log):
    async with asyncio.timeout(WAIT_SECONDS):
        while (await log.read(CONFIGURATION_STREAM, 0)).first_offset < len(RECORDS):
            await asyncio.sleep(0.1)


@pytest.mark.processes
def test_configuration_survives_retention_an_outage_and_restarts(run, fleet):
    async def body():
        log = HttpLogService(Address.parse(fleet.log_address))
        try:
            await fleet.start()
            await log.append(CONFIGURATION_STREAM, [encode_record(each) for each in RECORDS])
            await fleet.wait_for_customer("accra")
            await wait_until_expired(log)
            fleet.instances_by_name["menu-1"].node_process.kill()
            fleet.start_node("menu-1")
            await wait_until_serving(fleet, "menu-1")
            await fleet.set_log_faults({"is_down": True})
            fleet.instances_by_name["menu-2"].node_process.kill()
            fleet.start_node("menu-2")
            await wait_until_serving(fleet, "menu-2")
        finally:
            log.close()
            await fleet.close()

    run(body())
