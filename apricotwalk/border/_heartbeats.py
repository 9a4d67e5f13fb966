"""What backend servers report of themselves."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from apricotwalk.settings import Address

__all__ = ["Heartbeat", "HeartbeatCall", "HeartbeatReader"]


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One report of the backend server beside a node.

    Parameters
    ----------
    server : str
        Incarnation of the backend server; usually new at each start.
    started_ms : int
        Calendar time of its start in milliseconds; tells starts under one name apart.
    sequence : int
        Grows with each report of one start, so that a late one is recognized.
    service : str
        Service that it offers.
    address : Address
        Where it listens.
    slots : int
        Requests that it runs at once.
    is_leaving : bool
        Whether it will end soon and takes no new work.
    warm_up_seconds : float
        How much longer it is slow after its start.
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
    """One call on the heartbeat address.

    Parameters
    ----------
    server : str
        Incarnation of the backend server that the call names.
    heartbeat : Heartbeat or None
        What it reports; None if the server says that it is gone.
    started_ms : int
        Calendar time of its start in milliseconds, 0 if it is not said.
    """

    server: str
    heartbeat: Heartbeat | None
    started_ms: int = 0


class HeartbeatReader(ABC):
    """Reads the calls of backend servers."""

    @abstractmethod
    def read(self, method: str, path: str, body: bytes) -> HeartbeatCall | None:
        """Return what a call says, or None if it is no call of a backend server.

        Raises
        ------
        WireError
            If its body is malformed, naming the field.
        """
