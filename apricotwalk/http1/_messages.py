"""Requests of callers and their answers, and the limits on them."""

from dataclasses import dataclass

from apricotwalk.http1._head import encode_field

__all__ = ["HttpLimits", "HttpRequest", "HttpResponse", "text_response"]


@dataclass(slots=True)
class HttpLimits:
    """What callers may send and how long they may take.

    Parameters
    ----------
    largest_head_bytes, largest_body_bytes : int
        Largest head and body.
    head_seconds : float
        Time until a head that has begun is complete.
    idle_seconds : float
        Time for which a connection may be idle.
    """

    largest_head_bytes: int = 16_384
    largest_body_bytes: int = 67_108_864
    head_seconds: float = 10.0
    idle_seconds: float = 60.0


@dataclass(slots=True)
class HttpRequest:
    """A request that has arrived whole.

    Parameters
    ----------
    method, target : str
        The request line; the target has its query.
    fields : bytes
        End-to-end header fields, each ended by CR LF, without those taken out.
    values_by_name : dict of bytes to str
        Fields that were asked for, by lower-case name.
    body : bytes
        Whole body.
    arrived : float
        Monotonic time at which its head began to arrive.
    """

    method: str
    target: str
    fields: bytes
    values_by_name: dict[bytes, str]
    body: bytes
    arrived_at: float


@dataclass(slots=True)
class HttpResponse:
    """An answer.

    Parameters
    ----------
    status : int
        HTTP status.
    fields : bytes
        Header fields, each ended by CR LF.
    body : bytes
        Whole body.
    closes : bool
        Whether the connection closes after it.
    """

    status: int
    fields: bytes = b""
    body: bytes = b""
    closes: bool = False


def text_response(status: int, text: str, content_type: str = "text/plain") -> HttpResponse:
    """Return an answer with a text."""
    return HttpResponse(status, encode_field("Content-Type", content_type), text.encode())
