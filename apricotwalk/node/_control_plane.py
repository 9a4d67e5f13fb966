"""Control plane of a node: cluster membership and configuration."""

from apricotwalk.configuration import ConfigurationFollower
from apricotwalk.control import ControlSocket
from apricotwalk.core import Mechanism, Supervisor
from apricotwalk.membership import Directory, PartialMembership
from apricotwalk.node._context import NodeContext
from apricotwalk.settings import Address

__all__ = ["ControlPlane"]


class ControlPlane(Supervisor):
    """Supervises the control socket, the membership and the configuration follower.

    Parameters
    ----------
    context : NodeContext
        Shared dependencies of the node.
    """

    def __init__(self, context: NodeContext) -> None:
        super().__init__("control plane")
        self._context = context
        self._socket = self._build_socket()
        self.membership = self._build_membership()
        self.configuration = self._build_configuration()
        self.add(self._socket)
        self.add(self.configuration)
        self.add(self.membership)

    def _build_socket(self) -> ControlSocket:
        context = self._context
        return ControlSocket(
            Address.parse(context.settings.listen.peers),
            context.own_member.instance,
            context.own_member.incarnation,
            context.keys,
            context.events,
            advertised=context.own_member.address,
        )

    def _build_membership(self) -> PartialMembership:
        context = self._context
        return PartialMembership(
            context.own_member,
            self._socket,
            Directory(context.log_service),
            [Address.parse(seed) for seed in context.settings.seeds],
            context.settings.watched_services,
            context.settings.log_retention_seconds,
            context.events,
            context.generator,
            context.clock,
            detects_failures=context.switches.is_on(Mechanism.FAILURE_DETECTION),
        )

    def _build_configuration(self) -> ConfigurationFollower:
        context = self._context
        return ConfigurationFollower(
            context.log_service,
            self._socket,
            self.membership.sample.choose,
            context.settings.log_retention_seconds,
            context.events,
            context.clock,
            context.generator,
            is_monotonic=context.switches.is_on(Mechanism.MONOTONIC_CONFIGURATION),
            spreads=context.switches.is_on(Mechanism.CONFIGURATION_SPREAD),
        )
