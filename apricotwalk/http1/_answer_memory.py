"""Memory for answers that are not yet complete."""

from collections.abc import Callable

__all__ = ["MAX_ANSWER_BYTES", "AnswerMemory"]

# Bodies may have up to 64 MB on the external platform, and a node may use 200 MB in all.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class AnswerMemory:
    """Bound on the bytes that the incomplete answers on several connections hold together.

    Parameters
    ----------
    max_bytes : int
        Largest total in bytes.

    Notes
    -----
    When the total is exceeded, the largest answer is dropped, which is the one most likely never to
    end.  The others can still complete.
    """

    def __init__(self, max_bytes: int = MAX_ANSWER_BYTES) -> None:
        self._max_bytes = max_bytes
        self._total_bytes = 0
        self._bytes_by_drop: dict[Callable[[], None], int] = {}

    def add(self, drop: Callable[[], None], count: int) -> None:
        """Count received bytes of an answer.

        Parameters
        ----------
        drop : callable
            Fails the answer and closes its connection; identifies the answer.
        count : int
            Number of bytes.
        """
        self._bytes_by_drop[drop] = self._bytes_by_drop.get(drop, 0) + count
        self._total_bytes += count
        while self._total_bytes > self._max_bytes:
            largest = max(self._bytes_by_drop, key=lambda each: self._bytes_by_drop[each])
            self.release(largest)
            largest()

    def release(self, drop: Callable[[], None]) -> None:
        """Release the bytes of an answer that has ended; without effect if it holds none."""
        self._total_bytes -= self._bytes_by_drop.pop(drop, 0)
