"""Tests of the operator's command line against a stand-in log service and real nodes."""

import json
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from apricotwalk.cli._exits import ExitCode
from apricotwalk_lab.processes import Fleet, InstancePlan
from apricotwalk_lab.standins.backend_server import Work
from apricotwalk_lab.standins.log_service import Faults

ROUTE = {"method": "GET", "service": "menu", "rank": 1, "deadline_ms": "${patience_ms}"}
CHAIN = {
    "name": "chain",
    "version": 1,
    "parameters": {"patience_ms": {"minimum": 100, "maximum": 5000, "default": 3000}},
    "routes": [
        {"name": "first", "path": "/first", **ROUTE},
        {"name": "second", "path": "/second", **ROUTE, "service": "diet"},
        {"name": "third", "path": "/third", **ROUTE, "service": "lift"},
    ],
}
PLANS = [
    InstancePlan("menu-1", "menu", "zone-a", works=[Work("/first", 5.0, ["GET /second/7"])]),
    InstancePlan("diet-1", "diet", "zone-b", works=[Work("/second", 5.0, ["GET /third/7"])]),
    InstancePlan("lift-1", "lift", "zone-c", works=[Work("/third", 5.0)]),
]


@pytest.fixture
def write(tmp_path):
    def write_json(name: str, content: object) -> str:
        path = tmp_path / name
        path.write_text(json.dumps(content, indent=1))
        return str(path)

    return write_json


def run_cli(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "apricotwalk.cli", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30)


def assert_refused(result, code: ExitCode, *words: str) -> None:
    assert result.returncode == code, result
    assert "Traceback" not in result.stderr + result.stdout
    for word in words:
        assert word in result.stderr + result.stdout


@pytest.mark.processes
def test_operator_publishes_and_traces_a_request(run, tmp_path, write):
    async def body():
        fleet = Fleet(tmp_path / "fleet", PLANS)
        try:
            await fleet.start()
            await publish_and_refuse(fleet, write)
            nodes = ",".join(each.server for each in fleet.instances_by_name.values())
            await trace_request(fleet, nodes, tmp_path)
            await drain(fleet)
        finally:
            await fleet.close()

    run(body())


async def publish_and_refuse(fleet, write):
    template = write("template.json", CHAIN)
    assert (await fleet.run_cli("template", "publish", template)).returncode == 0
    created = await fleet.run_cli(
        "customer", "create", "--name", "school", "--template", "chain", "--patience_ms", "3000"
    )
    assert created.returncode == 0, created.stderr
    repeated = await fleet.run_cli(
        "customer", "create", "--name", "school", "--template", "chain", "--patience_ms", "3000"
    )
    assert "in force already" in repeated.stdout
    out_of_bounds = await fleet.run_cli(
        "customer", "create", "--name", "school", "--template", "chain", "--patience_ms", "9000"
    )
    assert_refused(out_of_bounds, ExitCode.REFUSED, "patience_ms", "5000", "9000")
    narrower = {**CHAIN, "version": 2, "parameters": {"patience_ms": {"minimum": 1, "maximum": 2}}}
    breaking = await fleet.run_cli("template", "publish", write("narrow.json", narrower))
    assert_refused(breaking, ExitCode.REFUSED, "would break customer school")
    checked = await fleet.run_cli("check", write("narrow.json", narrower))
    assert_refused(checked, ExitCode.REFUSED, "school")
    customer = {"name": "school", "version": 2, "template": "chain", "template_version": 1}
    customer["parameters"] = {"patience_ms": 1000}
    diff = await fleet.run_cli("diff", write("customer.json", customer), "--json")
    changes = json.loads(diff.stdout)
    assert {(c["field"], c["before"], c["after"]) for c in changes} == {
        ("deadline_seconds", 3.0, 1.0)
    }
    listed = json.loads((await fleet.run_cli("customer", "list", "--json")).stdout)
    assert [(c["name"], c["version"]) for c in listed] == [("school", 1)]


async def trace_request(fleet, nodes, tmp_path):
    await fleet.wait_for_customer("school")
    entry = fleet.instances_by_name["lift-1"].callers
    response = await fleet._client.fetch(
        f"http://{entry}/first/1", headers={"Apricotwalk-Customer": "school"}
    )
    request_id = response.headers["Apricotwalk-Request"]
    trace = tmp_path / "trace.json"
    shown = await fleet.run_cli(
        "timeline", "--request", request_id, "--nodes", nodes, "--trace", str(trace), "--json"
    )
    assert shown.returncode == 0, shown.stderr
    events = json.loads(shown.stdout)
    started = [e["instance"] for e in events if e["kind"] == "call-started"]
    assert started == ["menu-1", "diet-1", "lift-1"]
    assert events[0]["kind"] == "request-entered"
    assert events[-1]["kind"] == "request-answered"
    assert {row["ph"] for row in json.loads(trace.read_text())["traceEvents"]} >= {"M", "X", "i"}
    status = json.loads((await fleet.run_cli("status", "--nodes", nodes, "--json")).stdout)
    assert [each["status"]["instance"] for each in status] == list(fleet.instances_by_name)


