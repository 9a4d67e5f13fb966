"""Registry of requests suspected of crashing backend servers, shared among nodes."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from itertools import islice
from math import inf

from apricotwalk.core import Clock, Suspect

__all__ = ["CRASH_LIMIT", "QuarantineRegistry"]

# This default applies to the native call path, where fingerprints cover customer and key.
CRASH_LIMIT = 2
# Callers resend a request only within its deadline, which is ten minutes at most.
EXPIRY_SECONDS = 600.0
# Every request that a server runs becomes a suspect when it crashes, and all servers of a service
# may crash within seconds.  An entry occupies about 50 bytes.
MAX_SUSPECT_COUNT = 4096
# This number of suspects fits into one packet together with a request.
MAX_PIGGYBACKED_COUNT = 16


class QuarantineRegistry:
    """Suspected and quarantined requests known to a node.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    crash_limit : int
        Number of crashes at which a request is quarantined.
    is_enabled : bool
        Whether reports are recorded; if not, no request is ever suspected.

    Notes
    -----
    A suspect is a set of crash identifiers and the subset that is cleared, merged by union, so the
    order in which nodes receive reports does not matter and duplicates have no effect [1]_.  The
    default limit is two crashes: after the first one, a node executes one suspect at a time, so a
    second crash identifies the request that caused it.  An attempt that is already in flight on
    another node can then add at most a third crash.  A suspect that completes is cleared of the
    crashes known by then; later crashes count again.

    References
    ----------
    .. [1] M. Shapiro, N. Preguica, C. Baquero, M. Zawirski, "Conflict-Free Replicated Data
       Types", SSS 2011.

    Examples
    --------
    >>> from apricotwalk.core import ManualClock
    >>> registry = QuarantineRegistry(ManualClock())
    >>> registry.report(7, "menu-1#1")
    >>> registry.is_suspected(7), registry.is_quarantined(7)
    (True, False)
    >>> registry.merge([Suspect(7, ["menu-2#1"])])
    >>> registry.is_quarantined(7)
    True
    """

    def __init__(
        self, clock: Clock, crash_limit: int = CRASH_LIMIT, is_enabled: bool = True
    ) -> None:
        self._clock = clock
        self._is_enabled = is_enabled
        self._crash_limit = crash_limit
        self._suspects_by_fingerprint: OrderedDict[int, tuple[float, Suspect]] = OrderedDict()

    def report(self, fingerprint: int, crash_id: str) -> None:
        """Record that a request was being executed when a backend server crashed."""
        self._merge(Suspect(fingerprint, [crash_id]))

    def clear(self, fingerprint: int) -> None:
        """Clear a suspected request that has completed of the crashes known so far."""
        suspect = self._find(fingerprint)
        if suspect is not None and suspect.open_crash_count:
            self._merge(suspect.clear())

    def is_suspected(self, fingerprint: int) -> bool:
        """Return whether a request may have crashed a backend server."""
        suspect = self._find(fingerprint)
        return suspect is not None and suspect.open_crash_count > 0

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether a request must not be executed by any backend server."""
        suspect = self._find(fingerprint)
        return suspect is not None and suspect.open_crash_count >= self._crash_limit

    def seconds_since_report(self, fingerprint: int) -> float:
        """Return the time in seconds since the entry of a request changed, infinite without one."""
        self._expire()
        entry = self._suspects_by_fingerprint.get(fingerprint)
        return self._clock.monotonic() - entry[0] if entry else inf

    def find(self, fingerprint: int) -> list[Suspect]:
        """Return the entry of one request, as a list of at most one suspect."""
        suspect = self._find(fingerprint)
        return [suspect] if suspect else []

    def suspects_for(self, request: Callable[[], int]) -> list[Suspect]:
        """Return the suspects for a message about one request, whose own entry comes first.

        Parameters
        ----------
        request : callable
            Returns the fingerprint of the request; it is not called if nothing is suspected.

        Notes
        -----
        A crash adds an entry for every request that ran, so the entry of a request that is
        quarantined is often not among the newest.
        """
        newest = self.suspects()
        if not newest:
            return newest
        own = self.find(request())
        others = [suspect for suspect in newest if suspect not in own]
        return (own + others)[:MAX_PIGGYBACKED_COUNT]

    def suspects(self, max_count: int = MAX_PIGGYBACKED_COUNT) -> list[Suspect]:
        """Return the most recently changed suspects, newest first, for messages to other nodes."""
        self._expire()
        newest = islice(reversed(self._suspects_by_fingerprint.values()), max_count)
        return [suspect for _, suspect in newest]

    def merge(self, suspects: Iterable[Suspect]) -> None:
        """Merge suspects received from another node."""
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
        merged = (known[1] if known else suspect).merge(suspect)
        if known is not None and merged == known[1]:
            return
        self._suspects_by_fingerprint[suspect.fingerprint] = (self._clock.monotonic(), merged)
        self._suspects_by_fingerprint.move_to_end(suspect.fingerprint)
        if len(self._suspects_by_fingerprint) > MAX_SUSPECT_COUNT:
            self._suspects_by_fingerprint.popitem(last=False)

    def _expire(self) -> None:
        oldest = self._clock.monotonic() - EXPIRY_SECONDS
        while self._suspects_by_fingerprint:
            fingerprint, (changed_at, _) = next(iter(self._suspects_by_fingerprint.items()))
            if changed_at >= oldest:
                return
            del self._suspects_by_fingerprint[fingerprint]
