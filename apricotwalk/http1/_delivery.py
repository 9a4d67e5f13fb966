"""Delivery of written bytes to the other side of a connection."""

import asyncio
import fcntl
import functools
import struct
import termios

from loguru import logger

__all__ = ["count_undelivered_bytes"]

_COUNT = struct.Struct("i")


def count_undelivered_bytes(transport: asyncio.Transport) -> int:
    """Return the number of bytes that the kernel has taken and the peer has not acknowledged.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of a TCP connection.

    Returns
    -------
    int
        The number of bytes, or 0 if the system does not tell.

    Notes
    -----
    This is the request ``SIOCOUTQ`` of tcp(7), which has the number of ``TIOCOUTQ``.
    """
    connected_socket = transport.get_extra_info("socket")
    if connected_socket is None or connected_socket.fileno() < 0:
        return 0
    try:
        answer = fcntl.ioctl(connected_socket.fileno(), termios.TIOCOUTQ, _COUNT.pack(0))
    except OSError as error:
        _log_unsupported(str(error))
        return 0
    return int(_COUNT.unpack(answer)[0])


@functools.cache
def _log_unsupported(detail: str) -> None:
    """Log once for each kind of failure, because the request is made for each connection."""
    logger.bind(detail=detail).info("undelivered-bytes-unknown")
