"""The log stream from which a starting node discovers the members of a service."""

import msgspec
from loguru import logger

from apricotwalk.core import LogServiceError, WireError, decode_payload
from apricotwalk.logservice import LogService
from apricotwalk.membership._member import Member
from apricotwalk.settings import Address

__all__ = ["Directory"]

MAX_PAGE_COUNT = 16
PAGE_RECORD_COUNT = 1000

_decoder = msgspec.json.Decoder(Member)


class Directory:
    """Writes and reads the directory streams, one per service.

    Parameters
    ----------
    log_service : LogService
        Log service that stores the streams.

    Notes
    -----
    A record holds the address at which a node listened when it registered.  Readers must
    contact the node to find out whether it still listens there.
    """

    def __init__(self, log_service: LogService) -> None:
        self._log_service = log_service

    async def append(self, member: Member) -> None:
        """Append the record of a node to the stream of its service.

        Raises
        ------
        LogServiceError
            If the append failed or its outcome is unknown; repeating it is harmless.
        """
        await self._log_service.append(_stream(member.service), [msgspec.json.encode(member)])

    async def read(self, service: str) -> list[Address]:
        """Return the registered addresses of nodes of `service`, newest record first."""
        members_by_instance: dict[str, Member] = {}
        offset = 0
        for _ in range(MAX_PAGE_COUNT):
            page = await self._log_service.read(_stream(service), offset, PAGE_RECORD_COUNT)
            for record in page.records:
                self._keep_newest(record.value, members_by_instance)
                offset = record.offset + 1
            if not page.records or offset >= page.next_offset:
                break
        return [member.address for member in reversed(members_by_instance.values())]

    async def find(self, service: str) -> list[Address]:
        """Return the result of `read`, or an empty list while the log service is unavailable."""
        try:
            return await self.read(service)
        except LogServiceError:
            return []

    def _keep_newest(self, value: msgspec.Raw, members_by_instance: dict[str, Member]) -> None:
        try:
            member = decode_payload(_decoder, value, "member record")
        except WireError as error:
            logger.warning("{}", error)
            return
        members_by_instance.pop(member.instance, None)
        members_by_instance[member.instance] = member


def _stream(service: str) -> str:
    return f"members-{service}"
