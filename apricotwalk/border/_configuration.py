"""The operator's configuration of a mesh."""

from dataclasses import dataclass, field

from apricotwalk.core import Execution

__all__ = ["CallerLimits", "Route", "RouteConfiguration", "ServiceSettings", "ServiceShare"]


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that gets a share of a route's requests.

    Parameters
    ----------
    service : str
        The service.
    weight : float
        Its share, relative to the weights of the route's other services.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How one kind of request is treated.

    Parameters
    ----------
    name : str
        Name of the route.
    host, path_prefix : str
        What selects it; the longest prefix wins.
    shares : tuple of ServiceShare
        Services that get its requests, at least one.
    execution : Execution
        How often one try of a caller may run.
    rank : int
        0 is the most urgent.
    timeout_seconds : float
        A request is answered by then in any case.
    objective_seconds : float
        An answer within it serves the caller fully.
    largest_target_count : int
        Backend servers to which one try of a caller may be sent.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[ServiceShare, ...]
    execution: Execution
    rank: int
    timeout_seconds: float
    objective_seconds: float
    largest_target_count: int


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """What the operator says of one service.

    Parameters
    ----------
    name : str
        The service.
    health_path : str
        Where its backend servers answer health checks.
    largest_connection_count : int
        Connections that one backend server accepts.
    """

    name: str
    health_path: str
    largest_connection_count: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send and how long they may take.

    Parameters
    ----------
    largest_head_bytes, largest_body_bytes : int
        Largest head and body of a request.
    head_seconds : float
        Time until a request's head is complete.
    idle_seconds : float
        Time for which a connection may be idle.
    """

    largest_head_bytes: int
    largest_body_bytes: int
    head_seconds: float
    idle_seconds: float


@dataclass(frozen=True, slots=True)
class RouteConfiguration:
    """One version of the operator's configuration.

    Parameters
    ----------
    version : int
        A larger version replaces a smaller one.
    routes : tuple of Route
        Every route.
    services_by_name : dict of str to ServiceSettings
        Every service.
    limits : CallerLimits
        Limits on callers.
    encoded : bytes
        The configuration as the operator wrote it, for nodes that cannot read it themselves.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, ServiceSettings]
    limits: CallerLimits
    encoded: bytes = field(repr=False, default=b"")
