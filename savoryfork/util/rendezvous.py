"""Rendezvous hashing: all hosts compute the same owner of a key without communication."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def score(key: str, node: str) -> int:
    """Returns the 64-bit weight of `node` for `key`."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{node}".encode())


def ranked(key: str, nodes: Iterable[str]) -> list[str]:
    """Returns the nodes in order of preference for `key`.

    Removing a node reassigns only the keys for which it ranked first.

    >>> order = ranked("claims-3", ["a", "b", "c"])
    >>> ranked("claims-3", [n for n in "abc" if n != order[0]]) == order[1:]
    True
    """
    return sorted(nodes, key=lambda node: (score(key, node), node), reverse=True)
