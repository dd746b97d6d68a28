"""Decides what a request is, whether its key is good, and whether this host may still know."""

from __future__ import annotations

import math

from savoryfork.errors import ErrorKind, ServiceError
from savoryfork.forward import catalog as catalogs
from savoryfork.forward.follower import Follower
from savoryfork.forward.model import Catalog, Repeat
from savoryfork.forward.run import DEFAULT_RETRY_MS, Run, stream_idle_timeout_ms

# Part of the time for the revocation of keys after which this host no longer trusts what it
# knows. The age counts from before the store's read, and callers' requests are sent before they
# are checked here, so only the rates of clocks are left for the rest.
TRUSTED_SHARE = 0.94

# Time kept of the caller's for the way back.
RESPONSE_MARGIN_MS = 5.0


# A stopping host goes on to take requests for this long, as the balancer learns of the stop late.
# Later ones, on connections that were kept, are taken only if they will surely end in time: the
# platform lets a stop cut no request that was sent over 3 s after it began.
DRAIN_ADMIT_MS = 2_500.0

# When a caller may come back while no host reaches the store: outages on the sites last 4 to 9 s,
# of which over 3 s have passed when keyed requests are first refused. Callers cut this to a third
# of the time that they have left.
OUTAGE_RETRY_MS = 2_500.0


def stale_retry_ms(others_reach_store: bool) -> float:
    """When a caller may come back whose key can't be judged here.

    Load pattern answered: the store is lost to all hosts for some seconds. Callers with one more
    try that came back after 0.4 s were refused for good long before the store was back.

    >>> stale_retry_ms(True), stale_retry_ms(False)
    (400.0, 2500.0)
    """
    return DEFAULT_RETRY_MS if others_reach_store else OUTAGE_RETRY_MS


class Gate:
    """The entrance of this host. Keys are judged again before each sending."""

    def __init__(self, follower: Follower, revocation_ms: float) -> None:
        self.follower = follower
        self.trusted_ms = 0.0
        self.set_revocation(revocation_ms)
        self.admit_all_until = math.inf
        self.abort_at = math.inf

    def start_draining(self, now: float, abort_at: float) -> None:
        """Notes that this host stops; requests that have not ended by `abort_at` will be cut."""
        self.admit_all_until = now + DRAIN_ADMIT_MS
        self.abort_at = abort_at

    def close(self) -> None:
        """Refuses every request from now on: this host is about to end."""
        self.admit_all_until = self.abort_at = -math.inf

    def set_revocation(self, revocation_ms: float) -> None:
        """Sets the time in which a revoked key must stop working."""
        self.trusted_ms = TRUSTED_SHARE * revocation_ms

    def current_catalog(self) -> Catalog:
        """The configuration in effect; raises NOT_READY before the first one."""
        catalog = self.follower.catalog
        if catalog is None:
            raise ServiceError(ErrorKind.NOT_READY, "no configuration yet; try another host")
        return catalog

    def admit(self, run: Run) -> None:
        """Finds the route and the workspace; raises ServiceError for what is not to be served."""
        catalog = self.current_catalog()
        run.version = catalog.version
        run.config_age_ms = self.follower.config_age_ms()
        request = run.request
        path = request.path.decode("latin-1")
        route = catalogs.find_route(catalog, request.host, path)
        if route is None:
            self.check_trusted(run)
            raise ServiceError(ErrorKind.UNKNOWN_PIPELINE, "no route for this host and path")
        run.route = route
        allowed_ms = request.allowed_ms if request.allowed_ms is not None else route.timeout_ms
        allowed_ms = min(allowed_ms, route.timeout_ms)
        run.deadline_at = run.received_at + allowed_ms - RESPONSE_MARGIN_MS
        run.aim_at = run.received_at + route.aim_ms
        run.first_event_by = run.deadline_at
        if route.repeat is Repeat.STREAM:
            run.first_event_by = min(
                run.deadline_at, run.received_at + stream_idle_timeout_ms(route)
            )
        run.priority = route.priority
        if run.received_at > self.admit_all_until and run.deadline_at > self.abort_at:
            raise ServiceError(ErrorKind.NOT_READY, "this host is stopping; try another host")
        self.check_key(run, catalog)
        if not request.id:
            raise ServiceError(ErrorKind.MALFORMED_REQUEST, "the request has no id")
        run.service = catalogs.choose_service(route, run.id)

    def check_trusted(self, run: Run) -> None:
        """Raises if this host's configuration may be out of date."""
        run.config_age_ms = self.follower.config_age_ms()
        if run.config_age_ms > self.trusted_ms:
            members = self.follower.members
            run.retry_ms = stale_retry_ms(members.others_reach_store(self.follower.now()))
            raise ServiceError(
                ErrorKind.STALE_CONFIGURATION,
                "this host has lost touch with the configuration; try another host",
            )

    def check_key(self, run: Run, catalog: Catalog) -> None:
        """Finds the workspace of the request's key; raises if it may not be used.

        Called again just before each sending: the key may have been taken away while the request
        waited, or the host may have been frozen.
        """
        if not catalog.keyed:
            return
        run.workspace = catalogs.workspace_of(catalog, run.request.key)
        if run.route is not None and run.route.anonymous:
            return
        self.check_trusted(run)
        if run.workspace is None:
            raise ServiceError(ErrorKind.UNAUTHORIZED, "the key is not known")
        if run.workspace.priority is not None:
            run.priority = run.workspace.priority
