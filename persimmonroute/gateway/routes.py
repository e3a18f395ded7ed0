"""Find the route and the workspace of a request."""

from __future__ import annotations

import random


class RouteTable:
    """Index the routes and keys of one configuration version."""

    def __init__(self, configuration):
        self._configuration = configuration
        self._hosts = {}
        for route in configuration.routes:
            prefixes = self._hosts.setdefault(route.host, {})
            prefixes[route.prefix] = route
        self._workspaces = {
            key: workspace
            for workspace in configuration.workspaces
            for key in workspace.keys
        }

    @property
    def configuration(self):
        """Return the indexed configuration."""
        return self._configuration

    def needs_key(self, route):
        """Return whether callers of a route must present a key."""
        return bool(self._configuration.workspaces) and not route.public

    def find_route(self, host, path):
        """Return the route with the longest prefix, or None."""
        prefixes = self._hosts.get(host)
        if not prefixes:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def find_workspace(self, key):
        """Return the workspace of a key, or None."""
        return self._workspaces.get(key)


def choose_service(route):
    """Return one of the route's services, chosen at random by weight."""
    destinations = route.destinations
    if len(destinations) == 1:
        return destinations[0].service
    names = [d.service for d in destinations]
    return random.choices(names, [d.weight for d in destinations])[0]
