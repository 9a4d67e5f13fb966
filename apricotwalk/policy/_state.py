"""Configuration state that results from applying the records of the log in order."""

from dataclasses import dataclass

from apricotwalk.core import PolicyError
from apricotwalk.policy._compile import compile_customer, validate_template
from apricotwalk.policy._records import Customer, PolicyRecord, Snapshot, StreamRecord, Template
from apricotwalk.policy._treatment import CustomerPolicy

__all__ = ["PolicyState", "Rejection"]


@dataclass(frozen=True, slots=True)
class Rejection:
    """A record of the log that was not accepted, and the reason.

    Parameters
    ----------
    offset : int
        Offset of the record.
    reason : str
        Explanation for the operator.
    """

    offset: int
    reason: str


class PolicyState:
    """Accepted templates and customers after a prefix of the log.

    Notes
    -----
    Acceptance depends only on the records and their order, so every node that has read the same
    prefix has the same state.  The first record in log order that has the next version of a
    name is accepted; a later one with the same version is rejected.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.templates_by_name: dict[str, dict[int, Template]] = {}
        self.customers_by_name: dict[str, Customer] = {}
        self.policies_by_customer: dict[str, CustomerPolicy] = {}

    def apply(self, offset: int, record: StreamRecord) -> Rejection | None:
        """Apply the record at `offset`; records must be applied in log order.

        Returns
        -------
        Rejection or None
            The rejection and its reason, or None if the record was accepted.
        """
        if offset < self.next_offset:
            return Rejection(offset, "already applied")
        self.next_offset = offset + 1
        try:
            if isinstance(record, Template):
                self._apply_template(record)
            elif isinstance(record, Customer):
                self._apply_customer(record)
        except PolicyError as error:
            return Rejection(offset, str(error))
        return None

    def check(self, record: PolicyRecord) -> None:
        """Check that `record` would be accepted as the next record.

        Raises
        ------
        PolicyError
            If the record would be rejected; the message states the reason.
        """
        if isinstance(record, Template):
            self._check_template(record)
        else:
            self._check_customer(record)

    def snapshot(self, taken_at: float) -> Snapshot:
        """Return a snapshot of all customers and of template versions that are newest or in use."""
        in_use = {(c.template, c.template_version) for c in self.customers_by_name.values()}
        templates = [
            template
            for name, versions in self.templates_by_name.items()
            for version, template in sorted(versions.items())
            if version == self.newest_template_version(name) or (name, version) in in_use
        ]
        customers = list(self.customers_by_name.values())
        return Snapshot(self.next_offset, taken_at, templates, customers)

    def install(self, snapshot: Snapshot, is_monotonic: bool = True) -> None:
        """Replace the state with a snapshot of a longer prefix of the log.

        Parameters
        ----------
        snapshot : Snapshot
            Snapshot to install.
        is_monotonic : bool
            Whether an older snapshot is rejected; False only in ablation tests.

        Raises
        ------
        PolicyError
            If the snapshot is older, would lower a customer's version, or is inconsistent; the
            state is then left unchanged.
        """
        if is_monotonic:
            self._check_monotonic(snapshot)
        templates: dict[str, dict[int, Template]] = {}
        for template in snapshot.templates:
            validate_template(template)
            templates.setdefault(template.name, {})[template.version] = template
        policies: dict[str, CustomerPolicy] = {}
        for customer in snapshot.customers:
            customer_template = templates.get(customer.template, {}).get(customer.template_version)
            if customer_template is None:
                raise PolicyError(f"snapshot lacks the template of customer {customer.name}")
            policies[customer.name] = compile_customer(customer_template, customer)
        self.templates_by_name = templates
        self.customers_by_name = {customer.name: customer for customer in snapshot.customers}
        self.policies_by_customer = policies
        self.next_offset = snapshot.next_offset

    def newest_template_version(self, name: str) -> int:
        """Return the newest accepted version of a template, or 0."""
        return max(self.templates_by_name.get(name, {0: None}))

    def customer_version(self, name: str) -> int:
        """Return the accepted version of a customer, or 0."""
        customer = self.customers_by_name.get(name)
        return customer.version if customer else 0

    def _check_monotonic(self, snapshot: Snapshot) -> None:
        if snapshot.next_offset < self.next_offset:
            raise PolicyError(
                f"snapshot up to offset {snapshot.next_offset} is older than {self.next_offset}"
            )
        versions_by_customer = {customer.name: customer.version for customer in snapshot.customers}
        for name, customer in self.customers_by_name.items():
            if versions_by_customer.get(name, 0) < customer.version:
                raise PolicyError(f"snapshot would lower the version of customer {name}")

    def _apply_template(self, template: Template) -> None:
        known = self.templates_by_name.get(template.name, {}).get(template.version)
        if known is not None and known.publish_id == template.publish_id != "":
            return
        self._check_template(template)
        self.templates_by_name.setdefault(template.name, {})[template.version] = template

    def _apply_customer(self, customer: Customer) -> None:
        known = self.customers_by_name.get(customer.name)
        if known is not None and known.publish_id == customer.publish_id != "":
            return
        policy = self._check_customer(customer)
        self.customers_by_name[customer.name] = customer
        self.policies_by_customer[customer.name] = policy

    def _check_template(self, template: Template) -> None:
        expected = self.newest_template_version(template.name) + 1
        if template.version != expected:
            raise PolicyError(
                f"template {template.name}: version {expected} is next, "
                f"but version {template.version} was published"
            )
        validate_template(template)
        for customer in self.customers_by_name.values():
            if customer.template != template.name:
                continue
            try:
                compile_customer(template, customer)
            except PolicyError as error:
                raise PolicyError(
                    f"template {template.name} version {template.version} would break "
                    f"customer {customer.name}: {error}"
                ) from error

    def _check_customer(self, customer: Customer) -> CustomerPolicy:
        expected = self.customer_version(customer.name) + 1
        if customer.version != expected:
            raise PolicyError(
                f"customer {customer.name}: version {expected} is next, "
                f"but version {customer.version} was published"
            )
        versions = self.templates_by_name.get(customer.template, {})
        template = versions.get(customer.template_version)
        if template is None:
            raise PolicyError(
                f"customer {customer.name}: template {customer.template} "
                f"version {customer.template_version} is not known"
            )
        return compile_customer(template, customer)
