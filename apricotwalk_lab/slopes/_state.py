"""Measurement of the memory that records occupy in a node process."""

from collections.abc import Callable

from msgspec import Struct

from apricotwalk.control import ReplayGuard
from apricotwalk.core import SystemClock
from apricotwalk.membership import Member, MemberTable
from apricotwalk.policy import Customer, Parameter, PolicyState, Route, Template
from apricotwalk.settings import Address
from apricotwalk_lab.slopes._usage import resident_megabytes

__all__ = ["RecordMemory", "measure_state"]

RECORD_COUNT = 20_000
ROUTE_COUNT = 8
BYTES_PER_MEGABYTE = 1_000_000


class RecordMemory(Struct):
    """Memory of one kind of record.

    Parameters
    ----------
    kind : str
        Kind of record: ``customer``, ``member`` or ``sender``.
    bytes_per_record : float
        Growth of resident memory per record, measured over 20,000 records.
    """

    kind: str
    bytes_per_record: float


def measure_state(pid: int) -> list[RecordMemory]:
    """Measure the memory that each kind of record occupies.

    Parameters
    ----------
    pid : int
        Identifier of the calling process, in which the records are created.
    """
    fills: dict[str, Callable[[], object]] = {
        "customer": _fill_customers,
        "member": _fill_members,
        "sender": _fill_senders,
    }
    kept = []  # References keep the records alive, so that no memory is freed in between.
    results = []
    for kind, fill in fills.items():
        before = resident_megabytes(pid)
        kept.append(fill())
        grown = resident_megabytes(pid) - before
        results.append(RecordMemory(kind, round(grown * BYTES_PER_MEGABYTE / RECORD_COUNT, 1)))
    return results


def _fill_customers() -> PolicyState:
    routes = [
        Route(f"route-{index}", "GET", f"/{index}", f"service-{index}", index, "${patience_ms}")
        for index in range(ROUTE_COUNT)
    ]
    state = PolicyState()
    template = Template("slope", 1, routes, {"patience_ms": Parameter(10, 5000, 500)})
    state.apply(0, template)
    for index in range(RECORD_COUNT):
        customer = Customer(
            f"customer-{index}",
            1,
            "slope",
            1,
            {"patience_ms": 10.0 + index % 4000},
            f"{index:016x}",
        )
        state.apply(index + 1, customer)
    return state


def _fill_members() -> MemberTable:
    table = MemberTable("menu", SystemClock())
    for index in range(RECORD_COUNT):
        address = Address(f"10.0.{index // 250}.{index % 250}", 7000)
        table.merge(Member(f"instance-{index}", "menu", "zone", "region", address, 10**15 + index))
    return table


def _fill_senders() -> ReplayGuard:
    guard = ReplayGuard(RECORD_COUNT)
    for index in range(RECORD_COUNT):
        guard.accept(f"instance-{index}", 10**15 + index, 1)
    return guard
