"""HTTP requests as received by a listener."""

from dataclasses import dataclass, field
from functools import lru_cache

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, HTTPServerRequest, RequestStartLine

__all__ = ["Request", "new_request"]

CACHED_HOST_COUNT = 256


@dataclass(slots=True)
class Request:
    """HTTP request and the connection on which it is answered.

    Parameters
    ----------
    connection : HTTP1Connection
        Connection to which the answer is written.
    method, target, version : str
        Elements of the request line.
    path : str
        Target without the query.
    headers : HTTPHeaders
        Header fields.
    arguments : dict of str to list of bytes
        Values of the query parameters by name.
    body : bytes
        Complete body.
    """

    connection: HTTP1Connection
    method: str
    target: str
    version: str
    path: str
    headers: HTTPHeaders
    arguments: dict[str, list[bytes]] = field(default_factory=dict)
    body: bytes = b""


def new_request(
    connection: HTTP1Connection, start_line: RequestStartLine, headers: HTTPHeaders
) -> Request:
    """Return a request without a body, after its head has been validated.

    Raises
    ------
    HTTPInputError
        If the query or the Host header is malformed, or the latter is missing or given twice.

    Notes
    -----
    The request class of tornado validates both.  It is instantiated only if there is a query
    or if the host is not in the cache of validated hosts.
    """
    method, target, version = start_line
    path, has_query, _ = target.partition("?")
    request = Request(connection, method, target, version, path, headers)
    if has_query:
        request.arguments = HTTPServerRequest(start_line=start_line, headers=headers).arguments
    else:
        _check_host(version, headers.get("Host"))
    return request


@lru_cache(maxsize=CACHED_HOST_COUNT)
def _check_host(version: str, host: str | None) -> None:
    headers = HTTPHeaders() if host is None else HTTPHeaders({"Host": host})
    HTTPServerRequest(start_line=RequestStartLine("GET", "/", version), headers=headers)
