"""Interface between the serving path and admission control."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from apricotwalk.admission._levels import HIGHEST_LEVEL, level_of

__all__ = ["AdmissionController", "Outcome", "Permit", "Stream", "WorkItem"]


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one customer that entered by one route."""

    customer: str
    route: str


@dataclass(frozen=True, slots=True)
class WorkItem:
    """Call that requests admission to the backend server.

    Parameters
    ----------
    customer, route : str
        Customer and route of the call.
    rank : int
        0 is the most urgent.
    deadline : float
        Monotonic time in seconds after which the caller ignores the answer.
    floor : float
        Minimum share of the capacity reserved for this customer and entry route, between 0
        and 1.
    request_id : str
        Identifier of the whole request.
    entry_route : str
        Route by which the whole request entered; the floor applies to it.
    """

    customer: str
    route: str
    rank: int
    deadline: float
    floor: float = 0.0
    request_id: str = ""
    entry_route: str = ""

    @property
    def level(self) -> int:
        """The level of the whole request, equal at every hop."""
        return level_of(self.rank, self.request_id)

    @property
    def stream(self) -> Stream:
        """The stream to which the whole request belongs."""
        return Stream(self.customer, self.entry_route or self.route)


class Outcome(Enum):
    """Outcome of an admitted call, as far as it indicates the state of its server."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


class Permit(ABC):
    """Permission to run one call."""

    @abstractmethod
    def release(self, outcome: Outcome) -> None:
        """Release the permit; only the first release has an effect."""

    @abstractmethod
    def pause(self) -> None:
        """Record the start of an inner call, during which the server is not occupied."""

    @abstractmethod
    def resume(self) -> None:
        """Record the end of an inner call."""


class AdmissionController(ABC):
    """Admit, queue or shed calls for one backend server."""

    @abstractmethod
    async def acquire(self, item: WorkItem) -> Permit:
        """Wait until the call may run and return its permit.

        Parameters
        ----------
        item : WorkItem
            The call.

        Returns
        -------
        Permit
            To be released when the call has ended.

        Raises
        ------
        CallFailure
            With verdict ``NOT_RUN`` if the call is shed.
        """

    @abstractmethod
    def set_slots(self, slots: int) -> None:
        """Set the number of concurrent requests that the backend server announces."""

    @abstractmethod
    def load(self) -> float:
        """Return the number of running and queued calls relative to the current limit."""

    @abstractmethod
    def in_flight(self) -> int:
        """Return the number of permits that are not yet released."""

    def admitted_level(self) -> int:
        """Return the highest level that is currently admitted."""
        return HIGHEST_LEVEL

    def floor_share(self, stream: Stream) -> float:
        """Return the share of a stream's demand that its floor currently covers."""
        return 0.0
