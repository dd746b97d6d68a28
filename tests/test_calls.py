"""Tests for single attempts."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryfork.calls import CallError, StageInput, Superseded, TokenStream, output
from savoryfork.pipeline import RerankStage, RetrieveStage

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


class TestOutput:
    GIVEN = StageInput("text", {})

    def test_too_many_documents_are_cut(self) -> None:
        """Guards against a target that answers with more than was asked for."""
        rows = [{"id": str(n), "text": "d", "score": 1.0} for n in range(5)]
        following = output(RetrieveStage("r", "s", 2), self.GIVEN, {"documents": rows})
        assert [document.id for document in following.documents] == ["0", "1"]

    def test_rerank_of_an_unknown_document_is_refused(self) -> None:
        """Guards against an answer that belongs to another request's documents."""
        answer = {"results": [{"index": 3, "relevance_score": 1.0}]}
        with pytest.raises(LookupError):
            output(RerankStage("r", "s", 2), self.GIVEN, answer)
