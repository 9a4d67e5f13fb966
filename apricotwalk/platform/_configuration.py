"""Decoder of the operator's configuration in the format of the store."""

from typing import TypeVar

import msgspec
from msgspec import Struct, field

from apricotwalk.border import (
    CallerLimits,
    Route,
    RouteConfiguration,
    ServiceSettings,
    ServiceShare,
)
from apricotwalk.core import Execution, RecordError
from apricotwalk.platform._units import parse_seconds, parse_version

__all__ = ["decode_configuration"]

Value = TypeVar("Value")

_EXECUTION_BY_KIND = {"safe": Execution.REPEATABLE, "unsafe": Execution.AT_MOST_ONCE}


class _Share(Struct):
    service: str
    weight: float


class _Route(Struct, rename="kebab"):
    host: str
    path_prefix: str
    kind: str  # "safe" requests may be executed more than once, "unsafe" ones may not.
    timeout: str
    aim: str  # The aim is the time objective of an answer.
    priority: int  # The priority is the rank; 0 is the most urgent.
    max_attempts: int  # This limits the servers that one attempt of a caller reaches.
    service: str | None = None
    traffic_split: list[_Share] = []


class _Service(Struct, rename="kebab"):
    health_path: str
    max_connections: int


class _Limits(Struct, rename="kebab"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class _Configuration(Struct):
    version: str
    routes_by_name: dict[str, _Route] = field(name="routes")
    services_by_name: dict[str, _Service] = field(name="services")
    limits: _Limits


_decoder = msgspec.json.Decoder(_Configuration)


def decode_configuration(value: bytes) -> RouteConfiguration:
    """Decode the configuration in a record.

    Parameters
    ----------
    value : bytes
        JSON content of the record.

    Returns
    -------
    RouteConfiguration
        The configuration.

    Raises
    ------
    RecordError
        If the record is malformed; the message names the field.
    """
    try:
        raw = _decoder.decode(value)
        return RouteConfiguration(
            version=parse_version(raw.version),
            routes=tuple(_to_route(name, route) for name, route in raw.routes_by_name.items()),
            services_by_name={
                name: ServiceSettings(name, service.health_path, service.max_connections)
                for name, service in raw.services_by_name.items()
            },
            limits=_to_limits(raw.limits),
            encoded=value,
        )
    except (msgspec.MsgspecError, ValueError) as error:
        raise RecordError(f"configuration of {len(value)} bytes: {error}") from error


def _to_route(name: str, route: _Route) -> Route:
    execution = _EXECUTION_BY_KIND.get(route.kind)
    if execution is None:
        raise ValueError(f"routes.{name}.kind: expected safe or unsafe, got {route.kind!r}")
    shares = tuple(ServiceShare(share.service, share.weight) for share in route.traffic_split)
    if route.service is not None:
        shares = (ServiceShare(route.service, 1.0),)
    if not any(share.weight > 0 for share in shares):
        raise ValueError(f"routes.{name}: expected a service with a weight above 0, got none")
    return Route(
        name=name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        shares=shares,
        execution=execution,
        rank=route.priority,
        timeout_seconds=parse_seconds(route.timeout),
        objective_seconds=parse_seconds(route.aim),
        largest_target_count=max(1, route.max_attempts),
    )


def _to_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        max_head_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_seconds=parse_seconds(limits.header_timeout),
        idle_seconds=parse_seconds(limits.idle_timeout),
    )
