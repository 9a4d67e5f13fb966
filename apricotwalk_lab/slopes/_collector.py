"""Receives the reports of the light nodes."""

import asyncio

import msgspec

from apricotwalk_lab.slopes._messages import Report

__all__ = ["Collector"]

_decoder = msgspec.msgpack.Decoder(Report)


class Collector(asyncio.DatagramProtocol):
    """UDP receiver that keeps the last report of each light node."""

    def __init__(self) -> None:
        self.reports_by_instance: dict[str, Report] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> str:
        """Listen on a free loopback port and return the address as ``HOST:PORT``."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        host, port = self._transport.get_extra_info("sockname")
        return f"{host}:{port}"

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Store a report in place of the previous one of its node."""
        report = _decoder.decode(data)
        self.reports_by_instance[report.instance] = report
