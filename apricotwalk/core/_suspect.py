"""A request suspected of crashing backend servers."""

from msgspec import Struct

__all__ = ["Suspect"]


class Suspect(Struct, frozen=True, array_like=True):
    """Crashes of backend servers during which a request was in flight.

    Parameters
    ----------
    fingerprint : int
        Digest of the request.
    crashes : list of str
        Identifiers of the crashes, sorted.
    is_cleared : bool
        Whether the request has completed after it became suspected.
    """

    fingerprint: int
    crashes: list[str]
    is_cleared: bool = False

    def merge(self, other: "Suspect") -> "Suspect":
        """Return the union of both entries, cleared if either is cleared."""
        crashes = sorted({*self.crashes, *other.crashes})
        return Suspect(self.fingerprint, crashes, self.is_cleared or other.is_cleared)
