"""Bounded random sample of the fleet, refreshed by exchange between peers."""

import random

from apricotwalk.membership._messages import Peer
from apricotwalk.settings import Address

__all__ = ["PeerSample"]

MAX_SAMPLE_COUNT = 20
MIN_REMOTE_COUNT = 5
EXCHANGED_PEER_COUNT = 6
SAME_REGION_SHARE = 0.8


class PeerSample:
    """Random sample of peers, mostly of this node's region and some of other regions.

    Parameters
    ----------
    own : Peer
        This node.
    generator : random.Random
        Source of randomness.

    References
    ----------
    .. [1] S. Voulgaris, D. Gavidia, M. van Steen, "CYCLON: Inexpensive Membership Management
       for Unstructured P2P Overlays", Journal of Network and Systems Management 13(2), 2005.
    """

    def __init__(self, own: Peer, generator: random.Random) -> None:
        self._own = own
        self._random = generator
        self._ages_by_peer: dict[Peer, int] = {}

    def __len__(self) -> int:
        return len(self._ages_by_peer)

    def add(self, peer: Peer) -> None:
        """Add a peer; if the sample is full, evict the oldest one, keeping some remote peers."""
        if peer.address == self._own.address:
            return
        self._ages_by_peer[peer] = 0
        if len(self._ages_by_peer) > MAX_SAMPLE_COUNT:
            del self._ages_by_peer[self._oldest_to_drop(peer)]

    def remove(self, address: Address) -> None:
        """Remove a peer that does not answer."""
        for peer in [peer for peer in self._ages_by_peer if peer.address == address]:
            del self._ages_by_peer[peer]

    def oldest(self) -> Peer | None:
        """Increment all ages and return the oldest peer, the next one to exchange with."""
        for peer in self._ages_by_peer:
            self._ages_by_peer[peer] += 1
        return max(self._ages_by_peer, key=self._ages_by_peer.__getitem__, default=None)

    def to_send(self) -> list[Peer]:
        """Return this node and a few random peers."""
        peers = list(self._ages_by_peer)
        return [self._own, *self._random.sample(peers, min(EXCHANGED_PEER_COUNT, len(peers)))]

    def choose(self, count: int) -> list[Address]:
        """Return the addresses of up to `count` distinct peers, mostly of this region."""
        same_region = [p for p in self._ages_by_peer if p.region == self._own.region]
        remote = [p for p in self._ages_by_peer if p.region != self._own.region]
        self._random.shuffle(same_region)
        self._random.shuffle(remote)
        chosen: list[Address] = []
        while len(chosen) < count and (same_region or remote):
            prefers_same_region = same_region and (
                not remote or self._random.random() < SAME_REGION_SHARE
            )
            chosen.append((same_region if prefers_same_region else remote).pop().address)
        return chosen

    def _oldest_to_drop(self, newest: Peer) -> Peer:
        remote = [p for p in self._ages_by_peer if p.region != self._own.region]
        candidates = [p for p in self._ages_by_peer if p is not newest]
        if len(remote) <= MIN_REMOTE_COUNT:
            candidates = [p for p in candidates if p.region == self._own.region] or candidates
        return max(candidates, key=self._ages_by_peer.__getitem__)
