"""Decodes bytes that others wrote: any input gives a value or one declared error.

The JSON decoder raises RecursionError on deep nesting, ValueError on integers of over 4,300 digits
and its own errors otherwise. A reader that misses one of them ends on a single input, and every
other reader of that input ends with it.
"""

from __future__ import annotations

import re
from typing import Any

import msgspec

# Documents nested more deeply than this are rejected. The decoder's own limit depends on the stack
# depth at the call, so it would differ between hosts.
MAX_NESTING = 100

# Levels around the rows of a document that `split_json` splits, at most.
OUTER_NESTING = 10

# A string, or a single bracket. Possessive, since a string without end would be tried from each of
# its quotes again.
JSON_TOKENS = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?+|[\[\]{}]', re.DOTALL)

# Whole numbers up to this have the same value in JSON, MessagePack and as a float.
MAX_WHOLE = 2**53

WHOLE = re.compile(r"[0-9]{1,16}")

# What can't be passed on in a header: control characters, and spaces around a value.
UNSENDABLE = re.compile(r"[\x00-\x1f\x7f-\x9f]|^\s|\s$")


class UndecodableError(ValueError):
    """Bytes from outside that can't be decoded, or a value in them that can't be used."""


def is_nested_too_deeply(value: bytes) -> bool:
    """Returns whether a JSON text is nested more deeply than MAX_NESTING, without recursion.

    >>> is_nested_too_deeply(b"[" * 101), is_nested_too_deeply(b"[]" * 101)
    (True, False)
    >>> is_nested_too_deeply(b'["' + b"[" * 101 + b'"]')
    False
    """
    # Counting is much faster, and enough for nearly every document.
    if value.count(b"[") + value.count(b"{") <= MAX_NESTING:
        return False
    depth = 0
    for token in JSON_TOKENS.finditer(value):
        if token[0] in b"[{":
            depth += 1
            if depth > MAX_NESTING:
                return True
        elif token[0] in b"]}":
            depth -= 1
    return False


def decode_json(value: bytes | msgspec.Raw, type: Any = Any) -> Any:
    """Decodes a JSON document as `type`; raises UndecodableError and nothing else.

    >>> decode_json(b'{"a": 1}')
    {'a': 1}
    >>> decode_json(b"[" * 100_000)
    Traceback (most recent call last):
    savoryfork.util.untrusted.UndecodableError: nested too deeply
    """
    data = bytes(value)
    if is_nested_too_deeply(data):
        raise UndecodableError("nested too deeply")
    try:
        return msgspec.json.decode(data, type=type)
    except (msgspec.MsgspecError, RecursionError, ValueError, OverflowError, TypeError) as error:
        raise UndecodableError(f"{error.__class__.__name__}: {str(error)[:100]}") from error


def split_json(value: bytes, type: Any) -> Any:
    """Decodes the outer levels of a JSON document; `type` has `msgspec.Raw` for each row.

    Rows are decoded one by one with `decode_json`, so that an odd one does not affect the others.
    Raises UndecodableError if the outer levels are malformed.

    >>> rows = split_json(b'[1,' + b'[' * 5_000 + b']' * 5_000 + b',2]', list[msgspec.Raw])
    >>> decode_json(rows[2])
    2
    >>> decode_json(rows[1])
    Traceback (most recent call last):
    savoryfork.util.untrusted.UndecodableError: nested too deeply
    """
    try:
        return msgspec.json.decode(value, type=type)
    except RecursionError:
        value = shorten_deep_values(value)
    except (msgspec.MsgspecError, ValueError, OverflowError, TypeError) as error:
        raise UndecodableError(f"{error.__class__.__name__}: {str(error)[:100]}") from error
    try:
        return msgspec.json.decode(value, type=type)
    except (msgspec.MsgspecError, RecursionError, ValueError, OverflowError, TypeError) as error:
        raise UndecodableError(f"{error.__class__.__name__}: {str(error)[:100]}") from error


def shorten_deep_values(value: bytes) -> bytes:
    """Returns a JSON text whose deepest values are replaced by less deep ones.

    They stay nested too deeply for `decode_json`, but can be skipped without a RecursionError. A
    text that is no JSON stays one.
    """
    limit = MAX_NESTING + OUTER_NESTING
    substitute = b"[" * (MAX_NESTING + 1) + b"]" * (MAX_NESTING + 1)
    parts = []
    depth = copied = 0
    for token in JSON_TOKENS.finditer(value):
        if token[0] in b"[{":
            depth += 1
            if depth == limit:
                parts += [value[copied : token.start()], substitute]
                copied = len(value)  # until its end, which may be missing
        elif token[0] in b"]}":
            if depth == limit:
                copied = token.end()
            depth -= 1
    return b"".join([*parts, value[copied:]])


def decode_msgpack(value: bytes, type: Any) -> Any:
    """Decodes a MessagePack document as `type`; raises UndecodableError and nothing else.

    >>> decode_msgpack(b"\\x93\\x01", list[int])
    Traceback (most recent call last):
    savoryfork.util.untrusted.UndecodableError: DecodeError: Input data was truncated
    """
    try:
        return msgspec.msgpack.decode(value, type=type)
    except (msgspec.MsgspecError, RecursionError, ValueError, OverflowError, TypeError) as error:
        raise UndecodableError(f"{error.__class__.__name__}: {str(error)[:100]}") from error


# Values within decoded documents.


def parse_whole(text: str, most: int = MAX_WHOLE) -> int:
    """Parses a whole number of ASCII digits; raises UndecodableError otherwise.

    `int` also takes signs, underscores, spaces and the digits of other scripts.

    >>> parse_whole("080")
    80
    >>> parse_whole("+80")
    Traceback (most recent call last):
    savoryfork.util.untrusted.UndecodableError: not a whole number up to 9007199254740992
    """
    number = int(text) if WHOLE.fullmatch(text) else -1
    if not 0 <= number <= most:
        raise UndecodableError(f"not a whole number up to {most}")
    return number


def whole(value: Any, name: str, least: int = 0, most: int = MAX_WHOLE) -> int:
    """Checks that a decoded value is a whole number within bounds; raises UndecodableError.

    >>> whole(4, "slots")
    4
    >>> whole(True, "slots", 0, 9)
    Traceback (most recent call last):
    savoryfork.util.untrusted.UndecodableError: slots is not a whole number from 0 to 9
    """
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
        raise UndecodableError(f"{name} is not a whole number from {least} to {most}")
    return value


def number(value: Any, name: str, most: float, least: float = 0.0) -> float:
    """Checks that a decoded value is a number within bounds; raises UndecodableError.

    >>> number(2, "timeout_ms", 1e9)
    2.0
    """
    # Also rejects NaN, which compares false. Integers are compared before they become floats.
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise UndecodableError(f"{name} is not a number from {least:g} to {most:g}")
    return float(value)


def text(value: Any, name: str, most: int, least: int = 1) -> str:
    """Checks that a decoded value is a text of sane length that a header can hold.

    >>> text("zone-1", "zone", 100)
    'zone-1'
    """
    if not isinstance(value, str) or not least <= len(value) <= most or UNSENDABLE.search(value):
        raise UndecodableError(f"{name} is not a text of {least} to {most} characters")
    return value
