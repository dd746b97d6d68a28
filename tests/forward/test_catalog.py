"""Tests of the lookup of routes, services and workspaces in a catalog."""

from savoryfork.forward import catalog as catalogs
from savoryfork.forward.model import Catalog, Repeat, Route, Workspace


def route(name: str, host: str, prefix: str, **changes: object) -> Route:
    declared = Route(name, host, prefix, Repeat.IDEMPOTENT, 1000.0, 100.0, 0, (("s", 1.0),), 1)
    return declared._replace(**changes)


CATALOG = Catalog(
    3,
    {"a.example": (route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"))},
    {},
    {"k": Workspace("w")},
    True,
)


class TestFindRoute:
    def test_the_longest_prefix_wins(self):
        assert catalogs.find_route(CATALOG, "a.example", "/x/y/z").name == "long"
        assert catalogs.find_route(CATALOG, "a.example", "/x/z").name == "short"

    def test_port_and_case_of_the_host_are_ignored(self):
        assert catalogs.find_route(CATALOG, "A.Example:8080", "/x/z").name == "short"

    def test_the_query_is_ignored(self):
        assert catalogs.find_route(CATALOG, "a.example", "/q?/x/") is None

    def test_escapes_are_not_decoded(self):
        assert catalogs.find_route(CATALOG, "a.example", "/x%2Fy/") is None

    def test_other_hosts_have_no_route(self):
        assert catalogs.find_route(CATALOG, "b.example", "/x/z") is None


class TestChooseService:
    def test_requests_are_split_by_weight(self):
        split = route("r", "h", "/", services=(("a", 90.0), ("b", 10.0)))
        chosen = [catalogs.choose_service(split, f"{n:x}") for n in range(5000)]
        assert 0.08 < chosen.count("b") / len(chosen) < 0.12


class TestWorkspaceOf:
    def test_unknown_and_missing_keys_have_no_workspace(self):
        assert catalogs.workspace_of(CATALOG, "k") == Workspace("w")
        assert catalogs.workspace_of(CATALOG, "K") is None
        assert catalogs.workspace_of(CATALOG, None) is None
