"""The control messages that spread configuration."""

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
        Its place in the stream.
    value : bytes
        Its JSON text as it stands in the log.
    """

    offset: int
    value: bytes


class VersionMessage(Struct, frozen=True, array_like=True, tag=1):
    """Says how far the sender has come.

    Parameters
    ----------
    next_offset : int
        The first offset that it has not applied.
    log_age_ms : int
        Time in milliseconds since some node read the log to its end at that offset.
    is_question : bool
        Whether an answer is wanted.
    rounds : int
        How many nodes pushed the ages before; 0 if they are not pushed.
    failure_age_ms : int or None
        Time in milliseconds since some node failed to read the log, or None if nobody has
        failed since the last read.
    """

    next_offset: int
    log_age_ms: int
    is_question: bool
    rounds: int = 0
    failure_age_ms: int | None = None


class PullMessage(Struct, frozen=True, array_like=True, tag=2):
    """Asks for the records from an offset on.

    Parameters
    ----------
    from_offset : int
        The first offset that is missing.
    """

    from_offset: int


class RecordsMessage(Struct, frozen=True, array_like=True, tag=3):
    """Carries consecutive records.

    Parameters
    ----------
    records : list of SpreadRecord
        In order of offset.
    next_offset : int
        How far the sender has come.
    log_age_ms : int
        See `VersionMessage`.
    rounds : int
        How many nodes pushed them before; 0 if they were asked for.
    """

    records: list[ConfigurationRecord]
    next_offset: int
    log_age_ms: int
    rounds: int


class SnapshotPullMessage(Struct, frozen=True, array_like=True, tag=4):
    """Asks for a part of a snapshot.

    Parameters
    ----------
    next_offset : int
        Which snapshot, or 0 for the newest.
    part : int
        Which part, from 0 on.
    """

    next_offset: int
    part: int


class SnapshotPartMessage(Struct, frozen=True, array_like=True, tag=5):
    """Carries a part of a snapshot.

    Parameters
    ----------
    next_offset : int
        Which snapshot.
    part, parts : int
        Which part of how many.
    content : bytes
        The part.
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
    """Return the message written as MessagePack.

    Raises
    ------
    WireError
        If the body is malformed.
    """
    return decode_payload(_decoder, body, "configuration message")
