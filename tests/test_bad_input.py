"""Tests that a node refuses malformed input with an error and keeps serving."""

import asyncio
import json
from dataclasses import dataclass

import msgspec
import pytest

from apricotwalk.core import CallFailure
from apricotwalk.serving._headers import reject_ambiguous_path
from apricotwalk_lab.processes import Fleet, InstancePlan
from apricotwalk_lab.standins.backend_server import Work

MAX_BODY_BYTES = 4096
TEMPLATE = {
    "name": "plain",
    "version": 1,
    "routes": [
        {
            "name": "menu",
            "method": "POST",
            "path": "/menu",
            "service": "menu",
            "rank": 1,
            "deadline_ms": 2000,
        }
    ],
}
CUSTOMER = {"name": "school", "version": 1, "template": "plain", "template_version": 1}
PLANS = [InstancePlan("menu-1", "menu", works=[Work("/menu", 1.0)])]
KNOWN_CUSTOMER = "Apricotwalk-Customer: school\r\n"
EMPTY_BODY = "Content-Length: 0\r\n"


@dataclass(frozen=True)
class Case:
    name: str
    head: str
    status: int
    cause: str
    body: bytes = b""

    def encode(self) -> bytes:
        return self.head.encode("latin1") + b"\r\n" + self.body


def post(path: str, *fields: str) -> str:
    return f"POST {path} HTTP/1.1\r\nHost: node\r\n" + "".join(fields)


def malformed(name: str, cause: str, *fields: str, body: bytes = b"") -> Case:
    return Case(name, post("/menu", KNOWN_CUSTOMER, *fields), 400, cause, body)


INVALID_REQUESTS = [
    Case(
        "unknown customer",
        post("/menu", "Apricotwalk-Customer: x\r\n", EMPTY_BODY),
        403,
        "unknown-customer",
    ),
    Case(
        "two customers",
        post("/menu", KNOWN_CUSTOMER, "Apricotwalk-Customer: x\r\n", EMPTY_BODY),
        403,
        "unknown-customer",
    ),
    Case("unknown route", post("/other", KNOWN_CUSTOMER, EMPTY_BODY), 404, "unknown-route"),
    Case(
        "relative path", post("/menu/../other", KNOWN_CUSTOMER, EMPTY_BODY), 400, "malformed-path"
    ),
    malformed("rank set by the caller", "reserved-header", "Apricotwalk-Rank: 0\r\n", EMPTY_BODY),
    malformed(
        "retry budget set by the caller",
        "reserved-header",
        "Apricotwalk-Retry-Budget: x\r\n",
        EMPTY_BODY,
    ),
    malformed("call set by the caller", "reserved-header", "Apricotwalk-Call: 1\r\n", EMPTY_BODY),
    malformed(
        "deadline that is not a number",
        "malformed-deadline",
        "Apricotwalk-Deadline-Ms: soon\r\n",
        EMPTY_BODY,
    ),
    malformed("deadline nan", "malformed-deadline", "Apricotwalk-Deadline-Ms: nan\r\n", EMPTY_BODY),
    malformed(
        "negative deadline", "malformed-deadline", "Apricotwalk-Deadline-Ms: -5\r\n", EMPTY_BODY
    ),
    malformed(
        "large body",
        "malformed-request",
        f"Content-Length: {MAX_BODY_BYTES + 1}\r\n",
        body=b"x" * 10,
    ),
    malformed(
        "large chunks",
        "malformed-request",
        "Transfer-Encoding: chunked\r\n",
        body=b"2000\r\n" + b"x" * 8192 + b"\r\n0\r\n\r\n",
    ),
    malformed(
        "both lengths",
        "malformed-request",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        body=b"0\r\n\r\n",
    ),
    malformed(
        "two lengths",
        "malformed-request",
        "Content-Length: 0\r\nContent-Length: 3\r\n",
        body=b"abc",
    ),
    malformed("length with a sign", "malformed-request", "Content-Length: +3\r\n", body=b"abc"),
    malformed(
        "unsupported transfer coding",
        "malformed-request",
        "Transfer-Encoding: gzip, chunked\r\n",
        body=b"0\r\n\r\n",
    ),
    malformed("folded header", "malformed-request", "X-Long: a\r\n b\r\n", EMPTY_BODY),
    malformed("CR in a header", "malformed-request", "X-Split: a\rInjected: b\r\n", EMPTY_BODY),
    malformed("no colon", "malformed-request", "nonsense\r\n", EMPTY_BODY),
    Case("no request line", "nonsense\r\n", 400, "malformed-request"),
]
INVALID_ANNOUNCEMENTS = [
    b"{",
    b"[]",
    b'{"service": "menu"}',
    b'{"service": "menu", "address": "localhost:1", "slots": 1}',
    b'{"service": "menu", "address": "127.0.0.1:1", "slots": 0}',
    b'{"service": "menu\\r\\n", "address": "127.0.0.1:1", "slots": 1}',
    b'{"service": "menu", "address": "127.0.0.1:1", "slots": 1, "rank": 0}',
]


