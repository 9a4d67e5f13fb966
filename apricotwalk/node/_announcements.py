"""Announcements of the local backend server, and their expiry."""

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
EXPIRY_CHECK_INTERVAL_SECONDS = 0.25


class Announcement(Struct, forbid_unknown_fields=True, frozen=True):
    """Periodic self-report of a backend server, sent once per second.

    Parameters
    ----------
    service : str
        Service that the server provides.
    address : str
        IP address and port on which the server listens.
    slots : int
        Number of requests that the server can run concurrently.
    load : float
        Fraction of its slots that the server reports as occupied; advisory only.
    """

    service: Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
    address: str
    slots: Annotated[int, Meta(ge=1, le=100_000)]
    load: Annotated[float, Meta(ge=0.0, le=1000.0)] = 0.0


class ServerRegistry(Service):
    """Connects the executor to the announced backend server until its announcements expire.

    Parameters
    ----------
    executor : Executor
        Runs calls on the backend server.
    admission : AdmissionController
        Updated with the announced number of slots.
    membership : Membership
        Publishes the service of this node to other nodes.
    events : EventLog
        Records that a server was announced, is leaving or was lost.
    max_body_bytes : int
        Size limit for the body of an answer; a larger one is rejected.
    switches : MechanismSwitches
        Mechanisms that are enabled.
    """

    def __init__(
        self,
        executor: Executor,
        admission: AdmissionController,
        membership: Membership,
        events: EventLog,
        max_body_bytes: int,
        switches: MechanismSwitches = ALL_ON,
    ) -> None:
        self._switches = switches
        self._executor = executor
        self._admission = admission
        self._membership = membership
        self._events = events
        self._max_body_bytes = max_body_bytes
        self._last_announced_at = 0.0
        self._supervisor = Supervisor("server-registry")
        self._is_stopping = False
        executor.on_server_lost = self._clear_server

    async def start(self) -> None:
        """Start the periodic check for expired announcements."""
        self._supervisor.run_loop("expiry", self._run_expiry_checks)

    async def close(self) -> None:
        """Stop the expiry check and close the connections to the backend server."""
        await self._supervisor.close()
        if self._executor.backend is not None:
            await self._executor.backend.close()

    async def announce(self, announcement: Announcement) -> None:
        """Update the executor, the admission limits and the membership from an announcement.

        Parameters
        ----------
        announcement : Announcement
            Latest self-report of the backend server.

        Raises
        ------
        CallFailure
            If the announced address is not an IP address and port.
        """
        try:
            address = Address.parse(announcement.address)
        except SettingsError as error:
            raise CallFailure(Verdict.NOT_RUN, "malformed-announcement", str(error), 400) from error
        self._last_announced_at = time.monotonic()
        self._admission.set_slots(announcement.slots)
        self._executor.reported_load = announcement.load
        backend = self._executor.backend
        if backend is None or backend.address != address:
            self._executor.backend = BackendClient(address, self._max_body_bytes, self._switches)
            self._events.record_state_change("server-announced", service=announcement.service)
        if not self._executor.is_leaving:
            self._membership.announce(announcement.service)

    def stop(self) -> None:
        """Stop accepting work until the process exits, even if a new server is announced."""
        self._is_stopping = True
        self.leave()

    def leave(self) -> None:
        """Stop accepting work; calls in flight continue.

        Notes
        -----
        Does nothing if the drain mechanism is disabled or the server is already leaving.
        """
        if self._executor.is_leaving or not self._switches.is_on(Mechanism.DRAIN):
            return
        self._executor.leave()
        self._membership.leave()
        self._events.record_state_change("server-leaving")

    async def _run_expiry_checks(self) -> None:
        pauses = PauseDetector(
            EXPIRY_CHECK_INTERVAL_SECONDS, self._switches.is_on(Mechanism.FREEZE_DETECTION)
        )
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_SECONDS)
            if pauses.was_paused():
                self._last_announced_at = time.monotonic()
            silent_seconds = time.monotonic() - self._last_announced_at
            if self._executor.backend is not None and silent_seconds > ANNOUNCEMENT_EXPIRY_SECONDS:
                await self._disconnect_server()

    async def _disconnect_server(self) -> None:
        backend = self._executor.backend
        self._clear_server()
        if backend is not None:
            await backend.close()

    def _clear_server(self) -> None:
        """Remove the lost backend server; the next announcement connects a new one."""
        if self._executor.backend is None:
            return
        self._executor.backend.drop_idle()
        self._executor.backend = None
        self._events.record_state_change("server-lost")
        if self._is_stopping:
            return
        self._executor.is_leaving = False
        self._membership.announce("")
