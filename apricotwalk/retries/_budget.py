"""Retry budget of one request, divided among its calls at every hop."""

from apricotwalk.core import Mechanism, MechanismSwitches

__all__ = ["CopiedBudget", "RetryBudget", "new_budget"]


class RetryBudget:
    """Retries that one call and all of its inner calls may still use.

    Parameters
    ----------
    remaining : int
        Retries allocated to this call.

    Notes
    -----
    A budget is divided, never copied: retries allocated to an inner call are subtracted here,
    and only those that the answer reports as unspent are refunded.  If the answer is lost, the
    allocated retries are lost as well.  The sum over all hops therefore never grows.

    Examples
    --------
    >>> budget = RetryBudget(3)
    >>> budget.allocate()
    2
    >>> budget.remaining
    1
    >>> budget.refund(2, unspent=1)
    >>> budget.remaining
    2
    """

    __slots__ = ("remaining",)

    def __init__(self, remaining: int) -> None:
        self.remaining = remaining

    def allocate(self) -> int:
        """Subtract and return the larger half of the remaining retries, for one inner call."""
        allocated = (self.remaining + 1) // 2
        self.remaining -= allocated
        return allocated

    def refund(self, allocated: int, unspent: int) -> None:
        """Add the unspent retries of an inner call, at most as many as were allocated to it."""
        self.remaining += max(0, min(allocated, unspent))

    def spend(self) -> bool:
        """Subtract one retry if any remains and return whether one remained."""
        if self.remaining <= 0:
            return False
        self.remaining -= 1
        return True


class CopiedBudget(RetryBudget):
    """Retry budget that every hop copies in full, used only by ablation tests."""

    __slots__ = ()

    def allocate(self) -> int:
        """Return the remaining retries without subtracting them."""
        return self.remaining

    def refund(self, allocated: int, unspent: int) -> None:
        """Do nothing, because `allocate` subtracts nothing."""


def new_budget(remaining: int, switches: MechanismSwitches) -> RetryBudget:
    """Return a budget of `remaining` retries, divided unless that mechanism is disabled."""
    if switches.is_on(Mechanism.RETRY_BUDGET):
        return RetryBudget(remaining)
    return CopiedBudget(remaining)
