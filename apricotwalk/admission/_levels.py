"""Admission levels, which subdivide each rank by a hash of the request identifier."""

from xxhash import xxh3_64_intdigest

__all__ = ["HIGHEST_LEVEL", "LEVELS_PER_RANK", "MOST_URGENT_RANK", "RANK_COUNT", "level_of"]

MOST_URGENT_RANK = 0
RANK_COUNT = 16
LEVELS_PER_RANK = 64
HIGHEST_LEVEL = RANK_COUNT * LEVELS_PER_RANK - 1


def level_of(rank: int, request_id: str) -> int:
    """Return the level of a request; 0 is the most urgent.

    Parameters
    ----------
    rank : int
        Rank of the request; 0 is the most urgent.
    request_id : str
        Identifier of the whole request.

    Returns
    -------
    int
        Between 0 and `HIGHEST_LEVEL`.

    Notes
    -----
    The level is derived from the rank and the identifier of the whole request, so that it is
    the same at every hop of a chain.  Nodes that admit up to the same level therefore admit the
    same requests, and a request that one hop has processed is not shed by the next one.

    References
    ----------
    .. [1] H. Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018.

    Examples
    --------
    >>> level_of(0, "a") == level_of(0, "a")
    True
    >>> level_of(2, "a") // LEVELS_PER_RANK
    2
    """
    return rank * LEVELS_PER_RANK + xxh3_64_intdigest(request_id.encode()) % LEVELS_PER_RANK
