"""Models of the settings file, validated by msgspec."""

import functools
import ipaddress
from typing import Annotated

from msgspec import Meta, Struct

from apricotwalk.core import Mechanism, SettingsError, parse_count

__all__ = ["Address", "KeySettings", "ListenSettings", "NodeSettings", "StatsdSettings"]

AddressText = Annotated[str, Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]


@functools.lru_cache(maxsize=4096)
def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


class Address(Struct, frozen=True, order=True):
    """IP address and port of a network endpoint.

    Parameters
    ----------
    host : str
        Numeric IPv4 or IPv6 address.
    port : int
        TCP or UDP port.

    Raises
    ------
    ValueError
        If the host is not an IP address or the port is out of range.  The check also applies to
        addresses decoded from messages of peers.
    """

    host: str
    port: int

    def __post_init__(self) -> None:
        if not 0 <= self.port < 65536 or not _is_ip_address(self.host):
            raise ValueError(f"address {self.host}:{self.port} is no IP number and port")

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse an address of the form ``host:port``.

        Parameters
        ----------
        text : str
            Address; an IPv6 host is enclosed in brackets.

        Returns
        -------
        Address
            Parsed address, without brackets.

        Raises
        ------
        SettingsError
            If the host is not an IP address or the port is not between 1 and 65535.
        """
        host, _, port = text.rpartition(":")
        try:
            ip = ipaddress.ip_address(host.strip("[]"))
        except ValueError as error:
            raise SettingsError(f"address {text!r}: {host!r} is not an IP number") from error
        try:
            number = parse_count(port, largest=65535)
        except ValueError as error:
            raise SettingsError(
                f"address {text!r}: port {port[:40]!r} is not between 1 and 65535"
            ) from error
        if not number:
            raise SettingsError(f"address {text!r}: port {port!r} is not between 1 and 65535")
        return cls(str(ip), number)

    def __str__(self) -> str:
        """Return the address as ``host:port``."""
        return f"{self.host}:{self.port}"


class KeySettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Shared key that authenticates messages between nodes.

    Parameters
    ----------
    id : str
        Key identifier, sent with each message.
    secret : str
        Secret of 16 to 64 printable ASCII characters without spaces.
    """

    id: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,16}$")]
    secret: Annotated[str, Meta(pattern=r"^[!-~]{16,64}$")]


class ListenSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Addresses on which a node listens.

    Parameters
    ----------
    callers : str
        HTTP address for callers.
    server : str
        HTTP address for the local backend server and the operator's command-line tool.
    peers : str
        Address for other nodes: TCP for calls, UDP for control messages.
    advertised : str, optional
        Address that other nodes use instead of `peers`, for example behind network address
        translation.
    """

    callers: AddressText
    server: AddressText
    peers: AddressText
    advertised: AddressText | None = None


class StatsdSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Destination of StatsD metrics.

    Parameters
    ----------
    address : str
        UDP address of the StatsD collector.
    prefix : str
        Prefix of every metric name.
    """

    address: AddressText
    prefix: Name = "apricotwalk"


class NodeSettings(Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of one node.

    Parameters
    ----------
    instance : str
        Name of the instance on which the node runs.
    availability_zone, region : str
        Location of the instance.
    listen : ListenSettings
        Addresses to listen on.
    log_service : str
        Address of the platform's log service.
    seeds : list of str
        Peer addresses of the nodes to contact first.
    statsd : StatsdSettings, optional
        Destination of metrics; no metrics are sent by default.
    log_level : str
        Minimum severity of the log lines that are written.
    largest_body_bytes : int
        Maximum size of a request or answer body.
    keys : list of KeySettings
        Keys shared by all nodes, newest first; messages are not authenticated if it is empty.
    watched_services : list of str
        Services whose members are looked up at startup instead of at the first call.
    log_retention_seconds : float
        Retention time of records in the log service.
    disabled_mechanisms : list of Mechanism
        Mechanisms that are disabled to demonstrate their effect; empty in production.
    """

    instance: Name
    availability_zone: Name
    listen: ListenSettings
    log_service: AddressText
    region: Name = "region"
    seeds: list[AddressText] = []
    statsd: StatsdSettings | None = None
    log_level: Annotated[str, Meta(pattern="^(TRACE|DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    largest_body_bytes: Annotated[int, Meta(ge=1024, le=67_108_864)] = 1_048_576
    keys: list[KeySettings] = []
    watched_services: list[Name] = []
    log_retention_seconds: Annotated[float, Meta(ge=1.0)] = 86_400.0
    disabled_mechanisms: list[Mechanism] = []
