"""Call plane of a node: admission, routing and execution of calls."""

from apricotwalk.admission import create_admission_controller
from apricotwalk.claims import ClaimLog, ClaimOwner, KeyIssuer
from apricotwalk.core import Mechanism, Supervisor, new_identifier
from apricotwalk.membership import Membership
from apricotwalk.node._context import NodeContext
from apricotwalk.quarantine import CrashWatch, QuarantineRegistry
from apricotwalk.retries import ResendThrottle
from apricotwalk.routing import CalleeThresholds, TargetSelector
from apricotwalk.serving import (
    ActiveCalls,
    AtMostOnceDispatcher,
    Dispatcher,
    Executor,
    SuspectBroadcaster,
)
from apricotwalk.wire import HelloMessage, PeerPool

__all__ = ["FRAME_OVERHEAD_BYTES", "CallPlane"]

FRAME_OVERHEAD_BYTES = 65_536


class CallPlane(Supervisor):
    """Supervises peer connections, claims and suspect broadcasts, and builds the dispatchers.

    Parameters
    ----------
    context : NodeContext
        Shared dependencies of the node.
    membership : Membership
        Members of each service.
    """

    def __init__(self, context: NodeContext, membership: Membership) -> None:
        super().__init__("call plane")
        self._context = context
        self._membership = membership
        settings, switches = context.settings, context.switches
        clock = context.clock
        self.max_frame_bytes = settings.largest_body_bytes + FRAME_OVERHEAD_BYTES
        self.pool = PeerPool(
            HelloMessage(settings.instance, settings.availability_zone),
            self.max_frame_bytes,
            switches,
            context.keys,
        )
        self.admission = create_admission_controller(clock, settings.disabled_mechanisms)
        self.active_calls = ActiveCalls()
        self.throttle = ResendThrottle(clock)
        self._quarantine_registry = QuarantineRegistry(
            clock, is_enabled=switches.is_on(Mechanism.QUARANTINE)
        )
        self._suspect_broadcaster = SuspectBroadcaster(membership, self.pool, context.events)
        sheds_early = switches.is_on(Mechanism.EARLY_SHEDDING)
        self._thresholds = CalleeThresholds() if sheds_early else None
        self.executor = self._build_executor()
        owner = ClaimOwner(settings.instance, new_identifier(), str(context.own_member.address))
        self._claims = self._build_claims(owner)
        self.keyed_dispatcher = self._build_keyed_dispatcher(owner, self._build_dispatcher())
        self.add(self.pool)
        self.add(self._claims)
        self.add(self._suspect_broadcaster)

    def is_busy(self) -> bool:
        """Return True if any admitted or keyed call is in flight."""
        return self.admission.in_flight() > 0 or self.keyed_dispatcher.running_count > 0

    def _build_executor(self) -> Executor:
        context = self._context
        return Executor(
            self.admission,
            self.active_calls,
            context.events,
            context.metrics,
            CrashWatch(
                context.settings.instance,
                self._quarantine_registry,
                self._suspect_broadcaster.broadcast,
            ),
            context.switches,
            self._thresholds,
        )

    def _build_dispatcher(self) -> Dispatcher:
        context = self._context
        selector = TargetSelector(
            context.settings.availability_zone,
            context.generator,
            context.clock,
            context.settings.disabled_mechanisms,
        )
        return Dispatcher(
            self._membership,
            selector,
            self.pool,
            self.executor,
            self._thresholds,
            self.throttle,
            self._quarantine_registry,
            context.events,
            context.metrics,
            context.switches,
        )

    def _build_claims(self, owner: ClaimOwner) -> ClaimLog:
        context = self._context
        return ClaimLog(
            context.log_service,
            owner,
            context.clock,
            context.events,
            context.settings.log_retention_seconds,
        )

    def _build_keyed_dispatcher(
        self, owner: ClaimOwner, dispatcher: Dispatcher
    ) -> AtMostOnceDispatcher:
        context = self._context
        return AtMostOnceDispatcher(
            dispatcher,
            KeyIssuer(owner, context.clock),
            self._claims,
            self.pool,
            self.throttle,
            context.events,
            context.clock,
            context.switches,
        )
