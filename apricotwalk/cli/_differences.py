"""Comparison of the request treatment before and after a record is published."""

from dataclasses import fields

from msgspec import Struct

from apricotwalk.core import PolicyError
from apricotwalk.policy import (
    Customer,
    CustomerPolicy,
    PolicyRecord,
    PolicyState,
    Treatment,
    compile_customer,
)

__all__ = ["Difference", "compare_policies", "find_differences"]

ABSENT = "absent"


class Difference(Struct, frozen=True):
    """Change of one treatment field.

    Parameters
    ----------
    customer, route, field : str
        Customer and route of the treatment, and the name of the changed field.
    before, after : object
        Current value and new value of the field.
    """

    customer: str
    route: str
    field: str
    before: object
    after: object


def find_differences(state: PolicyState, record: PolicyRecord) -> list[Difference]:
    """Compute the treatment changes that publishing `record` would cause or allow.

    Parameters
    ----------
    state : PolicyState
        Configuration in force.
    record : Template or Customer
        Record to be published.

    Returns
    -------
    list of Difference
        For a customer, the changes of its own treatments.  For a template, the changes of each
        customer of the template, which take effect once that customer moves to the new version.

    Raises
    ------
    PolicyError
        If the record is invalid for this configuration.
    """
    if isinstance(record, Customer):
        return _customer_differences(state, record)
    differences: list[Difference] = []
    for customer in state.customers_by_name.values():
        if customer.template == record.name:
            before = state.policies_by_customer[customer.name]
            differences += compare_policies(before, compile_customer(record, customer))
    return differences


def compare_policies(before: CustomerPolicy | None, after: CustomerPolicy) -> list[Difference]:
    """Return the treatment fields that differ between two policies of one customer.

    Parameters
    ----------
    before : CustomerPolicy or None
        Current policy; None for a new customer.
    after : CustomerPolicy
        New policy.

    Returns
    -------
    list of Difference
        Changes sorted by route.  A route that exists in one policy only is compared with
        ``"absent"``.
    """
    old = {t.route: t for t in before.treatments} if before is not None else {}
    new = {t.route: t for t in after.treatments}
    differences: list[Difference] = []
    for route in sorted(old.keys() | new.keys()):
        differences += _compare(after.customer, route, old.get(route), new.get(route))
    return differences


def _customer_differences(state: PolicyState, customer: Customer) -> list[Difference]:
    template = state.templates_by_name.get(customer.template, {}).get(customer.template_version)
    if template is None:
        raise PolicyError(
            f"customer {customer.name}: template {customer.template} "
            f"version {customer.template_version} is not known"
        )
    before = state.policies_by_customer.get(customer.name)
    return compare_policies(before, compile_customer(template, customer))


def _compare(
    customer: str, route: str, old: Treatment | None, new: Treatment | None
) -> list[Difference]:
    differences: list[Difference] = []
    for treatment_field in fields(Treatment):
        before = ABSENT if old is None else getattr(old, treatment_field.name)
        after = ABSENT if new is None else getattr(new, treatment_field.name)
        if before != after and treatment_field.name != "route":
            differences.append(Difference(customer, route, treatment_field.name, before, after))
    return differences
