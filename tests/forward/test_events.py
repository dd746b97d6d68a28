"""Tests of the order of event ids."""

import pytest

from savoryfork.forward.events import is_later


class TestOrder:
    @pytest.mark.parametrize("digits", [19, 4_301, 20_000])
    def test_id_of_any_length(self, digits):
        """Guards against an id with more digits than Python converts to a number: `int` raised a
        ValueError, and the stream ended with an internal error."""
        huge = b"9" * digits
        assert is_later(huge, b"1") and not is_later(b"1", huge) and not is_later(huge, huge)

    def test_leading_zeros(self):
        assert is_later(b"010", b"9") and not is_later(b"007", b"7")
