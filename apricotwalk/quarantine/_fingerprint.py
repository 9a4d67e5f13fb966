"""Fingerprints that identify retries and resends of the same request."""

from xxhash import xxh3_64_intdigest

__all__ = ["fingerprint"]


def fingerprint(customer: str, route: str, method: str, path: str, body: bytes) -> int:
    """Return a 64-bit digest that is the same for every attempt and resend of a request."""
    line = "\0".join((customer, route, method, path, ""))
    return xxh3_64_intdigest(line.encode() + body)
