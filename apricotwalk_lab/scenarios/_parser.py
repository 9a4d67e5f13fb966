"""Parser of the scenario language."""

from collections.abc import Callable
from importlib.resources import files
from pathlib import Path
from typing import Any

import msgspec
from lark import Lark, Token, Tree, UnexpectedInput
from lark.exceptions import UnexpectedCharacters, UnexpectedToken
from lark.lexer import PatternStr

from apricotwalk.core import Mechanism, SettingsError
from apricotwalk.policy import (
    Customer,
    Execution,
    Parameter,
    PolicyRecord,
    PolicyState,
    Route,
    Template,
)
from apricotwalk.settings import load_json_with_comments
from apricotwalk_lab.processes import InstancePlan
from apricotwalk_lab.scenarios import _expectations as expectations
from apricotwalk_lab.scenarios import _faults as faults
from apricotwalk_lab.scenarios._errors import ScenarioError
from apricotwalk_lab.scenarios._scenario import ExpectStatement, KeyKind, Load, Scenario, TimedFault
from apricotwalk_lab.standins.backend_server import Work

__all__ = ["parse_scenario", "read_scenario"]

DEFAULT_ZONES = ("zone-a",)

_LARK = Lark(
    files("apricotwalk_lab.scenarios").joinpath("grammar.lark").read_text("utf-8"),
    parser="lalr",
    propagate_positions=True,
    maybe_placeholders=False,
)

_TEXT_BY_TERMINAL = {
    terminal.name: terminal.pattern.value
    for terminal in _LARK.terminals
    if isinstance(terminal.pattern, PatternStr)
} | {"DECIMAL": "a number", "INT": "a whole number", "$END": "the end of the file"}


