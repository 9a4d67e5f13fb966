"""Creation of the admission controller for the enabled mechanisms."""

from collections.abc import Collection

from apricotwalk.admission._arrival_order import ArrivalOrderController
from apricotwalk.admission._interface import AdmissionController
from apricotwalk.admission._rank_queue import RankQueueController
from apricotwalk.admission._unlimited import UnlimitedController
from apricotwalk.core import Clock, Mechanism

__all__ = ["create_admission_controller"]


def create_admission_controller(
    clock: Clock, disabled: Collection[Mechanism]
) -> AdmissionController:
    """Return the admission controller for the enabled mechanisms.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    disabled : collection of Mechanism
        Mechanisms that are disabled for an ablation test or a baseline measurement.
    """
    if Mechanism.ADMISSION in disabled:
        return UnlimitedController()
    if Mechanism.RANK_ADMISSION in disabled:
        return ArrivalOrderController(clock)
    return RankQueueController(clock, disabled)
