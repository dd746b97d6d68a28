"""Workspaces, services, pipelines and their stages, as published by operators."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class Service(NamedTuple):
    """A named set of equal targets.

    `kind` is one of engine, encoder, retriever, reranker and plain. `max_inflight` bounds the
    concurrent calls of one host to one target. `checks_orders` says whether its targets refuse an
    order with an old fencing number, `dedupes` whether they ignore a repeated idempotency key.

    `version`, `adapters` and `roles` are the declared state of engines; orders are sent only for
    those that are given. `version` is that of `model`, `adapters` all adapters that shall be
    loaded, `roles` pairs of a role and the share of targets that have it (the rest has `both`).
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
    """The service-level objective: the share of requests answered in full within the deadline."""

    attainment: float = 0.99
    window_days: int = 30


class Pipeline(NamedTuple):
    """A chain of stages under one deadline in milliseconds and one priority (0 first, 9 last)."""

    name: str
    stages: tuple[Stage, ...]
    deadline_ms: int
    priority: int = 5
    objective: Objective = Objective()


class Workspace(NamedTuple):
    """A customer's tenancy. `key_digests` are SHA-256 digests, in hex, of its callers' keys."""

    name: str
    key_digests: tuple[str, ...]
    pipelines: tuple[str, ...]
    share: float = 1.0


class Configuration(NamedTuple):
    """Everything that operators have published, at one log offset (-1 before the first)."""

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