async def drain(fleet):
    address = fleet.instances_by_name["lift-1"].server
    drained = await fleet.run_cli("drain", "--nodes", address)
    assert drained.returncode == 0, drained.stderr
    assert "leaving" in drained.stdout
    unreachable = await fleet.run_cli("status", "--nodes", "127.0.0.1:1")
    assert_refused(unreachable, ExitCode.UNREACHABLE, "127.0.0.1:1")
    await fleet.set_log_faults(Faults(is_down=True))
    assert_refused(await fleet.run_cli("customer", "list"), ExitCode.UNREACHABLE, "503")


@pytest.mark.parametrize(
    ("arguments", "code", "words"),
    [
        (["customer", "create"], ExitCode.USAGE, ["--name"]),
        (
            ["customer", "create", "--name", "a", "--template", "t", "--x", "y"],
            ExitCode.USAGE,
            ["--x"],
        ),
        (["status"], ExitCode.USAGE, ["--nodes"]),
        (["status", "--nodes", "here"], ExitCode.USAGE, ["here"]),
        (["drain", "--nodes", "127.0.0.1:1", "--wait", "long"], ExitCode.USAGE, ["--wait", "long"]),
        (["template", "publish", "absent.json"], ExitCode.USAGE, ["absent.json"]),
        (["customer", "list", "--log", "nowhere"], ExitCode.USAGE, ["nowhere"]),
        (["nonsense"], ExitCode.USAGE, ["nonsense"]),
        (["check", "--offline"], ExitCode.USAGE, ["file"]),
    ],
)
def test_misuse_sets_the_exit_code_without_a_traceback(arguments, code, words):
    assert_refused(run_cli(*arguments), code, *words)


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ('"rank": 1', '"rank": 99', ["rank", "15"]),
        ('"version": 1', '"version": 1, "version": 2', ["version", ":3"]),
        ('"parameters"', '"paramters"', ["paramters", ":4"]),
        ('"name": "chain"', '"name": 7', ["str", "int", "name"]),
        ('"minimum": 100', '"minimum": 9000', ["patience_ms", "minimum"]),
    ],
)
def test_check_reports_file_and_position(tmp_path, old, new, words):
    path = tmp_path / "template.json"
    path.write_text(json.dumps(CHAIN, indent=1).replace(old, new))
    assert_refused(run_cli("check", "--offline", str(path)), ExitCode.REFUSED, str(path), *words)


@pytest.mark.parametrize("city", ["accra", "lisbon"])
def test_examples_pass_the_check(city):
    directory = Path(__file__).parent.parent / "examples" / city
    paths = [directory / "template.json", *sorted(directory.glob("customer-*.json"))]
    result = run_cli("check", "--offline", *map(str, paths))
    assert result.returncode == 0, result.stdout + result.stderr


def test_daemon_check_reports_file_and_line(tmp_path):
    path = tmp_path / "node.json"
    path.write_text('{\n  "instance": "a",\n  "listen": {\n    "calers": "127.0.0.1:1"\n  }\n}')
    command = [sys.executable, "-m", "apricotwalk.daemon", str(path), "--check"]
    result = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert result.returncode == ExitCode.USAGE
    assert f"{path}:4" in result.stderr or f"{path}:3" in result.stderr
    assert "Traceback" not in result.stderr


def test_daemon_that_cannot_listen_exits_without_a_traceback(tmp_path):
    with socket.socket() as occupied:
        occupied.bind(("127.0.0.1", 0))
        occupied.listen()
        address = f"127.0.0.1:{occupied.getsockname()[1]}"
        path = tmp_path / "node.json"
        listen = {"callers": address, "server": address, "peers": address}
        content = {"instance": "a", "availability_zone": "z", "listen": listen}
        path.write_text(json.dumps({**content, "log_service": address, "log_level": "ERROR"}))
        command = [sys.executable, "-m", "apricotwalk.daemon", str(path)]
        result = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert result.returncode == 1
    assert "cannot run" in result.stderr
    assert "Traceback" not in result.stderr


def test_help_lists_the_commands():
    result = run_cli("--help")
    assert result.returncode == 0
    for command in ("template", "customer", "check", "diff", "status", "timeline", "drain"):
        assert command in result.stdout + result.stderr


@pytest.mark.parametrize(
    "command",
    [("template", "publish"), ("customer", "create"), ("customer", "list"), ("check",), ("drain",)],
)
def test_each_command_has_help(command):
    result = run_cli(*command, "--help")
    assert result.returncode == 0
    assert "SYNOPSIS" in result.stdout + result.stderr
