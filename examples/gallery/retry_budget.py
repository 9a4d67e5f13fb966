"""Compare a divided retry budget with a limit at each hop, over a chain with a dead end.

Run it with ``python examples/gallery/retry_budget.py``.
"""

from apricotwalk.retries import RetryBudget

DEPTH = 5
TRIES_A_HOP = 3
BUDGET = 4


def count_with_limit(depth: int) -> int:
    """Return the executions at the last hop if each hop tries three times."""
    return TRIES_A_HOP**depth


def count_with_budget(depth: int, budget: RetryBudget) -> int:
    """Return the executions at the last hop if the hops divide one budget."""
    if depth == 0:
        return 1
    executions = 0
    while True:
        lent = budget.allocate()
        inner = RetryBudget(lent)
        executions += count_with_budget(depth - 1, inner)
        budget.refund(lent, inner.remaining)
        if not budget.spend():
            return executions


def main() -> None:
    """Print both counts."""
    print(f"limit of {TRIES_A_HOP} tries a hop: {count_with_limit(DEPTH)} executions")
    executions = count_with_budget(DEPTH, RetryBudget(BUDGET))
    print(f"one budget of {BUDGET} retries: {executions} executions")


if __name__ == "__main__":
    main()
