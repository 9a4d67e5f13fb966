"""Data models of the records in the configuration stream, with validation."""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from apricotwalk.core import Execution, RecordError, WireError, decode_payload

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
MAX_PART_COUNT = 1024

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Version = Annotated[int, Meta(ge=1)]
Reference = Annotated[str, Meta(pattern=r"^\$\{[a-z][a-z0-9_]*\}$")]
Quantity = float | Reference


class Parameter(Struct, forbid_unknown_fields=True, frozen=True):
    """A numeric template parameter that the operator sets for each customer.

    Parameters
    ----------
    minimum, maximum : float
        Inclusive bounds.
    default : float, optional
        Value used if the customer sets none; a parameter without a default is required.
    description : str
        Meaning of the parameter, for the operator.
    """

    minimum: float
    maximum: float
    default: float | None = None
    description: str = ""


class Route(Struct, forbid_unknown_fields=True, frozen=True):
    """Matching and treatment of one kind of request.

    Parameters
    ----------
    name : str
        Name of the route, unique in the template.
    method : str
        HTTP method.
    path : str
        Prefix of the request's path; the route with the longest matching prefix applies.
    service : str
        Service whose backend servers execute the request.
    rank : int
        Priority from 0 to 15; 0 is the most urgent.
    deadline_ms : float or reference
        Time in milliseconds after which an answer is useless to the caller.
    retry_budget : float or reference
        Maximum number of retries for one request over the whole call chain.
    execution : Execution
        Whether the request may be executed more than once.
    floor : float or reference
        Minimum share of a service's capacity, between 0 and 1, reserved for this route under
        overload.
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
    """Treatment of each kind of request under overload, written by senior operators.

    Parameters
    ----------
    name : str
        Name of the template.
    version : int
        One more than the version that it replaces.
    routes : list of Route
        Routes of the template, one for each kind of request.
    parameters : dict of str to Parameter
        Parameters that each customer may set, by name.
    publish_id : str
        Identifier of one publish operation, by which a repeated append is recognized.
    """

    name: Name
    version: Version
    routes: Annotated[list[Route], Meta(min_length=1, max_length=256)]
    parameters: dict[str, Parameter] = {}
    publish_id: str = ""


class Customer(Struct, forbid_unknown_fields=True, frozen=True, tag="customer", tag_field="kind"):
    """Parameter values of one customer for one version of a template, written by operators.

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
        Values of the template's parameters, by name.
    publish_id : str
        Identifier of one publish operation.
    """

    name: Name
    version: Version
    template: Name
    template_version: Version
    parameters: dict[str, float] = {}
    publish_id: str = ""


class Snapshot(Struct, forbid_unknown_fields=True, frozen=True, tag="snapshot", tag_field="kind"):
    """The whole configuration after a prefix of the stream, or one part of it.

    A node appends a snapshot periodically, in as many parts as its size requires.

    Parameters
    ----------
    next_offset : int
        First offset that the snapshot does not cover.
    taken_at : float
        Time of the snapshot in seconds since the Unix epoch.
    templates : list of Template
        Template versions that are the newest of their name or in use.
    customers : list of Customer
        Accepted customers.
    publish_id : str
        Identifier of one append operation.
    part, parts : int
        Zero-based index of this part and the number of parts.
    """

    next_offset: Annotated[int, Meta(ge=0)]
    taken_at: float
    templates: list[Template] = []
    customers: list[Customer] = []
    publish_id: str = ""
    part: Annotated[int, Meta(ge=0)] = 0
    parts: Annotated[int, Meta(ge=1, le=MAX_PART_COUNT)] = 1


PolicyRecord = Template | Customer
StreamRecord = Template | Customer | Snapshot

_decoder: msgspec.json.Decoder[Any] = msgspec.json.Decoder(StreamRecord)


def decode_record(text: bytes | msgspec.Raw) -> StreamRecord:
    """Decode and validate a record from JSON `text`.

    Raises
    ------
    RecordError
        If the text is malformed or invalid; the message states the path, the expected type or
        constraint, and what was found.
    """
    try:
        record: StreamRecord = decode_payload(_decoder, text, "record")
    except WireError as error:
        raise RecordError(str(error)) from error
    return record


def encode_record(record: StreamRecord) -> bytes:
    """Encode a record as JSON text."""
    return msgspec.json.encode(record)
