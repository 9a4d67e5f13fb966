"""Decoder of the calls in which backend servers send status reports."""

from typing import Any
from urllib.parse import unquote

import msgspec
from msgspec import Struct

from apricotwalk.border import Heartbeat, HeartbeatCall, HeartbeatReader
from apricotwalk.core import SettingsError, WireError
from apricotwalk.platform._names import HEARTBEAT_PREFIX
from apricotwalk.platform._units import parse_seconds
from apricotwalk.settings import Address

__all__ = ["StatusReportReader"]

_LEAVING_BY_STATE = {"ready": False, "draining": True}


class _Report(Struct, rename="kebab"):
    service: str
    address: str
    slots: int
    state: str
    seq: int
    cold_remaining: str = "0ms"  # The warm-up ends after this time.
    born: int = 0  # The server started at this Unix time in milliseconds.


_decoder = msgspec.json.Decoder(_Report)


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
        if method == "DELETE":
            return HeartbeatCall(server, None, _parse_start_time(body))
        if method != "PUT":
            return None
        return HeartbeatCall(server, _parse_report(server, body))


def _parse_report(server: str, body: bytes) -> Heartbeat:
    try:
        report = _decoder.decode(body)
        is_leaving = _LEAVING_BY_STATE.get(report.state)
        if is_leaving is None:
            raise ValueError(f"state: unknown state {report.state!r}")
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
    except (msgspec.MsgspecError, ValueError, SettingsError) as error:
        raise WireError(f"report of server {server!r}: {error}") from error


def _parse_start_time(body: bytes) -> int:
    """Return the start time in a departure notice, or 0 if the body is empty or malformed."""
    try:
        content: Any = msgspec.json.decode(body) if body else {}
    except msgspec.MsgspecError:
        return 0
    started_ms = content.get("born", 0) if isinstance(content, dict) else 0
    return started_ms if isinstance(started_ms, int) else 0
