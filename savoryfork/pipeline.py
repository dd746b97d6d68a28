"""Workspaces, services, pipelines and their stages, as published by operators."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class Service(NamedTuple):
    """A named set of interchangeable targets.

    `kind` is one of engine, encoder, retriever, reranker and plain. `max_inflight` bounds the
    concurrent calls of one host to one target. `checks_orders` is True if its targets refuse an
    order with an outdated fencing number, `dedupes` if they ignore a repeated idempotency key.

    `version`, `adapters` and `roles` are the declared state of engines; orders are sent only for
    those that are set. `version` is that of `model`, `adapters` are all adapters to be loaded,
    `roles` are pairs of a role and the share of targets with that role (the rest have `both`).
    """

    name: str
    kind: str
    idempotent: bool = True
    checks_orders: bool = False
    dedupes: bool = False
    max_inflight: int = 16
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] | None = None
    roles: tuple[tuple[str, float], ...] | None = None


class EncodeStage(NamedTuple):
    """Turns the text of the request into a vector."""

    name: str
    service: str


class RetrieveStage(NamedTuple):
    """Finds the `top_k` documents nearest to the vector."""

    name: str
    service: str
    top_k: int


class RerankStage(NamedTuple):
    """Orders the documents by relevance and keeps the first `top_n`."""

    name: str
    service: str
    top_n: int


class GenerateStage(NamedTuple):
    """Generates at most `max_tokens` tokens from the text and the documents."""

    name: str
    service: str
    max_tokens: int


class ActionStage(NamedTuple):
    """Calls `action` of a plain service with the fields of the request."""

    name: str
    service: str
    action: str


Stage = EncodeStage | RetrieveStage | RerankStage | GenerateStage | ActionStage


class Objective(NamedTuple):
    """Service-level objective: the share of requests answered completely within the deadline."""

    attainment: float = 0.99
    window_days: int = 30


class Pipeline(NamedTuple):
    """A chain of stages with one deadline in milliseconds and one priority (0 high, 9 low)."""

    name: str
    stages: tuple[Stage, ...]
    deadline_ms: int
    priority: int = 5
    objective: Objective = Objective()


class Workspace(NamedTuple):
    """A tenant. `key_digests` are the SHA-256 digests, in hex, of its callers' API keys."""

    name: str
    key_digests: tuple[str, ...]
    pipelines: tuple[str, ...]
    share: float = 1.0


class Configuration(NamedTuple):
    """The published configuration as of one log offset (-1 before the first publication)."""

    offset: int
    services: Mapping[str, Service]
    pipelines: Mapping[str, Pipeline]
    workspaces: Mapping[str, Workspace]


EMPTY_CONFIGURATION = Configuration(-1, {}, {}, {})


def needs_claim(pipeline: Pipeline, configuration: Configuration) -> bool:
    """True if a run of the pipeline must be claimed before it takes effect."""
    last = pipeline.stages[-1]
    if not isinstance(last, ActionStage):
        return False
    service = configuration.services[last.service]
    return not service.idempotent and not service.dedupes


def non_idempotent(pipeline: Pipeline, configuration: Configuration) -> bool:
    """True if repeating a run of the pipeline could take effect twice."""
    last = pipeline.stages[-1]
    return isinstance(last, ActionStage) and not configuration.services[last.service].idempotent
