"""Routes by host and longest path prefix."""

from apricotwalk.border import Route, RouteConfiguration

__all__ = ["RouteTable"]


class RouteTable:
    """Finds the route of a request.

    Parameters
    ----------
    configuration : RouteConfiguration
        The version in force.

    Notes
    -----
    Prefixes end with a slash, so a path has one candidate for each of its slashes, however
    many routes there are.
    """

    def __init__(self, configuration: RouteConfiguration) -> None:
        self.configuration = configuration
        self._routes_by_place: dict[tuple[str, str], Route] = {
            (route.host, route.path_prefix): route for route in configuration.routes
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route for a path without query, or None.

        Parameters
        ----------
        host : str
            Value of the host field; a port in it is ignored.
        path : str
            Path without its query.
        """
        name = host.rpartition(":")[0] if host.rpartition(":")[2].isdigit() else host
        name = name.lower()
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end) + 1
            if end == 0:
                return None
            route = self._routes_by_place.get((name, path[:end]))
            if route is not None:
                return route
            end -= 1
        return None
