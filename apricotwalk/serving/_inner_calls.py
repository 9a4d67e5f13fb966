"""Calls that the local backend server makes to other services."""

from xxhash import xxh3_128_hexdigest

from apricotwalk.claims import derive_key
from apricotwalk.configuration import ConfigurationFollower
from apricotwalk.core import ALL_ON, Mechanism, MechanismSwitches
from apricotwalk.policy import Execution, Treatment
from apricotwalk.retries import RetryBudget, new_budget
from apricotwalk.serving._active_calls import ActiveCall, ActiveCalls
from apricotwalk.serving._answers import Answer
from apricotwalk.serving._at_most_once import AtMostOnceDispatcher
from apricotwalk.serving._caller_port import find_treatment
from apricotwalk.serving._dispatcher import OutgoingCall
from apricotwalk.serving._headers import CALL_HEADER, forwarded_headers, parse_key
from apricotwalk.serving._request import Request

__all__ = ["InnerCalls"]


class InnerCalls:
    """Dispatches inner calls with the rank, deadline and budget of the call that causes them.

    Parameters
    ----------
    configuration : ConfigurationFollower
        Source of the policies.
    active_calls : ActiveCalls
        Calls that the backend server is executing.
    dispatcher : AtMostOnceDispatcher
        Dispatches the calls.
    switches : MechanismSwitches
        Mechanisms that are enabled.
    """

    def __init__(
        self,
        configuration: ConfigurationFollower,
        active_calls: ActiveCalls,
        dispatcher: AtMostOnceDispatcher,
        switches: MechanismSwitches = ALL_ON,
    ) -> None:
        self._configuration = configuration
        self._active_calls = active_calls
        self._dispatcher = dispatcher
        self._switches = switches

    async def answer(self, request: Request) -> Answer:
        """Return the answer to an inner call.

        Raises
        ------
        CallFailure
            If the call that causes it is not active, the request is rejected or no complete
            answer was received.
        """
        parent = self._active_calls.find(request.headers[CALL_HEADER])
        method = request.method
        treatment = find_treatment(self._configuration, parent.customer, method, request.path)
        lineage = derive_key(
            parent.lineage, method, request.target, xxh3_128_hexdigest(request.body)
        )
        key = parse_key(request.headers)
        if treatment.execution is Execution.AT_MOST_ONCE and not key:
            key = lineage
        call = OutgoingCall(
            request_id=parent.request_id,
            customer=parent.customer,
            treatment=treatment,
            rank=parent.rank,
            deadline=parent.deadline,
            budget=self._budget(parent, treatment),
            key=key,
            depth=parent.depth + 1,
            method=method,
            path=request.target,
            headers=forwarded_headers(request.headers),
            body=request.body,
            floor=parent.floor,
            entry_route=parent.entry_route,
            report=parent.report,
            lineage=lineage,
        )
        parent.permit.pause()
        try:
            return await self._dispatcher.dispatch(call)
        finally:
            parent.permit.resume()

    def _budget(self, parent: ActiveCall, treatment: Treatment) -> RetryBudget:
        if self._switches.is_on(Mechanism.RETRY_BUDGET):
            return parent.budget
        return new_budget(treatment.retry_budget, self._switches)
