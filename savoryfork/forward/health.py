"""Keeps targets that fail or hang out of use, and brings them back; see `ejection`."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from savoryfork import ejection
from savoryfork.ejection import Health
from savoryfork.forward.model import Target
from savoryfork.util import logs

log = logging.getLogger(__name__)

# Weight of a failure that leaves no doubt, such as a connection that can't be made.
CERTAIN_FAULT = ejection.FAILURE_LIMIT

# Weight of an answer that was lost or spoiled: a few in a hundred are normal on a faulty day.
LIKELY_FAULT = 1.0


class HealthTracker:
    """The health of all targets of this host's services, by incarnation."""

    def __init__(self) -> None:
        self.by_incarnation: dict[tuple[str, int, str], Health] = {}

    def key(self, target: Target) -> tuple[str, int, str]:
        """What tells incarnations apart."""
        return target.name, target.born, target.address

    def get(self, target: Target) -> Health:
        """The health of a target."""
        return self.by_incarnation.get(self.key(target), Health())

    def usable(self, targets: Sequence[Target], now: float) -> list[Target]:
        """The targets that may get work: those not ejected, and ejected ones due for a probe.

        If that leaves none, all of them: a wrong judgement must not stop a service.
        """
        found = [t for t in targets if not (h := self.get(t)).ejected or now >= h.probe_ms]
        return found or list(targets)

    def record_success(self, target: Target, now: float) -> None:
        """Notes a good answer."""
        health = self.get(target)
        if health.ejected:
            self.by_incarnation[self.key(target)] = ejection.readmitted(health, now)
            logs.event(log, "target_returned", target=target.name, service=target.service)

    def record_failure(
        self, target: Target, peers: Sequence[Target], weight: float, reason: str, now: float
    ) -> None:
        """Notes a failure and ejects the target if that is too many."""
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
        """Notes that an ejected target gets a request, so that no second one follows at once."""
        health = self.get(target)
        if health.ejected:
            self.by_incarnation[self.key(target)] = health._replace(
                probe_ms=now + health.backoff_ms
            )

    def retain(self, targets: Sequence[Target]) -> None:
        """Drops what concerns targets that are gone."""
        keys = {self.key(target) for target in targets}
        self.by_incarnation = {
            key: health for key, health in self.by_incarnation.items() if key in keys
        }
