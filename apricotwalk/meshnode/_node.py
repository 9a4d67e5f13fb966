"""The supervisor tree of a node in a mesh."""

import asyncio
import random
import time
from contextlib import suppress

from apricotwalk.admission import AnnouncedLimit, RankQueueController
from apricotwalk.border import MeshSettings, Platform, RouteConfiguration
from apricotwalk.core import (
    CallFailure,
    Mechanism,
    Service,
    SettingsError,
    Supervisor,
    SystemClock,
)
from apricotwalk.fleet import (
    ConfigurationHolder,
    FleetMembers,
    ReadingSchedule,
    StreamFollower,
)
from apricotwalk.forwarding import (
    BackendPool,
    BackendRegistry,
    Forwarder,
    IngressHandler,
    RetryAfterPolicy,
    RetryAllowance,
    ServerSideExecutor,
)
from apricotwalk.http1 import HttpLimits, HttpListener
from apricotwalk.membership import Member, MemberState
from apricotwalk.meshnode._peers import MeshPeerHandler
from apricotwalk.meshnode._ports import HeartbeatPort, MetricsPort, ReadinessPort
from apricotwalk.meshnode._probe import probe_backend
from apricotwalk.metrics import MeshMetrics
from apricotwalk.peering import (
    MembersMessage,
    MembersRequest,
    PeerLinks,
    PeerListener,
    SuspectsMessage,
)
from apricotwalk.quarantine import CrashWatch, QuarantineRegistry
from apricotwalk.routes import ServiceSplitter
from apricotwalk.routing import TargetSelector
from apricotwalk.telemetry import DecisionLog

__all__ = ["MeshNode"]

# Calls on the platform name neither customers nor the request that they are part of.
UNUSED_MECHANISMS = (Mechanism.EARLY_SHEDDING, Mechanism.FAIR_SHARES)
# Requests of one kind can be alike, and several servers can crash by other causes while they run.
CRASH_LIMIT = 3
# All connections may go silent at once, and then no peer knows better; the rest of the bound is
# for the answer that does not come and for the next read.
CONFIGURATION_WAIT_SHARE = 0.6
# A stale view of members costs a hop, so their stream is read less often.
MEMBERS_WAIT_SECONDS = 5.0
# Entries that lapsed are back within two seconds of the store, and peers tell most of them.
MEMBERS_POLL_GAP_SECONDS = 1.0
# So that the longest gap that chance makes stays below the bound for a configuration, 2 s.
CONFIGURATION_POLL_GAP_SECONDS = 0.15
# Each node passes a change on so often once, the first time that it hears of it: a change then
# reaches all but one in fifty nodes, which learn it from the digests in pings.
CHANGE_FANOUT = 4
# A node without traffic hears of changes over connections of its own; with two, one may fail.
LEAST_PEER_COUNT = 2
PEER_CHECK_SECONDS = 0.3
# A version is announced by a ping, which costs less than the version itself.
VERSION_FANOUT = 8
MICROSECONDS_PER_SECOND = 1_000_000
# Two questions for readiness, one second apart, have to find the node not ready before callers
# stay away.
LEAVE_NOTICE_SECONDS = 2.3
# What is left of the stop time for closing connections.
STOP_MARGIN_SECONDS = 0.5
# A tenth of the 200 ms after which a request counts as cut.
STOP_CHECK_SECONDS = 0.02
# Settings that change without a signal are in use within the bound of a configuration.
SETTINGS_CHECK_SECONDS = 2.0
# Seeds start within 0.3 s of this node and need half a second until they answer.
SEED_RETRY_SECONDS = 1.0


