"""HTTP/1.1 connections of callers and backend servers, on the parser of httptools.

Notes
-----
tornado's connection class reads the next request of a connection only after the answer to the
one before, so a caller that pipelines would wait for the sum of its requests, and it cannot
tell a stray answer from the one that is due.
"""

from apricotwalk.http1._client import ServerAnswer, ServerConnection, ServerConnectionLost
from apricotwalk.http1._head import encode_field, encode_request, encode_response
from apricotwalk.http1._keepalive import enable_keepalive
from apricotwalk.http1._listener import HttpListener
from apricotwalk.http1._messages import HttpLimits, HttpRequest, HttpResponse, text_response

__all__ = [
    "HttpLimits",
    "HttpListener",
    "HttpRequest",
    "HttpResponse",
    "ServerAnswer",
    "ServerConnection",
    "ServerConnectionLost",
    "encode_field",
    "encode_request",
    "encode_response",
    "text_response",
    "enable_keepalive",
]
