"""Departure of a backend server."""

from typing import Annotated

from msgspec import Meta, Struct

from apricotwalk.core._decoding import MAX_COUNT

__all__ = ["Departure"]


class Departure(Struct, frozen=True, array_like=True):
    """Starts of a backend server that are leaving or gone: all of them up to one report.

    Parameters
    ----------
    server : str
        Identifier of the incarnation.
    started_ms : int
        Unix time in milliseconds of the last start that is leaving.
    sequence : int
        Sequence number of the last report of that start that is superseded, by default any.
    """

    server: str
    started_ms: Annotated[int, Meta(ge=0, le=MAX_COUNT)]
    sequence: Annotated[int, Meta(ge=0, le=MAX_COUNT)] = MAX_COUNT

    def includes(self, server: str, started_ms: int, sequence: int) -> bool:
        """Return whether a report of a server is older than its departure."""
        if server != self.server:
            return False
        return (started_ms, sequence) <= (self.started_ms, self.sequence)
