"""What the backend server beside the node says of itself."""

import asyncio
import time
from typing import Annotated

from msgspec import Meta, Struct

from apricotwalk.admission import AdmissionController
from apricotwalk.core import (
    ALL_ON,
    CallFailure,
    Mechanism,
    MechanismSwitches,
    PauseDetector,
    Service,
    SettingsError,
    Supervisor,
    Verdict,
)
from apricotwalk.membership import Membership
from apricotwalk.serving import BackendClient, Executor
from apricotwalk.settings import Address
from apricotwalk.telemetry import EventLog

__all__ = ["Announcement", "ServerRegistry"]

ANNOUNCEMENT_EXPIRY_SECONDS = 3.0
EXPIRY_CHECK_SECONDS = 0.25


class Announcement(Struct, forbid_unknown_fields=True, frozen=True):
    """A backend server's statement about itself, repeated every second.

    Parameters
    ----------
    service : str
        Service that it offers.
    address : str
        Where it listens.
    slots : int
        How many requests it can run at once.
    load : float
        Share of its slots that it says are occupied; only a hint.
    """

    service: Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
    address: str
    slots: Annotated[int, Meta(ge=1, le=100_000)]
    load: Annotated[float, Meta(ge=0.0, le=1000.0)] = 0.0


class ServerRegistry(Service):
    """Connects the executor to the backend server that has announced itself.

    Parameters
    ----------
    executor : Executor
        Runs calls on the backend server.
    admission : AdmissionController
        Learns the number of slots.
    membership : Membership
        Tells other nodes.
    events : EventLog
        Receives arrivals and losses.
    largest_body_bytes : int
        Limit handed to the backend client.
    switches : MechanismSwitches
        Mechanisms that are on.
    """

    def __init__(
        self,
        executor: Executor,
        admission: AdmissionController,
        membership: Membership,
        events: EventLog,
        largest_body_bytes: int,
        switches: MechanismSwitches = ALL_ON,
    ) -> None:
        self._switches = switches
        self._executor = executor
        self._admission = admission
        self._membership = membership
        self._events = events
        self._largest_body_bytes = largest_body_bytes
        self._last_announced = 0.0
        self._supervisor = Supervisor("server-registry")
        self._is_stopping = False
        executor.on_server_lost = self._forget_server

    async def start(self) -> None:
        """Begin to watch for announcements that stop."""
        self._supervisor.run_loop("expiry", self._watch_expiry)

    async def close(self) -> None:
        """Stop and close the connections to the backend server."""
        await self._supervisor.close()
        if self._executor.backend is not None:
            await self._executor.backend.close()

    async def announce(self, announcement: Announcement) -> None:
        """Take note of an announcement.

        Raises
        ------
        CallFailure
            If its address is no IP number and port.
        """
        try:
            address = Address.parse(announcement.address)
        except SettingsError as error:
            raise CallFailure(Verdict.NOT_RUN, "malformed-announcement", str(error), 400) from error
        self._last_announced = time.monotonic()
        self._admission.set_slots(announcement.slots)
        self._executor.reported_load = announcement.load
        backend = self._executor.backend
        if backend is None or backend.address != address:
            self._executor.backend = BackendClient(
                address, self._largest_body_bytes, self._switches
            )
            self._events.announce("server-announced", service=announcement.service)
        if not self._executor.is_leaving:
            self._membership.announce(announcement.service)

    def stop(self) -> None:
        """Take no new work until this node ends, whichever server is announced."""
        self._is_stopping = True
        self.leave()

    def leave(self) -> None:
        """Take no new work from now on; work in flight goes on."""
        if self._executor.is_leaving or not self._switches.is_on(Mechanism.DRAIN):
            return
        self._executor.leave()
        self._membership.leave()
        self._events.announce("server-leaving")

    async def _watch_expiry(self) -> None:
        pauses = PauseDetector(
            EXPIRY_CHECK_SECONDS, self._switches.is_on(Mechanism.FREEZE_DETECTION)
        )
        while True:
            await asyncio.sleep(EXPIRY_CHECK_SECONDS)
            if pauses.was_paused():
                self._last_announced = time.monotonic()
            silent = time.monotonic() - self._last_announced
            if self._executor.backend is not None and silent > ANNOUNCEMENT_EXPIRY_SECONDS:
                await self._lose_server()

    async def _lose_server(self) -> None:
        backend = self._executor.backend
        self._forget_server()
        if backend is not None:
            await backend.close()

    def _forget_server(self) -> None:
        """Stop using a server that is gone until one announces itself again."""
        if self._executor.backend is None:
            return
        self._executor.backend.drop_idle()
        self._executor.backend = None
        self._events.announce("server-lost")
        if self._is_stopping:
            return
        self._executor.is_leaving = False
        self._membership.announce("")
