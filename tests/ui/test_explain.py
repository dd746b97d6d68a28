"""Tests for `explain`: it must show why a request ended as it did, from the logs of all hosts."""

from __future__ import annotations

import json

import pytest

from savoryfork.ui import main

HEAD = 'at=INFO time="2026-09-14 05:26:{},000" logger=x event='
LINES = [
    ("54", "request_done request=r1 outcome=overloaded reason=\"stage 0: overloaded\""
     " took_ms=2982 aim_ms=920 host=front-b"),
    ("51", "work_on_time request=r1 priority=1 expected_ms=586 due_ms=805 host=front-a"),
    ("52", "work_on_time request=r2 host=front-a"),
    ("58", 'request_done request=r3 outcome=answered offers="i-1:connect: X,i-2:200" took_ms=2120'
     " staged_ms=863 first_event_ms=2119 aim_ms=1500 host=front-b"),
    ("57", "target_ejected target=i-1 reason=connect host=front-b"),
    ("57", "target_ejected target=i-9 reason=connect host=front-b"),
]  # fmt: skip


@pytest.fixture
def log(tmp_path):
    """A file with lines of two hosts, out of order, and some without a valid event or time."""
    path = tmp_path / "hosts.log"
    text = [HEAD.format(second) + rest for second, rest in LINES]
    path.write_text("\n".join([*text, "noise", "event=x time=never", ""]))
    return str(path)


class TestExplain:
    def test_refused_request(self, log, capsys):
        assert main(["explain", "r1", log]) == 0
        printed = capsys.readouterr().out.splitlines()
        assert [line.split()[2:4] for line in printed[:2]] == [
            ["front-a", "work_on_time"],
            ["front-b", "request_done"],
        ]
        assert printed[-1] == "overloaded after 2982 ms: stage 0: overloaded"

    def test_late_request_shows_events_of_its_targets(self, log, capsys):
        assert main(["explain", "r3", log, "--json"]) == 0
        printed = json.loads(capsys.readouterr().out)
        assert [line["event"] for line in printed["lines"]] == ["target_ejected", "request_done"]
        assert printed["lines"][0]["target"] == "i-1"
        assert printed["summary"] == "answered late: 2119 ms of 1500 ms, of which 863 ms in stages"

    def test_request_without_an_end_line(self, log, capsys):
        assert main(["explain", "r2", log]) == 0
        assert "no host wrote the end" in capsys.readouterr().out

    def test_unknown_request(self, log, capsys):
        assert main(["explain", "r9", log]) == 1
        assert "no line about request r9" in capsys.readouterr().err

    def test_missing_file_is_a_usage_error(self, capsys):
        assert main(["explain", "r1", "/nope"]) == 2
        assert "Traceback" not in capsys.readouterr().err
