"""Tests for the validation of configuration files."""

from __future__ import annotations

from typing import Any

import pytest

from savoryfork import files as files_module
from savoryfork.errors import UserError
from savoryfork.files import check_files, load_directory, parse_files

DIGEST = "a" * 64


def files() -> dict[str, Any]:
    """Returns a small valid set of files."""
    return {
        "service/enc.json": {"kind": "service", "type": "encoder"},
        "service/ret.json": {"kind": "service", "type": "retriever"},
        "service/gen.json": {"kind": "service", "type": "engine", "model": "m"},
        "service/book.json": {"kind": "service", "type": "plain", "idempotent": False},
        "pipeline/ask.json": {
            "kind": "pipeline",
            "deadline_ms": 10_000,
            "stages": [
                {"type": "encode", "name": "e", "service": "enc"},
                {"type": "retrieve", "name": "r", "service": "ret", "top_k": 4},
                {"type": "action", "name": "b", "service": "book", "action": "book"},
            ],
        },
        "workspace/w.json": {"kind": "workspace", "key_digests": [DIGEST], "pipelines": ["ask"]},
    }


def edit(path: str, *keys: str | int, value: Any) -> dict[str, Any]:
    """Returns the small set with one value replaced."""
    changed = files()
    node = changed[path]
    for key in keys[:-1]:
        node = node[key]
    node[keys[-1]] = value
    return changed


GEN = {"type": "generate", "name": "g", "service": "gen", "max_tokens": 5}


BOOK = {"type": "action", "name": "b2", "service": "book", "action": "book"}


ASK, W, ENC = "pipeline/ask.json", "workspace/w.json", "service/enc.json"


STAGES = files()[ASK]["stages"]


FAULTS = [
    (edit(ASK, "colour", value=1), ASK, ".", "unknown field 'colour'"),
    (edit(ASK, "deadline_s", value=1), ASK, ".", "use 'deadline_ms'"),
    (edit(ASK, "deadline_ms", value="10s"), ASK, "deadline_ms", "milliseconds"),
    (edit(ASK, "deadline_ms", value=0), ASK, "deadline_ms", "minimum"),
    (edit(ASK, "deadline_ms", value=-5), ASK, "deadline_ms", "minimum"),
    (edit(ASK, "deadline_ms", value=True), ASK, "deadline_ms", "integer"),
    (edit(ASK, "objective", value={"attainment": 99}), ASK, "objective/attainment", "per cent"),
    (edit(ASK, "stages", 0, "service", value="nope"), ASK, "stages/0/service", "no service 'nope'"),
    (edit(ASK, "stages", 0, "service", value="gen"), ASK, "stages/0/service", "not encoder"),
    (edit(ASK, "stages", 0, "type", value="guess"), ASK, "stages/0/type", "one of encode"),
    (edit(ASK, "stages", 1, "name", value="e"), ASK, "stages/1/name", "used twice"),
    (edit(ASK, "stages", 1, "topk", value=3), ASK, "stages/1", "unknown field 'topk'"),
    (edit(ASK, "stages", value=STAGES[1:]), ASK, "stages/0", "earlier encode stage"),
    (edit(ASK, "stages", value=[*STAGES, GEN]), ASK, "stages/2", "must be the last"),
    (edit(W, "pipelines", value=["ask", "nope"]), W, "pipelines/1", "no pipeline 'nope'"),
    (edit(W, "key_digests", value=["a-plain-key"]), W, "key_digests/0", "must be the SHA-256"),
    (edit(W, "key_digests", value=[DIGEST + "\n"]), W, "key_digests/0", "must be the SHA-256"),
    (edit(W, "share", value=0), W, "share", "minimum"),
    (edit(W, "kind", value="service"), W, "kind", "workspace"),
    (edit(ENC, "idempotent", value=False), ENC, "idempotent", "only a plain service"),
    (edit(ENC, "type", value="plain"), ENC, ".", "must state it"),
    ({**files(), "service/E.json": {}}, "service/E.json", ".", "the path must be"),
    ({**files(), "service/e.json": []}, "service/e.json", ".", "object"),
]


class TestChecks:
    @pytest.mark.parametrize(("changed", "file", "path", "reason"), FAULTS)
    def test_each_fault_is_reported_once(
        self, changed: dict[str, Any], file: str, path: str, reason: str
    ) -> None:
        """Guards against accepting a fault, and against follow-on errors that obscure it."""
        found = [p for p in check_files(changed) if p.file == file]
        assert [p.path for p in found] == [path]
        assert reason in found[0].reason
        assert "a-plain-key" not in found[0].reason

    def test_two_non_idempotent_actions_are_refused(self) -> None:
        """Guards against a pipeline whose first action has taken effect when the second fails."""
        found = check_files(edit(ASK, "stages", value=[*STAGES, BOOK]))
        assert [p.path for p in found] == ["stages/2", "stages/3"]

    @pytest.mark.parametrize("name", ["fornaci", "nasr"])
    def test_examples_are_valid(self, name: str) -> None:
        """Guards against example files that can't be published."""
        found = parse_files(load_directory(f"examples/{name}"))
        assert len(found.workspaces) == 5
        assert {p.deadline_ms for p in found.pipelines.values()} == {10_000}

    @pytest.mark.parametrize("text", ['{"a": 1, "a": 2}', '{"a": NaN}', "{", "[" * 100_000])
    def test_ambiguous_json_is_rejected(self, tmp_path: Any, text: str) -> None:
        """Guards against a duplicate field that silently loses its first value, and against NaN."""
        (tmp_path / "a.json").write_text(text)
        with pytest.raises(UserError, match=r"a\.json"):
            load_directory(tmp_path)


SERVICES = [
    {"kind": "service", "type": "plain", "idempotent": True},
    {"kind": "service", "type": "plain", "idempotent": False},
    {"kind": "service", "type": "engine", "model": "m"},
    {"kind": "service", "type": "engine"},
]


class TestDeclaredEngines:
    def test_files_without_declared_state_stay_valid(self) -> None:
        """Guards against orders to engines without declared state."""
        service = files_module.parse_service("a", SERVICES[2])
        assert (service.version, service.adapters, service.roles) == ("", None, None)

    @pytest.mark.parametrize(
        ("kind", "field", "value"),
        [
            ("engine", "version", ""),
            ("engine", "adapters", ["x", "x"]),
            ("engine", "roles", {"prefill": 0.6, "decode": 0.6}),
            ("engine", "roles", {"draft": 0.5}),
            ("plain", "version", "2"),
        ],
    )
    def test_faulty_declarations_are_refused(self, kind: str, field: str, value: Any) -> None:
        """Guards against a declared state that no engine can reach."""
        document = {"kind": "service", "type": kind, "model": "m", "idempotent": True, field: value}
        assert [p.path for p in files_module.check_file("service/a.json", document)] == [field]
