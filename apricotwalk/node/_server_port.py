"""HTTP listener for the local backend server and the operator's command-line tool."""

from collections.abc import Awaitable, Callable

import msgspec

from apricotwalk.core import (
    ALL_ON,
    CallFailure,
    MechanismSwitches,
    Verdict,
    WireError,
    decode_payload,
)
from apricotwalk.node._announcements import Announcement, ServerRegistry
from apricotwalk.node._status import StatusReporter
from apricotwalk.serving import Answer, InnerCalls
from apricotwalk.serving._headers import CALL_HEADER
from apricotwalk.serving._http_port import HttpPort
from apricotwalk.serving._request import Request
from apricotwalk.settings import Address

__all__ = ["ServerPort"]

CONTROL_PATH_PREFIX = "/apricotwalk/"

_announcement_decoder = msgspec.json.Decoder(Announcement)


class ServerPort(HttpPort):
    """Serves announcements, inner calls, and status and event queries.

    Parameters
    ----------
    address : Address
        Address to listen on.
    max_body_bytes : int
        Size limit for the body of a request; a larger one is rejected.
    inner_calls : InnerCalls
        Handles the calls that the backend server makes while it serves a call.
    registry : ServerRegistry
        Handles announcements of the backend server.
    status : StatusReporter
        Reports the state and the recent events of the node.
    switches : MechanismSwitches
        Mechanisms that are enabled.
    """

    def __init__(
        self,
        address: Address,
        max_body_bytes: int,
        inner_calls: InnerCalls,
        registry: ServerRegistry,
        status: StatusReporter,
        switches: MechanismSwitches = ALL_ON,
    ) -> None:
        super().__init__(address, max_body_bytes, switches)
        self._inner_calls = inner_calls
        self._registry = registry
        self._status = status
        self._handlers: dict[tuple[str, str], Callable[[Request], Awaitable[bytes]]] = {
            ("POST", "announce"): self._announce,
            ("POST", "leave"): self._leave,
            ("GET", "status"): self._report_status,
            ("GET", "events"): self._report_events,
        }

    async def answer(self, request: Request) -> Answer:
        """Handle an inner call or a control request.

        Raises
        ------
        CallFailure
            If the request is neither an inner call nor a known control request.
        """
        if CALL_HEADER in request.headers:
            return await self._inner_calls.answer(request)
        if request.path.startswith(CONTROL_PATH_PREFIX):
            handler = self._handlers.get((request.method, request.path[len(CONTROL_PATH_PREFIX) :]))
            if handler is not None:
                body = await handler(request)
                return Answer(Verdict.COMPLETED, 200, [("Content-Type", "application/json")], body)
        raise CallFailure(
            Verdict.NOT_RUN,
            "unknown-call",
            f"{request.method} {request.path} is no control request and names no active call",
            404,
        )

    async def _announce(self, request: Request) -> bytes:
        try:
            announcement = decode_payload(_announcement_decoder, request.body, "announcement")
        except WireError as error:
            raise CallFailure(Verdict.NOT_RUN, "malformed-announcement", str(error), 400) from error
        await self._registry.announce(announcement)
        return b"{}"

    async def _leave(self, request: Request) -> bytes:
        self._registry.leave()
        return b"{}"

    async def _report_status(self, request: Request) -> bytes:
        return msgspec.json.encode(self._status.status())

    async def _report_events(self, request: Request) -> bytes:
        request_id = request.arguments.get("request", [b""])[0].decode("utf-8", "replace")
        return msgspec.json.encode(self._status.events(request_id))
