"""Encoding of HTTP/1.1 requests and responses."""

from http import HTTPStatus

__all__ = [
    "CONNECTION_FIELDS",
    "encode_field",
    "encode_request_head",
    "encode_response_head",
    "split_absolute_form",
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


def split_absolute_form(target: str) -> tuple[str, str | None]:
    """Return a request target in origin form, and the authority if it was in absolute form.

    Notes
    -----
    The authority of a target in absolute form replaces the ``Host`` field (RFC 9112, section
    3.2.2).

    Examples
    --------
    >>> split_absolute_form("http://mesh.example/menu/1?week=2")
    ('/menu/1?week=2', 'mesh.example')
    >>> split_absolute_form("/menu/1")
    ('/menu/1', None)
    """
    scheme, separator, rest = target.partition("://")
    if not separator or scheme.lower() not in ("http", "https"):
        return target, None
    end = min((i for i in (rest.find("/"), rest.find("?")) if i >= 0), default=len(rest))
    path = rest[end:]
    return path if path.startswith("/") else f"/{path}", rest[:end]


def encode_request_head(method: str, target: str, fields: bytes, body_length: int) -> bytes:
    """Encode the head of a request; `fields` are complete lines, each terminated by CR LF."""
    head = f"{method} {target} HTTP/1.1\r\n".encode("latin1")
    if body_length or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        fields += b"Content-Length: %d\r\n" % body_length
    return head + fields + b"\r\n"


def encode_response_head(status: int, fields: bytes, body_length: int, closes: bool) -> bytes:
    """Encode the head of a response; `fields` are complete lines, each terminated by CR LF.

    Parameters
    ----------
    body_length : int
        Number of bytes of the body, which a response to a HEAD request does not contain.
    closes : bool
        Whether the connection closes after the response.
    """
    line = _STATUS_LINES.get(status) or b"HTTP/1.1 %d -\r\n" % status
    parts = [line, fields]
    if status >= HTTPStatus.OK and status not in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
        parts.append(b"Content-Length: %d\r\n" % body_length)
    if closes:
        parts.append(b"Connection: close\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)
