"""Listening socket that opens as soon as its address is available."""

import asyncio
import errno
from collections.abc import Callable

from loguru import logger

from apricotwalk.core._supervisor import Service, Supervisor

__all__ = ["ServerSocket"]

# The port may still belong to the former process of this node, and the address may not be
# configured on the interface yet.  Other errors do not go away by themselves.
TRANSIENT_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})
RETRY_INTERVAL_SECONDS = 0.1
# A port that stays occupied needs an operator, so the warning is repeated.
WARNING_INTERVAL_SECONDS = 5.0


class ServerSocket(Service):
    """Accepts connections on one address.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on.
    protocol_factory : callable
        Returns the protocol of an accepted connection.
    backlog : int
        Maximum number of connections that wait to be accepted.

    Notes
    -----
    A port that is occupied when the service starts is retried in the background, so that it does
    not keep the rest of the process from starting.
    """

    def __init__(
        self,
        host: str,
        port: int,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        backlog: int,
    ) -> None:
        self._host = host
        self._port = port
        self._protocol_factory = protocol_factory
        self._backlog = backlog
        self._server: asyncio.Server | None = None
        self._is_stopped = False
        self._supervisor = Supervisor(f"socket {host}:{port}")

    @property
    def is_open(self) -> bool:
        """Whether connections are accepted."""
        return self._server is not None

    async def start(self) -> None:
        """Start to accept connections, or to retry if the address is not available.

        Raises
        ------
        OSError
            If the address cannot be used for a reason that is not transient.
        """
        try:
            await self._open()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise
            self._log_unavailable(error)
            self._supervisor.run_loop("open", self._open_when_available)

    def stop_listening(self) -> None:
        """Stop accepting connections; accepted ones are kept."""
        self._is_stopped = True
        if self._server is not None:
            self._server.close()
            self._server = None

    async def close(self) -> None:
        """Stop accepting connections and stop retrying."""
        self.stop_listening()
        await self._supervisor.close()

    async def _open(self) -> None:
        server = await asyncio.get_running_loop().create_server(
            self._protocol_factory, self._host, self._port, backlog=self._backlog
        )
        if self._is_stopped:
            server.close()
        else:
            self._server = server

    async def _open_when_available(self) -> None:
        retry_count = 0
        while not self._is_stopped:
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            retry_count += 1
            try:
                await self._open()
            except OSError as error:
                if error.errno not in TRANSIENT_ERRORS:
                    raise
                if retry_count % round(WARNING_INTERVAL_SECONDS / RETRY_INTERVAL_SECONDS) == 0:
                    self._log_unavailable(error)
            else:
                logger.bind(address=f"{self._host}:{self._port}").info("address-available")
                return

    def _log_unavailable(self, error: OSError) -> None:
        logger.bind(address=f"{self._host}:{self._port}", detail=str(error)).warning(
            "address-unavailable"
        )
