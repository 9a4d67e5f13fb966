"""The node processes of a run, with what surrounds each of them."""

import asyncio
import os
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from apricotwalk.core import Service
from apricotwalk_lab.soak._pages import (
    BACKEND_PORT,
    SETTINGS_VARIABLE,
    STOP_SECONDS,
    STORE_PORT,
    settings_text,
)
from apricotwalk_lab.soak._records import Records
from apricotwalk_lab.soak._server import BackendServerStandIn
from apricotwalk_lab.standins.link import Link

__all__ = ["NodeInstance"]

# Where the server itself listens; the node reaches it over a link.
SERVER_PORT = 8401
# The platform starts a process again after a short pause.
RESTART_SECONDS = 0.4


class NodeInstance(Service):
    """An instance: the node process, its server, and the links to the server and the store.

    Parameters
    ----------
    name, service, host : str
        The instance.
    store : (str, int)
        Where the store listens.
    directory : Path
        Receives the settings and the node's output.
    records : Records
        Receives what the server runs.
    clock : callable
        Seconds since callers began.
    generator : random.Random
        Source of randomness of the stand-ins.
    """

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        store: tuple[str, int],
        directory: Path,
        records: Records,
        clock: Callable[[], float],
        generator: random.Random,
    ) -> None:
        self.name, self.host = name, host
        self._clock = clock
        self._settings = directory / f"{name}.conf"
        self._settings.write_text(settings_text(name, host, service, "z"))
        self._output = directory / f"{name}.log"
        self.server = BackendServerStandIn(
            name, service, host, SERVER_PORT, records, clock, generator
        )
        self.server_link = Link((host, BACKEND_PORT), (host, SERVER_PORT), [], generator)
        self.store_link = Link((host, STORE_PORT), store, [], generator)
        self._process: asyncio.subprocess.Process | None = None
        self._keeper: asyncio.Task[None] | None = None
        self.started_at: list[float] = []
        self.own_ends: list[str] = []
        self._is_exit_expected = False

    async def start(self) -> None:
        """Start the links, the server and the node."""
        await self.server_link.start()
        await self.store_link.start()
        await self.server.start()
        self._keeper = asyncio.create_task(self._keep_running())

    async def close(self) -> None:
        """End everything that was started."""
        if self._keeper is not None:
            self._keeper.cancel()
            await asyncio.gather(self._keeper, return_exceptions=True)
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
        await self.server.close()
        await self.server_link.close()
        await self.store_link.close()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the node process, if it runs."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._is_exit_expected = True
        process.send_signal(number)

    async def terminate(self) -> None:
        """Stop the node as the platform does; SIGKILL follows after the time it grants."""
        process = self._process
        self.send(signal.SIGTERM)
        if process is None:
            return
        try:
            async with asyncio.timeout(STOP_SECONDS):
                await process.wait()
        except TimeoutError:
            if process is self._process:
                self.send(signal.SIGKILL)

    async def _keep_running(self) -> None:
        while True:
            await self._run_once()
            await asyncio.sleep(RESTART_SECONDS)

    async def _run_once(self) -> None:
        self._is_exit_expected = False
        with self._output.open("ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "apricotwalk.daemon.mesh",
                stdout=output,
                stderr=output,
                env={**os.environ, SETTINGS_VARIABLE: str(self._settings)},
            )
        self.started_at.append(self._clock())
        code = await self._process.wait()
        if not self._is_exit_expected:
            self.own_ends.append(f"{self.name} ended by itself with {code} at {self._clock():.1f}")
