"""The configuration that is in force on this node."""

from collections.abc import Callable

from apricotwalk.border import KeyedRecord, RouteConfiguration
from apricotwalk.core import RecordError
from apricotwalk.fleet._follower import RecordConsumer
from apricotwalk.routes import RouteTable
from apricotwalk.telemetry import DecisionLog

__all__ = ["ConfigurationHolder"]

# A configuration may have thousands of parts, and one mistake may affect all of them.
MAX_LOGGED_FAULT_COUNT = 10

ConfigurationReader = Callable[[str, bytes], RouteConfiguration | None]


class ConfigurationHolder(RecordConsumer):
    """Holds the newest configuration received from the store or from a peer.

    Parameters
    ----------
    read : callable
        Decodes the key and value of a record; returns None if the key is not that of a
        configuration.
    log : DecisionLog
        Records each version that comes into force.

    Notes
    -----
    A version is replaced only by a newer one, regardless of the order of arrival.
    """

    def __init__(self, read: ConfigurationReader, log: DecisionLog) -> None:
        self._read = read
        self._log = log
        self.table: RouteTable | None = None
        self.key = ""
        self.on_change: Callable[[RouteConfiguration], None] = lambda configuration: None

    @property
    def version(self) -> int:
        """The version in force, or 0 if there is none."""
        return self.table.configuration.version if self.table is not None else 0

    @property
    def current(self) -> RouteConfiguration | None:
        """The configuration in force, or None if there is none."""
        return self.table.configuration if self.table is not None else None

    def apply_record(self, record: KeyedRecord) -> bool:
        """Apply a record of the store; see `RecordConsumer.apply_record`."""
        return record.value is not None and self.apply(record.key, record.value, "store")

    def apply(self, key: str, value: bytes, source: str) -> bool:
        """Put a configuration in force if it is newer, and return whether it was."""
        try:
            configuration = self._read(key, value)
        except RecordError as error:
            self._log.record_rejection(
                "configuration-rejected", key=key, source=source, detail=str(error)
            )
            return False
        if configuration is None or configuration.version <= self.version:
            return False
        previous_version = self.version
        self.table = RouteTable(configuration)
        self.key = key
        self._log.record_state_change(
            "configuration-in-force",
            version=configuration.version,
            former=previous_version,
            source=source,
            routes=len(configuration.routes),
            faults=len(configuration.faults),
        )
        for fault in configuration.faults[:MAX_LOGGED_FAULT_COUNT]:
            self._log.record_rejection(
                "configuration-part-rejected",
                version=configuration.version,
                path=fault.path,
                detail=fault.detail,
            )
        self.on_change(configuration)
        return True
