"""Fingerprints that identify retries and resends of the same request."""

from xxhash import xxh3_64

__all__ = ["fingerprint"]


def fingerprint(customer: str, route: str, method: str, path: str, body: bytes | bytearray) -> int:
    """Return a 64-bit digest that is the same for every attempt and resend of a request."""
    line = "\0".join((customer, route, method, path, ""))
    digest = xxh3_64(line.encode())
    digest.update(body)
    return digest.intdigest()
