"""Tells which failures of a backend server come from a service that it called."""

from collections import deque

__all__ = ["FailureCauses"]

# A backend server answers right after the call that it needed has failed; the answer passes the
# event loop of one machine, so tens of milliseconds are long.
LONGEST_DELAY_SECONDS = 0.1
# Refusals that nobody asks about, as of servers that go on without the call, are forgotten.
LARGEST_COUNT = 256


class FailureCauses:
    """Matches failures of the backend server beside a node to refusals of its own calls.

    Notes
    -----
    A call does not name the request that it belongs to.  A server whose call was refused fails
    at once, so its next failure is put down to the oldest refusal that is recent enough, and
    each refusal explains one failure.  The load pattern it answers: a service deep in a chain
    has no room, and only failures with that cause call for fewer new requests; a server that
    fails by itself does not.

    Examples
    --------
    >>> causes = FailureCauses()
    >>> causes.take_note_of_refusal("pupil", now=1.0)
    >>> causes.explain(now=1.01), causes.explain(now=1.02)
    ('pupil', '')
    """

    def __init__(self) -> None:
        self._refusals: deque[tuple[float, str]] = deque(maxlen=LARGEST_COUNT)

    def take_note_of_refusal(self, service: str, now: float) -> None:
        """Take note that a call of the server failed because `service` had no room."""
        self._refusals.append((now, service))

    def explain(self, now: float) -> str:
        """Return the service that made the server fail, or an empty string."""
        while self._refusals:
            refused, service = self._refusals.popleft()
            if now - refused <= LONGEST_DELAY_SECONDS:
                return service
        return ""
