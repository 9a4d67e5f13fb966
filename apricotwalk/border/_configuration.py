"""Data model of the operator's configuration of a mesh."""

from dataclasses import dataclass, field

from apricotwalk.core import Execution

__all__ = [
    "CallerLimits",
    "ConfigurationFault",
    "Route",
    "RouteConfiguration",
    "ServiceSettings",
    "ServiceShare",
]


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that receives a share of a route's requests.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Weight of the service, relative to the weights of the route's other services.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class ConfigurationFault:
    """A part of a configuration that could not be understood.

    Parameters
    ----------
    path : str
        Path of the part, such as ``routes.menu``.
    detail : str
        What was expected and what was found.
    host, path_prefix : str or None
        Host and path prefix of a route that is not in force because of the fault, if they are
        readable.
    disables_route : bool
        Whether a route is not in force because of the fault.
    """

    path: str
    detail: str
    host: str | None = None
    path_prefix: str | None = None
    disables_route: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """How one kind of request is matched and treated.

    Parameters
    ----------
    name : str
        Name of the route.
    host, path_prefix : str
        Host and prefix of the path of a request; the route with the longest matching prefix
        applies.
    shares : tuple of ServiceShare
        Services that receive the requests, at least one.
    execution : Execution
        Whether one attempt of a caller may be executed more than once.
    rank : int
        Priority; 0 is the most urgent.
    timeout_seconds : float
        Time in seconds after which a request is answered in any case.
    objective_seconds : float
        Time in seconds within which an answer has its full value for the caller.
    largest_target_count : int
        Maximum number of backend servers to which one attempt of a caller may be sent.
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
    """The operator's settings for one service.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path on which the service's backend servers answer health checks.
    max_connection_count : int
        Maximum number of connections that one backend server accepts.
    """

    name: str
    health_path: str
    max_connection_count: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    Parameters
    ----------
    max_head_bytes, max_body_bytes : int
        Maximum sizes of the head and the body of a request in bytes.
    head_seconds : float
        Time in seconds within which the head of a request must be complete.
    idle_seconds : float
        Time in seconds for which a connection may be idle.
    """

    max_head_bytes: int
    max_body_bytes: int
    head_seconds: float
    idle_seconds: float


@dataclass(frozen=True, slots=True)
class RouteConfiguration:
    """One version of the operator's configuration.

    Parameters
    ----------
    version : int
        Version number; a larger version replaces a smaller one.
    routes : tuple of Route
        The routes that are understood.
    services_by_name : dict of str to ServiceSettings
        Settings of all services.
    limits : CallerLimits or None
        Limits on callers' requests, or None if they are not understood.
    encoded : bytes
        The configuration as the operator published it, to be sent to nodes that cannot read
        the store.
    faults : tuple of ConfigurationFault
        Parts that are not understood; all others are in force.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, ServiceSettings]
    limits: CallerLimits | None
    encoded: bytes = field(repr=False, default=b"")
    faults: tuple[ConfigurationFault, ...] = ()
