"""Calls that the local backend server is executing."""

from dataclasses import dataclass, field

from apricotwalk.admission import Permit
from apricotwalk.core import CallFailure, Verdict
from apricotwalk.retries import RetryBudget
from apricotwalk.routing import CalleeReport

__all__ = ["ActiveCall", "ActiveCalls"]


@dataclass(slots=True)
class ActiveCall:
    """Attributes that inner calls inherit from the call that causes them.

    Parameters
    ----------
    call_id, request_id : str
        Identifiers of the call and of the whole request.
    customer : str
        Customer of the whole request.
    rank : int
        Rank of the whole request.
    deadline : float
        Monotonic time in seconds at which the call must be completed.
    budget : RetryBudget
        Retries allocated to the call.
    key : str
        Idempotency key of the call, or an empty string.
    depth : int
        Number of hops from the entry.
    permit : Permit
        Admission permit, paused while the call waits for an inner call.
    floor : float
        Minimum share of the capacity reserved for the whole request's customer and entry route.
    entry_route : str
        Route by which the whole request entered.
    report : CalleeReport
        Admission state reported by the downstream services.
    lineage : str
        Key from which the keys of inner calls are derived.
    """

    call_id: str
    request_id: str
    customer: str
    rank: int
    deadline: float
    budget: RetryBudget
    key: str
    depth: int
    permit: Permit
    floor: float = 0.0
    entry_route: str = ""
    report: CalleeReport = field(default_factory=CalleeReport)
    lineage: str = ""


class ActiveCalls:
    """Registry of the active calls by their unguessable identifiers."""

    def __init__(self) -> None:
        self.by_id: dict[str, ActiveCall] = {}

    def add(self, call: ActiveCall) -> None:
        """Add a call, before it is sent to the backend server."""
        self.by_id[call.call_id] = call

    def remove(self, call_id: str) -> None:
        """Remove a call that has been answered or abandoned, if it is registered."""
        self.by_id.pop(call_id, None)

    def find(self, call_id: str) -> ActiveCall:
        """Return the active call with the identifier that a backend server sent.

        Raises
        ------
        CallFailure
            With verdict ``NOT_RUN`` if no call with this identifier is active.
        """
        call = self.by_id.get(call_id)
        if call is None:
            raise CallFailure(
                Verdict.NOT_RUN, "unknown-call", f"no active call {call_id!r} on this node", 409
            )
        return call
