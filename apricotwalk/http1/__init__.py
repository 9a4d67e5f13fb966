"""HTTP/1.1 connections to callers and backend servers, based on the parser of httptools.

Notes
-----
tornado's connection class reads the next request on a connection only after it has answered the
previous one, so a caller that pipelines requests would wait for the sum of their durations.  It
also cannot distinguish a stray response from the response to the current request.
"""

from apricotwalk.http1._answer_memory import AnswerMemory
from apricotwalk.http1._client import ServerAnswer, ServerConnection, ServerConnectionLost
from apricotwalk.http1._head import encode_field, encode_request, encode_response
from apricotwalk.http1._keepalive import enable_keepalive
from apricotwalk.http1._listener import HttpListener
from apricotwalk.http1._messages import HttpLimits, HttpRequest, HttpResponse, text_response

__all__ = [
    "AnswerMemory",
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
