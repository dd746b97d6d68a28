"""Metrics of the daemon; labels never contain keys, prompt text or request ids."""

from __future__ import annotations

from collections.abc import Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

# Seconds; the pipeline deadline of 10 s is a bucket boundary.
DURATION_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class Metrics:
    """All series of one daemon, in a separate registry so that tests can run several daemons."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.runs = self.counter("savoryfork_runs_total", "Runs by workspace, pipeline and result")
        self.run_seconds = self.histogram("savoryfork_run_seconds", "Duration of answered runs")
        self.stage_seconds = self.histogram("savoryfork_stage_seconds", "Duration of stages")
        self.attempts = self.counter("savoryfork_attempts_total", "Calls to targets by result")
        self.tokens = self.counter("savoryfork_tokens_total", "Generated tokens by stage")
        self.refusals = self.counter("savoryfork_errors_total", "Refusals and failures by kind")
        self.claims = self.counter("savoryfork_claims_total", "Claims by result")
        self.orders = self.counter("savoryfork_orders_total", "Orders by service, kind and result")
        self.order_lease = self.gauge(
            "savoryfork_order_lease", "1 if the lease is held, by service"
        )
        self.order_targets = self.gauge(
            "savoryfork_order_targets", "Watched targets that are as declared or differ, by service"
        )
        self.inflight = self.gauge("savoryfork_inflight_runs", "Runs in progress")
        self.config_offset = self.gauge("savoryfork_config_offset", "Configuration in effect")
        self.log_available = self.gauge("savoryfork_log_available", "1 if the log answered last")
        self.targets = self.gauge("savoryfork_targets", "Targets by service and state")
        self.loop_pause_ms = self.gauge(
            "savoryfork_loop_pause_ms", "Longest recent pause of the loop"
        )

    def counter(self, name: str, doc: str) -> Counter:
        """Registers a counter."""
        return Counter(name, doc, registry=self.registry)

    def gauge(self, name: str, doc: str) -> Gauge:
        """Registers a gauge."""
        return Gauge(name, doc, registry=self.registry)

    def histogram(self, name: str, doc: str) -> Histogram:
        """Registers a histogram of seconds."""
        return Histogram(name, doc, registry=self.registry, buckets=list(DURATION_BUCKETS))

    def render(self, accept: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Returns the exposition for a scraper and its HTTP headers."""
        return render(self.registry, list(accept))
