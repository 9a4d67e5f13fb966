"""Commands of the command-line tool, exposed through `fire`."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from fire.decorators import SetParseFn

from apricotwalk.cli._arguments import parse_flag, parse_nodes, parse_number, parse_numbers
from apricotwalk.cli._differences import Difference, find_differences
from apricotwalk.cli._exits import UnreachableError, UsageError
from apricotwalk.cli._node_client import NodeClient, NodeResponse
from apricotwalk.cli._output import print_json, write_trace
from apricotwalk.cli._publisher import Publisher
from apricotwalk.cli._record_files import load_record
from apricotwalk.core import ApricotwalkError, PolicyError, new_identifier
from apricotwalk.logservice import HttpLogService
from apricotwalk.policy import Customer, PolicyRecord, PolicyState, Template
from apricotwalk.settings import Address
from apricotwalk.telemetry import format_timeline, merge_events

__all__ = ["Commands"]

DEFAULT_WAIT_SECONDS = 30.0
Result = TypeVar("Result")


class PublishReport(msgspec.Struct):
    """Outcome of a publish command.

    Notes
    -----
    The offset is -1 if the record was already in force and nothing was published.
    """

    kind: str
    name: str
    version: int
    offset: int
    already_in_force: bool = False


class CheckReport(msgspec.Struct):
    """Outcome of the validation of one file."""

    path: str
    accepted: bool
    reason: str = ""


class TemplateCommands:
    """Publish templates."""

    def __init__(self, log: str) -> None:
        self._log = log

    @SetParseFn(str)
    def publish(self, path: str, json: object = False) -> None:
        """Publish the template in the file PATH.

        A template that is incompatible with a customer in force is refused; the error names
        the customer.
        """
        as_json = parse_flag("json", json)
        _publish(self._log, load_record(path, "template"), as_json)


class CustomerCommands:
    """Create and list customers."""

    def __init__(self, log: str) -> None:
        self._log = log

    @SetParseFn(str)
    def create(
        self,
        path: str = "",
        name: str = "",
        template: str = "",
        json: object = False,
        **parameters: object,
    ) -> None:
        """Publish a customer from the file PATH, or from --name, --template and parameters.

        Without a file, the customer gets its next version number and the newest version of the
        template.  A customer that is already in force unchanged is not published again.
        """
        as_json = parse_flag("json", json)
        if path and (name or template or parameters):
            raise UsageError(
                "expected either a file or --name, --template and parameters, not both"
            )
        if path:
            _publish(self._log, load_record(path, "customer"), as_json)
            return
        if not name or not template:
            raise UsageError("expected a file, or --name and --template")
        values = parse_numbers(parameters)
        state = _read_state(self._log)
        _publish(self._log, _next_customer(state, name, template, values), as_json)

    @SetParseFn(str)
    def list(self, json: object = False) -> None:
        """List all customers in force."""
        as_json = parse_flag("json", json)
        customers = list(_read_state(self._log).customers_by_name.values())
        if as_json:
            print_json(customers)
            return
        for customer in customers:
            values = " ".join(f"{key}={value:g}" for key, value in customer.parameters.items())
            print(
                f"{customer.name} version {customer.version}: {customer.template} "
                f"version {customer.template_version} {values}".rstrip()
            )


class Commands:
    """Operate apricotwalk by publishing templates and customers.

    Every command accepts --json and --log HOST:PORT, the address of the log service
    (127.0.0.1:7000 by default).  Exit codes: 0 success, 1 refused, 2 usage error or unreadable
    file, 3 no answer from the log service or a node.
    """

    def __init__(self, log: str) -> None:
        self._log = log
        self.template = TemplateCommands(self._log)
        self.customer = CustomerCommands(self._log)

    @SetParseFn(str)
    def check(self, *paths: str, offline: object = False, json: object = False) -> None:
        """Validate files in order and report whether each would be accepted; publish nothing.

        With --offline, files are validated only against the files before them, without the log
        service.
        """
        as_json, is_offline = parse_flag("json", json), parse_flag("offline", offline)
        if not paths:
            raise UsageError("check: expected at least one file")
        state = PolicyState() if is_offline else _read_state(self._log)
        reports = [_check_file(state, path) for path in paths]
        if as_json:
            print_json(reports)
        for report in reports if not as_json else []:
            print(f"{report.path}: {'ok' if report.accepted else report.reason}")
        refused = sum(not report.accepted for report in reports)
        if refused:
            raise PolicyError(f"{refused} of {len(reports)} files would be refused")

    @SetParseFn(str)
    def diff(self, path: str, json: object = False) -> None:
        """Show what the file PATH would change, by customer, route and field.

        For a template, show what changes for each of its customers once the customer moves to
        the new version.
        """
        as_json = parse_flag("json", json)
        state = _read_state(self._log)
        record = load_record(path)
        state.check(record)
        differences = find_differences(state, record)
        if as_json:
            print_json(differences)
            return
        print("\n".join(map(_format_difference, differences)) or "no treatment changes")

    @SetParseFn(str)
    def status(self, nodes: str = "", json: object = False) -> None:
        """Show the status of --nodes, given as host:port,host:port or a file with a JSON list."""
        as_json, addresses = parse_flag("json", json), parse_nodes(nodes)
        responses = _query_nodes(lambda client: client.statuses(addresses))
        if as_json:
            print_json(responses)
        else:
            print("\n".join(map(_format_status, responses)))
        unreachable = [response.address for response in responses if response.status is None]
        if unreachable:
            raise UnreachableError(f"no answer from {', '.join(unreachable)}")

    @SetParseFn(str)
    def timeline(
        self, request: str = "", nodes: str = "", trace: str = "", json: object = False
    ) -> None:
        """Show the events of --request (or all) on --nodes in causal order.

        With --trace FILE, also write them to a file in the Chrome trace event format.
        """
        as_json, addresses = parse_flag("json", json), parse_nodes(nodes)
        results = _query_nodes(lambda client: _gather_events(client, addresses, request))
        events = merge_events(event for node_events, _ in results for event in node_events)
        if trace:
            write_trace(trace, events)
        if as_json:
            print_json(events)
        else:
            print("\n".join(format_timeline(events)) or "no events")
        errors = [error for _, error in results if error]
        if errors:
            raise UnreachableError("the timeline is incomplete: " + "; ".join(errors))

    @SetParseFn(str)
    def drain(
        self, nodes: str = "", wait: object = DEFAULT_WAIT_SECONDS, json: object = False
    ) -> None:
        """Stop --nodes from accepting work and wait up to --wait seconds for calls in flight."""
        as_json, addresses = parse_flag("json", json), parse_nodes(nodes)
        seconds = parse_number("wait", wait)
        responses = _query_nodes(lambda client: _drain_all(client, addresses, seconds))
        if as_json:
            print_json(responses)
        else:
            print("\n".join(map(_format_status, responses)))
        unfinished = [response for response in responses if response.error]
        if unfinished:
            raise UnreachableError(
                "; ".join(f"{response.address}: {response.error}" for response in unfinished)
            )


def _next_customer(
    state: PolicyState, name: str, template: str, parameters: dict[str, float]
) -> Customer:
    newest = state.newest_template_version(template)
    if newest == 0:
        known = ", ".join(sorted(state.templates_by_name)) or "none"
        raise PolicyError(f"template {template!r} is not known; known templates: {known}")
    current = state.customers_by_name.get(name)
    if current is not None and _has_same_content(current, template, newest, parameters):
        return current
    raw = {
        "kind": "customer",
        "name": name,
        "version": state.customer_version(name) + 1,
        "template": template,
        "template_version": newest,
        "parameters": parameters,
        "publish_id": new_identifier(),
    }
    try:
        return msgspec.convert(raw, Customer)
    except msgspec.ValidationError as error:
        raise UsageError(str(error)) from error


def _has_same_content(
    customer: Customer, template: str, template_version: int, parameters: dict[str, float]
) -> bool:
    same_template = (customer.template, customer.template_version) == (template, template_version)
    return same_template and customer.parameters == parameters


def _is_in_force(state: PolicyState, record: PolicyRecord) -> bool:
    known: PolicyRecord | None
    if isinstance(record, Template):
        versions = state.templates_by_name.get(record.name, {})
        known = versions.get(state.newest_template_version(record.name))
    else:
        known = state.customers_by_name.get(record.name)
    if known is None:
        return False
    return msgspec.structs.replace(record, publish_id=known.publish_id) == known


def _publish(log_address: str, record: PolicyRecord, as_json: bool) -> None:
    report = _with_publisher(log_address, lambda publisher: _publish_if_changed(publisher, record))
    if as_json:
        print_json(report)
    elif report.already_in_force:
        print(f"{report.kind} {report.name} version {report.version} is in force already")
    else:
        print(
            f"{report.kind} {report.name} version {report.version} "
            f"accepted at offset {report.offset}"
        )


async def _publish_if_changed(publisher: Publisher, record: PolicyRecord) -> PublishReport:
    kind = "template" if isinstance(record, Template) else "customer"
    if _is_in_force(await publisher.read_state(), record):
        return PublishReport(kind, record.name, record.version, -1, already_in_force=True)
    result = await publisher.publish(record)
    return PublishReport(kind, record.name, record.version, result.offset)


def _check_file(state: PolicyState, path: str) -> CheckReport:
    try:
        record = load_record(path)
        state.check(record)
    except ApricotwalkError as error:
        return CheckReport(path, False, str(error))
    state.apply(state.next_offset, record)
    return CheckReport(path, True)


def _read_state(log_address: str) -> PolicyState:
    return _with_publisher(log_address, lambda publisher: publisher.read_state())


def _with_publisher(
    log_address: str, operation: Callable[[Publisher], Awaitable[Result]]
) -> Result:
    async def body() -> Result:
        log_service = HttpLogService(Address.parse(log_address))
        try:
            return await operation(Publisher(log_service))
        finally:
            log_service.close()

    return asyncio.run(body())


def _query_nodes(operation: Callable[[NodeClient], Awaitable[Result]]) -> Result:
    async def body() -> Result:
        client = NodeClient()
        try:
            return await operation(client)
        finally:
            client.close()

    return asyncio.run(body())


async def _gather_events(
    client: NodeClient, addresses: list[Address], request: str
) -> list[tuple[list, str]]:
    async def fetch(address: Address) -> tuple[list, str]:
        try:
            return await client.events(address, request), ""
        except UnreachableError as error:
            return [], str(error)

    return await asyncio.gather(*(fetch(address) for address in addresses))


async def _drain_all(
    client: NodeClient, addresses: list[Address], seconds: float
) -> list[NodeResponse]:
    return await asyncio.gather(*(client.drain(address, seconds) for address in addresses))


def _format_difference(change: Difference) -> str:
    return f"{change.customer} {change.route}.{change.field}: {change.before} -> {change.after}"


def _format_status(response: NodeResponse) -> str:
    status = response.status
    if status is None:
        return f"{response.address}: {response.error}"
    state = "leaving" if status.is_leaving else "serving" if status.has_server else "no server"
    return (
        f"{status.instance} {status.availability_zone} {state}: offset "
        f"{status.configuration_offset}, {len(status.customers)} customers, {status.members} "
        f"members, {status.in_flight} in flight, load {status.load:.2f}"
    )
