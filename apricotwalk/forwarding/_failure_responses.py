"""HTTP statuses of requests that got no answer of a backend server."""

from http import HTTPStatus

from apricotwalk.core import CallFailure, Verdict
from apricotwalk.http1 import HttpResponse, encode_field

__all__ = ["failure_response"]

# Requests that cannot succeed as they are; a caller that came back would be refused again.
HOPELESS_STATUSES = frozenset({400, 404, 413, 431})


def failure_response(failure: CallFailure, return_seconds: float) -> HttpResponse:
    """Return the answer that tells a caller what is known of a failed request.

    Parameters
    ----------
    failure : CallFailure
        What is known of it.
    return_seconds : float
        When the caller is to come back, if it is told that the request has not run.

    Notes
    -----
    503 is only said of a request that has not run and never will; everything that may have run
    is 502, or 504 where time ran out.
    """
    cause = encode_field("Content-Type", "text/plain")
    body = f"{failure.cause}: {failure}\n".encode()
    if failure.verdict is Verdict.NOT_RUN and failure.status in HOPELESS_STATUSES:
        return HttpResponse(failure.status, cause, body)
    if failure.verdict is Verdict.NOT_RUN:
        return HttpResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            cause + encode_field("Retry-After", f"{return_seconds:.2f}"),
            body,
        )
    status = HTTPStatus.BAD_GATEWAY
    if failure.status == HTTPStatus.GATEWAY_TIMEOUT:
        status = HTTPStatus.GATEWAY_TIMEOUT
    return HttpResponse(status, cause, body)
