"""Metrics of a forwarding host; no label takes its value from a request."""

from __future__ import annotations

from savoryfork.metrics import Metrics


class ForwardMetrics(Metrics):
    """The daemon's metrics registry with the series of forwarding."""

    def __init__(self) -> None:
        super().__init__()
        self.requests = self.counter(
            "savoryfork_requests_total", "Callers' requests by outcome and kind"
        )
        self.request_seconds = self.histogram(
            "savoryfork_request_seconds", "From the request to the end of its answer, by kind"
        )
        self.first_event_seconds = self.histogram(
            "savoryfork_first_event_seconds", "From the request to the first event of its stream"
        )
        self.broken_attempts = self.counter(
            "savoryfork_broken_attempts_total",
            "Attempts that ended without a complete answer, by service and progress",
        )
        self.silent_targets = self.counter(
            "savoryfork_silent_targets_total",
            "Decisions on requests whose target has fallen silent, by service and decision",
        )
        self.crash_losses = self.counter(
            "savoryfork_crash_losses_total",
            "Requests lost when a target crashed, by service and whether their answer had begun",
        )
        self.quarantined_requests = self.gauge(
            "savoryfork_quarantined_requests", "Whole requests that are kept from targets"
        )
        self.quarantined_parts = self.gauge(
            "savoryfork_quarantined_parts", "Prompt parts that are kept from engines"
        )
        self.departures = self.gauge(
            "savoryfork_departures",
            "Targets found to be leaving since the start, by the source that said so first",
        )
        self.push_backs = self.gauge(
            "savoryfork_push_backs", "Answers since the start that push back, by service"
        )
        self.pushed_back_targets = self.gauge(
            "savoryfork_pushed_back_targets", "Targets that push back on this host now"
        )
        self.cold_targets = self.gauge(
            "savoryfork_cold_targets", "Targets that this host takes for cold now"
        )
        self.cold_requests = self.gauge(
            "savoryfork_cold_requests",
            "Requests of this host for cold targets since the start, sent or held, by decision",
        )
        self.reserved_bytes = self.gauge(
            "savoryfork_reserved_bytes", "Bytes that callers' requests and answers take now"
        )
        self.memory_decisions = self.gauge(
            "savoryfork_memory_decisions",
            "Requests since the start that were evicted or refused for lack of memory, by decision",
        )
        self.caller_connections = self.gauge(
            "savoryfork_caller_connections", "Open connections of callers"
        )
        self.closed_connections = self.gauge(
            "savoryfork_closed_connections",
            "Connections of callers since the start that were closed or refused, by decision",
        )
        self.evacuated_zones = self.gauge(
            "savoryfork_evacuated_zones", "Zones whose targets get nothing, as operators ask"
        )
        self.target_slowdown = self.gauge(
            "savoryfork_target_slowdown",
            "Least and most time that a target takes of its service's, by service and bound",
        )
        self.prompt_tokens = self.counter(
            "savoryfork_prompt_tokens_total",
            "Prompt tokens sent to engines, by service and whether the engine is expected to hold"
            " them (known, or as all hosts place prompts) or to read them",
        )
        self.held_parts = self.gauge(
            "savoryfork_held_parts", "Prompt parts that engines are known to hold, by service"
        )
        self.connections = self.gauge(
            "savoryfork_target_connections", "Connections to targets since the start, by use"
        )
        self.store_calls = self.gauge(
            "savoryfork_store_calls", "Calls to the store since the start"
        )
        self.store_era = self.gauge(
            "savoryfork_store_era", "Era of the store, which rises when it is restored, by register"
        )
        self.kept_entries = self.gauge(
            "savoryfork_kept_entries", "Entries that the restored store has not as new, by register"
        )
        self.config_age = self.gauge("savoryfork_config_age_ms", "Age of the configuration")
        self.targets_age = self.gauge("savoryfork_targets_age_ms", "Age of the list of targets")
        self.loads_age = self.gauge(
            "savoryfork_loads_age_ms", "Age of the oldest known load of another host"
        )
        self.control_bytes = self.gauge(
            "savoryfork_control_bytes", "Bytes of messages between hosts, by kind and direction"
        )
        self.members = self.gauge("savoryfork_members", "Hosts that are taken to be alive")
        self.store_reads = self.counter(
            "savoryfork_store_reads_total", "Reads of the store by register and result"
        )
        self.stage_work = self.counter(
            "savoryfork_stage_work_total", "Requests with stage work by the decision on them"
        )
        self.active_work = self.gauge(
            "savoryfork_active_work", "Requests whose stages this host coordinates now"
        )
        self.cells = self.gauge("savoryfork_cells", "Cells into which stage work is divided")
        self.coordinated_cell = self.gauge(
            "savoryfork_coordinated_cell", "Number of the cell that this host coordinates, or -1"
        )
        self.over_share_work = self.counter(
            "savoryfork_over_share_work_total",
            "Requests with stage work of workspaces over their share in a shortage, by decision",
        )
        self.stage_calls = self.counter(
            "savoryfork_stage_calls_total", "Calls to stage targets by service and result"
        )
        self.stage_call_seconds = self.histogram(
            "savoryfork_stage_call_seconds", "Duration of calls to stage targets by service"
        )
        self.waiting_pieces = self.gauge(
            "savoryfork_waiting_pieces", "Pieces that wait for a stage target, by service"
        )
        self.held_results = self.gauge(
            "savoryfork_held_results", "Results that are counted as kept by targets, by service"
        )
        self.log_dropped = self.gauge("savoryfork_log_lines_dropped", "Log lines left out")

    def request(self, outcome: str, kind: str, duration_ms: float) -> None:
        """Records a completed request."""
        self.requests.inc({"outcome": outcome, "kind": kind})
        self.request_seconds.observe({"kind": kind}, duration_ms / 1000)

    def stage_call(self, service: str, result: str, duration_ms: float) -> None:
        """Records a completed call to a stage target."""
        self.stage_calls.inc({"service": service, "result": result})
        self.stage_call_seconds.observe({"service": service}, duration_ms / 1000)

    def first_event(self, duration_ms: float) -> None:
        """Records the time to the first event of a stream."""
        self.first_event_seconds.observe({}, duration_ms / 1000)
