"""Handling of the messages from peers."""

import time
from collections.abc import Callable

from apricotwalk.fleet import ConfigurationHolder, FleetMembers, Freshness, StoreEra
from apricotwalk.forwarding import ServerSideExecutor
from apricotwalk.peering import (
    ConfigurationMessage,
    ConfigurationRequest,
    ForwardMessage,
    GossipDigest,
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

# The digests of two nodes differ while a change propagates.  Complete member lists are exchanged at
# most this often, and less often the longer they are, because single changes are gossiped anyway.
MIN_EXCHANGE_INTERVAL_SECONDS = 0.5
# A list of 100 members, exchanged at most every 3 s, costs a node less than 0.1 % of a core.
EXCHANGE_SECONDS_PER_MEMBER = 0.03


class MeshPeerHandler(PeerHandler):
    """Runs forwarded requests and synchronizes members and configuration with peers.

    Parameters
    ----------
    members : FleetMembers
        Membership records of this node.
    configuration : ConfigurationHolder
        Configuration in force at this node.
    store_era : StoreEra
        Newest known era of the store.
    configuration_freshness, members_freshness : Freshness
        Ages of this node's configuration and membership records.
    """

    def __init__(
        self,
        members: FleetMembers,
        configuration: ConfigurationHolder,
        store_era: StoreEra,
        configuration_freshness: Freshness,
        members_freshness: Freshness,
    ) -> None:
        self._configuration_freshness = configuration_freshness
        self._members_freshness = members_freshness
        self._members = members
        self._store_era = store_era
        self._configuration = configuration
        self._last_exchange_at = 0.0
        self.executor: ServerSideExecutor | None = None
        self.quarantine: QuarantineRegistry | None = None

    async def handle_forward(self, message: ForwardMessage) -> ReplyMessage:
        """Run a forwarded request; see `PeerHandler.handle_forward`."""
        assert self.executor is not None
        return await self.executor.run(message)

    def handle_withdrawal(self, request_ids: list[str]) -> None:
        """Refuse forwarded requests; see `PeerHandler.handle_withdrawal`."""
        assert self.executor is not None
        self.executor.withdraw(request_ids)

    def gossip_digest(self) -> GossipDigest:
        """Return the content of pings; see `PeerHandler.gossip_digest`."""
        return GossipDigest(
            self._configuration.version,
            self._members.digest(),
            self._store_era.value,
            self._configuration_freshness.age_ms,
            self._members_freshness.age_ms,
        )

    def handle_gossip_digest(
        self, digest: GossipDigest, send: Callable[[PeerMessage], bool]
    ) -> None:
        """Request newer state from the peer; see `PeerHandler.handle_gossip_digest`."""
        self._store_era.observe(digest.store_era, "peer")
        if digest.configuration_version > self._configuration.version:
            send(ConfigurationRequest())
        elif digest.configuration_age_ms is not None:
            self._configuration_freshness.observe(digest.configuration_age_ms / 1000)
        if digest.members_digest == self._members.digest():
            if digest.members_age_ms is not None:
                self._members_freshness.observe(digest.members_age_ms / 1000)
            return
        now = time.monotonic()
        list_interval = EXCHANGE_SECONDS_PER_MEMBER * len(self._members.all_members())
        if now - self._last_exchange_at >= max(MIN_EXCHANGE_INTERVAL_SECONDS, list_interval):
            self._last_exchange_at = now
            send(MembersRequest())

    def handle_control(self, message: PeerMessage, send: Callable[[PeerMessage], bool]) -> None:
        """Apply or answer a control message; see `PeerHandler.handle_control`."""
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
