"""Computes the answers of the stand-in targets with pure functions that tests can call too."""

from __future__ import annotations

from typing import NamedTuple

import xxhash

WORDS = [
    "lime",
    "kiln",
    "charge",
    "fire",
    "draft",
    "stone",
    "slot",
    "load",
    "ash",
    "flue",
    "vent",
    "burn",
    "proof",
    "ink",
    "press",
    "fold",
    "page",
    "menu",
    "sheet",
    "cut",
    "price",
    "order",
    "reel",
    "trim",
    "spot",
    "gloss",
]

# Prompt words per block of the prefix cache.
BLOCK_TOKENS = 16
DIMENSIONS = 16


class Document(NamedTuple):
    """One document found by the retriever."""

    id: str
    text: str
    score: float


def hash_parts(*parts: object) -> int:
    """Returns a 64-bit hash of the parts."""
    return xxhash.xxh3_64_intdigest("\x00".join(map(str, parts)).encode())


def token(model: str, prompt: str, index: int) -> str:
    """Returns the token at `index`, which contains the index so that gaps and repeats show."""
    return f"{WORDS[hash_parts(model, prompt, index) % len(WORDS)]}-{index} "


def answer(model: str, prompt: str, max_tokens: int) -> str:
    """Returns the whole generated text.

    >>> whole = answer("m", "hello", 3)
    >>> whole == "".join(token("m", "hello", i) for i in range(3))
    True
    >>> whole != answer("m", "other", 3)
    True
    """
    return "".join(token(model, prompt, index) for index in range(max_tokens))


def count_tokens(prompt: str) -> int:
    """Returns the number of tokens of a prompt: each word is one."""
    return len(prompt.split())


def blocks(model: str, prompt: str) -> list[str]:
    """Returns the hashes of the prompt's whole blocks; each also covers all earlier blocks.

    >>> one, two = blocks("m", "w " * 40)
    >>> blocks("m", "w " * 20 + "x " * 20)[0] == one
    True
    """
    words = prompt.split()
    hashes: list[str] = []
    previous = model
    for end in range(BLOCK_TOKENS, len(words) + 1, BLOCK_TOKENS):
        previous = f"{hash_parts(previous, ' '.join(words[end - BLOCK_TOKENS : end])):016x}"
        hashes.append(previous)
    return hashes


def embedding(text: str) -> list[float]:
    """Returns the vector of a text, each component in [-1, 1)."""
    return [hash_parts(text, i) / 2**63 - 1 for i in range(DIMENSIONS)]


def documents(query: str, top_k: int) -> list[Document]:
    """Returns the documents found for a query, best first."""
    found = []
    for rank in range(top_k):
        digest = hash_parts(query, rank)
        words = " ".join(WORDS[(digest >> shift) % len(WORDS)] for shift in range(0, 48, 6))
        found.append(Document(f"doc-{digest % 10_000}", words, round(1 / (rank + 1), 6)))
    return found


def relevance(query: str, document: str) -> float:
    """Returns the relevance of a document to a query, in [0, 1)."""
    return hash_parts(query, document) / 2**64
