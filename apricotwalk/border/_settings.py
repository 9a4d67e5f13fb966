"""Data model of the settings of a node in a mesh."""

from dataclasses import dataclass

from apricotwalk.settings import Address

__all__ = ["DEFAULT_MEMORY_BYTES", "MeshBounds", "MeshSettings"]

# The smallest limit of the instances in use.
DEFAULT_MEMORY_BYTES = 200 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class MeshBounds:
    """Time bounds and retry limits that the operators require of the mesh.

    Parameters
    ----------
    drain_seconds : float
        Time in seconds within which requests stop reaching a backend server after the node has
        acknowledged that the server is leaving.
    stop_seconds : float
        Time in seconds between SIGTERM and SIGKILL.
    configuration_seconds : float
        Time in seconds within which a published configuration version is in force on all nodes.
    retry_ratio : float
        Retries allowed for a service per first attempt.
    retry_window_seconds : float
        Length in seconds of the window in which retries are counted.
    retry_allowance : float
        Number of retries allowed in each window in addition to `retry_ratio`.
    """

    drain_seconds: float
    stop_seconds: float
    configuration_seconds: float
    retry_ratio: float
    retry_window_seconds: float
    retry_allowance: float


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """Settings of a node in a mesh.

    Parameters
    ----------
    instance : str
        Name of the instance.
    service : str
        Name of the service of the backend server beside the node.
    availability_zone, region : str
        Availability zone and region of the instance.
    callers : Address
        Address on which the node receives requests of callers on this instance.
    backend : Address
        Address on which the backend server listens.
    readiness : Address
        Address on which the node answers readiness queries.
    heartbeats : Address
        Address on which the node receives heartbeats of the backend server.
    peers : Address
        Address on which the node accepts connections of other nodes; the port is the same on
        every instance.
    metrics : Address
        Address on which the node serves metrics as text.
    seeds : tuple of Address
        Peer addresses of a few nodes, from which the node requests the members until it knows
        another node; they may be stale.
    store : Address
        Address of the platform's store.
    heartbeat_seconds : float
        Usual time in seconds between two heartbeats.
    bounds : MeshBounds
        Time bounds and retry limits of the mesh.
    is_first_start : bool
        Whether the whole mesh starts for the first time, so that the store holds no members yet.
    memory_bytes : int
        Memory in bytes that the process may use before the platform kills it.
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
    is_first_start: bool = False
    memory_bytes: int = DEFAULT_MEMORY_BYTES
