"""Definitions of the two deployments: services, replica counts and availability zones."""

from __future__ import annotations

from typing import NamedTuple


class ServiceSpec(NamedTuple):
    """A service and its number of targets. `checks_orders`, `dedupes` and `idempotent` match the
    operators' configuration of the service."""

    name: str
    kind: str
    replicas: int
    model: str = ""
    idempotent: bool = True
    checks_orders: bool = False
    dedupes: bool = False
    service_ms: float = 15.0


class DeploymentSpec(NamedTuple):
    """A deployment: availability zones, number of entry hosts, and services."""

    name: str
    availability_zones: tuple[str, ...]
    hosts: int
    services: tuple[ServiceSpec, ...]

    def small(self) -> DeploymentSpec:
        """Returns a smaller deployment for tests: 3 hosts, up to 3 engines and 2 other replicas."""
        services = tuple(
            s._replace(replicas=min(s.replicas, 3 if s.kind == "engine" else 2))
            for s in self.services
        )
        return self._replace(hosts=3, services=services)


POOLS = (
    ServiceSpec("encoders", "encoder", 2, service_ms=8.0),
    ServiceSpec("retrievers", "retriever", 2, service_ms=12.0),
    ServiceSpec("rerankers", "reranker", 2, service_ms=20.0),
)

FORNACI = DeploymentSpec(
    "fornaci",
    ("ragusa", "modica", "noto", "comiso"),
    8,
    (
        ServiceSpec("fornaio", "engine", 6, model="fornaio-1", checks_orders=True),
        ServiceSpec("calendario", "plain", 4, idempotent=False),
        ServiceSpec("cave", "plain", 4),
        ServiceSpec("carri", "plain", 4),
        ServiceSpec("conti", "plain", 4),
        *POOLS,
    ),
)

NASR = DeploymentSpec(
    "nasr",
    ("cai-a", "cai-b", "cai-c", "cai-d"),
    9,
    (
        ServiceSpec("savoryfork-pool", "engine", 5, model="menu-1"),
        ServiceSpec("orders", "plain", 4, idempotent=False),
        ServiceSpec("proofs-archive", "plain", 4),
        ServiceSpec("press-queue", "plain", 4),
        ServiceSpec("invoicing", "plain", 4),
        *POOLS,
    ),
)
