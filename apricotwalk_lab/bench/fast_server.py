"""Backend server that responds without delay, so that node overhead dominates the latency.

``GET /hold`` never receives a response.  ``GET /held`` returns the call identifier of the latest
``GET /hold`` request, which the benchmark uses to make inner calls.
"""

import argparse
import asyncio
import http.client
import json

__all__ = ["FastServer", "main"]

ANNOUNCE_INTERVAL_SECONDS = 1.0
ANNOUNCE_TIMEOUT_SECONDS = 1.0
SLOT_COUNT = 64
RESPONSE_BODY = b"x" * 64
CALL_HEADER = b"apricotwalk-call:"


def _response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class FastServer(asyncio.Protocol):
    """Protocol that responds to requests without a body on one connection.

    Attributes
    ----------
    held_call_id : bytes
        Call identifier of the latest ``GET /hold`` request on any connection.
    """

    held_call_id = b""

    def __init__(self) -> None:
        self._buffer = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for responses."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Respond to each complete request in the buffer."""
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            head, self._buffer = self._buffer.split(b"\r\n\r\n", 1)
            self._answer(head)

    def _answer(self, head: bytes) -> None:
        assert self._transport is not None
        if head.startswith(b"GET /hold "):
            FastServer.held_call_id = _call_id(head)
        elif head.startswith(b"GET /held "):
            self._transport.write(_response(FastServer.held_call_id))
        else:
            self._transport.write(_response(RESPONSE_BODY))


def _call_id(head: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        if line.lower().startswith(CALL_HEADER):
            return line[len(CALL_HEADER) :].strip()
    return b""


def _announce(node: str, service: str, address: str) -> None:
    body = json.dumps({"service": service, "address": address, "slots": SLOT_COUNT})
    connection = http.client.HTTPConnection(node, timeout=ANNOUNCE_TIMEOUT_SECONDS)
    try:
        connection.request("POST", "/apricotwalk/announce", body)
        connection.getresponse().read()
    except (OSError, http.client.HTTPException):
        return
    finally:
        connection.close()


async def _serve(address: str, node: str, service: str) -> None:
    host, port = address.rsplit(":", 1)
    await asyncio.get_running_loop().create_server(FastServer, host, int(port))
    while True:
        await asyncio.to_thread(_announce, node, service, address)
        await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)


def main() -> None:
    """Run the server and announce it to its node every second."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("node")
    parser.add_argument("service")
    arguments = parser.parse_args()
    asyncio.run(_serve(arguments.address, arguments.node, arguments.service))


if __name__ == "__main__":
    main()
