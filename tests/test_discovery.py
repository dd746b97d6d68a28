"""Polls of the host list and of loads survive answers without end."""

from __future__ import annotations

from savoryfork import defaults
from savoryfork.board import Board, TargetView
from savoryfork.discovery import Discovery
from savoryfork.membership import Membership
from savoryfork.util.timer import system_clock
from tests.forward.endless import ENDLESS, EndlessServer


class TestEndlessAnswers:
    async def test_host_list_and_load_are_given_up_early(self, caplog):
        """Guards against a body that grows in memory until the time-out of the poll."""
        server = EndlessServer(*ENDLESS["chunked body"])
        clock = system_clock()
        board = Board()
        async with server as address:
            membership = Membership(board, clock, "host-a")
            discovery = Discovery(board, membership, clock, "host-a", f"http://{address}")
            try:
                await discovery.poll_hosts()
                await discovery.poll_load(TargetView("t", "s", address, "zone-a", "i"))
            finally:
                await discovery.close()
        assert not discovery.list_available
        lines = [r.msg for r in caplog.records if r.msg.get("event") == "body_too_large"]
        limits = [line["limit_bytes"] for line in lines]
        assert limits == [defaults.MAX_HOST_LIST_BYTES, defaults.MAX_REPORT_BYTES]
