"""The topics of the platform's store, and access to them."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from savoryfork.forward.knowledge import Entry

# The key of the configuration within its topic.
CONFIGURATION_KEY = "config"


class Topic(enum.Enum):
    """The topics of the store; hosts themselves write that of crash reports."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    CRASHES = "crashes"


class StoreRead(NamedTuple):
    """Entries of a topic, the offset to read from next, the end offset, and the store's era."""

    entries: list[Entry]
    next: int
    end: int
    era: int


class Store(Protocol):
    """Read access to the platform's store; `calls` counts the reads."""

    calls: int

    async def newest(self, topic: Topic) -> StoreRead:
        """Returns the newest value of each key. Raises LogUnavailable."""

    async def read(self, topic: Topic, offset: int, wait_ms: float) -> StoreRead:
        """Returns the records from an offset on.

        Raises LogUnavailable, or OffsetExpired if the records are no longer retained or the store
        was restored and does not have them.
        """

    async def append(self, topic: Topic, entries: Sequence[tuple[str, bytes]]) -> None:
        """Appends a value for each key; an empty one deletes the key. Raises LogUnavailable.

        After LogUnavailable the entries may be stored or not.
        """
