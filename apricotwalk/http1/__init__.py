"""HTTP/1.1 connections to callers and backend servers, based on the parser of httptools.

Notes
-----
tornado's connection class reads the next request on a connection only after it has answered the
previous one, so a caller that pipelines requests would wait for the sum of their durations.  It
also cannot distinguish a stray response from the response to the current request.
"""

from apricotwalk.http1._answer_reader import ServerAnswer
from apricotwalk.http1._client import ServerConnection, ServerConnectionLost
from apricotwalk.http1._head import encode_field, encode_request_head, encode_response_head
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
    "encode_request_head",
    "encode_response_head",
    "text_response",
    "enable_keepalive",
]
