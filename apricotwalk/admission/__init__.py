"""Admission control: which calls a backend server runs, in which order, and which are shed."""

from apricotwalk.admission._announced_rate import AnnouncedRate
from apricotwalk.admission._arrival_order import ArrivalOrderController
from apricotwalk.admission._concurrency_limit import AnnouncedLimit, ConcurrencyLimit, Limit
from apricotwalk.admission._demand import DemandByLevel, ReservedCapacity
from apricotwalk.admission._factory import create_admission_controller
from apricotwalk.admission._interface import (
    AdmissionController,
    Outcome,
    Permit,
    Stream,
    WorkItem,
)
from apricotwalk.admission._levels import (
    HIGHEST_LEVEL,
    LEVELS_PER_RANK,
    MOST_URGENT_RANK,
    level_of,
)
from apricotwalk.admission._rank_queue import RankQueueController
from apricotwalk.admission._shares import FairShares
from apricotwalk.admission._unlimited import UnlimitedController

__all__ = [
    "HIGHEST_LEVEL",
    "LEVELS_PER_RANK",
    "MOST_URGENT_RANK",
    "AdmissionController",
    "AnnouncedLimit",
    "AnnouncedRate",
    "ArrivalOrderController",
    "ConcurrencyLimit",
    "DemandByLevel",
    "FairShares",
    "Limit",
    "Outcome",
    "Permit",
    "RankQueueController",
    "ReservedCapacity",
    "Stream",
    "UnlimitedController",
    "WorkItem",
    "create_admission_controller",
    "level_of",
]
