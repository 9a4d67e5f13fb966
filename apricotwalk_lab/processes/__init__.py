"""Process management for experiments."""

from apricotwalk_lab.processes._fleet import Fleet, InstancePlan
from apricotwalk_lab.processes._ports import free_ports, loopback_host

__all__ = ["Fleet", "InstancePlan", "free_ports", "loopback_host"]
