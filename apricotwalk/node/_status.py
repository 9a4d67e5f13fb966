"""What a node tells the operator's tool about itself."""

from apricotwalk.admission import AdmissionController
from apricotwalk.configuration import ConfigurationFollower
from apricotwalk.membership import Membership
from apricotwalk.serving import Executor
from apricotwalk.telemetry import EventLog, EventReport, NodeStatus
from apricotwalk.wire import PeerPool

__all__ = ["StatusReporter"]


class StatusReporter:
    """Collects a node's state for the operator.

    Parameters
    ----------
    configuration : ConfigurationFollower
        Holds the policies.
    membership : Membership
        Holds the members.
    admission : AdmissionController
        Holds the limits.
    executor : Executor
        Holds the backend server.
    event_log : EventLog
        Holds the newest events.
    pool : PeerPool
        Counts late answers.
    """

    def __init__(
        self,
        configuration: ConfigurationFollower,
        membership: Membership,
        admission: AdmissionController,
        executor: Executor,
        event_log: EventLog,
        pool: PeerPool,
    ) -> None:
        self._pool = pool
        self._configuration = configuration
        self._membership = membership
        self._admission = admission
        self._executor = executor
        self._event_log = event_log

    def status(self) -> NodeStatus:
        """Return the present state."""
        state = self._configuration.state
        return NodeStatus(
            instance=self._event_log.instance,
            availability_zone=self._event_log.availability_zone,
            configuration_offset=state.next_offset,
            customers={name: c.version for name, c in state.customers_by_name.items()},
            members=self._membership.known_count(),
            in_flight=self._admission.in_flight(),
            load=self._admission.load(),
            is_leaving=self._executor.is_leaving,
            has_server=self._executor.backend is not None,
            late_answers=self._pool.late_answers,
        )

    def events(self, request_id: str) -> list[EventReport]:
        """Return the newest events, all or those of one request."""
        log = self._event_log
        return [
            EventReport(
                stamp=event.stamp,
                instance=log.instance,
                availability_zone=log.availability_zone,
                kind=event.kind,
                request_id=event.request_id,
                fields=event.fields,
            )
            for event in log.newest(request_id)
        ]
