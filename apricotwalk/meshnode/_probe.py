"""A health check of the backend server, for a node that has started beside a running one."""

import asyncio
import time

from apricotwalk.border import FieldNames
from apricotwalk.core import CallFailure
from apricotwalk.fleet import ConfigurationHolder
from apricotwalk.forwarding import BackendPool, BackendRegistry
from apricotwalk.http1 import ServerAnswer, encode_field
from apricotwalk.telemetry import DecisionLog

__all__ = ["probe_backend"]

# A probe costs the server 6 ms of a slot; the first heartbeat ends the need for one.
PROBE_PAUSE_SECONDS = 0.3
# Heartbeats come each 1.5 s; later probes would only repeat what they say.
LARGEST_PROBE_COUNT = 4
# A health check waits for a slot as requests do; a full server answers no sooner.
PROBE_TIMEOUT_SECONDS = 1.0
READY = 200


async def probe_backend(
    registry: BackendRegistry,
    pool: BackendPool,
    configuration: ConfigurationHolder,
    fields: FieldNames,
    log: DecisionLog,
) -> None:
    """Ask the server until it is known, a few times at most."""
    for _ in range(LARGEST_PROBE_COUNT):
        while configuration.current is None:
            await asyncio.sleep(PROBE_PAUSE_SECONDS / 10)
        if registry.current is not None or registry.is_leaving:
            return
        service = configuration.current.services_by_name.get(registry.settings.service)
        if service is None:
            return
        await _probe_once(registry, pool, service.health_path, fields, log)
        await asyncio.sleep(PROBE_PAUSE_SECONDS)


async def _probe_once(
    registry: BackendRegistry,
    pool: BackendPool,
    path: str,
    fields: FieldNames,
    log: DecisionLog,
) -> None:
    host = encode_field("Host", str(pool.address))
    began = time.monotonic()
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            answer = await pool.send("GET", path, host, b"", "", False)
    except (CallFailure, TimeoutError) as error:
        log.believe("health-check-failed", detail=repr(error))
        return
    server = answer.values_by_name.get(fields.server_incarnation.lower().encode(), "")
    log.believe(
        "health-check-answered",
        status=answer.status,
        server=server,
        ms=round((time.monotonic() - began) * 1000, 1),
    )
    slots = _read_slots(answer, fields)
    if answer.status == READY and server and slots:
        registry.register_probed(server, slots)


def _read_slots(answer: ServerAnswer, fields: FieldNames) -> int:
    """Return the slots that the load field states, or 0."""
    text = answer.values_by_name.get(fields.load.lower().encode(), "")
    last = text.rpartition(",")[2].strip()
    return int(last) if last.isdigit() else 0
