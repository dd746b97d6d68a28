"""Decoding of the operators' configuration; malformed rows do not affect the others."""

import msgspec

from savoryfork.forward.model import Repeat
from savoryfork.platform import records

ROUTE = {
    "name": "r",
    "host": "A.example",
    "path_prefix": "/x/",
    "route_kind": "streaming",
    "timeout_ms": 6000,
    "target_latency_ms": 1500,
    "priority": 0,
    "traffic_split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
    "max_attempts": 2,
    "stages": [{"service": "c", "after": [], "payload_bytes": 8000}],
    "stream_resume": True,
    "target_gap_ms": 150,
}
PIECES = {"slots": 1, "queue": 2, "batch": 4, "call_ms": 150.0, "item_ms": 32.0}
SERVICE = {"name": "c", "pieces": {**PIECES, "headroom_mb": 22.0, "handle_s": 4.0}}


def catalog(**changes: object):
    document = {"version": 7, "routes": [ROUTE], "services": [SERVICE], "limits": {}, **changes}
    return records.CatalogDecoder().decode(msgspec.json.encode(document))


class TestCatalog:
    def test_route_and_its_stages(self):
        route = catalog().routes["a.example"][0]
        assert route.repeat is Repeat.STREAM and route.resumable and route.max_targets == 2
        assert route.services == (("a", 90.0), ("b", 10.0)) and route.stages[0].service == "c"

    def test_sizes_and_times_are_converted(self):
        batch = catalog().services["c"].batch
        assert batch.room_bytes == 22_000_000 and batch.keep_ms == 4_000

    def test_table_of_routes_by_name(self):
        table = {"r": {k: v for k, v in ROUTE.items() if k != "name"}}
        assert catalog(routes=table).routes["a.example"][0].name == "r"

    def test_malformed_route_is_skipped(self):
        decoded = catalog(routes=[{"name": "bad"}, ROUTE, "odd"])
        assert [r.name for r in decoded.routes["a.example"]] == ["r"]

    def test_keys_are_required_only_with_tenants(self):
        assert not catalog().keyed
        assert catalog(tenants=[{"name": "w", "api_keys": ["k"], "priority": 1}]).keys["k"] == (
            "w",
            1,
        )

    def test_unknown_route_kind_is_non_idempotent(self):
        decoded = catalog(routes=[{**ROUTE, "route_kind": "new"}])
        assert decoded.routes["a.example"][0].repeat is Repeat.NON_IDEMPOTENT

    def test_only_changed_routes_are_decoded_again(self):
        """Guards against a weak host that decodes thousands of routes for each version."""
        routes = [{**ROUTE, "name": f"r{n}"} for n in range(50)]
        decoder = records.CatalogDecoder()
        versions = []
        for version, changed in ((1, {}), (2, {"priority": 3}), (3, {})):
            routes[7] = {**routes[7], **changed}
            value = msgspec.json.encode({"version": version, "routes": routes[: 51 - version]})
            versions.append(decoder.decode(value))
        assert decoder.parsed_routes == 51 and len(decoder.routes) == 48
        assert [c.version for c in versions] == [1, 2, 3]
        assert versions[2].routes["a.example"][7].priority == 3

    def test_malformed_configuration_is_rejected(self):
        assert records.CatalogDecoder().decode(b"{") is None
        assert records.CatalogDecoder().decode(b'{"routes":[]}') is None
