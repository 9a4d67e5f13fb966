"""Detection of connections that no longer carry anything, by the operating system."""

import socket

__all__ = ["enable_keepalive"]

# A server on the same machine acknowledges within a millisecond while it lives.
KEEPALIVE_SECONDS = 1
# One lost probe says nothing on a link that loses packets.
KEEPALIVE_PROBES = 2
# Below the second after which callers give a request up, with its way back.
ACKNOWLEDGE_MS = 1500


def enable_keepalive(transport: socket.socket) -> None:
    """Have the system close a connection whose other end no longer acknowledges."""
    transport.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    transport.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    transport.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    transport.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    transport.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACKNOWLEDGE_MS)
