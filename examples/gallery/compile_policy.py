"""Compile a customer's policy from a template and print how a request is treated.

Run it with ``python examples/gallery/compile_policy.py``.
"""

from apricotwalk.core import PolicyError
from apricotwalk.policy import Customer, Parameter, Route, Template, compile_customer

TEMPLATE = Template(
    name="kitchens",
    version=1,
    parameters={"patience_ms": Parameter(minimum=200, maximum=2000, default=600)},
    routes=[
        Route("allergy", "GET", "/allergy", "dietary", rank=0, deadline_ms="${patience_ms}"),
        Route("menu", "GET", "/menu", "menu", rank=3, deadline_ms=1000.0),
    ],
)


def main() -> None:
    """Print the treatment of one request, and the error for a parameter that is out of bounds."""
    volta = Customer("volta", 1, "kitchens", 1, parameters={"patience_ms": 800})
    treatment = compile_customer(TEMPLATE, volta).match("GET", "/allergy/pupil-7")
    if treatment is not None:
        print(f"{treatment.route}: rank {treatment.rank}, {treatment.deadline_seconds} s")
    hasty = Customer("hasty", 1, "kitchens", 1, parameters={"patience_ms": 5})
    try:
        compile_customer(TEMPLATE, hasty)
    except PolicyError as error:
        print(f"refused: {error}")


if __name__ == "__main__":
    main()
