"""The state of a node, as the operator's tool shows it."""

from msgspec import Struct

__all__ = ["NodeStatus"]


class NodeStatus(Struct):
    """The state of one node.

    Parameters
    ----------
    instance, availability_zone : str
        Where the node runs.
    configuration_offset : int
        Number of records of the configuration stream that were read.
    customers : dict of str to int
        Version in force of each customer.
    members : int
        Number of members that the node holds.
    in_flight : int
        Calls that the backend server is working on.
    load : float
        Work in flight and waiting over the current limit.
    is_leaving : bool
        Whether the node takes no new work.
    has_server : bool
        Whether a backend server is announced.
    late_answers : int
        Answers of other nodes that came when nobody waited for them any more.
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
