"""Decoding of the operators' configuration; malformed rows do not affect the others."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryfork.forward.model import Repeat, Target
from savoryfork.platform import records
from tests.odd import NASTY_JSON, values

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
TARGET = {
    "service": "c",
    "address": "10.1.64.7:8080",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "born": 1_700_000_000_000,
}

quick = settings(derandomize=True, max_examples=100, deadline=None)


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

    def test_memory_of_engines(self):
        services = [{"name": "e", "engine": {"slots": 24, "kv_capacity": 304_898}}, SERVICE]
        decoded = catalog(services=services).services
        assert decoded["e"].cache_tokens == 304_898 and decoded["c"].cache_tokens == 0

    @pytest.mark.parametrize("engine", [5, [], {"kv_capacity": -1}, {"kv_capacity": "x"}])
    def test_malformed_memory_of_engines_is_not_known(self, engine):
        """Guards against a service that is lost with its engine's memory."""
        found = catalog(services=[{**SERVICE, "engine": engine}]).services["c"]
        assert found.cache_tokens == 0 and found.batch is not None

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


ODD_ROUTES = {
    "timeout negative": {"timeout_ms": -1},
    "timeout a text": {"timeout_ms": "6000"},
    "timeout 10^400": {"timeout_ms": 10**400},
    "timeout true": {"timeout_ms": True},
    "priority negative": {"priority": -1},
    "priority a list": {"priority": []},
    "attempts 10^23": {"max_attempts": 10**23},
    "anonymous a text": {"allow_anonymous": "false"},
    "prefix a number": {"path_prefix": 1},
    "host null": {"host": None},
    "kind a list": {"route_kind": ["streaming"]},
    "split of nothing": {"traffic_split": [{"service": "a", "weight": 0}]},
    "split with a negative weight": {"traffic_split": [{"service": "a", "weight": -1}]},
    "stage after none": {"stages": [{"service": "c", "after": [7]}]},
    "stage after itself": {"stages": [{"service": "c", "after": [0]}]},
    "stages in a circle": {
        "stages": [{"service": "c", "after": [1]}, {"service": "c", "after": [0]}]
    },
}

ODD_TEXTS = {
    "nested deep": b'{"name":"odd","x":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "5,000 digits": b'{"name":"odd","x":' + b"1" * 5_000 + b"}",
    "1e999": b'{"name":"odd","x":1e999}',
    "not UTF-8": b'{"name":"\xff"}',
    "a list": b"[]",
    "null": b"null",
}


def with_row(section: str, text: bytes):
    """Decodes a configuration with the text of an odd row between others of a section."""
    rows = {"routes": ROUTE, "services": SERVICE, "tenants": {"name": "w", "api_keys": ["k"]}}
    document = {"version": 7, "routes": [ROUTE], "services": [SERVICE]}
    good = rows[section]
    document[section] = [good, "ODD", {**good, "name": "last"}]
    value = msgspec.json.encode(document).replace(b'"ODD"', text)
    return records.CatalogDecoder().decode(value)


class TestOddRows:
    """Guards against one malformed row that keeps a whole configuration from taking effect.

    The previous one stayed in force then, with the keys that the new one had removed.
    """

    @pytest.mark.parametrize("changes", ODD_ROUTES.values(), ids=ODD_ROUTES)
    def test_route(self, changes):
        decoded = with_row("routes", msgspec.json.encode({**ROUTE, "name": "odd", **changes}))
        assert [r.name for r in decoded.routes["a.example"]] == ["r", "last"]

    @pytest.mark.parametrize("text", ODD_TEXTS.values(), ids=ODD_TEXTS)
    @pytest.mark.parametrize("section", ["routes", "services", "tenants"])
    def test_row_that_cant_be_read(self, section, text):
        decoded = with_row(section, text)
        assert decoded.version == 7
        if section == "routes":
            assert [r.name for r in decoded.routes["a.example"]] == ["r", "last"]
        elif section == "services":
            assert set(decoded.services) == {"c", "last"}
            assert decoded.services["last"].batch is not None
        else:
            assert decoded.keyed and set(decoded.keys) == {"k"}

    @pytest.mark.parametrize("slots", [-1, "1", 10**23, True, [1]])
    def test_service_with_odd_limits_runs_no_stages(self, slots):
        row = msgspec.json.encode({"name": "odd", "pieces": {**PIECES, "slots": slots}})
        decoded = with_row("services", row)
        assert decoded.services["odd"].batch is None
        assert decoded.services["c"].batch is not None and decoded.services["last"].batch

    @pytest.mark.parametrize(
        ("changes", "keys"),
        [
            ({"api_keys": "k2"}, {"k"}),
            ({"api_keys": {"k2": 1}}, {"k"}),
            ({"api_keys": ["k2", 5, None, ""]}, {"k", "k2"}),
            ({"name": None, "api_keys": ["k2"]}, {"k"}),
            ({"name": "a\r\nX: y", "api_keys": ["k2"]}, {"k"}),
            ({"priority": -5, "api_keys": ["k2"]}, {"k", "k2"}),
        ],
    )
    def test_tenant(self, changes, keys):
        decoded = with_row("tenants", msgspec.json.encode({"name": "odd", **changes}))
        assert decoded.keyed and set(decoded.keys) == keys
        assert all(workspace.priority is None for workspace in decoded.keys.values())

    def test_a_removed_key_is_removed_beside_an_odd_service(self):
        """Guards against a key that stays valid since its removal came with a malformed row."""
        services = [SERVICE, {"name": "odd", "pieces": {"batch": "x"}}]
        decoded = catalog(services=services, tenants=[{"name": "w", "api_keys": []}])
        assert decoded.keyed and not decoded.keys

    def test_tenants_that_cant_be_read_deny_every_key(self):
        decoded = catalog(tenants=5)
        assert decoded.keyed and not decoded.keys

    @pytest.mark.parametrize("version", [None, "7", -1, True, 1.5, 10**30])
    def test_configuration_without_an_order_is_rejected(self, version):
        assert catalog(version=version) is None


class TestAnyBytes:
    """Guards against an input that ends the reader of a topic, and so every host at once."""

    @pytest.mark.parametrize("data", NASTY_JSON.values(), ids=NASTY_JSON)
    def test_nasty_documents(self, data):
        assert records.decode_target("t", data) is None
        assert records.CatalogDecoder().decode(data) is None
        for section in (b"version", b"routes", b"services", b"tenants"):
            document = b'{"version":7,"' + section + b'":' + data + b"}"
            records.CatalogDecoder().decode(document)

    @quick
    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        assert records.decode_target("t", data) is None
        assert records.CatalogDecoder().decode(data) is None

    @quick
    @given(st.sampled_from([*TARGET, "other"]), values)
    def test_target_with_any_field(self, field, value):
        target = records.decode_target("t", msgspec.json.encode({**TARGET, field: value}))
        if target is not None:
            assert isinstance(target.start_unix_ms, int) and 0 < target.slots <= records.MAX_SLOTS
            assert msgspec.msgpack.decode(msgspec.msgpack.encode(target), type=Target) == target

    @quick
    @given(st.sampled_from(["routes", "services", "tenants"]), values, st.text(max_size=9), values)
    def test_configuration_with_any_row(self, section, row, field, value):
        assert with_row(section, msgspec.json.encode(row)) is not None
        good = {"routes": ROUTE, "services": SERVICE, "tenants": {"name": "w", "api_keys": []}}
        for name in (*good[section], field):
            odd = msgspec.json.encode({**good[section], name: value})
            decoded = with_row(section, odd)
            assert decoded is not None and decoded.version == 7
