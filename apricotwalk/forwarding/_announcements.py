"""Decoder of what a backend server announces about itself in the head of each answer."""

import math
from dataclasses import dataclass

from apricotwalk.border import HeaderFieldNames
from apricotwalk.http1 import ServerAnswer

__all__ = ["AnnouncementReader", "ServerAnnouncement"]


@dataclass(frozen=True, slots=True)
class ServerAnnouncement:
    """What one answer of a backend server states about the server.

    Parameters
    ----------
    requests_per_second : float or None
        Requests per second that it accepts from all nodes together, or None for no limit.
    is_leaving : bool
        Whether it shuts down soon and accepts no new requests.
    has_readable_rate : bool
        False if the answer states a rate that is not a number of at least 0.
    """

    requests_per_second: float | None
    is_leaving: bool
    has_readable_rate: bool = True


class AnnouncementReader:
    """Decodes the announcement in the captured header fields of an answer.

    Parameters
    ----------
    fields : HeaderFieldNames
        Names of header fields.
    """

    def __init__(self, fields: HeaderFieldNames) -> None:
        self._rate_field = fields.announced_rate.lower().encode()
        self._leaving_field = fields.leaving.lower().encode()

    def read(self, answer: ServerAnswer) -> ServerAnnouncement:
        """Return the announcement in an answer."""
        values = answer.values_by_name
        is_leaving = values.get(self._leaving_field, "").strip() == "1"
        text = values.get(self._rate_field)
        if text is None:
            return ServerAnnouncement(None, is_leaving)
        try:
            rate = float(text)
        except ValueError:
            rate = math.nan
        if not 0.0 <= rate < math.inf:
            return ServerAnnouncement(None, is_leaving, has_readable_rate=False)
        return ServerAnnouncement(rate, is_leaving)
