"""What the serving path asks of admission."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from apricotwalk.admission._levels import HIGHEST_LEVEL, level_of

__all__ = ["AdmissionController", "Outcome", "Permit", "Stream", "WorkItem"]


@dataclass(frozen=True, slots=True)
class Stream:
    """The requests of one customer that entered by one route."""

    customer: str
    route: str


@dataclass(frozen=True, slots=True)
class WorkItem:
    """One call that asks to be run by the backend server.

    Parameters
    ----------
    customer, route : str
        Whose work it is and of which kind.
    rank : int
        0 is the most urgent.
    deadline : float
        Monotonic time in seconds after which an answer is of no use.
    floor : float
        Least share of capacity kept for this customer and route, between 0 and 1.
    request_id : str
        The whole request.
    entry_route : str
        Route by which the whole request entered; the floor belongs to it.
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
        """The level of the whole request."""
        return level_of(self.rank, self.request_id)

    @property
    def stream(self) -> Stream:
        """The stream to which the whole request belongs."""
        return Stream(self.customer, self.entry_route or self.route)


class Outcome(Enum):
    """How a permitted piece of work ended, as far as its server's state can be judged."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


class Permit(ABC):
    """The right to run one piece of work."""

    @abstractmethod
    def release(self, outcome: Outcome) -> None:
        """Give the right back; only the first call has an effect."""

    @abstractmethod
    def pause(self) -> None:
        """Take note that the work waits for an inner call and does not occupy the server."""

    @abstractmethod
    def resume(self) -> None:
        """Take note that an inner call has ended."""


class AdmissionController(ABC):
    """Admits, queues or sheds work for one backend server."""

    @abstractmethod
    async def acquire(self, item: WorkItem) -> Permit:
        """Wait until the work may run.

        Raises
        ------
        CallFailure
            With verdict ``NOT_RUN`` if the work is shed.
        """

    @abstractmethod
    def set_slots(self, slots: int) -> None:
        """Take note of how many requests the backend server says it can run at once."""

    @abstractmethod
    def load(self) -> float:
        """Return work in flight and waiting over the current limit."""

    @abstractmethod
    def in_flight(self) -> int:
        """Return the number of permits that are out."""

    def admitted_level(self) -> int:
        """Return the highest level that is admitted at present."""
        return HIGHEST_LEVEL

    def floor_share(self, stream: Stream) -> float:
        """Return the share of a stream's demand that its floor pays for at present."""
        return 0.0
