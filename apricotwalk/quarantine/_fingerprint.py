"""Fingerprints that identify retries and resends of the same request."""

from xxhash import xxh3_64, xxh3_64_intdigest

from apricotwalk.core import SMALL_BODY_BYTES

__all__ = ["fingerprint"]


def fingerprint(customer: str, route: str, method: str, path: str, body: bytes | bytearray) -> int:
    """Return a 64-bit digest that is the same for every attempt and resend of a request."""
    line = "\0".join((customer, route, method, path, ""))
    if len(body) <= SMALL_BODY_BYTES:
        return xxh3_64_intdigest(line.encode() + body)
    digest = xxh3_64(line.encode())
    digest.update(body)  # without a copy of the body
    return digest.intdigest()
