"""Outcomes of calls as represented inside a node, and their conversion to messages."""

from dataclasses import dataclass, field

import msgspec
from xxhash import xxh3_64_intdigest

from apricotwalk.core import CallFailure, Suspect, Verdict
from apricotwalk.wire import AnswerMessage

__all__ = ["Answer", "NodeCondition", "answer_from_failure", "to_answer_message"]


@dataclass(slots=True)
class Answer:
    """Outcome of a call.

    Parameters
    ----------
    verdict : Verdict
        Whether the work may have run.
    status : int
        HTTP status code.
    headers : list of (str, str)
        End-to-end headers.
    body : bytes
        Complete body.
    cause, detail : str
        Reason why there is no complete answer, as a keyword and as a sentence.
    retry_after : float, optional
        Seconds that the caller should wait before it retries.
    unspent_retries : int
        Part of the allocated retry budget that was not spent.
    """

    verdict: Verdict
    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    cause: str = ""
    detail: str = ""
    retry_after: float | None = None
    unspent_retries: int = 0


@dataclass(slots=True)
class NodeCondition:
    """State of the answering node, which is reported in an answer with the outcome.

    Parameters
    ----------
    load, reported_load : float
        Load measured by the node and load reported by its backend server.
    levels : dict of str to int
        Highest level that each service on the call chain admits, by service.
    floor_shares : dict of str to float
        Share of the stream's demand that its floor covers, by service.
    suspects : list of Suspect
        Requests suspected of crashing backend servers.
    """

    load: float = 0.0
    reported_load: float = 0.0
    levels: dict[str, int] = field(default_factory=dict)
    floor_shares: dict[str, float] = field(default_factory=dict)
    suspects: list[Suspect] = field(default_factory=list)


class _ErrorBody(msgspec.Struct):
    verdict: Verdict
    cause: str
    detail: str


def answer_from_failure(failure: CallFailure) -> Answer:
    """Return the answer that reports `failure` to a caller."""
    body = msgspec.json.encode(_ErrorBody(failure.verdict, failure.cause, failure.detail))
    headers = [("Content-Type", "application/json")]
    if failure.retry_after is not None:
        headers.append(("Retry-After", f"{failure.retry_after:g}"))
    return Answer(
        verdict=failure.verdict,
        status=failure.status,
        headers=headers,
        body=body,
        cause=failure.cause,
        detail=failure.detail,
        retry_after=failure.retry_after,
    )


def to_answer_message(
    call_id: str,
    answer: Answer,
    unspent_retries: int,
    stamp: int,
    condition: NodeCondition | None = None,
) -> AnswerMessage:
    """Return the message that reports `answer` to another node."""
    condition = condition or NodeCondition()
    return AnswerMessage(
        call_id=call_id,
        verdict=answer.verdict,
        status=answer.status,
        cause=answer.cause,
        detail=answer.detail,
        retry_budget=unspent_retries,
        stamp=stamp,
        headers=answer.headers,
        body=answer.body,
        digest=xxh3_64_intdigest(answer.body),
        load=condition.load,
        levels=condition.levels,
        floor_shares=condition.floor_shares,
        suspects=condition.suspects,
        reported_load=condition.reported_load,
    )
