"""Suspected requests, counted over all nodes."""

from collections import OrderedDict
from collections.abc import Iterable

from apricotwalk.core import Clock, Suspect

__all__ = ["CRASH_LIMIT", "QuarantineRegistry"]

# Of the product's own path, where fingerprints cover customer and key.
CRASH_LIMIT = 2
# Callers that resend a request do so within its deadline, ten minutes at most.
EXPIRY_SECONDS = 600.0
# Entries of some 50 bytes each.
LARGEST_BOARD = 512
# Suspects that fit into a packet beside a request.
LARGEST_SHARE = 16


class QuarantineRegistry:
    """The suspects that a node knows of.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    crash_limit : int
        Number of crashes at which a request is quarantined.
    is_enabled : bool
        Whether anything is suspected at all.

    Notes
    -----
    A suspect is a set of crash identifiers and a flag, merged by union, so the order in which
    nodes hear of it does not matter and hearing twice counts once [1]_.  The limit is two
    crashes: after the first, a node runs one suspect at a time, so a second crash tells which
    request did it, and one try that is under way elsewhere still stays within three.  A
    suspect that completes is cleared for as long as it is remembered.

    References
    ----------
    .. [1] M. Shapiro, N. Preguica, C. Baquero, M. Zawirski, "Conflict-Free Replicated Data
       Types", SSS 2011.

    Examples
    --------
    >>> from apricotwalk.core import ManualClock
    >>> board = QuarantineBoard(ManualClock())
    >>> board.report(7, "menu-1#1")
    >>> board.is_suspected(7), board.is_quarantined(7)
    (True, False)
    >>> board.merge([Suspect(7, ["menu-2#1"])])
    >>> board.is_quarantined(7)
    True
    """

    def __init__(
        self, clock: Clock, crash_limit: int = CRASH_LIMIT, is_enabled: bool = True
    ) -> None:
        self._clock = clock
        self._is_enabled = is_enabled
        self._crash_limit = crash_limit
        self._suspects_by_fingerprint: OrderedDict[int, tuple[float, Suspect]] = OrderedDict()

    def report(self, fingerprint: int, crash: str) -> None:
        """Take note that a request was running when a backend server crashed."""
        self._merge(Suspect(fingerprint, [crash]))

    def clear(self, fingerprint: int) -> None:
        """Take note that a request has completed."""
        if self.is_suspected(fingerprint):
            self._merge(Suspect(fingerprint, [], True))

    def is_suspected(self, fingerprint: int) -> bool:
        """Return whether a request may be what crashed a backend server."""
        suspect = self._find(fingerprint)
        return suspect is not None and not suspect.is_cleared

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether no backend server may run a request any more."""
        suspect = self._find(fingerprint)
        if suspect is None or suspect.is_cleared:
            return False
        return len(suspect.crashes) >= self._crash_limit

    def find(self, fingerprint: int) -> list[Suspect]:
        """Return what is known of one request, as a list of at most one suspect."""
        suspect = self._find(fingerprint)
        return [suspect] if suspect else []

    def suspects(self, largest_count: int = LARGEST_SHARE) -> list[Suspect]:
        """Return the newest suspects, for messages to other nodes."""
        self._expire()
        newest = list(self._suspects_by_fingerprint.values())[-largest_count:]
        return [suspect for _, suspect in newest]

    def merge(self, suspects: Iterable[Suspect]) -> None:
        """Add what another node knows."""
        for suspect in suspects:
            self._merge(suspect)

    def _find(self, fingerprint: int) -> Suspect | None:
        if not self._suspects_by_fingerprint:
            return None
        self._expire()
        entry = self._suspects_by_fingerprint.get(fingerprint)
        return entry[1] if entry else None

    def _merge(self, suspect: Suspect) -> None:
        if not self._is_enabled:
            return
        known = self._suspects_by_fingerprint.get(suspect.fingerprint)
        merged = known[1].merge(suspect) if known else suspect
        if known is not None and merged == known[1]:
            return
        self._suspects_by_fingerprint[suspect.fingerprint] = (self._clock.monotonic(), merged)
        self._suspects_by_fingerprint.move_to_end(suspect.fingerprint)
        if len(self._suspects_by_fingerprint) > LARGEST_BOARD:
            self._suspects_by_fingerprint.popitem(last=False)

    def _expire(self) -> None:
        oldest = self._clock.monotonic() - EXPIRY_SECONDS
        while self._suspects_by_fingerprint:
            fingerprint, (changed, _) = next(iter(self._suspects_by_fingerprint.items()))
            if changed >= oldest:
                return
            del self._suspects_by_fingerprint[fingerprint]
