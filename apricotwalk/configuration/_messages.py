"""Control messages for the gossip of configuration."""

import msgspec
from msgspec import Struct

from apricotwalk.core import decode_payload

__all__ = [
    "ConfigurationMessage",
    "PullMessage",
    "RecordsMessage",
    "SnapshotPartMessage",
    "SnapshotPullMessage",
    "ConfigurationRecord",
    "VersionMessage",
    "decode_configuration",
]


class ConfigurationRecord(Struct, frozen=True, array_like=True):
    """A record of the configuration stream.

    Parameters
    ----------
    offset : int
        Offset of the record in the stream.
    value : bytes
        JSON text of the record, as stored in the log.
    """

    offset: int
    value: bytes


class VersionMessage(Struct, frozen=True, array_like=True, tag=1):
    """Reports how far the sender has applied the stream.

    Parameters
    ----------
    next_offset : int
        The first offset that the sender has not applied.
    log_age_ms : int
        Time in milliseconds since some node read the log to its end at `next_offset`.
    is_question : bool
        Whether the receiver should answer.
    rounds : int
        Number of nodes that have pushed these ages so far, the sender included; 0 if they are
        not pushed.
    failure_age_ms : int or None
        Time in milliseconds since some node failed to read the log, or None if no read has
        failed since the last successful one.
    """

    next_offset: int
    log_age_ms: int
    is_question: bool
    rounds: int = 0
    failure_age_ms: int | None = None


class PullMessage(Struct, frozen=True, array_like=True, tag=2):
    """Requests the records from an offset on.

    Parameters
    ----------
    from_offset : int
        The first offset that the sender has not applied.
    """

    from_offset: int


class RecordsMessage(Struct, frozen=True, array_like=True, tag=3):
    """Carries consecutive records.

    Parameters
    ----------
    records : list of ConfigurationRecord
        Records in ascending order of offset.
    next_offset : int
        The first offset that the sender has not applied.
    log_age_ms : int
        See `VersionMessage`.
    rounds : int
        Number of nodes that have pushed the records so far, the sender included; 0 if the
        records were requested.
    """

    records: list[ConfigurationRecord]
    next_offset: int
    log_age_ms: int
    rounds: int


class SnapshotPullMessage(Struct, frozen=True, array_like=True, tag=4):
    """Requests one part of a snapshot.

    Parameters
    ----------
    next_offset : int
        Offset at which the snapshot ends, or 0 to request the newest snapshot.
    part : int
        Index of the part, starting at 0.
    """

    next_offset: int
    part: int


class SnapshotPartMessage(Struct, frozen=True, array_like=True, tag=5):
    """Carries one part of a snapshot.

    Parameters
    ----------
    next_offset : int
        Offset at which the snapshot ends.
    part, parts : int
        Index of the part, starting at 0, and the number of parts.
    content : bytes
        The bytes of the part.
    """

    next_offset: int
    part: int
    parts: int
    content: bytes


ConfigurationMessage = (
    VersionMessage | PullMessage | RecordsMessage | SnapshotPullMessage | SnapshotPartMessage
)

_decoder: "msgspec.msgpack.Decoder[ConfigurationMessage]" = msgspec.msgpack.Decoder(
    ConfigurationMessage
)


def decode_configuration(body: bytes) -> ConfigurationMessage:
    """Decode a configuration message from MessagePack.

    Raises
    ------
    WireError
        If the body is malformed.
    """
    return decode_payload(_decoder, body, "configuration message")
