"""Proxy between two processes that forwards TCP connections and datagrams and injects faults.

A link listens on one address and forwards to another.  It identifies the instance that opened a
connection by the instance name in the first bytes, and the sender of a datagram by its source
address, so that a fault can affect a single pair of instances.
"""

import asyncio
import random
from collections.abc import Coroutine, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

__all__ = ["Endpoint", "Link", "LinkFaults"]

CHUNK_BYTES = 65_536
POLL_INTERVAL_SECONDS = 0.1

Endpoint = tuple[str, int]


@dataclass(slots=True)
class LinkFaults:
    """Faults of one link.

    Parameters
    ----------
    blocked_sources : set of str
        Instances with which no bytes or datagrams are exchanged in either direction, on open and
        on new connections.
    is_cut : bool
        Whether to drop all traffic in both directions.
    is_return_cut : bool
        Whether to drop the bytes that the target sends on connections and forward the opposite
        direction; datagrams are not affected.
    delay_seconds : float
        Delay of each chunk of bytes read from a connection and of each datagram, in seconds.
    datagram_loss : float
        Probability that a datagram is dropped, between 0 and 1.
    """

    blocked_sources: set[str] = field(default_factory=set)
    is_cut: bool = False
    is_return_cut: bool = False
    delay_seconds: float = 0.0
    datagram_loss: float = 0.0


@dataclass(slots=True, eq=False)
class _Connection:
    writers: list[asyncio.StreamWriter]
    source: str = ""
    is_blackholed: bool = False


class Link:
    """Forward TCP connections, and optionally datagrams, between two addresses.

    Parameters
    ----------
    listen, target : (str, int)
        Address to listen on and address to forward to.
    name_by_datagram_source : mapping
        Instance name by source address of datagrams; if None, datagrams are not forwarded.
    names : list of str
        Names of the instances that may open connections.
    generator : random.Random
        Random generator that draws lost datagrams.
    """

    def __init__(
        self,
        listen: Endpoint,
        target: Endpoint,
        names: list[str],
        generator: random.Random,
        name_by_datagram_source: Mapping[Endpoint, str] | None = None,
    ) -> None:
        self.faults = LinkFaults()
        self._listen = listen
        self._target = target
        self._names = sorted(names, key=len, reverse=True)
        self._random = generator
        self._name_by_datagram_source = name_by_datagram_source
        self._server: asyncio.Server | None = None
        self._is_closing = False
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listen_transport: asyncio.DatagramTransport | None = None
        self._target_transport_by_source: dict[Endpoint, asyncio.DatagramTransport] = {}

    async def start(self) -> None:
        """Start listening; do nothing if the link is already listening."""
        if self._server is not None:
            return
        self._server = await asyncio.start_server(self._accept, *self._listen)
        if self._name_by_datagram_source is not None:
            loop = asyncio.get_running_loop()
            self._listen_transport, _ = await loop.create_datagram_endpoint(
                lambda: _ListenProtocol(self), local_addr=self._listen
            )

    def stop_listening(self) -> None:
        """Refuse new connections and drop datagrams, as if the target process had ended."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._listen_transport is not None:
            self._listen_transport.close()
            self._listen_transport = None

    def blackhole_connections(self) -> None:
        """Drop all further bytes of the open connections; new connections are not affected."""
        for connection in self._connections:
            connection.is_blackholed = True

    def reset_connections(self) -> None:
        """Abort every open connection, discarding data in transit."""
        for connection in list(self._connections):
            for writer in connection.writers:
                writer.transport.abort()

    def heal(self) -> None:
        """Remove all faults, and abort the open connections if traffic was being dropped."""
        faults = self.faults
        was_cut = faults.is_cut or faults.is_return_cut or bool(faults.blocked_sources)
        self.faults = LinkFaults()
        if was_cut:
            self.reset_connections()

    async def close(self) -> None:
        """Stop listening, abort every connection and cancel all tasks."""
        self._is_closing = True
        self.stop_listening()
        self.reset_connections()
        await self._wait_until_disconnected()
        for transport in self._target_transport_by_source.values():
            transport.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def forward_datagram(self, data: bytes, source: Endpoint) -> None:
        """Forward a datagram from `source` to the target, unless a fault drops it."""
        name = (self._name_by_datagram_source or {}).get(source, "")
        if not self._passes_datagram(name):
            return
        await self._delay()
        transport = self._target_transport_by_source.get(source)
        if transport is None:
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                lambda: _TargetProtocol(self, source, name), remote_addr=self._target
            )
            self._target_transport_by_source[source] = transport
        transport.sendto(data)

    async def return_datagram(self, data: bytes, source: Endpoint, name: str) -> None:
        """Forward a datagram from the target back to `source`, unless a fault drops it."""
        if not self._passes_datagram(name):
            return
        await self._delay()
        if self._listen_transport is not None:
            self._listen_transport.sendto(data, source)

    def spawn(self, body: Coroutine[Any, Any, None]) -> None:
        """Run `body` in a task that is cancelled when the link closes."""
        task = asyncio.create_task(body)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _wait_until_disconnected(self) -> None:
        while self._connections:
            await asyncio.sleep(POLL_INTERVAL_SECONDS / 2)

    def _passes_datagram(self, name: str) -> bool:
        if self.faults.is_cut or name in self.faults.blocked_sources:
            return False
        return self._random.random() >= self.faults.datagram_loss

    async def _delay(self) -> None:
        if self.faults.delay_seconds:
            await asyncio.sleep(self.faults.delay_seconds)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _Connection([writer])
        self._connections.add(connection)
        try:
            await self._forward(connection, reader, writer)
        except OSError:
            pass
        finally:
            self._connections.discard(connection)
            for open_writer in connection.writers:
                open_writer.transport.abort()

    async def _forward(
        self, connection: _Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        connection.writers.append(target_writer)
        request_copier = asyncio.ensure_future(self._copy(connection, reader, target_writer))
        answer_copier = asyncio.ensure_future(
            self._copy(connection, target_reader, writer, is_return=True)
        )
        try:
            await asyncio.wait([request_copier, answer_copier], return_when=asyncio.FIRST_COMPLETED)
            while self._drops_data(connection) and not self._is_closing:
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
        finally:
            for copier in (request_copier, answer_copier):
                copier.cancel()
            await asyncio.gather(request_copier, answer_copier, return_exceptions=True)

    async def _copy(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_return: bool = False,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if not connection.source:
                    connection.source = self._find_source(data)
                await self._delay()
                if self._drops_data(connection) or (is_return and self.faults.is_return_cut):
                    continue
                writer.write(data)
                await writer.drain()

    def _drops_data(self, connection: _Connection) -> bool:
        faults = self.faults
        return (
            connection.is_blackholed or faults.is_cut or connection.source in faults.blocked_sources
        )

    def _find_source(self, data: bytes) -> str:
        for name in self._names:
            if name.encode() in data:
                return name
        return ""


class _ListenProtocol(asyncio.DatagramProtocol):
    def __init__(self, link: Link) -> None:
        self._link = link

    def datagram_received(self, data: bytes, addr: Endpoint) -> None:
        self._link.spawn(self._link.forward_datagram(data, addr))


class _TargetProtocol(asyncio.DatagramProtocol):
    def __init__(self, link: Link, source: Endpoint, name: str) -> None:
        self._link = link
        self._source = source
        self._name = name

    def datagram_received(self, data: bytes, addr: Endpoint) -> None:
        self._link.spawn(self._link.return_datagram(data, self._source, self._name))
