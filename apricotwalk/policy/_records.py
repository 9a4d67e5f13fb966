"""Validated models of the records that operators publish."""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from apricotwalk.core import Execution, RecordError

__all__ = [
    "CONFIGURATION_STREAM",
    "Customer",
    "Execution",
    "Parameter",
    "PolicyRecord",
    "Route",
    "Snapshot",
    "StreamRecord",
    "Template",
    "decode_record",
    "encode_record",
]

CONFIGURATION_STREAM = "configuration"
LARGEST_PART_COUNT = 1024

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Version = Annotated[int, Meta(ge=1)]
Reference = Annotated[str, Meta(pattern=r"^\$\{[a-z][a-z0-9_]*\}$")]
Quantity = float | Reference


class Parameter(Struct, forbid_unknown_fields=True, frozen=True):
    """A number that the operator fills in for each customer.

    Parameters
    ----------
    minimum, maximum : float
        Inclusive bounds.
    default : float, optional
        Value used when the customer gives none; without it the parameter is required.
    description : str
        What the number means, for the operator.
    """

    minimum: float
    maximum: float
    default: float | None = None
    description: str = ""


class Route(Struct, forbid_unknown_fields=True, frozen=True):
    """How one kind of work is recognised and treated.

    Parameters
    ----------
    name : str
        Name of the kind of work, unique in the template.
    method : str
        HTTP method.
    path : str
        Prefix of the request's path; the longest match decides.
    service : str
        Service whose backend servers do the work.
    rank : int
        0 is the most urgent.
    deadline_ms : float or reference
        Time in milliseconds after which an answer is of no use.
    retry_budget : float or reference
        Largest number of retries for one request over the whole chain.
    execution : Execution
        Whether the work may run more than once.
    floor : float or reference
        Least share of a service's capacity kept for this route under a flood.
    """

    name: Name
    method: Annotated[str, Meta(pattern="^(GET|POST|PUT|DELETE|PATCH)$")]
    path: Annotated[str, Meta(pattern="^/")]
    service: Name
    rank: Annotated[int, Meta(ge=0, le=15)]
    deadline_ms: Quantity
    retry_budget: Quantity = 0.0
    execution: Execution = Execution.REPEATABLE
    floor: Quantity = 0.0


class Template(Struct, forbid_unknown_fields=True, frozen=True, tag="template", tag_field="kind"):
    """How each kind of work is treated under pressure, written by seniors.

    Parameters
    ----------
    name : str
        Name of the template.
    version : int
        One more than the version that it replaces.
    routes : list of Route
        The kinds of work.
    parameters : dict of str to Parameter
        Numbers that each customer may set.
    publish_id : str
        Identifies one act of publishing, so that a repeated append is recognised.
    """

    name: Name
    version: Version
    routes: Annotated[list[Route], Meta(min_length=1, max_length=256)]
    parameters: dict[str, Parameter] = {}
    publish_id: str = ""


class Customer(Struct, forbid_unknown_fields=True, frozen=True, tag="customer", tag_field="kind"):
    """A template's version with its parameters filled in, written by operators.

    Parameters
    ----------
    name : str
        Name of the customer.
    version : int
        One more than the version that it replaces.
    template : str
        Name of the template.
    template_version : int
        Version of the template.
    parameters : dict of str to float
        Values of the template's parameters.
    publish_id : str
        Identifies one act of publishing.
    """

    name: Name
    version: Version
    template: Name
    template_version: Version
    parameters: dict[str, float] = {}
    publish_id: str = ""


class Snapshot(Struct, forbid_unknown_fields=True, frozen=True, tag="snapshot", tag_field="kind"):
    """The whole configuration after a prefix of the stream, or a part of it.

    Some node appends it again, in as many parts as its size asks for.

    Parameters
    ----------
    next_offset : int
        The first offset that is not covered.
    taken_at : float
        When it was taken, in seconds since the Unix epoch.
    templates : list of Template
        Every template version that is the newest or in use.
    customers : list of Customer
        The accepted customers.
    publish_id : str
        Identifies one act of appending.
    part, parts : int
        Which part of how many this is, from 0 on.
    """

    next_offset: Annotated[int, Meta(ge=0)]
    taken_at: float
    templates: list[Template] = []
    customers: list[Customer] = []
    publish_id: str = ""
    part: Annotated[int, Meta(ge=0)] = 0
    parts: Annotated[int, Meta(ge=1, le=LARGEST_PART_COUNT)] = 1


PolicyRecord = Template | Customer
StreamRecord = Template | Customer | Snapshot

_decoder: msgspec.json.Decoder[Any] = msgspec.json.Decoder(StreamRecord)


def decode_record(text: bytes | msgspec.Raw) -> StreamRecord:
    """Return the record written as JSON `text`.

    Raises
    ------
    RecordError
        Naming the path at fault, what was expected and what was seen.
    """
    try:
        record: StreamRecord = _decoder.decode(text)
    except msgspec.MsgspecError as error:
        raise RecordError(str(error)) from error
    return record


def encode_record(record: StreamRecord) -> bytes:
    """Return the record as JSON text."""
    return msgspec.json.encode(record)
