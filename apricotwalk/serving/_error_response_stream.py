"""Stream of an accepted connection, on which every error response carries a verdict."""

from tornado.concurrent import Future

from apricotwalk.core import CallFailure, Verdict
from apricotwalk.serving._answers import answer_from_failure
from apricotwalk.serving._headers import VERDICT_HEADER, encode_head
from apricotwalk.serving._no_delay_stream import NoDelayStream

__all__ = ["ErrorResponseStream"]

BARE_RESPONSE = b"HTTP/1.1 400 Bad Request\r\n\r\n"


def _complete_response() -> bytes:
    answer = answer_from_failure(
        CallFailure(
            Verdict.NOT_RUN,
            "malformed-request",
            "the request's head is malformed, its length unclear or its body too large",
            400,
        )
    )
    headers = [
        *answer.headers,
        (VERDICT_HEADER, answer.verdict.value),
        ("Content-Length", str(len(answer.body))),
        ("Connection", "close"),
    ]
    return encode_head("HTTP/1.1 400 Bad Request", headers) + answer.body


COMPLETE_RESPONSE = _complete_response()


class ErrorResponseStream(NoDelayStream):
    """Stream that replaces the bare error response of tornado's HTTP parser by a complete one.

    Notes
    -----
    The parser refuses a malformed request by writing a status line alone and offers no hook.
    No request object exists at that point, so the request was not run.
    """

    def write(self, data: bytes | memoryview) -> "Future[None]":
        """Write `data`, or the complete error response if `data` is the bare one."""
        return super().write(COMPLETE_RESPONSE if data == BARE_RESPONSE else data)
