"""Load a city from a directory with its template, customers and fleet description."""

import math
from pathlib import Path
from typing import TypeVar

import msgspec

from apricotwalk.policy import Customer, CustomerPolicy, Template, compile_customer
from apricotwalk_lab.processes import InstancePlan
from apricotwalk_lab.standins.backend_server import Work

__all__ = ["Arrival", "City", "CityService", "load_city"]

_Model = TypeVar("_Model")


class CityService(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Service of a city.

    Parameters
    ----------
    name : str
        Name of the service.
    targets, slots : int
        Number of backend servers, and slots of each before scaling.
    works : list of Work
        Work that its backend servers do, by path.
    """

    name: str
    targets: int
    slots: int
    works: list[Work]


class Arrival(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base rate of one customer's requests to one route.

    Parameters
    ----------
    customer, route : str
        Customer that sends the requests, and the route that they match.
    method, path : str
        HTTP method, and path prefix to which an identifier is appended.
    per_second : float
        Rate in requests per second, without surges.
    """

    customer: str
    route: str
    method: str
    path: str
    per_second: float


class FleetDescription(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Content of ``fleet.json``.

    Parameters
    ----------
    city : str
        Name of the city.
    availability_zones : list of str
        Availability zones, to which the backend servers of a service are assigned in turn.
    slots_divisor : float
        Divisor applied to the slots of every backend server.
    deep_service : str
        Service at the end of most call chains.
    least_urgent, most_urgent : str
        Routes of the least and the most urgent requests, whose rates surge in experiments.
    services : list of CityService
        Services of the city.
    arrivals : list of Arrival
        Base load, without surges.
    """

    city: str
    availability_zones: list[str]
    slots_divisor: float
    deep_service: str
    least_urgent: str
    most_urgent: str
    services: list[CityService]
    arrivals: list[Arrival]


class City:
    """City with its fleet description and compiled customer policies.

    Parameters
    ----------
    directory : Path
        Directory with ``fleet.json``, ``template.json`` and ``customer-*.json``.

    Attributes
    ----------
    fleet : FleetDescription
        Content of ``fleet.json``.
    template_path : Path
        Path of the template.
    customer_paths : list of Path
        Sorted paths of the customers.
    policies_by_customer : dict of str to CustomerPolicy
        Compiled policies by customer name.
    """

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        content = (directory / "fleet.json").read_bytes()
        self.fleet = msgspec.json.decode(content, type=FleetDescription)
        self.template_path = directory / "template.json"
        self.customer_paths = sorted(directory.glob("customer-*.json"))
        self.policies_by_customer = self._compile()

    @property
    def name(self) -> str:
        """Name of the city, as given in ``fleet.json``."""
        return self.fleet.city

    def scaled_slots(self, service: CityService) -> int:
        """Return the slots of one backend server of `service` after scaling, rounded up."""
        return math.ceil(service.slots / self.fleet.slots_divisor)

    def plans(self) -> list[InstancePlan]:
        """Return one plan per backend server, with availability zones assigned in turn."""
        zones = self.fleet.availability_zones
        return [
            InstancePlan(
                name=f"{service.name}-{index + 1}",
                service=service.name,
                availability_zone=zones[index % len(zones)],
                slots=self.scaled_slots(service),
                works=list(service.works),
            )
            for service in self.fleet.services
            for index in range(service.targets)
        ]

    def _compile(self) -> dict[str, CustomerPolicy]:
        template = _decode(self.template_path, "template", Template)
        customers = [_decode(path, "customer", Customer) for path in self.customer_paths]
        return {customer.name: compile_customer(template, customer) for customer in customers}


def _decode(path: Path, kind: str, model: type[_Model]) -> _Model:
    return msgspec.convert({"kind": kind, **msgspec.json.decode(path.read_bytes())}, model)


def load_city(directory: Path) -> City:
    """Load the city that is described in `directory`.

    Parameters
    ----------
    directory : Path
        Directory with ``fleet.json``, ``template.json`` and ``customer-*.json``.

    Returns
    -------
    City
        City with compiled customer policies.

    Raises
    ------
    msgspec.ValidationError
        If a file does not match its schema; the message names the field.
    PolicyError
        If a customer is not valid under the template.
    """
    return City(directory)
