"""A pool of links to the peers of a node."""

from apricotwalk.control import NO_KEYS, KeyRing
from apricotwalk.core import ALL_ON, MechanismSwitches, Service
from apricotwalk.settings import Address
from apricotwalk.wire._link import PeerLink
from apricotwalk.wire._messages import HelloMessage

__all__ = ["PeerPool"]


class PeerPool(Service):
    """Creates the link to a peer on first use and keeps it until it is removed.

    Parameters
    ----------
    hello : HelloMessage
        First message on each connection.
    max_frame_bytes : int
        Size in bytes above which a received frame ends its connection.
    switches : MechanismSwitches
        Mechanisms that are enabled.
    keys : KeyRing
        Keys with which both sides of a connection authenticate.
    """

    def __init__(
        self,
        hello: HelloMessage,
        max_frame_bytes: int,
        switches: MechanismSwitches = ALL_ON,
        keys: KeyRing = NO_KEYS,
    ) -> None:
        self._keys = keys
        self._switches = switches
        self._hello = hello
        self._max_frame_bytes = max_frame_bytes
        self.links_by_address: dict[Address, PeerLink] = {}

    @property
    def late_answers(self) -> int:
        """Number of answers received after their call had timed out or been cancelled."""
        return sum(link.late_answers for link in self.links_by_address.values())

    async def start(self) -> None:
        """Do nothing; links are created on demand."""

    def link(self, address: Address) -> PeerLink:
        """Return the link to the peer at `address`, creating it if needed."""
        link = self.links_by_address.get(address)
        if link is None:
            link = PeerLink(address, self._hello, self._max_frame_bytes, self._switches, self._keys)
            self.links_by_address[address] = link
        return link

    async def remove(self, address: Address) -> None:
        """Close and remove the link to the peer at `address`, if there is one."""
        link = self.links_by_address.pop(address, None)
        if link is not None:
            await link.close()

    async def close(self) -> None:
        """Close and remove all links."""
        for address in list(self.links_by_address):
            await self.remove(address)
