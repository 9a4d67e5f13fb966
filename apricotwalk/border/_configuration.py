"""Data model of the operator's configuration of a mesh."""

from dataclasses import dataclass, field

from apricotwalk.core import Execution

__all__ = ["CallerLimits", "Route", "RouteConfiguration", "ServiceSettings", "ServiceShare"]


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
        All routes of the mesh.
    services_by_name : dict of str to ServiceSettings
        Settings of all services.
    limits : CallerLimits
        Limits on callers' requests.
    encoded : bytes
        The configuration as the operator published it, to be sent to nodes that cannot read
        the store.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, ServiceSettings]
    limits: CallerLimits
    encoded: bytes = field(repr=False, default=b"")
