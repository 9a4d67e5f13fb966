"""Recognition of datagrams that were received before."""

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["ReplayGuard"]

WINDOW_SIZE = 64
REMEMBERED_SENDERS = 2048


@dataclass(slots=True)
class _Window:
    incarnation: int
    highest: int
    seen_bits: int


class ReplayGuard:
    """Remembers the newest counters of each sender in bounded memory.

    Parameters
    ----------
    remembered_senders : int
        The senders heard longest ago are forgotten above this number.

    Notes
    -----
    A datagram replayed after its sender was forgotten is let through.  It does no harm beyond
    an answer, because members and records are ordered by incarnation and offset.

    References
    ----------
    .. [1] S. Kent, "IP Encapsulating Security Payload", RFC 4303, section 3.4.3.
    """

    def __init__(self, max_sender_count: int = REMEMBERED_SENDERS) -> None:
        self._remembered_senders = max_sender_count
        self._windows_by_sender: OrderedDict[str, _Window] = OrderedDict()

    def accept(self, sender: str, incarnation: int, counter: int) -> bool:
        """Return whether this datagram is new, and remember it."""
        window = self._windows_by_sender.get(sender)
        if window is None or incarnation > window.incarnation:
            self._remember(sender, _Window(incarnation, counter, 1))
            return True
        if incarnation < window.incarnation:
            return False
        self._windows_by_sender.move_to_end(sender)
        return _accept_counter(window, counter)

    def _remember(self, sender: str, window: _Window) -> None:
        self._windows_by_sender[sender] = window
        self._windows_by_sender.move_to_end(sender)
        if len(self._windows_by_sender) > self._remembered_senders:
            self._windows_by_sender.popitem(last=False)


def _accept_counter(window: _Window, counter: int) -> bool:
    if counter > window.highest:
        shifted = window.seen_bits << min(counter - window.highest, WINDOW_SIZE)
        window.seen_bits = (shifted | 1) & ((1 << WINDOW_SIZE) - 1)
        window.highest = counter
        return True
    bit = 1 << (window.highest - counter)
    if window.highest - counter >= WINDOW_SIZE or window.seen_bits & bit:
        return False
    window.seen_bits |= bit
    return True
