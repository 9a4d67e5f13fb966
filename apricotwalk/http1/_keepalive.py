"""Detection of dead connections by TCP keep-alive."""

import socket

__all__ = ["enable_keepalive"]

# A live server on the same machine acknowledges within a millisecond.
KEEPALIVE_SECONDS = 1
# On a link that loses packets, a single lost probe does not mean a dead connection.
KEEPALIVE_PROBE_COUNT = 2
# The time-out, including the way back of the answer, is shorter than the time after which callers
# give up a request.
ACKNOWLEDGEMENT_TIMEOUT_MS = 1500


def enable_keepalive(transport: socket.socket) -> None:
    """Make the operating system close a connection whose peer no longer acknowledges data."""
    transport.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    transport.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    transport.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    transport.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    transport.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACKNOWLEDGEMENT_TIMEOUT_MS)
