"""Route lookup by host and longest path prefix."""

from apricotwalk.border import ConfigurationFault, Route, RouteConfiguration

__all__ = ["RouteTable"]


class RouteTable:
    """Finds the route of a request by its host and the longest matching path prefix.

    Parameters
    ----------
    configuration : RouteConfiguration
        The route configuration in force.

    Notes
    -----
    Prefixes end with a slash, so a lookup tries one prefix for each slash of the path,
    independently of the number of routes.
    """

    def __init__(self, configuration: RouteConfiguration) -> None:
        self.configuration = configuration
        self._routes_by_host_and_prefix: dict[tuple[str, str], Route | ConfigurationFault] = {
            (route.host, route.path_prefix): route for route in configuration.routes
        }
        self._unplaced_fault: ConfigurationFault | None = None
        for fault in configuration.faults:
            if fault.host is not None and fault.path_prefix is not None:
                self._routes_by_host_and_prefix[fault.host, fault.path_prefix] = fault
            elif fault.disables_route:
                self._unplaced_fault = fault

    def find(self, host: str, path: str) -> Route | ConfigurationFault | None:
        """Return the route with the longest matching prefix.

        A fault is returned if the route is not in force because of it.  That includes any path
        without a route while the place of some route is unreadable.  None is returned if there is
        certainly no route.

        Parameters
        ----------
        host : str
            Value of the Host header; a port in it is ignored.
        path : str
            Path without its query.
        """
        hostname = host.rpartition(":")[0] if host.rpartition(":")[2].isdigit() else host
        hostname = hostname.lower()
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end) + 1
            if end == 0:
                break
            route = self._routes_by_host_and_prefix.get((hostname, path[:end]))
            if route is not None:
                return route
            end -= 1
        return self._unplaced_fault
