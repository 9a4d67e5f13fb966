"""Everything a node is given by the adapter of its platform."""

from abc import ABC, abstractmethod

from apricotwalk.border._configuration import RouteConfiguration
from apricotwalk.border._fields import HeaderFieldNames
from apricotwalk.border._heartbeats import HeartbeatReader
from apricotwalk.border._settings import MeshSettings
from apricotwalk.border._store import KeyedStream

__all__ = ["Platform"]


class Platform(ABC):
    """Translates between a node and its platform.

    Parameters
    ----------
    settings : MeshSettings
        Settings of the node.
    fields : FieldNames
        Names of header fields.
    heartbeats : HeartbeatReader
        Reads the calls of backend servers.
    readiness_path : str
        Path on which readiness is asked for.
    """

    settings: MeshSettings
    fields: HeaderFieldNames
    heartbeats: HeartbeatReader
    readiness_path: str

    @abstractmethod
    def load_settings(self) -> MeshSettings:
        """Return the settings as they are now.

        Raises
        ------
        SettingsError
            If the settings are unreadable, naming the line and field.
        """

    @abstractmethod
    def open_configuration_stream(self) -> KeyedStream:
        """Return the stream that holds the operator's configuration."""

    @abstractmethod
    def decode_configuration(self, record_key: str, value: bytes) -> RouteConfiguration | None:
        """Return a configuration, or None if the record is about something else.

        Raises
        ------
        RecordError
            If the record is malformed, naming the field.
        """

    @abstractmethod
    def open_membership_stream(self) -> KeyedStream:
        """Return the stream in which nodes keep their membership records."""

    @abstractmethod
    def close(self) -> None:
        """Release the connections to the store."""
