"""Request forwarding through a mesh, from a caller to a backend server and back."""

from apricotwalk.forwarding._announcements import AnnouncementReader, ServerAnnouncement
from apricotwalk.forwarding._backend_pool import BackendPool
from apricotwalk.forwarding._backend_registry import BackendRegistry
from apricotwalk.forwarding._failure_responses import failure_response
from apricotwalk.forwarding._forwarder import Forwarder, OutgoingRequest
from apricotwalk.forwarding._ingress import IngressHandler
from apricotwalk.forwarding._retry_after import RetryAfterPolicy
from apricotwalk.forwarding._retry_allowance import RetryAllowance
from apricotwalk.forwarding._server_side import ServerSideExecutor

__all__ = [
    "AnnouncementReader",
    "BackendPool",
    "BackendRegistry",
    "IngressHandler",
    "Forwarder",
    "OutgoingRequest",
    "RetryAfterPolicy",
    "RetryAllowance",
    "ServerAnnouncement",
    "ServerSideExecutor",
    "failure_response",
]
