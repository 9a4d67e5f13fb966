"""HTTP client for the control requests of nodes."""

import asyncio
import urllib.parse
from typing import TypeVar

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from apricotwalk.cli._exits import UnreachableError
from apricotwalk.core import WireError, decode_payload
from apricotwalk.settings import Address
from apricotwalk.telemetry import EventReport, NodeStatus

__all__ = ["NodeClient", "NodeResponse"]

TIMEOUT_SECONDS = 3.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
DRAIN_CHECK_SECONDS = 0.1

Content = TypeVar("Content")


class NodeResponse(msgspec.Struct):
    """Status of one node, or the reason why it is unavailable.

    Parameters
    ----------
    address : str
        Address of the node.
    status : NodeStatus, optional
        Status of the node, if it answered.
    error : str
        Error message; empty if the request succeeded.
    """

    address: str
    status: NodeStatus | None = None
    error: str = ""


class NodeClient:
    """Queries and drains nodes over HTTP."""

    def __init__(self) -> None:
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=100, max_body_size=MAX_RESPONSE_BYTES
        )

    def close(self) -> None:
        """Close all connections to nodes."""
        self._client.close()

    async def status(self, address: Address) -> NodeResponse:
        """Fetch the status of one node.

        Notes
        -----
        An unreachable node gives a response with an error message instead of an exception.
        """
        try:
            status = await self._fetch(address, "GET", "status", NodeStatus)
        except UnreachableError as error:
            return NodeResponse(str(address), error=str(error))
        return NodeResponse(str(address), status)

    async def statuses(self, addresses: list[Address]) -> list[NodeResponse]:
        """Fetch the status of several nodes concurrently, in the order of `addresses`."""
        return await asyncio.gather(*(self.status(address) for address in addresses))

    async def events(self, address: Address, request_id: str) -> list[EventReport]:
        """Fetch the recorded events of one node.

        Parameters
        ----------
        address : Address
            Address of the node.
        request_id : str
            Request whose events are returned; an empty string selects all events.

        Raises
        ------
        UnreachableError
            If the node does not answer or its answer is invalid.
        """
        query = urllib.parse.urlencode({"request": request_id})
        return await self._fetch(address, "GET", f"events?{query}", list[EventReport])

    async def drain(self, address: Address, wait_seconds: float) -> NodeResponse:
        """Stop a node from accepting work and wait until no calls are in flight.

        Parameters
        ----------
        address : Address
            Address of the node.
        wait_seconds : float
            Maximum time to wait for calls in flight.

        Returns
        -------
        NodeResponse
            Last status of the node, with an error message if calls are still in flight or the
            node no longer answers.

        Raises
        ------
        UnreachableError
            If the node does not accept the drain request.
        """
        await self._fetch(address, "POST", "leave", dict[str, object])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_seconds
        while True:
            response = await self.status(address)
            if response.status is None or response.status.in_flight == 0:
                return response
            if loop.time() >= deadline:
                response.error = f"{response.status.in_flight} calls still in flight"
                return response
            await asyncio.sleep(DRAIN_CHECK_SECONDS)

    async def _fetch(
        self, address: Address, method: str, endpoint: str, model: type[Content]
    ) -> Content:
        request = HTTPRequest(
            f"http://{address}/apricotwalk/{endpoint}",
            method=method,
            body=b"" if method == "POST" else None,
            connect_timeout=TIMEOUT_SECONDS,
            request_timeout=TIMEOUT_SECONDS,
        )
        try:
            response = await self._client.fetch(request)
            return decode_payload(msgspec.json.Decoder(model), response.body, "answer")
        except (OSError, HTTPClientError, WireError) as error:
            raise UnreachableError(f"node {address}: {error}") from error
