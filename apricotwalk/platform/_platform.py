"""Implementation of `Platform` for the external platform."""

from pathlib import Path

from apricotwalk.border import (
    HeartbeatReader,
    KeyedStream,
    MeshSettings,
    Platform,
    RouteConfiguration,
)
from apricotwalk.platform._configuration import decode_configuration
from apricotwalk.platform._heartbeats import StatusReportReader
from apricotwalk.platform._names import (
    CONFIGURATION_KEY,
    HEADER_FIELD_NAMES,
    MEMBERS_TOPIC,
    OPERATOR_TOPIC,
    READINESS_PATH,
)
from apricotwalk.platform._settings import read_settings_file, settings_path
from apricotwalk.platform._store import StoreClient

__all__ = ["ExternalPlatform", "open_platform"]


class ExternalPlatform(Platform):
    """Adapter between the node of one instance and the external platform.

    Parameters
    ----------
    path : str or Path
        Path of the settings file.

    Raises
    ------
    SettingsError
        If the settings are unreadable; the message names the line and field.
    """

    def __init__(self, path: str | Path) -> None:
        self._path = path
        self.settings = self.load_settings()
        self.fields = HEADER_FIELD_NAMES
        self.heartbeats: HeartbeatReader = StatusReportReader()
        self.readiness_path = READINESS_PATH
        self._store = StoreClient(self.settings.store)

    def load_settings(self) -> MeshSettings:
        """Read the current settings; see `Platform.load_settings`."""
        return read_settings_file(self._path)

    def open_configuration_stream(self) -> KeyedStream:
        """Open the operator's stream; see `Platform.open_configuration_stream`."""
        return self._store.open(OPERATOR_TOPIC)

    def decode_configuration(self, record_key: str, value: bytes) -> RouteConfiguration | None:
        """Decode a configuration record; see `Platform.decode_configuration`."""
        return decode_configuration(value) if record_key == CONFIGURATION_KEY else None

    def open_membership_stream(self) -> KeyedStream:
        """Open the stream of membership records; see `Platform.open_membership_stream`."""
        return self._store.open(MEMBERS_TOPIC)

    def close(self) -> None:
        """Close the connections to the store; see `Platform.close`."""
        self._store.close()


def open_platform() -> ExternalPlatform:
    """Open the platform with the settings file that the environment names.

    Returns
    -------
    ExternalPlatform
        The platform of this instance.

    Raises
    ------
    SettingsError
        If the settings are unreadable; the message names the line and field.
    """
    return ExternalPlatform(settings_path())
