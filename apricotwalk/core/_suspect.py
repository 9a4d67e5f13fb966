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
        Whether every crash is cleared.  A peer that sends no `cleared_crashes` clears all of
        `crashes` with this flag.
    cleared_crashes : list of str
        Identifiers of the crashes that the request did not cause, sorted, because it completed
        after them.
    """

    fingerprint: int
    crashes: list[str]
    is_cleared: bool = False
    cleared_crashes: list[str] = []

    @property
    def open_crash_count(self) -> int:
        """Number of crashes that the request may have caused."""
        return len(set(self.crashes) - self._cleared())

    def merge(self, other: "Suspect") -> "Suspect":
        """Return the union of the crashes and of the cleared crashes of both entries."""
        crashes = {*self.crashes, *other.crashes}
        cleared = self._cleared() | other._cleared()
        return Suspect(self.fingerprint, sorted(crashes), crashes <= cleared, sorted(cleared))

    def clear(self) -> "Suspect":
        """Return the entry with every crash known so far cleared; later crashes count again."""
        return self.merge(Suspect(self.fingerprint, self.crashes, True))

    def _cleared(self) -> set[str]:
        return {*self.cleared_crashes, *(self.crashes if self.is_cleared else ())}
