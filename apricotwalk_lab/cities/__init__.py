"""Example cities: their services, work, customers and arrivals."""

from apricotwalk_lab.cities._city import Arrival, City, CityService, load_city

__all__ = ["Arrival", "City", "CityService", "load_city"]
