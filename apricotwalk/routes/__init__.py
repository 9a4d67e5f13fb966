"""Choice of the route and of the service for a request."""

from apricotwalk.routes._split import ServiceSplitter
from apricotwalk.routes._table import RouteTable

__all__ = ["RouteTable", "ServiceSplitter"]
