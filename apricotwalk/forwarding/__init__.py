"""The way of a request through a mesh: from its caller to a backend server and back."""

from apricotwalk.forwarding._backend_pool import BackendPool
from apricotwalk.forwarding._backend_registry import BackendRegistry
from apricotwalk.forwarding._entry import Entry
from apricotwalk.forwarding._forwarder import Forwarder, OutgoingRequest
from apricotwalk.forwarding._repeat_allowance import RepeatAllowance
from apricotwalk.forwarding._return_time import ReturnTime
from apricotwalk.forwarding._server_side import ServerSide
from apricotwalk.forwarding._statuses import response_of_failure

__all__ = [
    "BackendPool",
    "BackendRegistry",
    "Entry",
    "Forwarder",
    "OutgoingRequest",
    "RepeatAllowance",
    "ReturnTime",
    "ServerSide",
    "response_of_failure",
]
