"""What a node does for its peers."""

import time
from collections.abc import Callable

from apricotwalk.fleet import ConfigurationHolder, FleetMembers
from apricotwalk.forwarding import ServerSideExecutor
from apricotwalk.peering import (
    ConfigurationMessage,
    ConfigurationRequest,
    ForwardMessage,
    GreetingMessage,
    MembersMessage,
    MembersRequest,
    PeerHandler,
    PeerMessage,
    ReplyMessage,
    SuspectsMessage,
)
from apricotwalk.quarantine import QuarantineRegistry

__all__ = ["MeshPeerHandler"]

# Nodes differ while a change spreads.  Whole lists are exchanged no more often than this, and
# less often the longer they are, because single changes are passed on anyway.
EXCHANGE_SECONDS = 0.5
# A list of a hundred members then costs a node less than a thousandth of a core.
EXCHANGE_SECONDS_PER_MEMBER = 0.03


class MeshPeerHandler(PeerHandler):
    """Runs forwarded requests and exchanges members and the configuration.

    Parameters
    ----------
    members : FleetMembers
        Members that this node knows of.
    configuration : ConfigurationHolder
        Configuration that this node knows of.
    """

    def __init__(self, members: FleetMembers, configuration: ConfigurationHolder) -> None:
        self._members = members
        self._configuration = configuration
        self._exchanged = 0.0
        self.server_side: ServerSideExecutor | None = None
        self.quarantine: QuarantineRegistry | None = None

    async def handle_forward(self, message: ForwardMessage) -> ReplyMessage:
        """Return the outcome of a request; see `PeerHandler.handle_forward`."""
        assert self.server_side is not None
        return await self.server_side.run(message)

    def gossip_digest(self) -> tuple[int, int]:
        """Return what pings carry; see `PeerHandler.gossip_digest`."""
        return self._configuration.version, self._members.digest()

    def handle_gossip_digest(
        self, configuration_version: int, members_digest: int, send: Callable[[PeerMessage], bool]
    ) -> None:
        """Ask for what the peer knows better; see `PeerHandler.handle_gossip_digest`."""
        if configuration_version > self._configuration.version:
            send(ConfigurationRequest())
        if members_digest == self._members.digest():
            return
        now = time.monotonic()
        longest_list = EXCHANGE_SECONDS_PER_MEMBER * len(self._members.all_members())
        if now - self._exchanged >= max(EXCHANGE_SECONDS, longest_list):
            self._exchanged = now
            send(MembersRequest())

    def handle_control(self, message: PeerMessage, send: Callable[[PeerMessage], bool]) -> None:
        """Take a message that is no request; see `PeerHandler.handle_control`."""
        if isinstance(message, MembersMessage):
            for member in message.members:
                self._members.apply(member, "peer")
        elif isinstance(message, MembersRequest):
            send(MembersMessage(self._members.all_members()))
        elif isinstance(message, GreetingMessage):
            self._members.apply(message.member, "greeting")
        elif isinstance(message, SuspectsMessage):
            if self.quarantine is not None:
                self.quarantine.merge(message.suspects)
        elif isinstance(message, ConfigurationMessage):
            self._configuration.apply(message.key, message.encoded, "peer")
        elif isinstance(message, ConfigurationRequest):
            current = self._configuration.current
            if current is not None:
                send(ConfigurationMessage(self._configuration.key, current.encoded))
