"""Heartbeats and departure notices of backend servers."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from apricotwalk.settings import Address

__all__ = ["MAX_SLOT_COUNT", "Heartbeat", "HeartbeatCall", "HeartbeatReader"]

# No server runs this many requests at a time; the limits derived from it are float numbers.
MAX_SLOT_COUNT = 1_000_000


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One status report of the backend server beside a node.

    Parameters
    ----------
    server : str
        Incarnation of the backend server, which is usually a new one at each start.
    started_ms : int
        Unix time of the server's start in milliseconds; distinguishes starts that use the same
        incarnation name.
    sequence : int
        Number that increases with each report since the start, so that a delayed report is
        recognized.
    service : str
        Service that the server offers.
    address : Address
        Address on which the server listens.
    slots : int
        Number of requests that the server runs concurrently.
    is_leaving : bool
        Whether the server shuts down soon and accepts no new requests.
    warm_up_seconds : float
        Remaining time in seconds for which the server is slow after its start.
    """

    server: str
    started_ms: int
    sequence: int
    service: str
    address: Address
    slots: int
    is_leaving: bool
    warm_up_seconds: float


@dataclass(frozen=True, slots=True)
class HeartbeatCall:
    """One call of a backend server to the heartbeat address.

    Parameters
    ----------
    server : str
        Incarnation that the call names.
    heartbeat : Heartbeat or None
        Status report, or None for a departure notice.
    started_ms : int
        Unix time in milliseconds at which the departing server started, or 0 if the call does
        not state it.
    """

    server: str
    heartbeat: Heartbeat | None
    started_ms: int = 0


class HeartbeatReader(ABC):
    """Decodes the calls of backend servers to the heartbeat address."""

    @abstractmethod
    def read(self, method: str, path: str, body: bytes) -> HeartbeatCall | None:
        """Decode a call.

        Parameters
        ----------
        method, path : str
            Method and request target of the HTTP request.
        body : bytes
            Body of the request.

        Returns
        -------
        HeartbeatCall or None
            The decoded call, or None if the request is not one that backend servers make.

        Raises
        ------
        WireError
            If the body is malformed; the message names the field.
        """
