"""Tests of the faults that the link proxy injects between two processes."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest

from apricotwalk_lab.processes import free_ports
from apricotwalk_lab.standins.link import Link

WAIT_SECONDS = 0.3


@asynccontextmanager
async def echoing_link():
    """Start an echo server and a link to it; yield the link and the address to connect to."""
    address, target = (("127.0.0.1", port) for port in free_ports(2))

    async def echo(reader, writer):
        while data := await reader.read(1000):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, *target)
    link = Link(address, target, ["menu-1", "menu-10"], random.Random(1))
    await link.start()
    try:
        yield link, address
    finally:
        await link.close()
        server.close()


async def exchange(connection, text):
    """Send `text` and return the answer, or None if there is none within `WAIT_SECONDS`."""
    reader, writer = connection
    writer.write(text)
    try:
        return await asyncio.wait_for(reader.read(1000), WAIT_SECONDS)
    except TimeoutError:
        return None


def test_silence_affects_open_connections_only(run):
    async def body():
        async with echoing_link() as (link, address):
            old = await asyncio.open_connection(*address)
            assert await exchange(old, b"menu-1") == b"menu-1"
            link.blackhole_connections()
            assert await exchange(old, b"more") is None
            new = await asyncio.open_connection(*address)
            assert await exchange(new, b"menu-1") == b"menu-1"

    run(body())


@pytest.mark.parametrize(("name", "expected"), [(b"menu-10", None), (b"menu-1,", b"menu-1,")])
def test_cut_affects_the_named_instance_only(run, name, expected):
    async def body():
        async with echoing_link() as (link, address):
            link.faults.blocked_sources.add("menu-10")
            connection = await asyncio.open_connection(*address)
            assert await exchange(connection, name) == expected

    run(body())


def test_healing_closes_connections_that_were_cut(run):
    async def body():
        async with echoing_link() as (link, address):
            connection = await asyncio.open_connection(*address)
            assert await exchange(connection, b"menu-1") == b"menu-1"
            link.faults.is_cut = True
            assert await exchange(connection, b"lost") is None
            link.heal()
            assert not await asyncio.wait_for(connection[0].read(1), 2 * WAIT_SECONDS)

    run(body())


def test_stopped_link_refuses_connections(run):
    async def body():
        async with echoing_link() as (link, address):
            link.stop_listening()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*address)

    run(body())
