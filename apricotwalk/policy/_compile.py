"""Compilation of a template and a customer's parameter values into treatments."""

from apricotwalk.core import PolicyError
from apricotwalk.policy._records import Customer, Quantity, Route, Template
from apricotwalk.policy._treatment import CustomerPolicy, Treatment

__all__ = ["compile_customer", "validate_template"]

MAX_DEADLINE_MS = 600_000.0
MAX_RETRY_BUDGET = 64.0


def validate_template(template: Template) -> None:
    """Check the constraints on a template that its data model cannot express.

    Raises
    ------
    PolicyError
        If a route name is duplicate, a parameter's bounds or default are inconsistent, or a
        route refers to an unknown parameter; the message names the template and the location.
    """
    where = f"template {template.name} version {template.version}"
    names: set[str] = set()
    for route in template.routes:
        if route.name in names:
            raise PolicyError(f"{where}: route name {route.name!r} appears twice")
        names.add(route.name)
    for name, parameter in template.parameters.items():
        if parameter.minimum > parameter.maximum:
            raise PolicyError(f"{where}: parameter {name!r}: minimum is above maximum")
        default = parameter.default
        if default is not None and not parameter.minimum <= default <= parameter.maximum:
            raise PolicyError(f"{where}: parameter {name!r}: default {default} is out of bounds")
    for route in template.routes:
        for quantity in (route.deadline_ms, route.retry_budget, route.floor):
            if isinstance(quantity, str) and quantity[2:-1] not in template.parameters:
                raise PolicyError(
                    f"{where}: route {route.name!r} refers to unknown parameter {quantity}"
                )


def compile_customer(template: Template, customer: Customer) -> CustomerPolicy:
    """Return the customer's treatments with every parameter replaced by its value.

    Raises
    ------
    PolicyError
        If a value is missing, unknown or out of bounds; the message names the customer, the
        parameter, its bounds and the value.
    """
    where = f"customer {customer.name} version {customer.version}"
    values = _parameter_values(template, customer, where)
    treatments = [_compile_route(route, values, where) for route in template.routes]
    treatments.sort(key=lambda treatment: (-len(treatment.path), treatment.route))
    return CustomerPolicy(customer.name, customer.version, tuple(treatments))


def _parameter_values(template: Template, customer: Customer, where: str) -> dict[str, float]:
    for name in customer.parameters:
        if name not in template.parameters:
            raise PolicyError(f"{where}: template {template.name} has no parameter {name!r}")
    values: dict[str, float] = {}
    for name, parameter in template.parameters.items():
        value = customer.parameters.get(name, parameter.default)
        if value is None:
            raise PolicyError(f"{where}: parameter {name!r} is required")
        if not parameter.minimum <= value <= parameter.maximum:
            raise PolicyError(
                f"{where}: parameter {name!r} must be between {parameter.minimum} and "
                f"{parameter.maximum}, but is {value}"
            )
        values[name] = value
    return values


def _compile_route(route: Route, values: dict[str, float], where: str) -> Treatment:
    location = f"{where}: route {route.name!r}"
    deadline_ms = _resolve(route.deadline_ms, values)
    retry_budget = _resolve(route.retry_budget, values)
    floor = _resolve(route.floor, values)
    _require_between(location, "deadline_ms", deadline_ms, 1.0, MAX_DEADLINE_MS)
    _require_between(location, "retry_budget", retry_budget, 0.0, MAX_RETRY_BUDGET)
    _require_between(location, "floor", floor, 0.0, 1.0)
    return Treatment(
        route=route.name,
        service=route.service,
        method=route.method,
        path=route.path,
        rank=route.rank,
        deadline_seconds=deadline_ms / 1000,
        retry_budget=int(retry_budget),
        execution=route.execution,
        floor=floor,
    )


def _resolve(quantity: Quantity, values: dict[str, float]) -> float:
    if isinstance(quantity, str):
        return values[quantity[2:-1]]
    return quantity


def _require_between(
    location: str, field: str, value: float, minimum: float, maximum: float
) -> None:
    if not minimum <= value <= maximum:
        raise PolicyError(
            f"{location}: {field} must be between {minimum} and {maximum}, but is {value}"
        )
