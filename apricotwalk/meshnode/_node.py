"""Supervisor tree of a mesh node."""

import asyncio
import random
import time
from contextlib import suppress
from math import inf

from apricotwalk.admission import AnnouncedLimit, RankQueueController
from apricotwalk.border import MeshSettings, Platform, RouteConfiguration
from apricotwalk.core import (
    BodyMemory,
    CallFailure,
    Mechanism,
    Service,
    SettingsError,
    Supervisor,
    Suspect,
    SystemClock,
)
from apricotwalk.fleet import (
    ConfigurationHolder,
    FleetMembers,
    Freshness,
    ReadingSchedule,
    StoreEra,
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

# Requests on the platform carry neither a customer nor the identifier of their parent request.
UNUSED_MECHANISMS = (Mechanism.EARLY_SHEDDING, Mechanism.FAIR_SHARES)
# Different requests of one kind can look alike, and several servers can crash for other reasons
# while such requests run, so a request is quarantined later than by default.
CRASH_LIMIT = 3
# One long poll waits for a fraction of the propagation bound.  All connections to the store may go
# silent simultaneously, so that no peer has a newer version either.  The rest of the bound is left
# for the detection of the missing answer and for the next read.
CONFIGURATION_WAIT_FRACTION = 0.6
# The nodes read the configuration only once it has not been known to be the newest one for this
# fraction of the propagation bound.
CONFIGURATION_MAX_AGE_FRACTION = 0.4
# A few nodes learn of a new configuration at once.  One would not suffice, because it may be
# stopped or partitioned from the store.
CONFIGURATION_LONG_POLLER_COUNT = 3
# Nodes announce changes of their own records to their peers, so the directory of members is needed
# only by a node without peers and to join parts of a fleet that do not know each other.
MEMBERS_MAX_AGE_SECONDS = 30.0
# When a whole mesh starts for the first time, the store has no members until the nodes have written
# their records, which they do after the first heartbeat, and usually no configuration either.
FIRST_START_HEARTBEAT_COUNT = 2
FIRST_START_CONFIGURATION_SECONDS = 1.0
# A node that has read the configuration pings this number of peers, so that they learn at once that
# their copies are complete; the pings of those peers carry it on.
FRESHNESS_FANOUT = 8
# Expired entries are restored within 2 s after the store is back, and peers gossip most of them.
MEMBERS_POLL_GAP_SECONDS = 1.0
# The longest random gap between polls has to stay below the 2 s bound for configuration changes.
CONFIGURATION_POLL_GAP_SECONDS = 0.15
# A node gossips a change to this number of peers when it first receives it.  The change then
# reaches all but one in 50 nodes, which detect it by the digests in pings.
CHANGE_FANOUT = 4
# A node without traffic receives changes only on connections that it opens for this purpose.  With
# two connections, one may fail.
MIN_CONNECTED_PEER_COUNT = 2
PEER_CHECK_INTERVAL_SECONDS = 0.3
# A new configuration version is announced by pings, which are smaller than the configuration.
VERSION_FANOUT = 8
MICROSECONDS_PER_SECOND = 1_000_000
# Callers avoid a node after two failed readiness checks, which are one second apart.
READINESS_NOTICE_SECONDS = 2.3
# This part of the stop time is reserved for closing connections.
STOP_MARGIN_SECONDS = 0.5
# A request counts as cut off after 200 ms, ten times this interval.
DRAIN_CHECK_INTERVAL_SECONDS = 0.02
# Settings that change without a signal take effect within the bound for configuration changes.
SETTINGS_CHECK_INTERVAL_SECONDS = 2.0
# A node without large bodies uses less than this, with all of its connections and small bodies.
BASE_MEMORY_BYTES = 60 * 1024 * 1024
MIN_BODY_MEMORY_BYTES = 1024 * 1024
# A node that restarts finds the store or a peer within this time if it can reach any of them: peers
# dial it again after 2 s at most.
HISTORY_WAIT_SECONDS = 2.0
# Seeds start within 0.3 s of this node and answer after half a second.
SEED_RETRY_SECONDS = 1.0


class MeshNode(Service):
    """Mesh node that runs beside one backend server.

    Parameters
    ----------
    platform : Platform
        Adapter to the platform.

    Notes
    -----
    The services are the decision log, the followers of configuration and membership, the
    connections and the listeners.  They start in this order and close in reverse order.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self.settings: MeshSettings = platform.settings
        self._clock = SystemClock()
        self._random = random.Random()
        settings = self.settings
        self.log = DecisionLog(settings.instance, settings.availability_zone, self._clock)
        self.metrics = MeshMetrics()
        self.configuration = ConfigurationHolder(platform.decode_configuration, self.log)
        self.store_era = StoreEra(self.log)
        self._configuration_freshness = Freshness(
            self._clock, CONFIGURATION_MAX_AGE_FRACTION * settings.bounds.configuration_seconds
        )
        self._members_freshness = Freshness(self._clock, MEMBERS_MAX_AGE_SECONDS)
        self.members = self._build_members()
        self._first_incarnation = self.members.own.incarnation
        self._peer_handler = MeshPeerHandler(
            self.members,
            self.configuration,
            self.store_era,
            self._configuration_freshness,
            self._members_freshness,
        )
        self.uploads, self.downloads = self._build_body_memories()
        self.links = PeerLinks(self.members.own, self._peer_handler, self._random, self.downloads)
        self.registry = BackendRegistry(
            settings, self.log, self._clock, is_settled=settings.is_first_start
        )
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
                platform.fields.announced_rate,
                platform.fields.leaving,
                "Content-Encoding",
            ),
            self.downloads,
        )
        self.quarantine = QuarantineRegistry(self._clock, CRASH_LIMIT)
        self._crash_watch = CrashWatch(settings.instance, self.quarantine, self._publish_suspects)
        self.executor = ServerSideExecutor(
            self.registry,
            self.pool,
            self.admission,
            self.allowance,
            self._crash_watch,
            platform.fields,
            self.log,
            self.metrics,
        )
        self._peer_handler.executor = self.executor
        self._peer_handler.quarantine = self.quarantine
        self._splitter = ServiceSplitter(self._random)
        self._peer_listener = PeerListener(settings.peers, self._peer_handler, self.uploads)
        self._caller_listener = self._build_caller_listener()
        self.is_stopping = False
        self._notifications: set[asyncio.Task[None]] = set()
        self._supervisor = Supervisor("mesh node")
        self._members_follower = self._build_members_follower()
        self._add_services()

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts requests, has a configuration and is not stopping."""
        is_serving = self._caller_listener.is_listening and self.configuration.table is not None
        return is_serving and not self.is_stopping

    async def start(self) -> None:
        """Register the callbacks and start every service and background loop."""
        self.registry.on_change = self._handle_server_change
        self.members.count_write = lambda: self.metrics.count_store_call("members", "write")
        self.registry.on_restart = self._report_restart
        self.members.on_own_history = self._apply_own_history
        self.registry.on_departure = self.members.announce_departure
        self.members.on_own_change = self._broadcast_own_record
        self.members.on_member_change = self._gossip_change
        self.configuration.on_change = self._apply_configuration
        self.members.on_first_write = self._find_members_if_alone
        self.store_era.on_restoration = self.members.handle_restoration
        await self._supervisor.start()
        self._supervisor.run_loop("probe", self._probe_backend)
        self._supervisor.run_loop("history", self._limit_wait_for_history)
        self._supervisor.run_loop("settings", self._watch_settings)
        self._supervisor.run_loop("peers", self._maintain_connections)
        if self.settings.seeds:
            self._supervisor.run_loop("seeds", self._query_seeds)
        self.log.record_state_change(
            "node-started",
            service=self.settings.service,
            region=self.settings.region,
            incarnation=self.members.own.incarnation,
        )

    async def drain(self) -> None:
        """Stop accepting requests and answer those that were read.

        Notes
        -----
        Callers may continue to use open connections, so connections without a request are closed
        once callers have had the time to detect that the node is not ready.  Requests that are
        complete only after that time are refused, because too little of the stop time is left for
        them.  The node beside another server refuses a forwarded request that has not started when
        half of the rest has passed, so that one that has started has the other half to complete.
        The node stops as soon as its callers have received every answer.
        """
        self.log.record_state_change("node-stopping")
        began = time.monotonic()
        self.is_stopping = True
        self.members.announce(MemberState.LEAVING, "this node stops")
        self._peer_listener.send_go_away()
        self._caller_listener.start_draining()
        await asyncio.sleep(READINESS_NOTICE_SECONDS)
        self._caller_listener.stop_listening()
        self._ingress.is_stopping = True
        self.executor.start_stopping()
        deadline = began + self.settings.bounds.stop_seconds - STOP_MARGIN_SECONDS
        withdraws_at = (time.monotonic() + deadline) / 2
        while (now := time.monotonic()) < deadline:
            self._caller_listener.close_idle()
            if not self.is_busy:
                return
            if now >= withdraws_at:
                self._forwarder.withdraw()
                withdraws_at = inf
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_SECONDS)

    async def close(self) -> None:
        """Stop listening, close every service and release the platform."""
        self._caller_listener.stop_listening()
        self.log.record_state_change("node-stopped", is_busy=self.is_busy)
        await self._supervisor.close()
        self._platform.close()

    def reload(self) -> None:
        """Reload the settings and apply those that may change at run time."""
        try:
            settings = self._platform.load_settings()
        except SettingsError as error:
            self.log.record_state_change("settings-rejected", detail=str(error))
            return
        if settings == self.settings:
            self.log.record_state_change("settings-reloaded", changed=False)
            return
        self.settings = settings
        self.registry.settings = settings
        self.pool.address = settings.backend
        self._forwarder.caller_service = settings.service
        self.log.record_state_change("settings-reloaded", changed=True, service=settings.service)

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or an answer is not written completely."""
        return self._caller_listener.is_busy or self._peer_listener.is_busy

    def _build_body_memories(self) -> tuple[BodyMemory, BodyMemory]:
        """Return the memories for the large bodies of requests and of answers.

        Notes
        -----
        They are separate, because a request keeps its body until it is answered: if bodies of
        requests used up all memory, no answer could arrive that frees it.
        """
        available_bytes = self.settings.memory_bytes - BASE_MEMORY_BYTES
        max_bytes = max(MIN_BODY_MEMORY_BYTES, available_bytes // 2)
        return BodyMemory(max_bytes), BodyMemory(max_bytes)

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
        return FleetMembers(
            own,
            self._platform.open_membership_stream(),
            self.log,
            self._clock,
            self._random,
            self.store_era,
        )

    def _build_caller_listener(self) -> HttpListener:
        fields = self._platform.fields
        selector = TargetSelector(self.settings.availability_zone, self._random, self._clock)
        self._forwarder = Forwarder(
            self.members,
            selector,
            self.links,
            self.executor,
            self.quarantine,
            self.log,
            self.settings.service,
        )
        self._ingress = IngressHandler(
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
            self._ingress.answer,
            captured_fields=("Host", fields.request_id, fields.deadline_ms),
            dropped_fields=(
                fields.request_id,
                fields.deadline_ms,
                fields.caller_service,
                fields.expected_server,
            ),
            requires_host=True,
            memory=self.uploads,
        )

    def _add_services(self) -> None:
        platform, settings = self._platform, self.settings
        self._supervisor.add(self.log)
        self._supervisor.add(self._build_configuration_follower())
        self._supervisor.add(self._members_follower)
        self._supervisor.add(self.members)
        self._supervisor.add(self.links)
        self._supervisor.add(self.pool)
        self._supervisor.add(self._peer_listener)
        heartbeats = HeartbeatPort(platform.heartbeats, self.registry, self.log)
        readiness = ReadinessPort(platform.readiness_path, lambda: self.is_ready)
        metrics = MetricsPort(self.metrics, self._refresh_gauges)
        self._supervisor.add(HttpListener(settings.heartbeats, heartbeats.answer))
        self._supervisor.add(HttpListener(settings.metrics, metrics.answer))
        self._supervisor.add(self._caller_listener)
        self._supervisor.add(HttpListener(settings.readiness, readiness.answer))

    def _build_configuration_follower(self) -> StreamFollower:
        bound_seconds = self.settings.bounds.configuration_seconds
        schedule = ReadingSchedule(
            self.settings.instance,
            self._live_members,
            CONFIGURATION_WAIT_FRACTION * bound_seconds,
            CONFIGURATION_POLL_GAP_SECONDS,
            self._random,
            CONFIGURATION_LONG_POLLER_COUNT,
        )
        follower = StreamFollower(
            "configuration",
            self._platform.open_configuration_stream(),
            self.configuration,
            self.log,
            self._random,
            schedule,
            self.store_era,
            self._configuration_freshness,
            FIRST_START_CONFIGURATION_SECONDS if self.settings.is_first_start else 0.0,
            lambda kind: self.metrics.count_store_call("configuration", kind),
        )
        follower.on_answer = lambda: self.links.ping_random(FRESHNESS_FANOUT)
        return follower

    def _build_members_follower(self) -> StreamFollower:
        schedule = ReadingSchedule(
            self.settings.instance,
            self._live_members,
            0.0,
            MEMBERS_POLL_GAP_SECONDS,
            self._random,
            long_poller_count=0,
        )
        return StreamFollower(
            "members",
            self._platform.open_membership_stream(),
            self.members,
            self.log,
            self._random,
            schedule,
            self.store_era,
            self._members_freshness,
            (
                FIRST_START_HEARTBEAT_COUNT * self.settings.heartbeat_seconds
                if self.settings.is_first_start
                else 0.0
            ),
            lambda kind: self.metrics.count_store_call("members", kind),
        )

    def _find_members_if_alone(self) -> None:
        """Read the directory again if this node knows no other member to learn the others from.

        Notes
        -----
        While a fleet starts, the directory is empty when most nodes read it first.  A node that
        reads it after writing its own record finds every node that has written its record before.
        """
        if len(self.members.all_members()) <= 1:
            self._members_follower.request_read()

    def _live_members(self) -> list[Member]:
        """Return this node and the other members that are alive and reachable."""
        return [
            member
            for member in self.members.all_members()
            if member.instance == self.settings.instance
            or (member.state is MemberState.ALIVE and self.links.is_reachable(member.address))
        ]

    def _handle_server_change(self) -> None:
        registry = self.registry
        if registry.current is not None:
            self.admission.set_slots(registry.current.slots)
        self.admission.set_announced_rate(registry.announced_rate)
        if self.is_stopping:
            return
        if registry.is_leaving:
            self.members.announce(MemberState.LEAVING, "the backend server leaves")
        elif registry.current is None:
            self.members.announce(MemberState.DEAD, "no backend server is known")
        else:
            self.members.announce(MemberState.ALIVE, "the backend server is ready")

    def _apply_own_history(self, record: Member | None) -> None:
        """Apply a record of this node, or None after the directory has been read.

        Notes
        -----
        A peer can return the record with which this process has greeted it, which says nothing
        about an earlier one.
        """
        if record is None:
            self.registry.settle("directory")
            return
        if record.departure is not None:
            self.registry.restore_departure(record.departure)
        if record.incarnation < self._first_incarnation:
            self.registry.settle("record of an earlier process")

    async def _limit_wait_for_history(self) -> None:
        """Let the backend server receive work if neither the store nor a peer answers."""
        await asyncio.sleep(HISTORY_WAIT_SECONDS)
        self.registry.settle("time-out")

    def _report_restart(self) -> None:
        """Report what may have crashed a server that starts again without having left."""
        self._crash_watch.report_lost_server(self.settings.service)

    def _publish_suspects(self, service: str, suspects: list[Suspect]) -> None:
        """Send the suspects to the other nodes of the service, which then reject such requests."""
        self.log.record_state_change("server-crashed", service=service, suspects=len(suspects))
        for member in self.members.all_members():
            if member.service == service and member.instance != self.settings.instance:
                notification = asyncio.get_running_loop().create_task(
                    self._send_suspects(member, SuspectsMessage(suspects))
                )
                self._notifications.add(notification)
                notification.add_done_callback(self._notifications.discard)

    async def _send_suspects(self, member: Member, message: SuspectsMessage) -> None:
        try:
            await self.links.send_to(member.address, message)
        except CallFailure as failure:
            # The member still receives the suspects with each request and reply.
            self.log.record_state_change(
                "suspects-untold", member=member.instance, detail=str(failure)
            )

    def _broadcast_own_record(self, own: Member) -> None:
        self.links.own = own
        message = MembersMessage([own])
        self.links.broadcast(message)
        self._peer_listener.broadcast(message)

    def _gossip_change(self, member: Member) -> None:
        """Gossip a membership change that this node has just received to a few random peers."""
        self.links.send_to_random(MembersMessage([member]), CHANGE_FANOUT)

    def _apply_configuration(self, configuration: RouteConfiguration) -> None:
        self.links.ping_random(VERSION_FANOUT)
        limits = configuration.limits
        if limits is not None:
            self._caller_listener.limits = HttpLimits(
                limits.max_head_bytes,
                limits.max_body_bytes,
                limits.head_seconds,
                limits.idle_seconds,
            )
        self._splitter.forget_others(configuration.routes)
        self._forwarder.systemic_failures.forget_others(
            {route.name for route in configuration.routes}
        )

    def _refresh_gauges(self) -> None:
        self.metrics.configuration_version.set(self.configuration.version)
        current = self.configuration.current
        self.metrics.configuration_faults.set(len(current.faults) if current is not None else 0)
        self.metrics.members.set(len(self.members.all_members()))
        self.metrics.load.set(self.admission.load())
        self.metrics.body_bytes.labels("requests").set(self.uploads.used_bytes)
        self.metrics.body_bytes.labels("answers").set(self.downloads.used_bytes)
        announced_rate = self.registry.announced_rate
        self.metrics.announced_rate.set(inf if announced_rate is None else announced_rate)

    async def _probe_backend(self) -> None:
        """Detect a server that is already running, as after a restart of this node only."""
        await probe_backend(
            self.registry, self.pool, self.configuration, self._platform.fields, self.log
        )

    async def _watch_settings(self) -> None:
        """Apply settings changed without a signal and update the member count of the allowance."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_SECONDS)
            members = self.members.members(self.settings.service)
            self.allowance.set_member_count(len(members))
            with suppress(SettingsError):
                if self._platform.load_settings() != self.settings:
                    self.reload()

    async def _maintain_connections(self) -> None:
        """Keep a minimum number of peer connections open independently of requests."""
        while True:
            await asyncio.sleep(PEER_CHECK_INTERVAL_SECONDS)
            if self.links.open_count >= MIN_CONNECTED_PEER_COUNT:
                continue
            others = [
                member
                for member in self._live_members()
                if member.instance != self.settings.instance
                and not self.links.is_connected(member.address)
            ]
            if not others:
                continue
            # A failure is already logged as peer-lost, and the next iteration retries.
            with suppress(CallFailure):
                await self.links.connect(self._random.choice(others).address)

    async def _query_seeds(self) -> None:
        """Request the members from random seeds until another node is known."""
        while len(self.members.all_members()) <= 1:
            seed = self._random.choice(self.settings.seeds)
            with suppress(CallFailure):
                await self.links.send_to(seed, MembersRequest())
            await asyncio.sleep(SEED_RETRY_SECONDS)
