"""What a backend server announced about itself, as exchanged between nodes."""

from typing import Annotated

from msgspec import Meta, Struct

from apricotwalk.core._decoding import MAX_COUNT

__all__ = ["ServerNotice"]


class ServerNotice(Struct, frozen=True, array_like=True):
    """What one start of a backend server announced about itself.

    Parameters
    ----------
    server : str
        Incarnation of the backend server.
    started_ms : int
        Unix time of its start in milliseconds, or 0 if unknown.
    requests_per_second : float or None
        Requests per second that it accepts from all nodes together, or None for no limit.
    is_leaving : bool
        Whether it shuts down soon and accepts no new requests.
    """

    server: str
    started_ms: Annotated[int, Meta(ge=0, le=MAX_COUNT)]
    requests_per_second: float | None
    is_leaving: bool = False
