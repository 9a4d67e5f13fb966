"""Health check of a backend server that was running before its node started."""

import asyncio
import time

from apricotwalk.border import MAX_SLOT_COUNT, HeaderFieldNames
from apricotwalk.core import CallFailure, parse_count
from apricotwalk.fleet import ConfigurationHolder
from apricotwalk.forwarding import AnnouncementReader, BackendPool, BackendRegistry
from apricotwalk.http1 import ServerAnswer, encode_field
from apricotwalk.telemetry import DecisionLog

__all__ = ["probe_backend"]

# A probe occupies a slot of the server for 6 ms.  Probes stop after the first heartbeat.
PROBE_INTERVAL_SECONDS = 0.3
# Heartbeats arrive every 1.5 s, so later probes would give no new information.
MAX_PROBE_COUNT = 4
# A server that does not confirm its report within this number of probes is leaving, or confirms it
# by its further reports.
MAX_CONFIRMATION_PROBE_COUNT = 10
# A health check waits for a slot like any request, so a full server answers late.
PROBE_TIMEOUT_SECONDS = 1.0
READY_STATUS = 200


async def probe_backend(
    registry: BackendRegistry,
    pool: BackendPool,
    configuration: ConfigurationHolder,
    fields: HeaderFieldNames,
    log: DecisionLog,
) -> None:
    """Probe the backend server until it is registered or ``MAX_PROBE_COUNT`` probes have failed.

    While the server has to confirm a report, see `BackendRegistry`, the limit is
    ``MAX_CONFIRMATION_PROBE_COUNT``.

    Parameters
    ----------
    registry : BackendRegistry
        Registry in which a server that answers is registered.
    pool : BackendPool
        Connections to the backend server.
    configuration : ConfigurationHolder
        Gives the health check path of the service; no probe is sent before it is available.
    fields : HeaderFieldNames
        Names of the header fields with the server's incarnation and load.
    log : DecisionLog
        Log for the results.
    """
    probe_count = 0
    while probe_count < (
        MAX_CONFIRMATION_PROBE_COUNT if registry.awaits_confirmation else MAX_PROBE_COUNT
    ):
        probe_count += 1
        while configuration.current is None:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS / 10)
        if registry.current is not None or registry.is_leaving:
            return
        service = configuration.current.services_by_name.get(registry.settings.service)
        if service is None:
            return
        await _probe_once(registry, pool, service.health_path, fields, log)
        await asyncio.sleep(PROBE_INTERVAL_SECONDS)


async def _probe_once(
    registry: BackendRegistry,
    pool: BackendPool,
    path: str,
    fields: HeaderFieldNames,
    log: DecisionLog,
) -> None:
    host = encode_field("Host", str(pool.address))
    began = time.monotonic()
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            answer = await pool.send("GET", path, host, b"", "", False)
    except (CallFailure, TimeoutError) as error:
        log.record_state_change("health-check-failed", detail=repr(error))
        return
    server = answer.values_by_name.get(fields.server_incarnation.lower().encode(), "")
    log.record_state_change(
        "health-check-answered",
        status=answer.status,
        server=server,
        ms=round((time.monotonic() - began) * 1000, 1),
    )
    slots = _read_slots(answer, fields)
    announcement = AnnouncementReader(fields).read(answer)
    if fields.not_run.lower().encode() in answer.values_by_name:
        # A full server rejects health checks like requests, which does not show that it leaves.
        registry.confirm("rejected health check")
        return
    if answer.status != READY_STATUS or announcement.is_leaving or not server or not slots:
        return
    registry.register_probed(server, slots)
    if registry.current is not None and registry.current.server == server:
        registry.record_answer(registry.current, announcement)


def _read_slots(answer: ServerAnswer, fields: HeaderFieldNames) -> int:
    """Return the slot count in the load field, or 0 if it is missing or not a number."""
    text = answer.values_by_name.get(fields.load.lower().encode(), "")
    try:
        return parse_count(text.rpartition(",")[2].strip(), MAX_SLOT_COUNT)
    except ValueError:
        return 0
