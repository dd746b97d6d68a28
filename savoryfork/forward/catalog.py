"""Resolves the route, the service and the workspace of a request in a catalog."""

from __future__ import annotations

from savoryfork.forward.model import Catalog, Route, Workspace
from savoryfork.util import rendezvous


def find_route(catalog: Catalog, host: str, path: str) -> Route | None:
    """Returns the route of `host` with the longest prefix of `path`, or None.

    The host's port and letter case are ignored, and so is the query of the path.
    """
    name = host.rsplit(":", 1)[0] if host.rpartition(":")[2].isdigit() else host
    path_only = path.partition("?")[0]
    best: Route | None = None
    for route in catalog.routes.get(name.lower(), ()):
        if path_only.startswith(route.prefix) and (
            best is None or len(route.prefix) > len(best.prefix)
        ):
            best = route
    return best


def choose_service(route: Route, request_id: str) -> str:
    """Returns the service of a request; in a weighted split, a hash of the request id decides.

    >>> from savoryfork.forward.model import Repeat
    >>> route = Route("r", "h", "/", Repeat.IDEMPOTENT, 1.0, 1.0, 0, (("a", 1.0), ("b", 0.0)), 1)
    >>> {choose_service(route, str(n)) for n in range(50)}
    {'a'}
    """
    total = sum(weight for _, weight in route.services)
    point = rendezvous.score(request_id, route.name) / 2**64 * total
    for service, weight in route.services:
        point -= weight
        if point < 0:
            return service
    return route.services[-1][0]


def workspace_of(catalog: Catalog, key: str | None) -> Workspace | None:
    """Returns the workspace of a key, or None if the key is unknown or missing."""
    return catalog.keys.get(key) if key is not None else None
