"""Bounds of what a host reads from others before it closes the connection."""

from __future__ import annotations

from typing import NamedTuple

# Each chunk counts as at least this many bytes, since a chunk of one byte takes as long to parse as
# a large one.
MIN_CHUNK_BYTES = 64


class ReadLimits(NamedTuple):
    """How many bytes of one response or request a host keeps in memory.

    A target in trouble may send without end, so every read has a bound. `head_bytes` bounds a
    response head, an informational response, a chunk header and the trailers; `interim_responses`
    the informational responses before a response; `answer_bytes` the body of an answer that is
    passed on as a whole; `event_bytes` one event of a stream. Above `buffer_bytes` of received but
    unread bytes, a connection stops reading until its reader has caught up. `request_bytes` bounds
    a caller's body, None leaves that to the operators' configuration; `request_body_ms` the time
    that it may take. `store_bytes` bounds one response of the store, `snapshot_bytes` the pages of
    a snapshot together.

    >>> ReadLimits(answer_bytes=1_000).answer_bytes
    1000
    """

    head_bytes: int = 65_536
    interim_responses: int = 16
    answer_bytes: int = 262_144
    event_bytes: int = 65_536
    buffer_bytes: int = 65_536
    request_bytes: int | None = None
    request_body_ms: float = 30_000.0
    store_bytes: int = 8_388_608
    snapshot_bytes: int = 33_554_432


DEFAULT_LIMITS = ReadLimits()
