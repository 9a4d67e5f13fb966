"""Status and event reports for the operator's command-line tool."""

from apricotwalk.admission import AdmissionController
from apricotwalk.configuration import ConfigurationFollower
from apricotwalk.membership import Membership
from apricotwalk.serving import Executor
from apricotwalk.telemetry import EventLog, EventReport, NodeStatus
from apricotwalk.wire import PeerPool

__all__ = ["StatusReporter"]


class StatusReporter:
    """Collects status and event reports from the services of a node.

    Parameters
    ----------
    configuration : ConfigurationFollower
        Source of the configuration offset and the customer versions.
    membership : Membership
        Source of the member count.
    admission : AdmissionController
        Source of the load and the number of calls in flight.
    executor : Executor
        Source of the state of the backend server.
    event_log : EventLog
        Source of the most recent events.
    pool : PeerPool
        Source of the late answer count.
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
        """Return the current state of the node."""
        state = self._configuration.state
        return NodeStatus(
            instance=self._event_log.instance,
            availability_zone=self._event_log.availability_zone,
            configuration_offset=state.next_offset,
            customers={
                name: customer.version for name, customer in state.customers_by_name.items()
            },
            members=self._membership.known_count(),
            in_flight=self._admission.in_flight(),
            load=self._admission.load(),
            is_leaving=self._executor.is_leaving,
            has_server=self._executor.backend is not None,
            late_answers=self._pool.late_answers,
        )

    def events(self, request_id: str) -> list[EventReport]:
        """Return the most recent events.

        Parameters
        ----------
        request_id : str
            Request whose events are returned; an empty string selects all events.
        """
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
