"""Interfaces between membership and the rest of a node."""

from abc import ABC, abstractmethod

from apricotwalk.core import Service
from apricotwalk.membership._member import Member

__all__ = ["Membership", "Piggyback"]


class Membership(Service):
    """Tracks the members of the services that this node calls."""

    @abstractmethod
    def members(self, service: str) -> list[Member]:
        """Return the members of `service` that accept new work."""

    @abstractmethod
    def announce(self, service: str) -> None:
        """Publish that this node's backend server offers `service`, or no service if empty."""

    @abstractmethod
    def leave(self) -> None:
        """Publish that this node accepts no new work from now on."""

    @abstractmethod
    def known_count(self) -> int:
        """Return the number of known members, this node included."""

    async def find(self, service: str, timeout_seconds: float) -> list[Member]:
        """Return the members of `service`.

        Implementations may wait up to `timeout_seconds` if none is known yet; this one does not.
        """
        return self.members(service)


class Piggyback(ABC):
    """State of another component, carried by the probes and acknowledgements of membership."""

    @abstractmethod
    def outgoing(self) -> bytes:
        """Return the content for the next message, at most a few hundred bytes."""

    @abstractmethod
    def incoming(self, content: bytes) -> None:
        """Apply content received from another node.

        Raises
        ------
        WireError
            If the content is malformed.
        """
