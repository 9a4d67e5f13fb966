"""Instances of a run: a node process with its stand-in server and links."""

import asyncio
import os
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from apricotwalk.core import Service
from apricotwalk_lab.soak._platform import (
    BACKEND_PORT,
    MEMORY_MEGABYTES,
    SETTINGS_VARIABLE,
    STOP_SECONDS,
    STORE_PORT,
    settings_text,
)
from apricotwalk_lab.soak._records import Records
from apricotwalk_lab.soak._server import BackendServerStandIn
from apricotwalk_lab.standins.link import Link

__all__ = ["NodeInstance"]

# The backend server listens on this port; the node connects to it through a link.
SERVER_PORT = 8401
# As on the platform, a node process that has ended is restarted after a short pause.
RESTART_SECONDS = 0.4
MEMORY_CHECK_SECONDS = 0.2
BYTES_PER_MEGABYTE = 1024 * 1024


class NodeInstance(Service):
    """Run the node process of an instance, its server, and the links to the server and the store.

    Parameters
    ----------
    name, service, host : str
        Name, service and IP address of the instance.
    store : (str, int)
        Address and port of the store.
    directory : Path
        Directory for the settings file and the output of the node.
    records : Records
        Collects the executions of the server.
    clock : callable
        Returns the time since the callers started, in seconds.
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
        self._supervisor: asyncio.Task[None] | None = None
        self._memory_guard: asyncio.Task[None] | None = None
        self.started_at: list[float] = []
        self.unexpected_exits: list[str] = []
        self._is_exit_expected = False

    async def start(self) -> None:
        """Start the links, the server and the node."""
        await self.server_link.start()
        await self.store_link.start()
        await self.server.start()
        self._supervisor = asyncio.create_task(self._supervise())
        self._memory_guard = asyncio.create_task(self._guard_memory())

    async def close(self) -> None:
        """Stop the node process, the server and the links."""
        tasks = [task for task in (self._supervisor, self._memory_guard) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
        await self.server.close()
        await self.server_link.close()
        await self.store_link.close()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the node process if it is running."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._is_exit_expected = True
        process.send_signal(number)

    async def terminate(self) -> None:
        """Stop the node with SIGTERM, and with SIGKILL after the grace period of the platform."""
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

    async def _guard_memory(self) -> None:
        """Kill the node when it exceeds its memory, as the platform does."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_SECONDS)
            megabytes = self._resident_megabytes()
            if megabytes > MEMORY_MEGABYTES:
                self.unexpected_exits.append(
                    f"{self.name} used {megabytes:.0f} MB of memory at {self._clock():.1f} s"
                )
                self.send(signal.SIGKILL)

    def _resident_megabytes(self) -> float:
        """Return the resident memory of the node process in megabytes, 0 if it does not run."""
        process = self._process
        if process is None or process.returncode is not None:
            return 0.0
        try:
            pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0  # the process ends at this moment
        return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MEGABYTE

    async def _supervise(self) -> None:
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
            self.unexpected_exits.append(
                f"{self.name} exited unexpectedly with code {code} at {self._clock():.1f} s"
            )
