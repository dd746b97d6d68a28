"""Each invalid field of a deploy file or its template is reported with file, path and reason."""

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
    """Checks a deploy file and a template; returns problems as (file name, path, reason)."""

    def check(text: str, template: str = TEMPLATE) -> list[tuple[str, str, str]]:
        (tmp_path / "deploy").mkdir()
        path = tmp_path / "deploy/system.toml"
        path.write_text(text)
        (tmp_path / "deploy/settings.json.template").write_text(template)
        return [(Path(p.file).name, p.path, p.reason) for p in deploy.check(path)]

    return check


class TestDeployFile:
    def test_deploy_file_of_this_project_is_valid(self):
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
    def test_invalid_field_is_reported(self, check, old, new, path):
        assert [(file, where) for file, where, _ in check(GOOD.replace(old, new))] == [
            ("system.toml", path)
        ]

    def test_two_roles_that_serve_the_same_address(self, check):
        second = GOOD.partition("[roles.host]")[2]
        (problem,) = check(f"{GOOD}[roles.other]{second}")
        assert problem[1:] == ("roles/other/serves", "front is already served by host on front")

    def test_unreadable_file(self, tmp_path):
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
    def test_problem_is_reported(self, check, old, new, path):
        assert [problem[:2] for problem in check(GOOD, TEMPLATE.replace(old, new))] == [
            ("settings.json.template", path)
        ]

    def test_missing_template(self, check):
        problems = check(GOOD.replace("settings.json.template", "none"))
        assert problems == [("none", ".", "No such file or directory")]
