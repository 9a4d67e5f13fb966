"""Status reports of backend servers, as the calls in which they arrive."""

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
    cold_remaining: str = "0ms"
    born: int = 0


_decoder = msgspec.json.Decoder(_Report)


class StatusReportReader(HeartbeatReader):
    """Reads ``PUT`` and ``DELETE`` of a server under its identifier."""

    def read(self, method: str, path: str, body: bytes) -> HeartbeatCall | None:
        """Return what a call says; see `HeartbeatReader.read`."""
        path = path.partition("?")[0]
        if not path.startswith(HEARTBEAT_PREFIX):
            return None
        server = unquote(path[len(HEARTBEAT_PREFIX) :])
        if not server or "/" in server:
            return None
        if method == "DELETE":
            return HeartbeatCall(server, None, _read_start(body))
        if method != "PUT":
            return None
        return HeartbeatCall(server, _read_report(server, body))


def _read_report(server: str, body: bytes) -> Heartbeat:
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


def _read_start(body: bytes) -> int:
    """Return the start that a leave names, or 0; its body may be empty."""
    try:
        content: Any = msgspec.json.decode(body) if body else {}
    except msgspec.MsgspecError:
        return 0
    started = content.get("born", 0) if isinstance(content, dict) else 0
    return started if isinstance(started, int) else 0
