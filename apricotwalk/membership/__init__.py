"""Membership of the nodes that run beside the backend servers of each service."""

from apricotwalk.membership._directory import Directory
from apricotwalk.membership._interface import Membership, Piggyback
from apricotwalk.membership._member import Member, MemberState
from apricotwalk.membership._partial_membership import PartialMembership
from apricotwalk.membership._sample import PeerSample
from apricotwalk.membership._table import MemberTable

__all__ = [
    "Directory",
    "Member",
    "MemberState",
    "MemberTable",
    "Membership",
    "PartialMembership",
    "PeerSample",
    "Piggyback",
]
