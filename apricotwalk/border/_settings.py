"""Settings of a node in a mesh."""

from dataclasses import dataclass

from apricotwalk.settings import Address

__all__ = ["MeshBounds", "MeshSettings"]


@dataclass(frozen=True, slots=True)
class MeshBounds:
    """Bounds that the operators hold the mesh to.

    Parameters
    ----------
    drain_seconds : float
        Time after the acknowledgement of a leave until no request reaches the server.
    stop_seconds : float
        Time between SIGTERM and SIGKILL.
    configuration_seconds : float
        Time until a version is in force everywhere.
    retry_ratio : float
        Repeats of a service's requests, relative to first tries.
    retry_window_seconds : float
        Window in which repeats are counted.
    retry_allowance : float
        Repeats in a window that are allowed besides.
    """

    drain_seconds: float
    stop_seconds: float
    configuration_seconds: float
    retry_ratio: float
    retry_window_seconds: float
    retry_allowance: float


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """Everything a node in a mesh is told at its start.

    Parameters
    ----------
    instance : str
        Name of the instance.
    service : str
        Service of the backend server beside the node.
    availability_zone, region : str
        Where the instance stands.
    callers : Address
        Where callers on this instance send requests.
    backend : Address
        Where the backend server listens.
    readiness : Address
        Where readiness is asked for.
    heartbeats : Address
        Where the backend server reports.
    peers : Address
        Where other nodes connect; the port is the same on every instance.
    metrics : Address
        Where metrics are served as text.
    seeds : tuple of Address
        Peer addresses of a few nodes, which may be stale.
    store : Address
        The platform's store.
    heartbeat_seconds : float
        Usual time between two heartbeats.
    bounds : MeshBounds
        Bounds of the mesh.
    """

    instance: str
    service: str
    availability_zone: str
    region: str
    callers: Address
    backend: Address
    readiness: Address
    heartbeats: Address
    peers: Address
    metrics: Address
    seeds: tuple[Address, ...]
    store: Address
    heartbeat_seconds: float
    bounds: MeshBounds
