"""Interface between a node and the adapter of its platform."""

from abc import ABC, abstractmethod

from apricotwalk.border._configuration import RouteConfiguration
from apricotwalk.border._fields import HeaderFieldNames
from apricotwalk.border._heartbeats import HeartbeatReader
from apricotwalk.border._settings import MeshSettings
from apricotwalk.border._store import KeyedStream

__all__ = ["Platform"]


class Platform(ABC):
    """Translates between a node and the formats of its platform.

    Parameters
    ----------
    settings : MeshSettings
        Settings of the node when the platform was opened.
    fields : HeaderFieldNames
        Names of the HTTP header fields that the platform uses.
    heartbeats : HeartbeatReader
        Decodes the calls of backend servers to the heartbeat address.
    readiness_path : str
        Path on which the platform queries the node's readiness.
    """

    settings: MeshSettings
    fields: HeaderFieldNames
    heartbeats: HeartbeatReader
    readiness_path: str

    @abstractmethod
    def load_settings(self) -> MeshSettings:
        """Read the current settings of the node.

        Raises
        ------
        SettingsError
            If the settings are unreadable; the message names the line and field.
        """

    @abstractmethod
    def open_configuration_stream(self) -> KeyedStream:
        """Open the stream that holds the operator's configuration."""

    @abstractmethod
    def decode_configuration(self, record_key: str, value: bytes) -> RouteConfiguration | None:
        """Decode a record of the configuration stream.

        Parameters
        ----------
        record_key : str
            Key of the record.
        value : bytes
            Content of the record.

        Returns
        -------
        RouteConfiguration or None
            The configuration, or None if the key is not that of a configuration.

        Raises
        ------
        RecordError
            If the record is malformed; the message names the field.
        """

    @abstractmethod
    def open_membership_stream(self) -> KeyedStream:
        """Open the stream in which nodes publish their membership records."""

    @abstractmethod
    def close(self) -> None:
        """Close the connections to the store."""
