"""Membership of a mesh and the configuration version that is in force."""

from apricotwalk.fleet._configuration import ConfigurationHolder
from apricotwalk.fleet._follower import StreamFollower
from apricotwalk.fleet._freshness import Freshness
from apricotwalk.fleet._members import FleetMembers
from apricotwalk.fleet._reading_schedule import ReadingSchedule
from apricotwalk.fleet._store_era import StoreEra

__all__ = [
    "ConfigurationHolder",
    "FleetMembers",
    "Freshness",
    "ReadingSchedule",
    "StoreEra",
    "StreamFollower",
]