class MeshNode(Service):
    """One node beside one backend server.

    Parameters
    ----------
    platform : Platform
        The adapter.

    Notes
    -----
    The tree: decision log, directory and configuration, links and listeners, started in this
    order and closed in reverse.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self.settings: MeshSettings = platform.settings
        self._clock = SystemClock()
        self._random = random.Random()
        settings = self.settings
        self.log = DecisionLog(settings.instance, settings.availability_zone, self._clock)
        self.metrics = MeshMetrics()
        self.configuration = ConfigurationHolder(platform.read_configuration, self.log)
        self.members = self._build_members()
        self._peers = MeshPeerHandler(self.members, self.configuration)
        self.links = PeerLinks(self.members.own, self._peers, self._random)
        self.registry = BackendRegistry(settings, self.log, self._clock)
        self.admission = RankQueueController(self._clock, UNUSED_MECHANISMS, limit=AnnouncedLimit())
        self.allowance = RetryAllowance(
            settings.bounds.retry_ratio,
            settings.bounds.retry_allowance,
            settings.bounds.retry_window_seconds,
            self._clock,
        )
        self.pool = BackendPool(
            settings.backend,
            platform.fields.request_id,
            (
                platform.fields.signature,
                platform.fields.not_run,
                platform.fields.load,
                platform.fields.server_incarnation,
                "Content-Encoding",
            ),
        )
        self.quarantine = QuarantineRegistry(self._clock, CRASH_LIMIT)
        crash_watch = CrashWatch(settings.instance, self.quarantine, self._spread_suspects)
        self.server_side = ServerSideExecutor(
            self.registry,
            self.pool,
            self.admission,
            self.allowance,
            crash_watch,
            platform.fields,
            self.log,
            self.metrics,
        )
        self._peers.server_side = self.server_side
        self._peers.quarantine = self.quarantine
        self._splitter = ServiceSplitter(self._random)
        self._peer_listener = PeerListener(settings.peers, self._peers)
        self._callers = self._build_caller_listener()
        self.is_stopping = False
        self._tellings: set[asyncio.Task[None]] = set()
        self._supervisor = Supervisor("mesh node")
        self._add_services()

    @property
    def is_ready(self) -> bool:
        """Whether callers should send work to this node."""
        return not self.is_stopping and self.configuration.table is not None

    async def start(self) -> None:
        """Start every service."""
        self.registry.on_change = self._take_server_change
        self.members.on_own_change = self._tell_own
        self.members.on_member_change = self._pass_on
        self.configuration.on_change = self._take_configuration
        await self._supervisor.start()
        self._supervisor.run_loop("probe", self._probe_backend)
        self._supervisor.run_loop("settings", self._watch_settings)
        self._supervisor.run_loop("peers", self._keep_peers)
        if self.settings.seeds:
            self._supervisor.run_loop("seeds", self._ask_seeds)
        self.log.believe(
            "node-started",
            service=self.settings.service,
            region=self.settings.region,
            incarnation=self.members.own.incarnation,
        )

    async def drain(self) -> None:
        """Stop taking work, and answer everything that was read.

        Notes
        -----
        Callers may go on using open connections, so connections without a request are closed
        as soon as callers had the time to notice that the node is not ready.
        """
        self.log.believe("node-stopping")
        began = time.monotonic()
        self.is_stopping = True
        self.members.announce(MemberState.LEAVING, "this node stops")
        self._peer_listener.send_go_away()
        self._callers.start_draining()
        await asyncio.sleep(LEAVE_NOTICE_SECONDS)
        self._callers.stop_listening()
        give_up = began + self.settings.bounds.stop_seconds - STOP_MARGIN_SECONDS
        while time.monotonic() < give_up:
            self._callers.close_idle()
            if not self.is_busy:
                return
            await asyncio.sleep(STOP_CHECK_SECONDS)

    async def close(self) -> None:
        """Close every service."""
        self._callers.stop_listening()
        self.log.believe("node-stopped", is_busy=self.is_busy)
        await self._supervisor.close()
        self._platform.close()

    def reload(self) -> None:
        """Read the settings again and use what may change while the node runs."""
        try:
            settings = self._platform.load_settings()
        except SettingsError as error:
            self.log.believe("settings-rejected", detail=str(error))
            return
        if settings == self.settings:
            self.log.believe("settings-reloaded", changed=False)
            return
        self.settings = settings
        self.registry.settings = settings
        self.pool.address = settings.backend
        self._forwarder.caller_service = settings.service
        self.log.believe("settings-reloaded", changed=True, service=settings.service)

    @property
    def is_busy(self) -> bool:
        """Whether any request is in work."""
        return self._callers.is_busy or self._peer_listener.calls_in_flight > 0

    def _build_members(self) -> FleetMembers:
        settings = self.settings
        own = Member(
            instance=settings.instance,
            service=settings.service,
            availability_zone=settings.availability_zone,
            region=settings.region,
            address=settings.peers,
            incarnation=int(time.time() * MICROSECONDS_PER_SECOND),
            state=MemberState.DEAD,
        )
        return FleetMembers(own, self._platform.open_members(), self.log, self._clock, self._random)

    def _build_caller_listener(self) -> HttpListener:
        fields = self._platform.fields
        selector = TargetSelector(self.settings.availability_zone, self._random, self._clock)
        self._forwarder = Forwarder(
            self.members,
            selector,
            self.links,
            self.server_side,
            self.quarantine,
            self.log,
            self.settings.service,
        )
        entry = IngressHandler(
            self.configuration,
            self._splitter,
            self._forwarder,
            RetryAfterPolicy(self._random),
            fields,
            self.log,
            self.metrics,
        )
        return HttpListener(
            self.settings.callers,
            entry.answer,
            captured_fields=("Host", fields.request_id, fields.deadline_ms),
            dropped_fields=(
                fields.request_id,
                fields.deadline_ms,
                fields.caller_service,
                fields.expected_server,
            ),
            requires_host=True,
        )

    def _add_services(self) -> None:
        platform, settings = self._platform, self.settings
        configuration_wait = CONFIGURATION_WAIT_SHARE * settings.bounds.configuration_seconds
        self._supervisor.add(self.log)
        self._supervisor.add(
            StreamFollower(
                "configuration",
                platform.open_configuration(),
                self.configuration,
                self.log,
                self._random,
                self._build_schedule(configuration_wait, CONFIGURATION_POLL_GAP_SECONDS),
            )
        )
        self._supervisor.add(
            StreamFollower(
                "members",
                platform.open_members(),
                self.members,
                self.log,
                self._random,
                self._build_schedule(MEMBERS_WAIT_SECONDS, MEMBERS_POLL_GAP_SECONDS),
            )
        )
        self._supervisor.add(self.members)
        self._supervisor.add(self.links)
        self._supervisor.add(self.pool)
        self._supervisor.add(self._peer_listener)
        heartbeats = HeartbeatPort(platform.heartbeats, self.registry, self.log)
        readiness = ReadinessPort(platform.readiness_path, lambda: self.is_ready)
        metrics = MetricsPort(self.metrics, self._refresh_gauges)
        self._supervisor.add(HttpListener(settings.heartbeats, heartbeats.answer))
        self._supervisor.add(HttpListener(settings.metrics, metrics.answer))
        self._supervisor.add(self._callers)
        self._supervisor.add(HttpListener(settings.readiness, readiness.answer))

    def _build_schedule(self, wait_seconds: float, poll_gap_seconds: float) -> ReadingSchedule:
        return ReadingSchedule(
            self.settings.instance,
            self._live_members,
            wait_seconds,
            poll_gap_seconds,
            self._random,
        )

    def _live_members(self) -> list[Member]:
        """Return this node and the members that neither say that they end nor are unreachable."""
        return [
            member
            for member in self.members.all_members()
            if member.instance == self.settings.instance
            or (member.state is MemberState.ALIVE and self.links.is_reachable(member.address))
        ]

    def _take_server_change(self) -> None:
        registry = self.registry
        if registry.current is not None:
            self.admission.set_slots(registry.current.slots)
        if self.is_stopping:
            return
        if registry.is_leaving:
            self.members.announce(MemberState.LEAVING, "the backend server leaves")
        elif registry.current is None:
            self.members.announce(MemberState.DEAD, "no backend server is known")
        else:
            self.members.announce(MemberState.ALIVE, "the backend server is ready")

    def _spread_suspects(self, service: str) -> None:
        """Tell the nodes beside servers of the same service, which refuse what is quarantined."""
        suspects = self.quarantine.suspects()
        self.log.believe("server-crashed", service=service, suspects=len(suspects))
        for member in self.members.all_members():
            if member.service == service and member.instance != self.settings.instance:
                telling = asyncio.get_running_loop().create_task(
                    self._tell_suspects(member, SuspectsMessage(suspects))
                )
                self._tellings.add(telling)
                telling.add_done_callback(self._tellings.discard)

    async def _tell_suspects(self, member: Member, message: SuspectsMessage) -> None:
        try:
            await self.links.send_to(member.address, message)
        except CallFailure as failure:
            # What it would have refused is told again with each request and reply.
            self.log.believe("suspects-untold", member=member.instance, detail=str(failure))

    def _tell_own(self, own: Member) -> None:
        self.links.own = own
        message = MembersMessage([own])
        self.links.broadcast(message)
        self._peer_listener.broadcast(message)

    def _pass_on(self, member: Member) -> None:
        """Tell a few peers of a change that this node has just heard of."""
        self.links.send_to_random(MembersMessage([member]), CHANGE_FANOUT)

    def _take_configuration(self, configuration: RouteConfiguration) -> None:
        self.links.ping_random(VERSION_FANOUT)
        limits = configuration.limits
        self._callers.limits = HttpLimits(
            limits.largest_head_bytes,
            limits.largest_body_bytes,
            limits.head_seconds,
            limits.idle_seconds,
        )
        self._splitter.forget_others(configuration.routes)
        self._forwarder.systemic_failures.forget_others(
            {route.name for route in configuration.routes}
        )

    def _refresh_gauges(self) -> None:
        self.metrics.configuration_version.set(self.configuration.version)
        self.metrics.members.set(len(self.members.all_members()))
        self.metrics.load.set(self.admission.load())

    async def _probe_backend(self) -> None:
        """Find a server that is ready already, as after a restart of this node alone."""
        await probe_backend(
            self.registry, self.pool, self.configuration, self._platform.fields, self.log
        )

    async def _watch_settings(self) -> None:
        """Notice settings that have changed without a signal, and keep the allowance divided."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_SECONDS)
            members = self.members.members(self.settings.service)
            self.allowance.set_member_count(len(members))
            with suppress(SettingsError):
                if self._platform.load_settings() != self.settings:
                    self.reload()

    async def _keep_peers(self) -> None:
        """Stay connected to some peers also while no request needs them."""
        while True:
            await asyncio.sleep(PEER_CHECK_SECONDS)
            others = [m for m in self._live_members() if m.instance != self.settings.instance]
            if not others or self.links.open_count >= LEAST_PEER_COUNT:
                continue
            with suppress(CallFailure):  # logged as a lost peer; another one follows
                await self.links.connect(self._random.choice(others).address)

    async def _ask_seeds(self) -> None:
        """Ask the nodes named in the settings while no other node is known."""
        while len(self.members.all_members()) <= 1:
            seed = self._random.choice(self.settings.seeds)
            with suppress(CallFailure):
                await self.links.send_to(seed, MembersRequest())
            await asyncio.sleep(SEED_RETRY_SECONDS)
