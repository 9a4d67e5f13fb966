"""Upper bound on goodput: the requests that an ideal scheduler of equal capacity completes."""

from collections import defaultdict
from dataclasses import dataclass

from apricotwalk.policy import Treatment
from apricotwalk_lab.cities import City
from apricotwalk_lab.load import RequestRecord
from apricotwalk_lab.measure._scenarios import Scenario, Times

__all__ = ["BIN_SECONDS", "IdealSchedule", "StreamKey"]

BIN_SECONDS = 0.5
EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class StreamKey:
    """Identifies the requests of one customer, route and rank."""

    customer: str
    route: str
    rank: int


class _Backlog:
    """Queued requests of one stream by the bin of their arrival, served oldest first."""

    def __init__(self) -> None:
        self._count_by_bin: dict[int, float] = {}

    def add(self, index: int, count: float) -> None:
        self._count_by_bin[index] = self._count_by_bin.get(index, 0.0) + count

    def expire(self, oldest: int) -> None:
        self._count_by_bin = {i: c for i, c in self._count_by_bin.items() if i >= oldest}

    def serve(self, count: float) -> None:
        for index in sorted(self._count_by_bin):
            served = min(count, self._count_by_bin[index])
            self._count_by_bin[index] -= served
            count -= served

    def total(self) -> float:
        return sum(self._count_by_bin.values())


class IdealSchedule:
    """Fluid schedule that serves floors first and then the ranks in order.

    Parameters
    ----------
    city : City
        City with the slots of its services and the calls that each request makes.
    scenario : Scenario
        Trigger, which changes the speed of backend servers.
    times : Times
        When the trigger begins and ends.

    Notes
    -----
    Time is divided into bins of 0.5 s.  In each bin every floor is served first, up to its
    demand.  The ranks follow, the most urgent first: all streams of a rank get the same share of
    their demand until a service that they call has no capacity left.  Requests that are not
    served stay queued for later bins until their deadline can no longer be met.
    """

    def __init__(self, city: City, scenario: Scenario, times: Times) -> None:
        self._city = city
        self._scenario = scenario
        self._times = times
        self._work_by_stream: dict[StreamKey, dict[str, float]] = {}

    def completed(self, records: list[RequestRecord]) -> dict[StreamKey, dict[int, float]]:
        """Return the number of requests that the ideal schedule completes, by stream and bin."""
        offered: dict[int, dict[StreamKey, float]] = defaultdict(lambda: defaultdict(float))
        for record in records:
            key = StreamKey(record.customer, record.route, record.rank)
            offered[int(record.began / BIN_SECONDS)][key] += 1
        result: dict[StreamKey, dict[int, float]] = defaultdict(dict)
        backlog: dict[StreamKey, _Backlog] = defaultdict(_Backlog)
        last = max(offered, default=-1) + self._max_wait_limit_bins()
        for index in range(last + 1):
            for key, count in offered[index].items():
                backlog[key].add(index, count)
            for key, queued in backlog.items():
                queued.expire(index - self._wait_limit_bins(key))
            wanted = {key: queued.total() for key, queued in backlog.items()}
            for key, count in self._fill_bin(index, wanted).items():
                backlog[key].serve(count)
                result[key][index] = count
        return result

    def floor_of(self, key: StreamKey) -> float:
        """Return the floor of a stream as a share of the capacity of each service."""
        return self._treatment(key).floor

    def floor_requests(self, key: StreamKey, index: int) -> float:
        """Return the number of requests that the floor of a stream guarantees in bin `index`."""
        capacity = self._capacity(index)
        return min(
            self.floor_of(key) * capacity[service] / seconds
            for service, seconds in self._work(key).items()
        )

    def _wait_limit_bins(self, key: StreamKey) -> int:
        # A request can wait until the deadlines of all its attempts leave time for its work only.
        tries = self._scenario.policy.tries
        deadline = tries * self._treatment(key).deadline_seconds
        seconds = deadline - sum(self._work(key).values())
        return max(0, int(seconds / BIN_SECONDS))

    def _max_wait_limit_bins(self) -> int:
        policies = self._city.policies_by_customer.values()
        longest = max(t.deadline_seconds for policy in policies for t in policy.treatments)
        return int(self._scenario.policy.tries * longest / BIN_SECONDS)

    def _fill_bin(self, index: int, offered: dict[StreamKey, float]) -> dict[StreamKey, float]:
        capacity = self._capacity(index)
        served: dict[StreamKey, float] = defaultdict(float)
        for key, count in offered.items():
            if self.floor_of(key):
                self._serve(key, min(count, self.floor_requests(key, index)), served, capacity)
        for rank in sorted({key.rank for key in offered}):
            wanted = {k: c - served[k] for k, c in offered.items() if k.rank == rank}
            self._fill_rank(wanted, served, capacity)
        return served

    def _fill_rank(
        self,
        wanted: dict[StreamKey, float],
        served: dict[StreamKey, float],
        capacity: dict[str, float],
    ) -> None:
        unsaturated_keys = {key for key, count in wanted.items() if count > EPSILON}
        while unsaturated_keys:
            demand: dict[str, float] = defaultdict(float)
            for key in unsaturated_keys:
                for service, seconds in self._work(key).items():
                    demand[service] += wanted[key] * seconds
            share = min([1.0, *(max(0.0, capacity[s]) / d for s, d in demand.items())])
            for key in unsaturated_keys:
                self._serve(key, wanted[key] * share, served, capacity)
                wanted[key] *= 1 - share
            saturated_services = {service for service in demand if capacity[service] <= EPSILON}
            unsaturated_keys = {
                key
                for key in unsaturated_keys
                if wanted[key] > EPSILON and not saturated_services.intersection(self._work(key))
            }

    def _serve(
        self,
        key: StreamKey,
        count: float,
        served: dict[StreamKey, float],
        capacity: dict[str, float],
    ) -> None:
        served[key] += count
        for service, seconds in self._work(key).items():
            capacity[service] -= count * seconds

    def _capacity(self, index: int) -> dict[str, float]:
        return {
            service.name: self._city.scaled_slots(service)
            * BIN_SECONDS
            * sum(self._speed(service.name, target, index) for target in range(service.targets))
            for service in self._city.fleet.services
        }

    def _speed(self, service: str, target: int, index: int) -> float:
        middle = (index + 0.5) * BIN_SECONDS
        if not self._times.begin <= middle < self._times.end:
            return 1.0
        return self._scenario.speed(self._city, service, target)

    def _treatment(self, key: StreamKey) -> Treatment:
        treatments = self._city.policies_by_customer[key.customer].treatments
        return next(t for t in treatments if t.route == key.route)

    def _work(self, key: StreamKey) -> dict[str, float]:
        if key not in self._work_by_stream:
            work: dict[str, float] = defaultdict(float)
            treatment = self._treatment(key)
            self._add_work(key.customer, treatment.method, treatment.path, work)
            self._work_by_stream[key] = dict(work)
        return self._work_by_stream[key]

    def _add_work(self, customer: str, method: str, path: str, work: dict[str, float]) -> None:
        treatment = self._city.policies_by_customer[customer].match(method, path)
        assert treatment is not None
        service = next(s for s in self._city.fleet.services if s.name == treatment.service)
        plan = next(w for w in service.works if path.startswith(w.path))
        work[service.name] += plan.service_ms / 1000
        for call in plan.calls:
            inner_method, inner_path = call.split(" ", 1)
            self._add_work(customer, inner_method, inner_path, work)
