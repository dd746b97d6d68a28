"""Decoding of bytes that others wrote: a value or one declared error, whatever they are."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryfork.util import untrusted
from savoryfork.util.untrusted import MAX_NESTING, UndecodableError
from tests.odd import NASTY_JSON

quick = settings(derandomize=True, max_examples=200, deadline=None)


def check_declared(decode, data: bytes) -> None:
    """Checks that a decoder raises nothing but UndecodableError."""
    try:
        decode(data)
    except UndecodableError as error:
        assert len(str(error)) < 200


class TestAnyBytes:
    """Guards against an input that raises an error its readers do not expect."""

    @pytest.mark.parametrize("data", NASTY_JSON.values(), ids=NASTY_JSON)
    def test_nasty_documents(self, data):
        check_declared(untrusted.decode_json, data)
        check_declared(lambda d: untrusted.split_json(d, dict[str, msgspec.Raw]), data)
        check_declared(lambda d: untrusted.split_json(d, list[msgspec.Raw]), data)
        check_declared(lambda d: untrusted.decode_msgpack(d, object), data)

    @quick
    @given(st.binary(max_size=200))
    def test_json(self, data):
        check_declared(untrusted.decode_json, data)
        check_declared(lambda d: untrusted.split_json(d, list[msgspec.Raw]), data)

    @quick
    @given(st.binary(max_size=200))
    def test_msgpack(self, data):
        check_declared(lambda d: untrusted.decode_msgpack(d, object), data)
        check_declared(lambda d: untrusted.decode_msgpack(d, dict[str, list[int]]), data)

    def test_deeply_nested_msgpack(self):
        with pytest.raises(UndecodableError):
            untrusted.decode_msgpack(b"\x91" * 100_000, object)

    @quick
    @given(st.text(max_size=30))
    def test_whole_numbers_are_of_ascii_digits(self, value):
        """Guards against `int`, which takes signs, underscores and digits of other scripts."""
        try:
            number = untrusted.parse_whole(value)
        except UndecodableError:
            return
        assert value.isascii() and value.isdigit() and number == int(value)


class TestNesting:
    """Guards against a bound that depends on the depth of the reader's stack."""

    def test_bound_is_exact(self):
        for depth in (MAX_NESTING, MAX_NESTING + 1):
            data = b"[" * depth + b"]" * depth
            assert untrusted.is_nested_too_deeply(data) == (depth > MAX_NESTING)

    @pytest.mark.parametrize("depth", [MAX_NESTING + 1, 400, 5_000])
    def test_a_row_nested_too_deeply_leaves_the_others(self, depth):
        deep = b"[" * depth + b"]" * depth
        rows = untrusted.split_json(b'[{"a":1},' + deep + b',{"b":2}]', list[msgspec.Raw])
        assert untrusted.decode_json(rows[0]) == {"a": 1}
        assert untrusted.decode_json(rows[2]) == {"b": 2}
        with pytest.raises(UndecodableError):
            untrusted.decode_json(rows[1])


class TestValues:
    """Guards against numbers that later arithmetic or encoding can't hold."""

    @pytest.mark.parametrize("value", [True, 1.0, "1", None, -1, 11, 10**400, float("nan")])
    def test_no_whole_number_within_bounds(self, value):
        with pytest.raises(UndecodableError):
            untrusted.whole(value, "n", 0, 10)

    @pytest.mark.parametrize("value", [True, "1", None, -0.1, 10**400, float("nan"), float("inf")])
    def test_no_number_within_bounds(self, value):
        with pytest.raises(UndecodableError):
            untrusted.number(value, "n", 1e9)

    @pytest.mark.parametrize("value", ["", "a\nb", "a\x7f", " a", "a ", "x" * 11, b"a", None, 1])
    def test_no_sane_text(self, value):
        with pytest.raises(UndecodableError):
            untrusted.text(value, "t", 10)
