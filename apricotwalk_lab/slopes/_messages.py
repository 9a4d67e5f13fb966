"""Messages between a run and its light nodes, and the figures that a run prints."""

from msgspec import Struct

__all__ = ["LightNodeSettings", "OutageFigures", "Report", "SizeFigures"]


class LightNodeSettings(Struct, frozen=True):
    """Settings of a light node, passed as JSON on its command line.

    Parameters
    ----------
    instance, availability_zone, region : str
        Name and location of the node.
    service : str
        Service that the node offers.
    called_services : list of str
        Services whose members the node uses.
    peers : str
        UDP address on which the node receives control messages.
    seeds : list of str
        Addresses of the nodes to contact first.
    log_service : str
        Address of the stand-in log service.
    collector : str
        UDP address that receives the reports of the node.
    loss : float
        Share of received datagrams that are dropped, between 0 and 1.
    rule : str
        Name of the gossip rule for configuration; a key of `RULES_BY_NAME`.
    far_peers : list of str
        Addresses of nodes in other regions, whose datagrams are dropped during a partition.
    seed : int
        Seed of the random numbers of membership and configuration.
    """

    instance: str
    availability_zone: str
    region: str
    service: str
    called_services: list[str]
    peers: str
    seeds: list[str]
    log_service: str
    collector: str
    loss: float
    rule: str
    far_peers: list[str]
    seed: int


class Report(Struct, array_like=True):
    """State of a light node, sent to the collector.

    Parameters
    ----------
    instance : str
        Name of the node.
    received_bytes, received_datagrams : int
        Control traffic received since the start, IP and UDP headers included.
    sent_bytes : int
        Bytes of control datagrams sent since the start, without IP and UDP headers.
    payload_messages : int
        Number of messages with configuration records sent since the start.
    known_members : int
        Number of members that the node knows.
    in_force_at : float
        Monotonic time in seconds at which the newest version came into force.
    version : int
        Version in force of the customer that the run changes.
    used_members : int
        Number of members of called services that are in use.
    lost_at_by_instance, found_at_by_instance : dict of str to float
        Monotonic time in seconds at which a member of a called service last went out of use,
        and at which it last came into use.
    """

    instance: str
    received_bytes: int
    received_datagrams: int
    sent_bytes: int
    payload_messages: int
    known_members: int
    in_force_at: float
    version: int
    used_members: int
    lost_at_by_instance: dict[str, float]
    found_at_by_instance: dict[str, float]


class SizeFigures(Struct):
    """Figures of one fleet size.

    Parameters
    ----------
    nodes : int
        Number of node processes.
    loss : float
        Share of received datagrams that are dropped, between 0 and 1.
    rule : str
        Name of the gossip rule for configuration.
    called : int
        Number of services that each node calls.
    bytes_per_second : float
        Mean rate of control bytes received by an idle node, IP and UDP headers included.
    datagrams_per_second : float
        Mean rate of control datagrams received by an idle node.
    cpu_percent : float
        Mean share of one core that an idle node uses, in percent.
    resident_megabytes : float
        Mean resident memory of a node process, in units of 1,000,000 bytes.
    known_members : float
        Mean number of members that a node knows.
    in_force_seconds : list of float
        Time from the append of each change until it is in force on every node.
    payloads_per_change : float
        Mean number of messages with configuration records that a node sends for one change.
    log_reads_per_second, log_appends_per_second : float
        Requests of all idle nodes to the log service.
    killed_out_of_use_seconds : list of float
        Time from the kill of each node until none of its callers uses it; infinite if that took
        longer than 15 s.
    frozen_out_of_use_seconds, woken_in_use_seconds : float
        Time from the freeze of a node until none of its callers uses it, and from its resumption
        until all of them use it again; infinite if that took longer than 15 s.
    machine_idle_percent : float
        Idle share of the machine while the nodes are idle, in percent.
    """

    nodes: int
    loss: float
    rule: str
    called: int
    bytes_per_second: float
    datagrams_per_second: float
    cpu_percent: float
    resident_megabytes: float
    known_members: float
    in_force_seconds: list[float]
    payloads_per_change: float
    log_reads_per_second: float
    log_appends_per_second: float
    killed_out_of_use_seconds: list[float]
    frozen_out_of_use_seconds: float
    woken_in_use_seconds: float
    machine_idle_percent: float


class OutageFigures(Struct):
    """Request load of light nodes on a log service that is down, and recovery after it.

    Parameters
    ----------
    nodes : int
        Number of node processes.
    refused_at_onset : int
        Number of refused requests of all nodes in the first 6 s.
    refused_per_second : float
        Rate of refused requests of all nodes in the 20 s after that.
    in_force_seconds : float
        Time from a change that is published after the outage until it is in force on every
        node.
    """

    nodes: int
    refused_at_onset: int
    refused_per_second: float
    in_force_seconds: float
