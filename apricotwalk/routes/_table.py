"""Route lookup by host and longest path prefix."""

from apricotwalk.border import Route, RouteConfiguration

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
        self._routes_by_host_and_prefix: dict[tuple[str, str], Route] = {
            (route.host, route.path_prefix): route for route in configuration.routes
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None.

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
                return None
            route = self._routes_by_host_and_prefix.get((hostname, path[:end]))
            if route is not None:
                return route
            end -= 1
        return None
