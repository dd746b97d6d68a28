"""Ejects targets that fail or hang, and readmits them after a probe; see `ejection`."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from savoryfork import ejection
from savoryfork.ejection import Health
from savoryfork.forward.model import Target
from savoryfork.util import logs

log = logging.getLogger(__name__)

# Weight of an unambiguous failure, such as a refused connection. It equals the ejection threshold.
CERTAIN_FAULT = ejection.FAILURE_LIMIT

# Weight of a lost or corrupted answer. Up to a few percent of these are normal under faults.
LIKELY_FAULT = 1.0


class HealthTracker:
    """Tracks the health of targets by incarnation."""

    def __init__(self) -> None:
        self.by_incarnation: dict[tuple[str, int, str], Health] = {}

    def key(self, target: Target) -> tuple[str, int, str]:
        """Returns the key that identifies a target's incarnation."""
        return target.name, target.start_unix_ms, target.address

    def get(self, target: Target) -> Health:
        """Returns the health of a target; a target without faults has the default."""
        return self.by_incarnation.get(self.key(target), Health())

    def usable(self, targets: Sequence[Target], now: float) -> list[Target]:
        """Returns the targets that are not ejected, and ejected ones that are due for a probe.

        Returns all targets if none qualify, so that false ejections can't stop a service.
        """
        if not self.by_incarnation:
            return list(targets)
        found = [t for t in targets if not (h := self.get(t)).ejected or now >= h.probe_ms]
        return found or list(targets)

    def record_success(self, target: Target, now: float) -> None:
        """Records a successful answer, which readmits an ejected target."""
        health = self.get(target)
        if health.ejected:
            self.by_incarnation[self.key(target)] = ejection.readmitted(health, now)
            logs.event(log, "target_returned", target=target.name, service=target.service)

    def record_failure(
        self, target: Target, peers: Sequence[Target], weight: float, reason: str, now: float
    ) -> None:
        """Records a failure and reviews the ejections among the target's peers."""
        health = self.get(target)
        if health.ejected:
            health = ejection.after_probe(health, False, now)
            self.by_incarnation[self.key(target)] = health
        else:
            self.by_incarnation[self.key(target)] = ejection.record_failure(health, weight, now)
        healths = {t.name: self.get(t) for t in peers}
        by_name = {t.name: t for t in peers}
        for name, changed in ejection.review(healths, dict.fromkeys(healths, 1.0), now).items():
            self.by_incarnation[self.key(by_name[name])] = changed
            logs.event(
                log,
                "target_ejected" if changed.ejected else "target_returned",
                target=name,
                service=target.service,
                reason=reason,
                faults=round(ejection.failures_at(healths[name], now), 2),
            )

    def begin_probe(self, target: Target, now: float) -> None:
        """Delays the next probe of an ejected target by its backoff, as one is being sent now."""
        health = self.get(target)
        if health.ejected:
            self.by_incarnation[self.key(target)] = health._replace(
                probe_ms=now + health.backoff_ms
            )

    def retain(self, targets: Sequence[Target]) -> None:
        """Drops the health of all targets but the given ones."""
        keys = {self.key(target) for target in targets}
        self.by_incarnation = {
            key: health for key, health in self.by_incarnation.items() if key in keys
        }
