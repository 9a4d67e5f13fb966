"""Decoder of the operator's configuration in the format of the store."""

from collections.abc import Callable, Mapping
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta, Struct, field

from apricotwalk.border import (
    CallerLimits,
    ConfigurationFault,
    Route,
    RouteConfiguration,
    ServiceSettings,
    ServiceShare,
)
from apricotwalk.core import MAX_COUNT, Execution, RecordError, WireError, decode_payload
from apricotwalk.platform._units import parse_seconds, parse_version

__all__ = ["decode_configuration"]

Value = TypeVar("Value")

# A "download" has a large response and may be repeated like a "safe" request.
_EXECUTION_BY_KIND = {
    "safe": Execution.REPEATABLE,
    "download": Execution.REPEATABLE,
    "unsafe": Execution.AT_MOST_ONCE,
}
# Ranks travel in every message between nodes, whose encoding bounds integers.
_Rank = Annotated[int, Meta(ge=0, le=1_000_000)]
_Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
_Weight = Annotated[float, Meta(ge=0.0, le=1e9)]


class _Share(Struct):
    service: str
    weight: _Weight


class _Route(Struct, rename="kebab"):
    host: str
    path_prefix: str
    kind: str  # "unsafe" requests may be executed once at most.
    timeout: str
    aim: str  # The aim is the time objective of an answer.
    priority: _Rank  # The priority is the rank; 0 is the most urgent.
    max_attempts: _Count  # This limits the servers that one attempt of a caller reaches.
    service: str | None = None
    traffic_split: list[_Share] = []


class _RoutePlace(Struct, rename="kebab"):
    host: str
    path_prefix: str


class _Service(Struct, rename="kebab"):
    health_path: str
    max_connections: _Count


class _Limits(Struct, rename="kebab"):
    max_header_bytes: _Count
    max_body_bytes: _Count
    header_timeout: str
    idle_timeout: str


class _Configuration(Struct):
    version: str
    # The parts are decoded one by one, so that one cannot invalidate the others.
    routes_by_name: dict[str, msgspec.Raw] = field(name="routes")
    services: msgspec.Raw = msgspec.Raw()
    limits: msgspec.Raw = msgspec.Raw()


_decoder = msgspec.json.Decoder(_Configuration)
_table_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_route_decoder = msgspec.json.Decoder(_Route)
_place_decoder = msgspec.json.Decoder(_RoutePlace)
_service_decoder = msgspec.json.Decoder(_Service)
_limits_decoder = msgspec.json.Decoder(_Limits)


def decode_configuration(value: bytes) -> RouteConfiguration:
    """Decode the configuration in a record.

    Parameters
    ----------
    value : bytes
        JSON content of the record.

    Returns
    -------
    RouteConfiguration
        The configuration.  A part that is not understood is listed in its faults, and the other
        parts are in force.

    Raises
    ------
    RecordError
        If the record is not JSON, or its version or its table of routes is unreadable; the message
        names the field.

    Notes
    -----
    Without a version, a configuration cannot be compared with the one in force, and without a
    table of routes it would turn every request away.  A route of an unknown kind is served as
    at-most-once work, which is correct for any kind.
    """
    faults: list[ConfigurationFault] = []
    try:
        raw = decode_payload(_decoder, value, "configuration")
        version = parse_version(raw.version)
    except (WireError, ValueError) as error:
        raise RecordError(f"configuration of {len(value)} bytes: {error}") from error
    routes = _decode_parts("routes", raw.routes_by_name, _decode_route, faults)
    services = _decode_services(raw.services, faults)
    limits = _decode_parts("", {"limits": raw.limits}, _decode_limits, faults)
    return RouteConfiguration(
        version=version,
        routes=tuple(routes),
        services_by_name={service.name: service for service in services},
        limits=limits[0] if limits else None,
        encoded=value,
        faults=tuple(faults),
    )


def _decode_services(
    encoded: msgspec.Raw, faults: list[ConfigurationFault]
) -> list[ServiceSettings]:
    try:
        services_by_name = decode_payload(_table_decoder, encoded, "services")
    except WireError as error:
        faults.append(ConfigurationFault("services", str(error)))
        return []
    return _decode_parts("services", services_by_name, _decode_service, faults)


def _decode_parts(
    table: str,
    parts_by_name: Mapping[str, msgspec.Raw],
    decode: Callable[[str, msgspec.Raw, list[ConfigurationFault]], Value],
    faults: list[ConfigurationFault],
) -> list[Value]:
    """Return the decoded parts of a table; those that are malformed are added to `faults`."""
    values: list[Value] = []
    for name, encoded in parts_by_name.items():
        try:
            values.append(decode(name, encoded, faults))
        except (WireError, ValueError) as error:
            path = f"{table}.{name}" if table else name
            faults.append(_to_fault(path, str(error), encoded, is_route=table == "routes"))
    return values


def _to_fault(path: str, detail: str, encoded: msgspec.Raw, is_route: bool) -> ConfigurationFault:
    if not is_route:
        return ConfigurationFault(path, detail)
    try:
        place = decode_payload(_place_decoder, encoded, "route")
    except WireError:
        return ConfigurationFault(path, detail, disables_route=True)
    return ConfigurationFault(
        path, detail, place.host.lower(), place.path_prefix, disables_route=True
    )


def _decode_route(name: str, encoded: msgspec.Raw, faults: list[ConfigurationFault]) -> Route:
    route = decode_payload(_route_decoder, encoded, "route")
    execution = _EXECUTION_BY_KIND.get(route.kind)
    if execution is None:
        execution = Execution.AT_MOST_ONCE
        detail = f"unknown kind {route.kind[:40]!r} is served as at-most-once work"
        faults.append(ConfigurationFault(f"routes.{name}.kind", detail))
    shares = tuple(ServiceShare(share.service, share.weight) for share in route.traffic_split)
    if route.service is not None:
        shares = (ServiceShare(route.service, 1.0),)
    if not any(share.weight > 0 for share in shares):
        raise ValueError("expected a service with a weight above 0, got none")
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


def _decode_service(
    name: str, encoded: msgspec.Raw, faults: list[ConfigurationFault]
) -> ServiceSettings:
    service = decode_payload(_service_decoder, encoded, "service")
    return ServiceSettings(name, service.health_path, service.max_connections)


def _decode_limits(
    name: str, encoded: msgspec.Raw, faults: list[ConfigurationFault]
) -> CallerLimits:
    limits = decode_payload(_limits_decoder, encoded, name)
    return CallerLimits(
        max_head_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_seconds=parse_seconds(limits.header_timeout),
        idle_seconds=parse_seconds(limits.idle_timeout),
    )