def read_scenario(path: str | Path) -> Scenario:
    """Read and parse a scenario file.

    Parameters
    ----------
    path : str or Path
        The scenario file.

    Returns
    -------
    Scenario
        The parsed scenario.

    Raises
    ------
    ScenarioError
        If the file cannot be read or has an error.  The message states file, line and column,
        what was expected and what was found.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(str(path), 1, 1, f"cannot be read: {error}") from error
    return parse_scenario(text, str(path))


def parse_scenario(text: str, path: str = "scenario") -> Scenario:
    """Parse the text of a scenario.

    Parameters
    ----------
    text : str
        Statements of the scenario language, one per line.
    path : str
        File name in error messages; its directory is the base of policy files that are named in
        the text.

    Returns
    -------
    Scenario
        The parsed scenario.

    Raises
    ------
    ScenarioError
        If the text has an error.  The message states file, line and column, what was expected
        and what was found.
    """
    try:
        tree = _LARK.parse(text + "\n")
    except UnexpectedInput as error:
        raise ScenarioError(path, error.line, error.column, _describe_error(error)) from error
    return _ScenarioReader(path, text).read(tree)


def _describe_error(error: UnexpectedInput) -> str:
    if isinstance(error, UnexpectedToken):
        expected = ", ".join(
            sorted(_describe_terminal(name) for name in error.accepts or error.expected)
        )
        seen = "the end of the line" if error.token.type == "_NL" else repr(str(error.token))
        return f"expected {expected}, saw {seen}"
    if isinstance(error, UnexpectedCharacters):
        expected = ", ".join(sorted(_describe_terminal(name) for name in error.allowed or ()))
        return f"expected {expected}, saw {error.char!r}"
    return str(error)


def _describe_terminal(terminal: str) -> str:
    if terminal == "_NL":
        return "the end of the line"
    if terminal in _TEXT_BY_TERMINAL:
        return _TEXT_BY_TERMINAL[terminal]
    return terminal.lower().strip("_")


class _ScenarioReader:
    """Builds a scenario from the syntax tree of one file."""

    def __init__(self, path: str, text: str) -> None:
        self._path = path
        self._lines = text.splitlines()
        self._scenario = Scenario(path=path)
        self._count_by_service: dict[str, int] = {}

    def read(self, tree: Tree[Token]) -> Scenario:
        """Build the scenario, and check its policies and the names that it refers to."""
        for statement in _subtrees(tree):
            reader: Callable[[Tree[Token]], None] = getattr(self, f"_read_{statement.data}")
            reader(statement)
        self._check_policies()
        self._check_names(tree)
        return self._scenario

    def _read_title(self, tree: Tree[Token]) -> None:
        self._scenario.title = _unquote(tree.children[0])

    def _read_fails_without(self, tree: Tree[Token]) -> None:
        name = tree.children[0]
        self._check_name(name, {mechanism.value for mechanism in Mechanism})
        self._scenario.fails_without.append(str(name))

    def _read_lasts(self, tree: Tree[Token]) -> None:
        self._scenario.min_duration_seconds = _seconds(tree.children[0])

    def _read_log_retention(self, tree: Tree[Token]) -> None:
        self._scenario.retention_seconds = _seconds(tree.children[0])

    def _read_policy_file(self, tree: Tree[Token]) -> None:
        kind, name = tree.children
        model: type[PolicyRecord] = Template if str(kind) == "templates" else Customer
        tag = "template" if model is Template else "customer"
        path = Path(self._path).parent / _unquote(name)
        try:
            content = load_json_with_comments(path, dict[str, Any])
            record = msgspec.convert({**content, "kind": tag}, model)
        except (SettingsError, msgspec.ValidationError) as error:
            raise self._error(tree, str(error)) from error
        self._scenario.records.append(record)

    def _read_template(self, tree: Tree[Token]) -> None:
        name, *parts = tree.children
        version = 1
        routes: list[Route] = []
        parameters: dict[str, Parameter] = {}
        for part in parts:
            if not isinstance(part, Tree):
                continue
            if part.data == "version":
                version = int(str(part.children[0]))
            elif part.data == "route":
                routes.append(self._to_route(part))
            else:
                minimum, maximum, *default = (float(str(n)) for n in part.children[1:])
                parameter = Parameter(minimum, maximum, default[0] if default else None)
                parameters[str(part.children[0])] = parameter
        self._scenario.records.append(Template(str(name), version, routes, parameters))

    def _to_route(self, tree: Tree[Token]) -> Route:
        name, method, path, service, rank, within, *options = tree.children
        fields: dict[str, Any] = {}
        for option in options:
            assert isinstance(option, Tree)
            if option.data == "retries":
                fields["retry_budget"] = float(str(option.children[0]))
            elif option.data == "floor":
                fields["floor"] = float(str(option.children[0])) / 100
            else:
                fields["execution"] = Execution.AT_MOST_ONCE
        deadline = _deadline(within)
        return Route(
            str(name), str(method), str(path), str(service), int(str(rank)), deadline, **fields
        )

    def _read_customer(self, tree: Tree[Token]) -> None:
        names = [str(child) for child in tree.children if isinstance(child, Token)]
        version_by_name = {names[0]: 1, names[1]: 1}
        preceding_name = names[0]
        settings: dict[str, float] = {}
        for child in tree.children:
            if isinstance(child, Token):
                preceding_name = str(child)
            elif child.data == "version":
                version_by_name[preceding_name] = int(str(child.children[0]))
            else:
                settings[str(child.children[0])] = float(str(child.children[1]))
        name, template = names
        self._scenario.records.append(
            Customer(name, version_by_name[name], template, version_by_name[template], settings)
        )

    def _read_instances(self, tree: Tree[Token]) -> None:
        service, count, *parts = tree.children
        options = {str(part.data): part for part in parts if isinstance(part, Tree)}
        zones = _token_texts(options.get("zones")) or list(DEFAULT_ZONES)
        works = [_to_work(p) for p in parts if isinstance(p, Tree) and p.data == "work"]
        existing_count = self._count_by_service.get(str(service), 0)
        self._count_by_service[str(service)] = existing_count + int(str(count))
        for index in range(int(str(count))):
            plan = InstancePlan(
                f"{service}-{existing_count + index + 1}",
                str(service),
                zones[index % len(zones)],
                works=works,
                keeps_deadlines=True,
            )
            if "region" in options:
                plan.region = str(options["region"].children[0])
            if "slots" in options:
                plan.slots = int(str(options["slots"].children[0]))
            if "cold" in options:
                duration, factor = options["cold"].children
                plan.cold_seconds, plan.cold_factor = _seconds(duration), float(str(factor))
            self._scenario.plans.append(plan)

    def _read_load(self, tree: Tree[Token]) -> None:
        name, method, path, customer, rate, begins, ends, *options = tree.children
        load = Load(
            str(name),
            str(customer),
            str(method),
            str(path),
            float(str(rate)),
            _seconds(begins),
            _seconds(ends),
        )
        for option in options:
            assert isinstance(option, Tree)
            _set_load_option(load, option)
        self._scenario.loads.append(load)

    def _read_timed(self, tree: Tree[Token]) -> None:
        at, fault = tree.children
        assert isinstance(fault, Tree)
        timed = TimedFault(_seconds(at), self._to_fault(fault), tree.meta.line)
        self._scenario.faults.append(timed)

    def _to_fault(self, tree: Tree[Token]) -> faults.Fault:
        if tree.data == "publish_customer":
            return self._publish_customer(tree)
        if tree.data == "publish_template":
            name, version = (str(child) for child in tree.children)
            template = self._scenario.find_template(name, int(version))
            if template is None:
                raise self._error(tree, f"template {name} version {version} is not declared above")
            return faults.PublishRecord(template)
        return _FAULT_READERS[str(tree.data)](tree.children)

    def _publish_customer(self, tree: Tree[Token]) -> faults.Fault:
        name, version, *settings = tree.children
        declared = self._scenario.find_customer(str(name))
        if declared is None:
            raise self._error(tree, f"customer {name} is not declared above")
        changes = {
            str(setting.children[0]): float(str(setting.children[1]))
            for setting in settings
            if isinstance(setting, Tree)
        }
        parameters = {**declared.parameters, **changes}
        record = msgspec.structs.replace(declared, version=int(str(version)), parameters=parameters)
        return faults.PublishRecord(record)

    def _read_expect(self, tree: Tree[Token]) -> None:
        (body,) = tree.children
        assert isinstance(body, Tree)
        line = tree.meta.line
        text = self._lines[line - 1].split("#")[0].strip()
        for expectation in _EXPECTATION_READERS[str(body.data)](body.children):
            self._scenario.expect_statements.append(ExpectStatement(expectation, text, line))

    def _check_policies(self) -> None:
        state = PolicyState()
        for offset, record in enumerate(self._scenario.records):
            if record.version > 1:
                continue
            rejection = state.apply(offset, record)
            if rejection is not None:
                raise ScenarioError(self._path, 1, 1, rejection.reason)

    def _check_names(self, tree: Tree[Token]) -> None:
        instances = {plan.name for plan in self._scenario.plans}
        services = {plan.service for plan in self._scenario.plans}
        loads = {load.name for load in self._scenario.loads}
        regions = {plan.region for plan in self._scenario.plans}
        customers = {r.name for r in self._scenario.records if isinstance(r, Customer)}
        for rule, known, position in (
            *((name, instances, 0) for name in _RULES_WITH_INSTANCE),
            ("runs_least", instances, 2),
            ("runs_most", instances, 2),
            ("roll", services, 0),
            ("separate", regions, 0),
            ("separate", regions, 1),
            ("crash", services, 0),
            ("completed_least", loads, 1),
            ("completed_most", loads, 1),
            ("load", customers, 3),
            ("everywhere", customers, 0),
            ("still_in_force", customers, 0),
        ):
            for found in tree.find_data(rule):
                self._check_name(found.children[position], known)
        for rule in _RULES_WITH_INSTANCES:
            for found in tree.find_data(rule):
                for name in found.scan_values(_is_name):
                    self._check_name(name, instances)

    def _check_name(self, name: Any, known: set[str]) -> None:
        if str(name) not in known:
            raise ScenarioError(
                self._path,
                name.line,
                name.column,
                f"expected one of {', '.join(sorted(known))}, saw {str(name)!r}",
            )

    def _error(self, tree: Tree[Token], reason: str) -> ScenarioError:
        return ScenarioError(self._path, tree.meta.line, tree.meta.column, reason)


# The first child of each of these grammar rules is the name of an instance.
_RULES_WITH_INSTANCE = (
    "whole",
    "node_of",
    "server_of",
    "peers_link",
    "server_link",
    "log_link",
    "from_instance",
    "drain",
    "cut",
    "slow",
    "fail",
    "lie_slots",
    "lie_load",
    "last_work",
)
# Every name in these grammar rules is the name of an instance.
_RULES_WITH_INSTANCES = ("entries", "restart_nodes")


def _subtrees(tree: Tree[Token]) -> list[Tree[Token]]:
    return [child for child in tree.children if isinstance(child, Tree)]


def _is_name(token: Any) -> bool:
    return bool(token.type == "NAME")


def _unquote(token: Any) -> str:
    return str(token)[1:-1]


def _token_texts(tree: Tree[Token] | None) -> list[str]:
    return [str(child) for child in tree.children] if tree is not None else []


def _seconds(tree: Any) -> float:
    number, unit = tree.children
    return float(str(number)) * (0.001 if str(unit) == "ms" else 1.0)


def _deadline(tree: Any) -> float | str:
    if tree.data == "reference":
        return f"${{{tree.children[0]}}}"
    return _seconds(tree) * 1000


def _to_work(tree: Tree[Token]) -> Work:
    path, duration, *options = tree.children
    work = Work(str(path), _seconds(duration) * 1000)
    for option in options:
        assert isinstance(option, Tree)
        if option.data == "calls":
            work.calls = [_unquote(child) for child in option.children]
        elif option.data == "answer_bytes":
            work.answer_bytes = int(str(option.children[0]))
        else:
            work.jitter_ms = _seconds(option.children[0]) * 1000
    return work


def _set_load_option(load: Load, option: Tree[Token]) -> None:
    first = option.children[0]
    if option.data == "entries":
        load.entries = _token_texts(option)
    elif option.data == "keys":
        load.keys = KeyKind(str(first))
    elif option.data == "resends":
        load.resends = int(str(first))
    elif option.data == "timeout":
        load.timeout_seconds = _seconds(first)
    elif option.data == "callers":
        load.callers = int(str(first))
    else:
        load.body = _unquote(first)


def _to_target(tree: Any) -> faults.Target:
    parts_by_rule = {
        "whole": faults.Part.WHOLE,
        "node_of": faults.Part.NODE,
        "server_of": faults.Part.SERVER,
        "log_process": faults.Part.LOG,
    }
    return faults.Target(parts_by_rule[str(tree.data)], "".join(_token_texts(tree)))


def _to_link(tree: Any) -> tuple[faults.LinkKind, str]:
    kinds_by_rule = {
        "peers_link": faults.LinkKind.PEERS,
        "server_link": faults.LinkKind.SERVER,
        "log_link": faults.LinkKind.LOG,
    }
    return kinds_by_rule[str(tree.data)], str(tree.children[0])


def _to_cut(parts: list[Any]) -> faults.Fault:
    name, side = parts
    if side.data == "from_instance":
        return faults.Cut(str(name), str(side.children[0]))
    return faults.Cut(str(name), faults.CutSide(side.data.removeprefix("from_")))


def _to_link_fault(parts: list[Any]) -> faults.Fault:
    verb, link = parts
    model = faults.SilenceLink if str(verb) == "silence" else faults.BreakLink
    return model(*_to_link(link))


_FAULT_READERS: dict[str, Callable[[list[Any]], faults.Fault]] = {
    "process_fault": lambda p: faults.ProcessFault(str(p[0]), _to_target(p[1])),
    "roll": lambda p: faults.Roll(str(p[0])),
    "drain": lambda p: faults.Drain(str(p[0])),
    "restart_nodes": lambda p: faults.RestartNodes(
        [str(name) for name in p[:-2]], int(p[-2]), _seconds(p[-1])
    ),
    "separate": lambda p: faults.Separate(str(p[0]), str(p[1])),
    "cut": _to_cut,
    "link_fault": _to_link_fault,
    "delay": lambda p: faults.DelayLink(*_to_link(p[0]), _seconds(p[1])),
    "lose": lambda p: faults.LoseDatagrams(str(p[1]), float(p[0])),
    "heal": lambda p: faults.HealLink(*_to_link(p[0])),
    "heal_all": lambda p: faults.HealAll(),
    "log_down": lambda p: faults.LogDown(),
    "log_up": lambda p: faults.LogUp(),
    "log_slow": lambda p: faults.LogSlow(_seconds(p[0])),
    "log_loses": lambda p: faults.LogLosesAnswers(int(p[0])),
    "slow": lambda p: faults.Slow(str(p[0]), float(p[1])),
    "fail": lambda p: faults.FailFast(str(p[0])),
    "truncate": lambda p: faults.Truncate(str(p[1]), int(p[0])),
    "lie_slots": lambda p: faults.LieSlots(str(p[0]), int(p[1])),
    "lie_load": lambda p: faults.LieLoad(str(p[0]), float(p[1])),
    "crash": lambda p: faults.Crash(str(p[0]), _unquote(p[1])),
}


def _span(parts: list[Any]) -> dict[str, float]:
    for part in parts:
        if isinstance(part, Tree) and part.data == "span":
            return {"begin": _seconds(part.children[0]), "end": _seconds(part.children[1])}
    return {}


def _to_completed_share(parts: list[Any], is_lower_bound: bool) -> list[expectations.Expectation]:
    percent, load = parts[:2]
    share = expectations.CompletedShare(
        str(load), percent=float(percent), is_lower_bound=is_lower_bound, **_span(parts)
    )
    return [share]


def _to_run_share(parts: list[Any], is_lower_bound: bool) -> list[expectations.Expectation]:
    percent, path, instance = parts[:3]
    share = expectations.RunShare(
        str(path),
        str(instance),
        percent=float(percent),
        is_lower_bound=is_lower_bound,
        **_span(parts),
    )
    return [share]


def _to_refusal(parts: list[Any]) -> list[expectations.Expectation]:
    expected_text = _unquote(parts[1]) if len(parts) > 1 else ""
    return [expectations.PublishOutcome(int(parts[0]), False, expected_text)]


_EXPECTATION_READERS: dict[str, Callable[[list[Any]], list[expectations.Expectation]]] = {
    "promises": lambda p: [*expectations.all_promises()],
    "never": lambda p: [expectations.Never(str(p[0]))],
    "executions_bound": lambda p: [expectations.ExecutionsBound(str(p[1]), int(p[0]))],
    "crashed_bound": lambda p: [expectations.CrashedBound(int(p[0]))],
    "completed_least": lambda p: _to_completed_share(p, True),
    "completed_most": lambda p: _to_completed_share(p, False),
    "runs_least": lambda p: _to_run_share(p, True),
    "runs_most": lambda p: _to_run_share(p, False),
    "last_work": lambda p: [expectations.LastWork(str(p[0]), _seconds(p[1]))],
    "everywhere": lambda p: [
        expectations.Everywhere(str(p[0]), int(p[1]), _seconds(p[2]), _seconds(p[3]))
    ],
    "still_in_force": lambda p: [expectations.StillInForce(str(p[0]), int(p[1]))],
    "publish_accepted": lambda p: [expectations.PublishOutcome(int(p[0]), True)],
    "publish_refused": _to_refusal,
    "one_accepted": lambda p: [expectations.OneAccepted(int(p[0]))],
}
