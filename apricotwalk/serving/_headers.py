"""Names, parsing and encoding of the HTTP headers of callers, nodes and backend servers."""

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
    "reject_ambiguous_path",
    "reject_reserved_headers",
]

CUSTOMER_HEADER = "Apricotwalk-Customer"
REQUEST_HEADER = "Apricotwalk-Request"
CALL_HEADER = "Apricotwalk-Call"
DEADLINE_HEADER = "Apricotwalk-Deadline-Ms"
VERDICT_HEADER = "Apricotwalk-Verdict"
KEY_HEADER = "Idempotency-Key"
ATTEMPT_HEADER = "Apricotwalk-Attempt"

MAX_ATTEMPT_COUNT = 1000
MAX_KEY_LENGTH = 256
CACHED_HEADER_NAME_COUNT = 1024
MAX_DEADLINE_MS = 600_000.0
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
    """Return the end-to-end headers, without those defined by this project.

    The idempotency key is left out as well, because messages carry it in a separate field.
    """
    return [(name, value) for name, value in headers.get_all() if _is_forwarded(name)]


@lru_cache(maxsize=CACHED_HEADER_NAME_COUNT)
def _is_forwarded(name: str) -> bool:
    return name.lower() not in NOT_FORWARDED and not name.startswith("Apricotwalk-")


def outgoing_headers(pairs: Iterable[tuple[str, str]]) -> HTTPHeaders:
    """Return header fields to be sent.

    Notes
    -----
    The first value of a name is set without the checks of `HTTPHeaders.add`, because names and
    values were checked when they were received, and line ends are rejected when the headers
    are written.
    """
    headers = HTTPHeaders()
    for name, value in pairs:
        if name in headers:
            headers.add(name, value)
        else:
            headers[name] = value
    return headers


def encode_head(start_line: str, pairs: Iterable[tuple[str, str]]) -> bytes:
    """Return the encoded start line and header fields of a message.

    No further header is added; the fields must include those for connection and body length.

    Raises
    ------
    ValueError
        If the start line or a field contains a line end or a character outside ISO 8859-1.
    """
    lines = [start_line]
    lines += [f"{name}: {value}" for name, value in pairs]
    text = "\r\n".join(lines)
    line_end_count = len(lines) - 1
    if text.count("\n") != line_end_count or text.count("\r") != line_end_count:
        raise ValueError(f"line end inside a line of the head {lines!r}")
    return text.encode("latin1") + HEAD_END


def reject_reserved_headers(headers: HTTPHeaders) -> None:
    """Reject headers that are reserved for nodes.

    Raises
    ------
    CallFailure
        With verdict ``NOT_RUN`` if such a header is present.
    """
    for name in RESERVED_FROM_CALLERS:
        if name in headers:
            raise CallFailure(
                Verdict.NOT_RUN, "reserved-header", f"header {name} is not for callers", 400
            )


def parse_deadline_seconds(headers: HTTPHeaders, max_seconds: float) -> float:
    """Return the caller's deadline in seconds, at most `max_seconds`.

    Raises
    ------
    CallFailure
        With verdict ``NOT_RUN`` if the header is not a positive number of milliseconds up to
        600 000.
    """
    if DEADLINE_HEADER not in headers:
        return max_seconds
    text = headers[DEADLINE_HEADER]
    try:
        milliseconds = float(text)
    except ValueError:
        milliseconds = -1.0
    if not 0.0 < milliseconds <= MAX_DEADLINE_MS:
        raise CallFailure(
            Verdict.NOT_RUN,
            "malformed-deadline",
            f"header {DEADLINE_HEADER}: expected milliseconds above 0, saw {text!r}",
            400,
        )
    return min(max_seconds, milliseconds / 1000)


def parse_attempt(headers: HTTPHeaders) -> int:
    """Return the number of this attempt, counted from 1, or 0 if the caller did not state it.

    Raises
    ------
    CallFailure
        With verdict ``NOT_RUN`` if the header is not a number from 1 to 1000.
    """
    if ATTEMPT_HEADER not in headers:
        return 0
    text = headers[ATTEMPT_HEADER]
    attempt = int(text) if text.isascii() and text.isdecimal() and len(text) < 5 else 0
    if not 1 <= attempt <= MAX_ATTEMPT_COUNT:
        raise CallFailure(
            Verdict.NOT_RUN,
            "malformed-attempt",
            f"header {ATTEMPT_HEADER}: expected 1 to {MAX_ATTEMPT_COUNT}, saw {text!r}",
            400,
        )
    return attempt


def parse_key(headers: HTTPHeaders) -> str:
    """Return the idempotency key, or an empty string if there is none.

    Raises
    ------
    CallFailure
        With verdict ``NOT_RUN`` if the key is longer than 256 characters or not printable
        ASCII.
    """
    if KEY_HEADER not in headers:
        return ""
    key = headers[KEY_HEADER]
    if len(key) > MAX_KEY_LENGTH or not (key.isascii() and key.isprintable()):
        raise CallFailure(
            Verdict.NOT_RUN,
            "malformed-key",
            f"header {KEY_HEADER}: expected at most {MAX_KEY_LENGTH} printable ASCII characters",
            400,
        )
    return key


def reject_ambiguous_path(path: str) -> None:
    """Reject a path that a backend server could interpret as the path of another route.

    Raises
    ------
    CallFailure
        With verdict ``NOT_RUN`` if a segment is ``.`` or ``..``, percent-encoded or not.
    """
    if "/." not in path and "%" not in path and "\\" not in path:
        return
    segments = unquote(path).replace("\\", "/").split("/")
    if "." in segments or ".." in segments:
        raise CallFailure(
            Verdict.NOT_RUN, "malformed-path", f"path {path!r} has a relative segment", 400
        )
