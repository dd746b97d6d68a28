"""Each bad field of a deploy file or its template is named with file, path and reason."""

from pathlib import Path

import pytest

from savoryfork.errors import UserError
from savoryfork.platform import deploy

ROOT = Path(__file__).parents[2]
GOOD = """
build = "true"
[roles.host]
run = "python3 -m savoryfork.platform"
on = "front"
share = 1.0
serves = ["front"]
template = "deploy/settings.json.template"
metrics = "{{internal_ports.0}}/metrics"
"""
TEMPLATE = (ROOT / "deploy/settings.json.template").read_text()


@pytest.fixture
def check(tmp_path):
    """Checks a deploy file beside a template; gives the faults as (file name, path, reason)."""

    def check(text: str, template: str = TEMPLATE) -> list[tuple[str, str, str]]:
        (tmp_path / "deploy").mkdir()
        path = tmp_path / "deploy/system.toml"
        path.write_text(text)
        (tmp_path / "deploy/settings.json.template").write_text(template)
        return [(Path(p.file).name, p.path, p.reason) for p in deploy.check(path)]

    return check


class TestDeployFile:
    def test_the_one_of_this_project_has_no_fault(self):
        assert deploy.check(ROOT / "deploy/system.toml") == []

    @pytest.mark.parametrize(
        ("old", "new", "path"),
        [
            ("share = 1.0", "share = 1.5", "roles/host/share"),
            ("share = 1.0", "", "roles/host"),
            ("share = 1.0", "shares = 1.0", "roles/host"),
            ("savoryfork.platform", "savoryfork.nowhere", "roles/host/run"),
            ("savoryfork.platform", "nowhere.platform", "roles/host/run"),
            ('["front"]', '["back"]', "roles/host/serves/0"),
            ("{{internal_ports.0}}", "{{internal_ports", "roles/host/metrics"),
            ('build = "true"', "", "."),
        ],
    )
    def test_a_bad_field_is_named(self, check, old, new, path):
        assert [(file, where) for file, where, _ in check(GOOD.replace(old, new))] == [
            ("system.toml", path)
        ]

    def test_two_roles_that_serve_the_same(self, check):
        second = GOOD.partition("[roles.host]")[2]
        (fault,) = check(f"{GOOD}[roles.other]{second}")
        assert fault[1:] == ("roles/other/serves", "front is already served by host on front")

    def test_a_file_that_can_not_be_read(self, tmp_path):
        with pytest.raises(UserError, match="No such file"):
            deploy.check(tmp_path / "none.toml")


class TestTemplate:
    @pytest.mark.parametrize(
        ("old", "new", "path"),
        [
            ('"host"', '"hostname"', "host"),
            ("{{zone|json}}", "{{zone|yaml}}", "."),
            ("{{zone|json}},", "{{zone|json}}", "line 4"),
        ],
    )
    def test_a_fault_is_named(self, check, old, new, path):
        assert [fault[:2] for fault in check(GOOD, TEMPLATE.replace(old, new))] == [
            ("settings.json.template", path)
        ]

    def test_a_missing_template(self, check):
        faults = check(GOOD.replace("settings.json.template", "none"))
        assert faults == [("none", ".", "No such file or directory")]
