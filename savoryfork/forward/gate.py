"""Admission of requests: resolves the route and checks the key and the configuration's age."""

from __future__ import annotations

import math

from savoryfork.errors import ErrorKind, ServiceError
from savoryfork.forward import catalog as catalogs
from savoryfork.forward.follower import Follower
from savoryfork.forward.model import Catalog, Repeat
from savoryfork.forward.run import DEFAULT_RETRY_MS, Run, stream_idle_timeout_ms

# Share of the key revocation time after which this host no longer trusts its configuration, and of
# the bound of changes after which it no longer denies anything. The age counts from before the
# store's read, and requests are sent before they are checked here, so the rest only has to cover
# differences in clock rates.
TRUSTED_SHARE = 0.94

# Part of the caller's time that is reserved for returning the answer.
RESPONSE_MARGIN_MS = 5.0


# A draining host admits all requests for this long, as the balancer learns of the stop late. Later
# ones, on kept-alive connections, are admitted only if their deadline is before the end of the
# drain: the platform does not allow a stop to abort a request sent over 3 s after it began.
DRAIN_ADMIT_MS = 2_500.0

# Time between the latest deadline of those and the end of the drain. A coordinator may answer up to
# 200 ms after the deadline (`stages.REPLY_MARGIN_MS`), and timers of a busy host fire late.
FINISH_MARGIN_MS = 300.0

# Retry-after of a request that is refused because this host stops: any other host can take it now.
STOPPING_RETRY_MS = 50.0

# Retry-after while no host reaches the store: outages last 4 to 9 s, of which over 3 s have passed
# when keyed requests are first refused. Callers cap this at a third of their remaining time.
OUTAGE_RETRY_MS = 2_500.0


def stale_retry_ms(others_reach_store: bool) -> float:
    """Returns the retry-after of a request whose key can't be checked on this host.

    If all hosts have lost the store for some seconds, callers with one try left that retry after
    0.4 s are refused for good long before the store is back.

    >>> stale_retry_ms(True), stale_retry_ms(False)
    (400.0, 2500.0)
    """
    return DEFAULT_RETRY_MS if others_reach_store else OUTAGE_RETRY_MS


def stopping_error(run: Run) -> ServiceError:
    """Returns the refusal of a request by a host that stops."""
    run.retry_ms = STOPPING_RETRY_MS
    return ServiceError(ErrorKind.NOT_READY, "this host is stopping; try another host")


class Gate:
    """Admits requests to this host. Keys are checked again before each send to a target."""

    def __init__(self, follower: Follower, revocation_ms: float) -> None:
        self.follower = follower
        self.trusted_ms = 0.0
        self.set_revocation(revocation_ms)
        self.admit_all_until = math.inf
        self.abort_at = math.inf

    def start_draining(self, now: float, abort_at: float) -> None:
        """Starts draining; requests that have not ended by `abort_at` will be aborted."""
        self.admit_all_until = now + DRAIN_ADMIT_MS
        self.abort_at = abort_at

    def close(self) -> None:
        """Refuses every request from now on, as this host is about to exit."""
        self.admit_all_until = self.abort_at = -math.inf

    def set_revocation(self, revocation_ms: float) -> None:
        """Sets the time within which a revoked key must stop working."""
        self.trusted_ms = TRUSTED_SHARE * revocation_ms

    def denial_ms(self) -> float:
        """Returns the age of the configuration up to which this host denies what it does not hold.

        What came with a version that is in force by its bound is then never denied, whatever kept
        this host from reading it. Callers take a denial for final, so beyond this age they are sent
        to another host.
        """
        return min(self.trusted_ms, TRUSTED_SHARE * self.follower.bounds.configuration_ms)

    def current_catalog(self) -> Catalog:
        """Returns the configuration in effect; raises NOT_READY before the first one."""
        catalog = self.follower.catalog
        if catalog is None:
            raise ServiceError(ErrorKind.NOT_READY, "no configuration yet; try another host")
        return catalog

    def admit(self, run: Run) -> None:
        """Sets a request's route, deadlines and workspace; raises ServiceError to refuse it."""
        catalog = self.current_catalog()
        run.version = catalog.version
        run.config_age_ms = self.follower.config_age_ms()
        request = run.request
        path = request.path.decode("latin-1")
        route = catalogs.find_route(catalog, request.host, path)
        if route is None:
            self.check_age(run, self.denial_ms())
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
        self.check_draining(run)
        self.check_key(run, catalog)
        if not request.id:
            raise ServiceError(ErrorKind.MALFORMED_REQUEST, "the request has no id")
        if route.stages and request.pieces is None:
            raise ServiceError(ErrorKind.MALFORMED_REQUEST, "malformed numbers of pieces")
        run.service = catalogs.choose_service(route, run.id)

    def check_draining(self, run: Run) -> None:
        """Raises NOT_READY for a late request that may not end before this host does.

        Its body may have arrived long after its head, so what counts is the present time.
        """
        late = self.follower.now() > self.admit_all_until
        if late and run.deadline_at > self.abort_at - FINISH_MARGIN_MS:
            raise stopping_error(run)

    def check_age(self, run: Run, limit_ms: float) -> None:
        """Raises STALE_CONFIGURATION if this host's configuration is older than a limit."""
        run.config_age_ms = self.follower.config_age_ms()
        if run.config_age_ms > limit_ms:
            members = self.follower.members
            run.retry_ms = stale_retry_ms(members.others_reach_store(self.follower.now()))
            raise ServiceError(
                ErrorKind.STALE_CONFIGURATION,
                "the configuration of this host may be out of date; try another host",
            )

    def check_key(self, run: Run, catalog: Catalog) -> None:
        """Sets the workspace of the request's key; raises ServiceError if the key is not valid.

        Called again just before each send: the key may have been revoked while the request waited,
        or the host may have been frozen.

        An anonymous route needs no key, so that a request without one is served however old the
        configuration is. A key that is present is judged on every route, and with every
        configuration: one that no workspace holds may have been taken away, and a run without a
        workspace is not what its caller asked for.
        """
        key = run.request.key
        anonymous = run.route is not None and run.route.anonymous
        if key is None and (anonymous or not catalog.keyed):
            return
        self.check_age(run, self.trusted_ms)
        run.workspace = catalogs.workspace_of(catalog, key)
        if run.workspace is None:
            self.check_age(run, self.denial_ms())
            raise ServiceError(ErrorKind.UNAUTHORIZED, "no key" if key is None else "unknown key")
        if run.workspace.priority is not None:
            run.priority = run.workspace.priority
        elif run.route is not None:
            run.priority = run.route.priority
