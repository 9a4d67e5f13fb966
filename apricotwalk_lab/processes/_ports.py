"""Allocation of loopback addresses and free ports."""

import random
import secrets
import socket

__all__ = ["free_ports", "loopback_host"]

# The port range lies below the kernel's ephemeral ports, which outgoing connections use.
FIRST_PORT = 15_000
LAST_PORT = 31_999


def loopback_host() -> str:
    """Return a random address of 127.0.0.0/8 to isolate experiments that run in parallel."""
    octets = [1 + secrets.randbelow(254) for _ in range(3)]
    return ".".join(str(octet) for octet in (127, *octets))


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return distinct ports that are free for both TCP and UDP.

    Parameters
    ----------
    count : int
        Number of ports.
    host : str
        Address on which the ports are tested.

    Returns
    -------
    list of int
        Ports in random order; fewer than `count` if not enough are free.
    """
    candidates = range(FIRST_PORT, LAST_PORT + 1)
    free: list[int] = []
    for port in random.SystemRandom().sample(candidates, len(candidates)):
        if len(free) == count:
            break
        if _is_free(host, port):
            free.append(port)
    return free


def _is_free(host: str, port: int) -> bool:
    try:
        for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(type=socket_type) as probe:
                probe.bind((host, port))
    except OSError:
        return False
    return True
