"""The settings template yields valid settings, and invalid fields are reported."""

import json
import re
import subprocess
import sys
from pathlib import Path

import pytest

from savoryfork.errors import UserError
from savoryfork.forward import settings
from savoryfork.forward.deadlines import ChangeBounds
from savoryfork.forward.warmup import ColdBound
from savoryfork.platform import fields
from tests.odd import NASTY_JSON

ROOT = Path(__file__).parents[2]

PLATFORM = {
    "node_name": "front-ragusa-1",
    "zone": "ragusa",
    "ip": "10.1.0.41",
    "listen_addrs": {
        "front": "10.1.0.41:8625",
        "ready_addr": "10.1.0.41:8621",
        "control_plane": "10.1.0.41:8628",
    },
    "internal_ports": [7740, 7755],
    "seed_nodes": ["10.1.0.41:8628"],
    "platform": {"address": "10.200.1.7:8624"},
    "limits": {"cpu_share": 0.5, "cpu_cores": 3, "link_mbps": 10.0},
    "bounds": {
        "grace_s": 8,
        "revoke_ms": 5000,
        "retry_budget_ratio": 0.2,
        "budget_window_s": 10,
        "retry_slack": 58,
    },
}


def filled_template() -> dict:
    """Returns the template filled in as the platform does."""

    def value(match: re.Match[str]) -> str:
        node = PLATFORM
        for part in match[1].split("."):
            node = node[part]
        return json.dumps(node)

    text = (ROOT / "deploy/settings.json.template").read_text()
    return json.loads(re.sub(r"\{\{([a-z_.]+)\|json\}\}", value, text))


class TestTemplate:
    def test_filled_template_is_valid(self):
        config = settings.parse(filled_template())
        assert config.peer_address == "10.1.0.41:8628" and config.stop_grace_s == 8

    def test_capacity_is_bounded_by_processor_and_link(self):
        config = settings.parse(filled_template())
        assert config.capacity_cores() == 0.5
        assert config._replace(link_mbps=1000.0).capacity_cores() == 1.5

    def test_platform_may_lack_optional_fields(self):
        """Guards against a template that can't be filled in, or a host that does not start."""
        document = fields.add_optional(filled_template())
        config = settings.parse(document)
        assert config.memory_mb is None and config.max_descriptors is None
        assert config.cold_bound() == ColdBound()
        assert config.change_bounds() == ChangeBounds()

    def test_optional_fields_are_taken_from_the_tables(self, tmp_path):
        """Guards against a host that does not know the memory of its machine."""
        document = filled_template()
        document["limits"] |= {"memory_mb": 160, "max_fds": 1_638}
        document["bounds"] |= {"cold_overage": 2.0, "cold_slack": 0}
        document["bounds"] |= {"config_apply_ms": 3_000, "drain_ms": 4_000}
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(document))
        config = fields.load(str(path))
        assert (config.memory_mb, config.max_descriptors) == (160, 1_638)
        assert config.cold_bound() == ColdBound(2.0, 0)
        assert config.change_bounds() == ChangeBounds(3_000, 4_000)
        path.write_text(json.dumps({**document, "memory_mb": 100}))
        assert fields.load(str(path)).memory_mb == 100

    def test_no_seeds_are_allowed(self):
        assert settings.parse({**filled_template(), "seed_peers": None}).seed_peers == ()


class TestFaults:
    @pytest.mark.parametrize(
        ("field", "value"),
        [("caller_address", "nowhere"), ("stop_grace_s", 0), ("internal_ports", [])],
    )
    def test_invalid_field_is_reported(self, field, value):
        with pytest.raises(UserError, match=field):
            settings.parse({**filled_template(), field: value}, "local.json")

    def test_check_flag_validates_a_file(self, tmp_path):
        good, bad = tmp_path / "good.json", tmp_path / "bad.json"
        good.write_text(json.dumps(filled_template()))
        bad.write_text(json.dumps({**filled_template(), "ready_address": 5}))
        for path, code in ((good, 0), (bad, 2)):
            command = [sys.executable, "-m", "savoryfork.platform", f"--settings={path}", "--check"]
            done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30)
            assert done.returncode == code
        assert "ready_address" in done.stderr


class TestBoundary:
    NAMES = (
        r"Response-Seal|Expect-Instance|Not-Executed|(?<!-)Deadline-Ms|Prefix-Hash|Token-Usage|"
        r"route_kind|path_prefix|stage-run|stage-free|log-newest|log-read|keyed\.|listen_addrs|"
        r"node_name|headroom_mb|api_keys|traffic_split|\bborn\b"
    )

    def test_platform_names_appear_only_in_its_package(self):
        matches = []
        for path in (ROOT / "savoryfork").rglob("*.py"):
            if "platform" not in path.relative_to(ROOT / "savoryfork").parts:
                matches += [f"{path}: {m}" for m in re.findall(self.NAMES, path.read_text())]
        assert matches == []


class TestStart:
    def test_sighup_during_imports_does_not_terminate_the_process(self):
        """Guards against losing a starting host to a reload signal.

        Found by the soak, seed 1: a SIGHUP during the imports terminated the process.
        """
        code = (
            "import signal, sys, savoryfork.platform.__main__\n"
            "assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN\n"
            "assert 'aiohttp' not in sys.modules, 'the signal is set too late'\n"
        )
        subprocess.run([sys.executable, "-c", code], check=True, cwd=ROOT)


class TestOddFiles:
    """Guards against a settings file that ends a host by another error than UserError."""

    @pytest.mark.parametrize(
        "content",
        [*NASTY_JSON.values(), b'{"a":\xff}'],
    )
    def test_odd_file(self, tmp_path, content):
        path = tmp_path / "settings.json"
        path.write_bytes(content)
        with pytest.raises(UserError):
            settings.load(str(path))

    @pytest.mark.parametrize("value", ["NaN", "Infinity", "-Infinity", "1e999"])
    def test_numbers_that_no_schema_bounds(self, tmp_path, value):
        """Guards against a grace period that is no number: NaN is below no minimum."""
        path = tmp_path / "settings.json"
        path.write_text(f'{{"stop_grace_s": {value}}}')
        with pytest.raises(UserError, match="finite"):
            settings.load(str(path))
