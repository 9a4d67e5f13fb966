"""Heads of requests and answers as bytes."""

from http import HTTPStatus

__all__ = [
    "CONNECTION_FIELDS",
    "encode_field",
    "encode_request",
    "encode_response",
]

# Fields that concern one connection and are written anew for the next one (RFC 9110, 7.6.1).
CONNECTION_FIELDS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}


def encode_field(name: str, value: str) -> bytes:
    """Return a header field with its line end.

    Raises
    ------
    ValueError
        If the value has a line end.
    """
    if "\r" in value or "\n" in value:
        raise ValueError(f"field {name}: line end in {value!r}")
    return f"{name}: {value}\r\n".encode("latin1")


def encode_request(method: str, target: str, fields: bytes, body: bytes) -> bytes:
    """Return a request; `fields` are whole lines."""
    head = f"{method} {target} HTTP/1.1\r\n".encode("latin1")
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        fields += b"Content-Length: %d\r\n" % len(body)
    return head + fields + b"\r\n" + body


def encode_response(status: int, fields: bytes, body: bytes, closes: bool, is_head: bool) -> bytes:
    """Return an answer; `fields` are whole lines.

    Parameters
    ----------
    closes : bool
        Whether the connection closes after it.
    is_head : bool
        Whether it answers a HEAD request, whose body is not sent.
    """
    line = _STATUS_LINES.get(status) or b"HTTP/1.1 %d -\r\n" % status
    parts = [line, fields]
    if status >= HTTPStatus.OK and status not in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
        parts.append(b"Content-Length: %d\r\n" % len(body))
    if closes:
        parts.append(b"Connection: close\r\n")
    parts.append(b"\r\n")
    if not is_head:
        parts.append(body)
    return b"".join(parts)
