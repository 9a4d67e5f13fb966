"""Path of a request: entry, choice of a target, admission, backend server and answer."""

from apricotwalk.serving._active_calls import ActiveCall, ActiveCalls
from apricotwalk.serving._answers import Answer, answer_from_failure
from apricotwalk.serving._at_most_once import AtMostOnceDispatcher
from apricotwalk.serving._backend import BackendClient
from apricotwalk.serving._caller_port import CallerPort
from apricotwalk.serving._dispatcher import Dispatcher, OutgoingCall
from apricotwalk.serving._executor import Executor
from apricotwalk.serving._inner_calls import InnerCalls
from apricotwalk.serving._suspect_broadcaster import SuspectBroadcaster

__all__ = [
    "ActiveCall",
    "ActiveCalls",
    "Answer",
    "AtMostOnceDispatcher",
    "BackendClient",
    "CallerPort",
    "Dispatcher",
    "Executor",
    "InnerCalls",
    "OutgoingCall",
    "SuspectBroadcaster",
    "answer_from_failure",
]
