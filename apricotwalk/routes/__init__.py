"""Route lookup and weighted choice of the service for a request."""

from apricotwalk.routes._split import ServiceSplitter
from apricotwalk.routes._table import RouteTable

__all__ = ["RouteTable", "ServiceSplitter"]
