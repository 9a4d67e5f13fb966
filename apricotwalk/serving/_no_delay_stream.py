"""Stream whose small writes are sent immediately."""

from tornado.iostream import IOStream

__all__ = ["NoDelayStream"]


class NoDelayStream(IOStream):
    """A stream on which Nagle's algorithm stays off once it has been switched off.

    Notes
    -----
    tornado's HTTP code switches the algorithm off and on again around each message, two system
    calls a message.  A node writes whole messages, so there is nothing to gather.
    """

    _is_nodelay_set = False

    def set_nodelay(self, value: bool) -> None:
        """Switch Nagle's algorithm off; switching it on again has no effect."""
        if value and not self._is_nodelay_set:
            super().set_nodelay(True)
            self._is_nodelay_set = True
