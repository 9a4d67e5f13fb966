"""Compare a divided retry budget with a retry limit at each hop, over a chain that always fails.

Run it with ``python examples/gallery/retry_budget.py``.
"""

from apricotwalk.retries import RetryBudget

CHAIN_DEPTH = 5
ATTEMPTS_PER_HOP = 3
RETRY_BUDGET = 4


def count_with_limit(depth: int) -> int:
    """Return the number of executions at the last hop if each hop limits its own attempts."""
    return ATTEMPTS_PER_HOP**depth


def count_with_budget(depth: int, budget: RetryBudget) -> int:
    """Return the number of executions at the last hop if the hops divide one retry budget."""
    if depth == 0:
        return 1
    executions = 0
    while True:
        allocated = budget.allocate()
        inner_budget = RetryBudget(allocated)
        executions += count_with_budget(depth - 1, inner_budget)
        budget.refund(allocated, inner_budget.remaining)
        if not budget.spend():
            return executions


def main() -> None:
    """Print the number of executions under each policy."""
    print(f"limit of {ATTEMPTS_PER_HOP} tries a hop: {count_with_limit(CHAIN_DEPTH)} executions")
    executions = count_with_budget(CHAIN_DEPTH, RetryBudget(RETRY_BUDGET))
    print(f"one budget of {RETRY_BUDGET} retries: {executions} executions")


if __name__ == "__main__":
    main()
