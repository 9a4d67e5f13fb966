"""HTTP headers that callers, nodes and backend servers exchange."""

from collections.abc import Iterable
from functools import lru_cache
from urllib.parse import unquote

from tornado.httputil import HTTPHeaders

from apricotwalk.core import CallFailure, Verdict

__all__ = [
    "ATTEMPT_HEADER",
    "CALL_HEADER",
    "CUSTOMER_HEADER",
    "DEADLINE_HEADER",
    "KEY_HEADER",
    "REQUEST_HEADER",
    "VERDICT_HEADER",
    "encode_head",
    "forwarded_headers",
    "outgoing_headers",
    "parse_attempt",
    "parse_deadline_seconds",
    "parse_key",
    "refuse_reserved_headers",
    "reject_ambiguous_path",
]

CUSTOMER_HEADER = "Apricotwalk-Customer"
REQUEST_HEADER = "Apricotwalk-Request"
CALL_HEADER = "Apricotwalk-Call"
DEADLINE_HEADER = "Apricotwalk-Deadline-Ms"
VERDICT_HEADER = "Apricotwalk-Verdict"
KEY_HEADER = "Idempotency-Key"
ATTEMPT_HEADER = "Apricotwalk-Attempt"

LARGEST_ATTEMPT = 1000
LONGEST_KEY = 256
KEPT_HEADER_NAMES = 1024
LONGEST_DEADLINE_MS = 600_000.0
HEAD_END = b"\r\n\r\n"
RESERVED_FROM_CALLERS = ("Apricotwalk-Rank", "Apricotwalk-Retry-Budget", CALL_HEADER)
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


NOT_FORWARDED = HOP_BY_HOP | {KEY_HEADER.lower()}


def forwarded_headers(headers: HTTPHeaders) -> list[tuple[str, str]]:
    """Return the headers that travel end to end, without this project's own.

    The idempotency key travels in a field of its own.
    """
    return [(name, value) for name, value in headers.get_all() if _is_forwarded(name)]


@lru_cache(maxsize=KEPT_HEADER_NAMES)
def _is_forwarded(name: str) -> bool:
    return name.lower() not in NOT_FORWARDED and not name.startswith("Apricotwalk-")


def outgoing_headers(pairs: Iterable[tuple[str, str]]) -> HTTPHeaders:
    """Return headers for sending.

    Notes
    -----
    The first value of a name is set without the checks of `HTTPHeaders.add`: names and values
    were checked when they were received, and line ends are refused when they are written.
    """
    headers = HTTPHeaders()
    for name, value in pairs:
        if name in headers:
            headers.add(name, value)
        else:
            headers[name] = value
    return headers


def encode_head(start_line: str, pairs: Iterable[tuple[str, str]]) -> bytes:
    """Return the head of a message whose fields are known to need nothing else.

    Raises
    ------
    ValueError
        If a line end or a character outside ISO 8859-1 stands in the start line or a field.
    """
    lines = [start_line]
    lines += [f"{name}: {value}" for name, value in pairs]
    text = "\r\n".join(lines)
    ends = len(lines) - 1
    if text.count("\n") != ends or text.count("\r") != ends:
        raise ValueError(f"line end inside a line of the head {lines!r}")
    return text.encode("latin1") + HEAD_END


def refuse_reserved_headers(headers: HTTPHeaders) -> None:
    """Refuse headers that only nodes may set.

    Raises
    ------
    CallFailure
        With verdict ``NOT_RUN``, naming the header.
    """
    for name in RESERVED_FROM_CALLERS:
        if name in headers:
            raise CallFailure(
                Verdict.NOT_RUN, "reserved-header", f"header {name} is not for callers", 400
            )


def parse_deadline_seconds(headers: HTTPHeaders, longest_seconds: float) -> float:
    """Return the caller's deadline in seconds, at most `longest_seconds`.

    Raises
    ------
    CallFailure
        With verdict ``NOT_RUN`` if the header is no positive number.
    """
    if DEADLINE_HEADER not in headers:
        return longest_seconds
    text = headers[DEADLINE_HEADER]
    try:
        milliseconds = float(text)
    except ValueError:
        milliseconds = -1.0
    if not 0.0 < milliseconds <= LONGEST_DEADLINE_MS:
        raise CallFailure(
            Verdict.NOT_RUN,
            "malformed-deadline",
            f"header {DEADLINE_HEADER}: expected milliseconds above 0, saw {text!r}",
            400,
        )
    return min(longest_seconds, milliseconds / 1000)


def parse_attempt(headers: HTTPHeaders) -> int:
    """Return how often the caller has sent this work, this time included; 0 if it is not said.

    Raises
    ------
    CallFailure
        With verdict ``NOT_RUN`` if the header is no number from 1 to 1000.
    """
    if ATTEMPT_HEADER not in headers:
        return 0
    text = headers[ATTEMPT_HEADER]
    attempt = int(text) if text.isascii() and text.isdecimal() and len(text) < 5 else 0
    if not 1 <= attempt <= LARGEST_ATTEMPT:
        raise CallFailure(
            Verdict.NOT_RUN,
            "malformed-attempt",
            f"header {ATTEMPT_HEADER}: expected 1 to {LARGEST_ATTEMPT}, saw {text!r}",
            400,
        )
    return attempt


def parse_key(headers: HTTPHeaders) -> str:
    """Return the idempotency key, or an empty string if there is none.

    Raises
    ------
    CallFailure
        With verdict ``NOT_RUN`` if the key is too long or holds control characters.
    """
    if KEY_HEADER not in headers:
        return ""
    key = headers[KEY_HEADER]
    if len(key) > LONGEST_KEY or not (key.isascii() and key.isprintable()):
        raise CallFailure(
            Verdict.NOT_RUN,
            "malformed-key",
            f"header {KEY_HEADER}: expected at most {LONGEST_KEY} printable ASCII characters",
            400,
        )
    return key


def reject_ambiguous_path(path: str) -> None:
    """Refuse a path that a backend server could read as that of another route.

    Raises
    ------
    CallFailure
        With verdict ``NOT_RUN`` if a segment is ``.`` or ``..``, also when escaped.
    """
    if "/." not in path and "%" not in path and "\\" not in path:
        return
    segments = unquote(path).replace("\\", "/").split("/")
    if "." in segments or ".." in segments:
        raise CallFailure(
            Verdict.NOT_RUN, "malformed-path", f"path {path!r} has a relative segment", 400
        )
