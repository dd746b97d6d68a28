"""Decides when a target counts as silent, and whether its request moves to another target.

A sound target may send nothing for about a second and go on, and nothing tells it from one that is
dead. So silence alone ends no request: it is a reason to look for another target, and a request
stays where it is until another one can take it. The pattern behind both bounds is a target that
pauses, or dies, while many streams run on it: each of them needs another target at the same moment,
and there may be none, or no retries left, for some of them.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from savoryfork.forward.model import Route

# A resumable stream looks for another target once its target has sent nothing for this long. Sound
# targets fall silent for a second or so, and callers wait for 2 s or more, eight times the route's
# gap or four times its objective; a stream with a pause above its gap is late already, so a shorter
# wait only repeats work.
SOUND_SILENCE_MS = 1_500.0
FIRST_EVENT_AIM_FACTOR = 1.5
FIRST_EVENT_MARGIN_MS = 500.0
EVENT_GAP_FACTOR = 5.0

# Interval at which a request whose target stays silent is reviewed, and the interval after another
# target was prepared for it without success, which may have cost the work of stages.
REVIEW_MS = 250.0
FAILED_MOVE_REVIEW_MS = 1_000.0


def first_event_silence_ms(route: Route) -> float:
    """Returns how long a target may send nothing before its first event.

    It includes the wait for a slot and the reading of the prompt.
    """
    return max(SOUND_SILENCE_MS, FIRST_EVENT_AIM_FACTOR * route.aim_ms + FIRST_EVENT_MARGIN_MS)


def event_silence_ms(route: Route) -> float:
    """Returns how long a target may send nothing within its stream.

    At least a quarter of the time that callers wait is left to resume the stream elsewhere.

    >>> from savoryfork.forward.model import Repeat
    >>> route = Route("r", "h", "/", Repeat.STREAM, 1.0, 500.0, 0, (("a", 1.0),), 2, gap_ms=150.0)
    >>> event_silence_ms(route), event_silence_ms(route._replace(gap_ms=400.0))
    (1500.0, 2000.0)
    """
    return max(SOUND_SILENCE_MS, EVENT_GAP_FACTOR * route.gap_ms)


class Decision(enum.Enum):
    """Whether a request leaves its silent target, or why it stays there."""

    MOVE = "move"
    STAY_ATTEMPTS = "attempts"
    STAY_TIME = "time"
    STAY_TARGETS = "targets"
    STAY_BUDGET = "budget"
    STAY_FORBIDDEN = "forbidden"
    STAY_UNPREPARED = "unprepared"


class MoveOptions(NamedTuple):
    """What a move of a request needs.

    `targets_left` and `offers_left` count the targets that the request may still run on and be
    offered to, besides the silent one; `candidates` counts those that could take it now.
    `retries_left` is this host's retry budget. `left_ms` is the remaining time, of which another
    target needs `needed_ms` to begin. `permitted` is False if the key or the prompt of the request
    would be refused now.
    """

    targets_left: int
    offers_left: int
    candidates: int
    retries_left: float
    left_ms: float
    needed_ms: float
    permitted: bool


def decide_move(options: MoveOptions) -> Decision:
    """Returns whether a request can move away from its silent target now.

    >>> options = MoveOptions(1, 3, 2, 1.0, 500.0, 100.0, True)
    >>> decide_move(options), decide_move(options._replace(retries_left=0.5))
    (<Decision.MOVE: 'move'>, <Decision.STAY_BUDGET: 'budget'>)
    """
    if options.targets_left < 1 or options.offers_left < 1:
        return Decision.STAY_ATTEMPTS
    if options.left_ms < options.needed_ms:
        return Decision.STAY_TIME
    if options.candidates < 1:
        return Decision.STAY_TARGETS
    if not options.permitted:
        return Decision.STAY_FORBIDDEN
    if options.retries_left < 1.0:
        return Decision.STAY_BUDGET
    return Decision.MOVE


def review_ms(decision: Decision) -> float:
    """Returns the time until the next review of a request that stays at a silent target."""
    return FAILED_MOVE_REVIEW_MS if decision is Decision.STAY_UNPREPARED else REVIEW_MS