async def send_raw(address: str, raw: bytes, half_close: bool = False) -> tuple[int, dict, bytes]:
    """Send raw bytes to the node, and return the status, headers and body of its answer."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(raw)
    if half_close:
        writer.write_eof()
    try:
        async with asyncio.timeout(10):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin1").split("\r\n")
            headers = dict(line.split(": ", 1) for line in lines[1:] if line)
            body = await reader.readexactly(int(headers["Content-Length"]))
    finally:
        writer.close()
    return int(lines[0].split()[1]), headers, body


async def assert_serves(fleet: Fleet) -> None:
    address = fleet.instances_by_name["menu-1"].callers
    valid_request = post("/menu", KNOWN_CUSTOMER, "Content-Length: 2\r\n").encode() + b"\r\nok"
    status, headers, _ = await send_raw(address, valid_request)
    assert (status, headers["Apricotwalk-Verdict"]) == (200, "completed")


async def send_malformed_form(fleet: Fleet) -> None:
    # The stand-in rejects the form itself with status 400; the node forwards its answer unchanged.
    address = fleet.instances_by_name["menu-1"].callers
    form = "Content-Type: multipart/form-data\r\nContent-Length: 4\r\n"
    status, headers, body = await send_raw(
        address, post("/menu", KNOWN_CUSTOMER, form).encode() + b"\r\n\xff--x"
    )
    assert (status, headers["Apricotwalk-Verdict"]) == (400, "completed"), body


async def publish(fleet: Fleet) -> None:
    for noun, verb, record in (("template", "publish", TEMPLATE), ("customer", "create", CUSTOMER)):
        path = fleet.directory / f"{noun}-record.json"
        path.write_text(json.dumps(record))
        result = await fleet.run_cli(noun, verb, str(path))
        assert result.returncode == 0, result.stderr
    await fleet.wait_for_customer("school")


async def send_invalid_requests(fleet: Fleet) -> None:
    address = fleet.instances_by_name["menu-1"].callers
    for case in INVALID_REQUESTS:
        status, headers, body = await send_raw(address, case.encode())
        error = json.loads(body)
        assert (status, error["cause"]) == (case.status, case.cause), (case.name, status, error)
        assert headers["Apricotwalk-Verdict"] == error["verdict"] == "not-run", case.name
        assert error["detail"], case.name


async def send_truncated_body(fleet: Fleet) -> None:
    address = fleet.instances_by_name["menu-1"].callers
    truncated = post("/menu", KNOWN_CUSTOMER, "Content-Length: 100\r\n").encode() + b"\r\ntoo short"
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
        await send_raw(address, truncated, half_close=True)


async def send_invalid_announcements(fleet: Fleet) -> None:
    address = fleet.instances_by_name["menu-1"].server
    for body in INVALID_ANNOUNCEMENTS:
        head = post("/apricotwalk/announce", f"Content-Length: {len(body)}\r\n")
        status, _, answer = await send_raw(address, head.encode() + b"\r\n" + body)
        assert status == 400, body
        assert json.loads(answer)["cause"] == "malformed-announcement", body


async def send_unknown_inner_call(fleet: Fleet) -> None:
    address = fleet.instances_by_name["menu-1"].server
    raw = post("/menu", "Apricotwalk-Call: forged\r\n", EMPTY_BODY).encode() + b"\r\n"
    status, headers, answer = await send_raw(address, raw)
    assert status == 409
    assert headers["Apricotwalk-Verdict"] == "not-run"
    assert json.loads(answer)["cause"] == "unknown-call"


async def append_unreadable_records(fleet: Fleet) -> None:
    records = ['{"kind": "surprise"}', "[1]", '"text"', '{"kind": "template", "name": 7}']
    body = f"[{','.join(records)}]".encode()
    head = post("/streams/configuration/records", f"Content-Length: {len(body)}\r\n")
    status, _, _ = await send_raw(fleet.log_address, head.encode() + b"\r\n" + body)
    assert status == 200
    second = {**CUSTOMER, "version": 2}
    path = fleet.directory / "second.json"
    path.write_bytes(msgspec.json.encode({**second, "parameters": {}}))
    published = await fleet.run_cli("customer", "create", str(path))
    assert published.returncode == 0, published.stderr


@pytest.mark.processes
def test_bad_input_is_refused_and_the_node_keeps_serving(run, tmp_path):
    async def body():
        settings = {"largest_body_bytes": MAX_BODY_BYTES}
        fleet = Fleet(tmp_path / "fleet", PLANS, node_settings=settings)
        try:
            await fleet.start()
            await publish(fleet)
            await assert_serves(fleet)
            for check in (
                send_invalid_requests,
                send_truncated_body,
                send_invalid_announcements,
                send_unknown_inner_call,
                append_unreadable_records,
                send_malformed_form,
            ):
                await check(fleet)
                await assert_serves(fleet)
            executions = await fleet.executions("menu-1")
            assert len(executions) == 7, "only the 7 valid requests may be executed"
        finally:
            await fleet.close()

    run(body())


@pytest.mark.parametrize("path", ["/menu/../x", "/menu/%2e%2E/x", "/./menu", "/menu\\..\\x"])
def test_relative_segments_are_refused(path):
    with pytest.raises(CallFailure, match="relative segment"):
        reject_ambiguous_path(path)


@pytest.mark.parametrize("path", ["/menu", "/menu/.hidden", "/menu/a..b", "/menu/50%25"])
def test_paths_with_other_dots_are_accepted(path):
    reject_ambiguous_path(path)
