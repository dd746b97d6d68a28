"""Bytes that another writer may leave: examples that decoders have failed on, and any others."""

from __future__ import annotations

from hypothesis import strategies as st

NASTY_JSON = {
    "nothing": b"",
    "nested arrays": b"[" * 100_000 + b"]" * 100_000,
    "unclosed arrays": b"[" * 100_000,
    "nested objects": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "nested within a row": b'{"a":1,"entries":[' + b"[" * 100_000 + b"]" * 100_000 + b"]}",
    "4,000 digits": b"1" * 4_000,
    "5,000 digits": b"1" * 5_000,
    "1e999": b"1e999",
    "a negative huge number": b"-" + b"9" * 4_299,
    "a lone surrogate": b'"\\ud800"',
    "not UTF-8": b'"\xff"',
    "NaN": b"NaN",
    "infinity": b"-Infinity",
    "a key twice": b'{"version":1,"version":"x","entries":1,"entries":[]}',
    "a huge string": b'"' + b"x" * 1_000_000 + b'"',
    "quotes without end": b'"' + b'\\"' * 200_000 + b"[" * 200,
    "null": b"null",
    "a zero byte": b"\x00",
}

# Values that JSON documents may hold in any place.
values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**23, -1, 2**63, 2**64, 10**400])
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(max_size=8), inner, max_size=4),
    max_leaves=8,
)
