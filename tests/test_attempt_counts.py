"""Tests of the bounds on servers per request and on retries, when attempts end without a reply."""

import asyncio
import contextlib
import random

import pytest

from apricotwalk.core import CallFailure, Execution, ManualClock, Verdict
from apricotwalk.forwarding import Forwarder, OutgoingRequest, RetryAllowance
from apricotwalk.membership import Member, MemberState
from apricotwalk.peering import ReplyMessage
from apricotwalk.quarantine import QuarantineRegistry
from apricotwalk.routing import TargetSelector
from apricotwalk.settings import Address
from apricotwalk.telemetry import DecisionLog
from tests.mesh_fakes import FakeResponse, new_route
from tests.mesh_harness import MENU, running_mesh


class FakeMembers:
    def __init__(self, count):
        self.listed = [
            Member(f"m{n}", "menu-svc", "z", "r", Address("127.0.0.1", 9000 + n), 1)
            for n in range(count)
        ]
        self.own = Member("own", "x", "z", "r", Address("127.0.0.1", 1), 1, MemberState.ALIVE)

    def members(self, service):
        return self.listed


class FakeLinks:
    """Connections on which each call ends as scripted."""

    def __init__(self, outcomes):
        self.messages = []
        self._outcomes = list(outcomes)

    def next_call_id(self):
        return len(self.messages) + 1

    def is_reachable(self, address):
        return True

    async def call(self, address, message):
        self.messages.append(message)
        outcome = self._outcomes[min(len(self.messages), len(self._outcomes)) - 1]
        if isinstance(outcome, CallFailure):
            raise outcome
        return outcome


def forward(run, outcomes, execution=Execution.REPEATABLE):
    """Forward one request over links with scripted outcomes and return the messages sent."""

    async def body():
        clock = ManualClock()
        links = FakeLinks(outcomes)
        forwarder = Forwarder(
            FakeMembers(6),
            TargetSelector("z", random.Random(1), clock),
            links,
            None,
            QuarantineRegistry(clock, 3),
            DecisionLog("n", "z", clock, descriptor=-1),
            "x",
        )
        route = new_route("menu", "menu-svc", execution, largest_target_count=2)
        request = OutgoingRequest(
            "q-1", route, "menu-svc", forwarder.clock() + 5.0, "GET", "/menu/1", b"", b""
        )
        with contextlib.suppress(CallFailure):
            await forwarder.forward(request)
        return links.messages

    return run(body())


def lost(cause):
    return CallFailure(Verdict.MAY_HAVE_RUN, cause, "no reply", 502)


@pytest.mark.parametrize("cause", ["connection-lost", "peer-silent", "deadline-passed"])
def test_attempt_without_a_reply_counts_as_sent(run, cause):
    messages = forward(run, [lost(cause)])
    assert [message.is_repeat for message in messages] == [False, True]


@pytest.mark.parametrize("cause", ["connection-lost", "deadline-passed"])
def test_lost_attempt_and_answered_attempt_count_together(run, cause):
    failed = ReplyMessage(1, Verdict.COMPLETED, 500)
    messages = forward(run, [lost(cause), failed])
    assert [message.is_repeat for message in messages] == [False, True]


def test_at_most_once_work_is_not_sent_again_after_a_lost_connection(run):
    assert len(forward(run, [lost("connection-lost")], Execution.AT_MOST_ONCE)) == 1


def test_first_attempt_is_counted_once_however_many_nodes_refuse_it(run):
    rate_limited = ReplyMessage(1, Verdict.NOT_RUN, 503, "rate-limited")
    messages = forward(run, [rate_limited])
    assert [message.is_counted for message in messages] == [False] + [True] * (len(messages) - 1)
    assert len(messages) > 1


def test_refusal_by_a_node_without_a_server_counts_no_first_attempt(run):
    messages = forward(
        run,
        [
            ReplyMessage(1, Verdict.NOT_RUN, 503, "no-server"),
            ReplyMessage(2, Verdict.NOT_RUN, 503, "leaving"),
            ReplyMessage(3, Verdict.COMPLETED, 200),
        ],
    )
    assert [message.is_counted for message in messages] == [False] * 3


def test_request_reaches_two_servers_at_most_while_connections_between_nodes_break(run):
    async def body():
        members = [("e", "dispatch-svc"), *((f"m{n}", "menu-svc") for n in range(4))]
        async with running_mesh(*members) as mesh:
            reached = []

            def respond(request):
                reached.append(request["fields"]["id"])
                for node in mesh.nodes.values():
                    for connection in list(node._peer_listener.connections):
                        connection.close()
                return FakeResponse(delay=0.2)

            for server in mesh.servers.values():
                server.respond = respond
            caller = await mesh.caller("e")
            async with asyncio.timeout(5.0):
                await caller.request("/menu/1", request_id="q-1")
            assert reached.count("q-1") <= MENU.largest_target_count
            caller.close()

    run(body())


def test_allowance_earned_by_a_request_stays_below_the_ratio():
    clock = ManualClock()
    allowance = RetryAllowance(0.2, 0.0, 10.0, clock)
    for _ in range(1000):
        allowance.record_first_attempt()
    granted = sum(allowance.try_acquire(0) for _ in range(1000))
    assert granted <= 200
