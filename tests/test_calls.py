"""Tests for single attempts."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryfork import defaults
from savoryfork.board import Board, TargetView
from savoryfork.calls import (
    Attempt,
    CallError,
    StageInput,
    Superseded,
    TargetClient,
    TokenStream,
    next_input,
)
from savoryfork.callstate import CallResult
from savoryfork.membership import Membership
from savoryfork.pipeline import ActionStage, RerankStage, RetrieveStage
from savoryfork.util.timer import system_clock
from tests.forward.endless import PIECE, EndlessServer

TOKENS = [f"t{index} " for index in range(12)]


class TestTokenStream:
    @settings(derandomize=True, max_examples=300)
    @given(
        st.lists(st.tuples(st.integers(0, 2), st.integers(0, 11), st.integers(0, 12)), max_size=12)
    )
    def test_attempts_in_any_order_give_a_prefix(self, steps: list[tuple[int, int, int]]) -> None:
        """Guards against tokens repeated, skipped or mixed when attempts overlap or resume."""
        seen: list[tuple[int, str]] = []
        stream = TokenStream(lambda index, text: seen.append((index, text)))
        for attempt, start, stop in steps:
            name = f"attempt-{attempt}"
            with contextlib.suppress(CallError, Superseded):
                for index in range(start, min(stop, 12)):
                    stream.accept(name, index, TOKENS[index])
            if stop % 2:
                stream.end_attempt(name)
        assert seen == list(enumerate(TOKENS[: len(seen)]))
        assert stream.text() == "".join(TOKENS[: len(seen)])

    def test_only_one_attempt_delivers(self) -> None:
        """Guards against two attempts of one stage writing into the same answer."""
        stream = TokenStream(lambda index, text: None)
        stream.accept("a", 0, "x")
        with pytest.raises(Superseded):
            stream.accept("b", 1, "y")
        stream.end_attempt("a")
        stream.accept("b", 1, "y")
        assert stream.text() == "xy"

    def test_gap_is_a_failure(self) -> None:
        """Guards against a lost token passing unnoticed."""
        stream = TokenStream(lambda index, text: None)
        stream.accept("a", 0, "x")
        with pytest.raises(CallError):
            stream.accept("a", 2, "z")

    def test_text_without_end_is_a_failure(self) -> None:
        """Guards against a target that fills the memory of a host with tokens."""
        stream = TokenStream(lambda index, text: None)
        token = "x" * (defaults.MAX_ANSWER_BYTES // 2)
        stream.accept("a", 0, token)
        stream.accept("a", 1, token)
        with pytest.raises(CallError):
            stream.accept("a", 2, "x")
        assert len(stream.tokens) == 2


class TestOutput:
    STAGE_INPUT = StageInput("text", {})

    def test_too_many_documents_are_cut(self) -> None:
        """Guards against a target that returns more documents than requested."""
        rows = [{"id": str(n), "text": "d", "score": 1.0} for n in range(5)]
        following = next_input(RetrieveStage("r", "s", 2), self.STAGE_INPUT, {"documents": rows})
        assert [document.id for document in following.documents] == ["0", "1"]

    def test_rerank_of_an_unknown_document_is_refused(self) -> None:
        """Guards against an answer for the documents of another request."""
        answer = {"results": [{"index": 3, "relevance_score": 1.0}]}
        with pytest.raises(LookupError):
            next_input(RerankStage("r", "s", 2), self.STAGE_INPUT, answer)


@contextlib.asynccontextmanager
async def target(
    handler: Callable[[web.Request], Awaitable[web.Response]],
) -> AsyncIterator[tuple[TargetClient, TargetView]]:
    """Starts a target that answers every action with `handler`, and a client for it."""
    app = web.Application()
    app.router.add_post("/v1/actions/{action}", handler)
    async with TestServer(app) as server:
        clock = system_clock()
        client = TargetClient(clock, Membership(Board(), clock, "host-a"))
        view = TargetView("orders-0", "orders", f"{server.host}:{server.port}", "zone-a", "i")
        try:
            yield client, view
        finally:
            await client.close()


async def unused(request: web.Request) -> web.Response:
    """Answers nothing; the test has a server of its own."""
    raise web.HTTPInternalServerError


async def attempt_action(
    client: TargetClient, view: TargetView, before_send: Callable[[], None] = lambda: None
) -> CallError:
    """Makes one attempt that must fail, and returns its error."""
    deadline_ms = client.clock.monotonic_ms() + 2_000
    attempt = Attempt(
        "mine", view, deadline_ms, "key", None, before_send, lambda: None, lambda tokens: None
    )
    with pytest.raises(CallError) as caught:
        await client.attempt(ActionStage("s", "orders", "place"), StageInput("", {}), attempt)
    return caught.value


class TestActionAttempt:
    @pytest.mark.parametrize("status", [200, 422])
    async def test_answer_without_end_is_a_failure(self, status: int) -> None:
        """Guards against a body that grows in memory until the deadline."""
        head = f"HTTP/1.1 {status} S\r\nX-Attempt-Id: mine\r\n\r\n".encode()
        server = EndlessServer(head, PIECE)
        async with server as address, target(unused) as (client, view):
            error = await attempt_action(client, view._replace(address=address))
        assert error.sent and str(error) == "BodyTooLarge"
        assert server.sent_bytes < 8 * defaults.MAX_ANSWER_BYTES

    async def test_nothing_is_sent_after_a_veto(self) -> None:
        """Guards against an action that is sent although `before_send` raised."""
        calls = []

        async def answer(request: web.Request) -> web.Response:
            calls.append(request)
            return web.json_response({"result": 1}, headers={"X-Attempt-Id": "mine"})

        def veto() -> None:
            raise CallError("late", CallResult.CANCELLED, sent=False)

        async with target(answer) as (client, view):
            error = await attempt_action(client, view, veto)
        assert not error.sent and not calls

    async def test_draining_answer_of_another_attempt_is_no_refusal(self) -> None:
        """Guards against "not run" for an action that ran but got the answer of another attempt."""

        async def answer(request: web.Request) -> web.Response:
            headers = {"X-Attempt-Id": "other", "X-Target-State": "draining"}
            return web.json_response({}, status=503, headers=headers)

        async with target(answer) as (client, view):
            error = await attempt_action(client, view)
        assert error.sent and error.result is CallResult.MISMATCHED

    async def test_redirect_is_not_followed(self) -> None:
        """Guards against an action that is sent a second time because a target redirects it."""
        calls = []

        async def answer(request: web.Request) -> web.Response:
            calls.append(request)
            headers = {"X-Attempt-Id": "mine", "Location": "/v1/actions/again"}
            return web.Response(status=307, headers=headers)

        async with target(answer) as (client, view):
            error = await attempt_action(client, view)
        assert error.sent and len(calls) == 1
