"""Encoding of HTTP/1.1 requests and responses."""

from http import HTTPStatus

__all__ = [
    "CONNECTION_FIELDS",
    "encode_field",
    "encode_request",
    "encode_response",
]

# Hop-by-hop header fields are not forwarded (RFC 9110, section 7.6.1), and fields that describe the
# framing of a body are generated for each connection.
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
    """Encode a header field as one line with CR LF.

    Raises
    ------
    ValueError
        If the value contains a line break.
    """
    if "\r" in value or "\n" in value:
        raise ValueError(f"header field {name}: line break in value {value!r}")
    return f"{name}: {value}\r\n".encode("latin1")


def encode_request(method: str, target: str, fields: bytes, body: bytes) -> bytes:
    """Encode a request; `fields` are complete header lines, each terminated by CR LF."""
    head = f"{method} {target} HTTP/1.1\r\n".encode("latin1")
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        fields += b"Content-Length: %d\r\n" % len(body)
    return head + fields + b"\r\n" + body


def encode_response(status: int, fields: bytes, body: bytes, closes: bool, is_head: bool) -> bytes:
    """Encode a response; `fields` are complete header lines, each terminated by CR LF.

    Parameters
    ----------
    closes : bool
        Whether the connection closes after the response.
    is_head : bool
        Whether the request was a HEAD request, so that the body is not sent.
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
