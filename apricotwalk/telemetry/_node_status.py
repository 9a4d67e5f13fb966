"""The status of a node, as shown by the command-line tool."""

from msgspec import Struct

__all__ = ["NodeStatus"]


class NodeStatus(Struct):
    """The status of one node.

    Parameters
    ----------
    instance, availability_zone : str
        Location of the node.
    configuration_offset : int
        Number of records read from the configuration stream.
    customers : dict of str to int
        Version in force of each customer.
    members : int
        Number of members known to the node.
    in_flight : int
        Number of calls being executed by the backend server.
    load : float
        Calls in flight and queued, divided by the current concurrency limit.
    is_leaving : bool
        Whether the node accepts no new work.
    has_server : bool
        Whether a backend server is registered with the node.
    late_answers : int
        Number of answers of other nodes received after their call had timed out or been cancelled.
    """

    instance: str
    availability_zone: str
    configuration_offset: int
    customers: dict[str, int]
    members: int
    in_flight: int
    load: float
    is_leaving: bool
    has_server: bool
    late_answers: int = 0
