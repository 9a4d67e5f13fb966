"""The node process that owns an idempotency key."""

from msgspec import Struct

__all__ = ["ClaimOwner"]


class ClaimOwner(Struct, frozen=True):
    """One run of a node process; a restarted node is a different owner.

    Parameters
    ----------
    instance : str
        Name of the instance.
    incarnation : str
        Random identifier of this run of the node; it cannot be guessed.
    address : str
        Address at which the node accepts connections from peers.
    """

    instance: str
    incarnation: str
    address: str
