"""Decoder of the calls in which backend servers send status reports."""

from typing import Annotated
from urllib.parse import unquote

import msgspec
from loguru import logger
from msgspec import Meta, Struct

from apricotwalk.border import MAX_SLOT_COUNT, Heartbeat, HeartbeatCall, HeartbeatReader
from apricotwalk.core import MAX_COUNT, SettingsError, WireError, decode_payload
from apricotwalk.platform._names import HEARTBEAT_PREFIX
from apricotwalk.platform._units import parse_seconds
from apricotwalk.settings import Address

__all__ = ["StatusReportReader"]

_LEAVING_BY_STATE = {"ready": False, "draining": True}


# An incarnation is a short name, which is repeated in logs and in messages between nodes.
MAX_INCARNATION_LENGTH = 200

_Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]


class _Report(Struct, rename="kebab"):
    service: str
    address: str
    slots: Annotated[int, Meta(ge=0, le=MAX_SLOT_COUNT)]
    state: str
    seq: _Count
    cold_remaining: str = "0ms"  # The warm-up ends after this time.
    born: _Count = 0  # The server started at this Unix time in milliseconds.


class _DepartureNotice(Struct):
    born: _Count = 0


_decoder = msgspec.json.Decoder(_Report)
_departure_decoder = msgspec.json.Decoder(_DepartureNotice)


class StatusReportReader(HeartbeatReader):
    """Decodes ``PUT`` (status report) and ``DELETE`` (departure notice) calls.

    The last segment of the path is the incarnation of the backend server.
    """

    def read(self, method: str, path: str, body: bytes) -> HeartbeatCall | None:
        """Decode a call; see `HeartbeatReader.read`."""
        path = path.partition("?")[0]
        if not path.startswith(HEARTBEAT_PREFIX):
            return None
        server = unquote(path[len(HEARTBEAT_PREFIX) :])
        if not server or "/" in server:
            return None
        if len(server) > MAX_INCARNATION_LENGTH:
            raise WireError(f"report of a server whose name has {len(server)} characters")
        if method == "DELETE":
            return HeartbeatCall(server, None, _parse_start_time(body))
        if method != "PUT":
            return None
        return HeartbeatCall(server, _parse_report(server, body))


def _parse_report(server: str, body: bytes) -> Heartbeat:
    try:
        report = decode_payload(_decoder, body, "report")
        is_leaving = _LEAVING_BY_STATE.get(report.state)
        if is_leaving is None:
            raise ValueError(f"state: unknown state {report.state[:40]!r}")
        return Heartbeat(
            server=server,
            started_ms=report.born,
            sequence=report.seq,
            service=report.service,
            address=Address.parse(report.address),
            slots=max(1, report.slots),
            is_leaving=is_leaving,
            warm_up_seconds=parse_seconds(report.cold_remaining),
        )
    except (WireError, ValueError, SettingsError) as error:
        raise WireError(f"report of server {server!r}: {error}") from error


def _parse_start_time(body: bytes) -> int:
    """Return the start time in a departure notice, or 0 if the body is empty or malformed."""
    try:
        return decode_payload(_departure_decoder, body, "departure notice").born if body else 0
    except WireError as error:
        logger.warning("departure notice without a usable start time: {}", error)
        return 0
