"""HTTP requests, responses and limits."""

from dataclasses import dataclass

from apricotwalk.http1._head import encode_field

__all__ = ["HttpLimits", "HttpRequest", "HttpResponse", "text_response"]


@dataclass(slots=True)
class HttpLimits:
    """Size and time limits for the connections of callers.

    Parameters
    ----------
    max_head_bytes, max_body_bytes : int
        Maximum size of a request head and of a request body in bytes.
    head_seconds : float
        Time within which a request head must be complete once it has begun, in seconds.
    idle_seconds : float
        Time after which an idle connection is closed, in seconds.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    head_seconds: float = 10.0
    idle_seconds: float = 60.0


@dataclass(slots=True)
class HttpRequest:
    """Complete request of a caller.

    Parameters
    ----------
    method, target : str
        Method and request target; the target includes the query.
    fields : bytes
        End-to-end header fields, each terminated by CR LF, without the dropped fields.
    values_by_name : dict of bytes to str
        Values of the captured header fields, by lower-case name.
    body : bytes or bytearray
        Complete body.
    arrived_at : float
        Monotonic time in seconds at which the first bytes of the request were parsed.
    """

    method: str
    target: str
    fields: bytes
    values_by_name: dict[bytes, str]
    body: bytes | bytearray
    arrived_at: float


@dataclass(slots=True)
class HttpResponse:
    """Response to a caller.

    Parameters
    ----------
    status : int
        HTTP status.
    fields : bytes
        Header fields, each terminated by CR LF.
    body : bytes or bytearray
        Complete body.
    closes : bool
        Whether the connection closes after the response.
    """

    status: int
    fields: bytes = b""
    body: bytes | bytearray = b""
    closes: bool = False


def text_response(status: int, text: str, content_type: str = "text/plain") -> HttpResponse:
    """Return a response with `text` as its body."""
    return HttpResponse(status, encode_field("Content-Type", content_type), text.encode())
