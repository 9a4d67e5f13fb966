"""Replay protection for control datagrams."""

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["ReplayGuard"]

WINDOW_BITS = 64
MAX_SENDER_COUNT = 2048


@dataclass(slots=True)
class _Window:
    incarnation: int
    highest_counter: int
    seen_bits: int


class ReplayGuard:
    """Detects replayed datagrams with a sliding window of counters for each sender.

    Parameters
    ----------
    max_sender_count : int
        Number of senders above which the least recently active ones are evicted.

    Notes
    -----
    A datagram that is replayed after its sender was evicted is accepted.  Its only effect is a
    needless answer, because members are ordered by incarnation and records by offset.

    References
    ----------
    .. [1] S. Kent, "IP Encapsulating Security Payload", RFC 4303, section 3.4.3.
    """

    def __init__(self, max_sender_count: int = MAX_SENDER_COUNT) -> None:
        self._max_sender_count = max_sender_count
        self._windows_by_sender: OrderedDict[str, _Window] = OrderedDict()

    def accept(self, sender: str, incarnation: int, counter: int) -> bool:
        """Return whether the datagram is new, and mark its counter as received."""
        window = self._windows_by_sender.get(sender)
        if window is None or incarnation > window.incarnation:
            self._store_window(sender, _Window(incarnation, counter, 1))
            return True
        if incarnation < window.incarnation:
            return False
        self._windows_by_sender.move_to_end(sender)
        return _accept_counter(window, counter)

    def _store_window(self, sender: str, window: _Window) -> None:
        self._windows_by_sender[sender] = window
        self._windows_by_sender.move_to_end(sender)
        if len(self._windows_by_sender) > self._max_sender_count:
            self._windows_by_sender.popitem(last=False)


def _accept_counter(window: _Window, counter: int) -> bool:
    if counter > window.highest_counter:
        shifted = window.seen_bits << min(counter - window.highest_counter, WINDOW_BITS)
        window.seen_bits = (shifted | 1) & ((1 << WINDOW_BITS) - 1)
        window.highest_counter = counter
        return True
    bit = 1 << (window.highest_counter - counter)
    if window.highest_counter - counter >= WINDOW_BITS or window.seen_bits & bit:
        return False
    window.seen_bits |= bit
    return True
