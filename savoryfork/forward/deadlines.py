"""The age up to which a host relies on others for its copy of a topic.

A host whose copy reaches its deadline reads the store itself. So a change is in force within its
bound on each host that reaches the store, whichever other hosts it waited for and for how long.
"""

from __future__ import annotations

from typing import NamedTuple

from savoryfork.forward.topics import Topic

# Share of a bound after which a host reads the store itself. The rest is for the check that finds
# the copy too old, the read, and a busy processor.
DEADLINE_SHARE = 0.75


class ChangeBounds(NamedTuple):
    """Times in milliseconds from a write to a topic until it must be in force on all hosts.

    >>> ChangeBounds().deadline_ms(Topic.TARGETS)
    1500.0
    """

    configuration_ms: float = 2_000.0
    targets_ms: float = 2_000.0
    crashes_ms: float = 3_000.0

    def deadline_ms(self, topic: Topic) -> float:
        """Returns the age of its copy at which a host reads a topic itself."""
        bounds_ms = {
            Topic.CONFIGURATION: self.configuration_ms,
            Topic.TARGETS: self.targets_ms,
            Topic.CRASHES: self.crashes_ms,
        }
        return DEADLINE_SHARE * bounds_ms[topic]
