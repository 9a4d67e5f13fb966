"""The retry budget of one request, divided at every hop."""

from apricotwalk.core import Mechanism, MechanismSwitches

__all__ = ["CopiedBudget", "RetryBudget", "new_budget"]


class RetryBudget:
    """Retries that one call and everything below it may still spend.

    Parameters
    ----------
    remaining : int
        Retries lent to this call.

    Notes
    -----
    A budget is divided, never copied: what is lent to an inner call is subtracted here, and
    comes back only as far as the answer says that it was not spent.  An answer that is lost
    forfeits what was lent.  The sum over all hops therefore never grows.

    Examples
    --------
    >>> budget = RetryBudget(3)
    >>> budget.lend()
    2
    >>> budget.remaining
    1
    >>> budget.give_back(2, unspent=1)
    >>> budget.remaining
    2
    """

    __slots__ = ("remaining",)

    def __init__(self, remaining: int) -> None:
        self.remaining = remaining

    def allocate(self) -> int:
        """Take and return the larger half of what remains, for one inner call."""
        lent = (self.remaining + 1) // 2
        self.remaining -= lent
        return lent

    def refund(self, lent: int, unspent: int) -> None:
        """Add what an inner call did not spend; never more than was lent to it."""
        self.remaining += max(0, min(lent, unspent))

    def spend(self) -> bool:
        """Take one retry if any remains and return whether there was one."""
        if self.remaining <= 0:
            return False
        self.remaining -= 1
        return True


class CopiedBudget(RetryBudget):
    """A budget that every hop has for itself, used only while a proof divides none."""

    __slots__ = ()

    def allocate(self) -> int:
        """Return all that remains without taking it."""
        return self.remaining

    def refund(self, lent: int, unspent: int) -> None:
        """Do nothing, because nothing was taken."""


def new_budget(remaining: int, switches: MechanismSwitches) -> RetryBudget:
    """Return a budget of `remaining` retries, divided unless a proof switches that off."""
    if switches.is_on(Mechanism.RETRY_BUDGET):
        return RetryBudget(remaining)
    return CopiedBudget(remaining)
