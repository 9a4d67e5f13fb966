"""Questions to nodes on their listener for servers."""

import asyncio
import urllib.parse
from typing import TypeVar

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from apricotwalk.cli._exits import UnreachableError
from apricotwalk.settings import Address
from apricotwalk.telemetry import EventReport, NodeStatus

__all__ = ["NodeAnswer", "NodeClient"]

TIMEOUT_SECONDS = 3.0
LARGEST_ANSWER_BYTES = 64 * 1024 * 1024
DRAIN_CHECK_SECONDS = 0.1

Content = TypeVar("Content")


class NodeAnswer(msgspec.Struct):
    """What one node said, or why it said nothing.

    Parameters
    ----------
    address : str
        The node that was asked.
    status : NodeStatus, optional
        Its state.
    error : str
        Why there is none.
    """

    address: str
    status: NodeStatus | None = None
    error: str = ""


class NodeClient:
    """Asks several nodes at once."""

    def __init__(self) -> None:
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=100, max_body_size=LARGEST_ANSWER_BYTES
        )

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def status(self, address: Address) -> NodeAnswer:
        """Return the state of one node; a silent node is reported, not raised."""
        try:
            status = await self._fetch(address, "GET", "status", NodeStatus)
        except UnreachableError as error:
            return NodeAnswer(str(address), error=str(error))
        return NodeAnswer(str(address), status)

    async def statuses(self, addresses: list[Address]) -> list[NodeAnswer]:
        """Return the state of several nodes in the order of their addresses."""
        return await asyncio.gather(*(self.status(address) for address in addresses))

    async def events(self, address: Address, request_id: str) -> list[EventReport]:
        """Return the events that one node keeps of a request, or all.

        Raises
        ------
        UnreachableError
            If the node gives no usable answer.
        """
        query = urllib.parse.urlencode({"request": request_id})
        return await self._fetch(address, "GET", f"events?{query}", list[EventReport])

    async def drain(self, address: Address, wait_seconds: float) -> NodeAnswer:
        """Have a node take no new work and wait until its work in flight has ended."""
        await self._fetch(address, "POST", "leave", dict[str, object])
        loop = asyncio.get_running_loop()
        give_up = loop.time() + wait_seconds
        while True:
            answer = await self.status(address)
            if answer.status is None or answer.status.in_flight == 0:
                return answer
            if loop.time() >= give_up:
                answer.error = f"{answer.status.in_flight} calls still in flight"
                return answer
            await asyncio.sleep(DRAIN_CHECK_SECONDS)

    async def _fetch(
        self, address: Address, method: str, question: str, model: type[Content]
    ) -> Content:
        request = HTTPRequest(
            f"http://{address}/apricotwalk/{question}",
            method=method,
            body=b"" if method == "POST" else None,
            connect_timeout=TIMEOUT_SECONDS,
            request_timeout=TIMEOUT_SECONDS,
        )
        try:
            response = await self._client.fetch(request)
            return msgspec.json.decode(response.body, type=model)
        except (OSError, HTTPClientError, msgspec.MsgspecError) as error:
            raise UnreachableError(f"node {address}: {error}") from error
