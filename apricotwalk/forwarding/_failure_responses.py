"""HTTP responses to requests that received no answer from a backend server."""

from http import HTTPStatus

from apricotwalk.core import CallFailure, Verdict
from apricotwalk.http1 import HttpResponse, encode_field

__all__ = ["failure_response"]

# Requests answered with these statuses cannot succeed unchanged; a retry would be refused again.
PERMANENT_FAILURE_STATUSES = frozenset({400, 404, 413, 431})


def failure_response(failure: CallFailure, retry_after_seconds: float) -> HttpResponse:
    """Return the HTTP response that reports a failed request to its caller.

    Parameters
    ----------
    failure : CallFailure
        Verdict, cause and status of the failed request.
    retry_after_seconds : float
        Value of ``Retry-After``, which is sent if the request has not run and may be retried.

    Returns
    -------
    HttpResponse
        A response with the cause and the detail of the failure as plain text.

    Notes
    -----
    Status 503 is returned only for a request that has not run and never will.  A request that may
    have run is answered with 504 if its deadline was exceeded, and with 502 otherwise.
    """
    content_type = encode_field("Content-Type", "text/plain")
    body = f"{failure.cause}: {failure}\n".encode()
    if failure.verdict is Verdict.NOT_RUN and failure.status in PERMANENT_FAILURE_STATUSES:
        return HttpResponse(failure.status, content_type, body)
    if failure.verdict is Verdict.NOT_RUN:
        return HttpResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            content_type + encode_field("Retry-After", f"{retry_after_seconds:.2f}"),
            body,
        )
    status = HTTPStatus.BAD_GATEWAY
    if failure.status == HTTPStatus.GATEWAY_TIMEOUT:
        status = HTTPStatus.GATEWAY_TIMEOUT
    return HttpResponse(status, content_type, body)
