"""A stand-in for the network between two processes: forwards bytes and datagrams, with faults.

A link listens on one address and forwards to another.  It knows who opened a connection by the
instance name in its first bytes, and who sent a datagram by the address that it came from, so
a cut can concern one pair of instances only.
"""

import asyncio
import random
from collections.abc import Coroutine, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

__all__ = ["Endpoint", "Link", "LinkFaults"]

CHUNK_BYTES = 65_536
HELD_CHECK_SECONDS = 0.1

Endpoint = tuple[str, int]


@dataclass(slots=True)
class LinkFaults:
    """Faults of one link.

    Parameters
    ----------
    cut_sources : set of str
        Instances whose bytes and datagrams are swallowed, on open and on new connections.
    is_cut : bool
        Swallow everything.
    is_cut_back : bool
        Swallow what the target sends, and let the other way pass.
    delay_seconds : float
        Time that each chunk and datagram waits.
    datagram_loss : float
        Share of datagrams that are lost.
    """

    blocked_sources: set[str] = field(default_factory=set)
    is_cut: bool = False
    is_cut_back: bool = False
    delay_seconds: float = 0.0
    datagram_loss: float = 0.0


@dataclass(slots=True, eq=False)
class _Connection:
    writers: list[asyncio.StreamWriter]
    source: str = ""
    is_silent: bool = False


class Link:
    """Forwards TCP connections, and datagrams where asked, between two addresses.

    Parameters
    ----------
    listen, target : (str, int)
        Where to listen and where to forward to.
    name_by_datagram_source : mapping
        Instance behind each address that sends datagrams; None forwards no datagrams.
    names : list of str
        Instances that may open connections.
    generator : random.Random
        Source of randomness for lost datagrams.
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
        self._entrance: asyncio.DatagramTransport | None = None
        self._exits_by_source: dict[Endpoint, asyncio.DatagramTransport] = {}

    async def start(self) -> None:
        """Begin to listen; does nothing if it listens already."""
        if self._server is not None:
            return
        self._server = await asyncio.start_server(self._accept, *self._listen)
        if self._name_by_datagram_source is not None:
            loop = asyncio.get_running_loop()
            self._entrance, _ = await loop.create_datagram_endpoint(
                lambda: _Entrance(self), local_addr=self._listen
            )

    def stop_listening(self) -> None:
        """Refuse new connections and drop datagrams, as when the target's process is gone."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._entrance is not None:
            self._entrance.close()
            self._entrance = None

    def blackhole_connections(self) -> None:
        """Swallow all further bytes of the connections open now; new ones work."""
        for connection in self._connections:
            connection.is_silent = True

    def reset_connections(self) -> None:
        """Close every open connection, in the middle of whatever it carries."""
        for connection in list(self._connections):
            for writer in connection.writers:
                writer.transport.abort()

    def heal(self) -> None:
        """Remove every fault; connections that were cut for a while close."""
        faults = self.faults
        was_cut = faults.is_cut or faults.is_cut_back or bool(faults.blocked_sources)
        self.faults = LinkFaults()
        if was_cut:
            self.reset_connections()

    async def close(self) -> None:
        """Stop and close every connection."""
        self._is_closing = True
        self.stop_listening()
        self.reset_connections()
        await self._wait_for_connections()
        for transport in self._exits_by_source.values():
            transport.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def forward_datagram(self, data: bytes, source: Endpoint) -> None:
        """Forward a datagram to the target."""
        name = (self._name_by_datagram_source or {}).get(source, "")
        if not self._lets_datagram_pass(name):
            return
        await self._delay()
        way_out = self._exits_by_source.get(source)
        if way_out is None:
            loop = asyncio.get_running_loop()
            way_out, _ = await loop.create_datagram_endpoint(
                lambda: _Exit(self, source, name), remote_addr=self._target
            )
            self._exits_by_source[source] = way_out
        way_out.sendto(data)

    async def return_datagram(self, data: bytes, source: Endpoint, name: str) -> None:
        """Return the target's datagram to whom it answers."""
        if not self._lets_datagram_pass(name):
            return
        await self._delay()
        if self._entrance is not None:
            self._entrance.sendto(data, source)

    def spawn(self, body: Coroutine[Any, Any, None]) -> None:
        """Run `body` in a task that ends with the link."""
        task = asyncio.create_task(body)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _wait_for_connections(self) -> None:
        while self._connections:
            await asyncio.sleep(HELD_CHECK_SECONDS / 2)

    def _lets_datagram_pass(self, name: str) -> bool:
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
            for each in connection.writers:
                each.transport.abort()

    async def _forward(
        self, connection: _Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        connection.writers.append(target_writer)
        there = asyncio.ensure_future(self._pump(connection, reader, target_writer))
        back = asyncio.ensure_future(self._pump(connection, target_reader, writer, is_back=True))
        try:
            await asyncio.wait([there, back], return_when=asyncio.FIRST_COMPLETED)
            while self._swallows(connection) and not self._is_closing:
                await asyncio.sleep(HELD_CHECK_SECONDS)
        finally:
            for pump in (there, back):
                pump.cancel()
            await asyncio.gather(there, back, return_exceptions=True)

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_back: bool = False,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if not connection.source:
                    connection.source = self._find_source(data)
                await self._delay()
                if self._swallows(connection) or (is_back and self.faults.is_cut_back):
                    continue
                writer.write(data)
                await writer.drain()

    def _swallows(self, connection: _Connection) -> bool:
        faults = self.faults
        return connection.is_silent or faults.is_cut or connection.source in faults.blocked_sources

    def _find_source(self, data: bytes) -> str:
        for name in self._names:
            if name.encode() in data:
                return name
        return ""


class _Entrance(asyncio.DatagramProtocol):
    def __init__(self, link: Link) -> None:
        self._link = link

    def datagram_received(self, data: bytes, addr: Endpoint) -> None:
        self._link.spawn(self._link.forward_datagram(data, addr))


class _Exit(asyncio.DatagramProtocol):
    def __init__(self, link: Link, source: Endpoint, name: str) -> None:
        self._link = link
        self._source = source
        self._name = name

    def datagram_received(self, data: bytes, addr: Endpoint) -> None:
        self._link.spawn(self._link.return_datagram(data, self._source, self._name))
