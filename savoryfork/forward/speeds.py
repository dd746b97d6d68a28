"""Learns from answers how fast the engines of a service read prompts.

The operators' configuration does not say it, and deployments differ.
"""

from __future__ import annotations

from typing import NamedTuple

from savoryfork.forward.model import Prompt
from savoryfork.util.window import Window


class EngineSpeed(NamedTuple):
    """The speed of an engine: prompt tokens read per ms, the time to the first event without
    reading, and the latency that each other running request adds.
    """

    prefill_tokens_per_ms: float
    first_event_ms: float
    running_request_ms: float


# Assumed until enough answers were seen.
START_SPEED = EngineSpeed(50.0, 70.0, 4.0)

# Answers that are kept for an estimate, and how many it needs.
SAMPLES = 128
MIN_SAMPLES = 12

# A prompt with fewer own tokens than the first figure shows the time without reading, one with more
# than the second the time of reading.
SHORT_TOKENS = 300
LONG_TOKENS = 1_000

# Queueing only lengthens the time to the first event, so the estimates are the time that a tenth
# of the answers undercut, and the speed that a fifth of them exceed.
FIRST_EVENT_QUANTILE = 0.1
SPEED_QUANTILE = 0.8

# Part of the first event's time that reading must take to be told from the rest.
MIN_READING_SHARE = 0.3


def own_tokens(prompt: Prompt) -> int:
    """Returns the tokens of the last part, which an engine has to read in any case."""
    return prompt.parts[-1].tokens if prompt.parts else prompt.input_tokens


class SpeedEstimator:
    """Estimates the speed of the engines of one service.

    >>> estimator = SpeedEstimator()
    >>> estimator.speed() == START_SPEED
    True
    """

    def __init__(self) -> None:
        self.first_event_ms = Window(SAMPLES)
        self.tokens_per_ms = Window(SAMPLES)

    def record(self, prompt: Prompt, first_event_ms: float) -> None:
        """Records the time from the sending of a request to the first event of its answer."""
        tokens = own_tokens(prompt)
        if tokens <= SHORT_TOKENS:
            self.first_event_ms.add(first_event_ms)
        elif tokens >= LONG_TOKENS:
            reading_ms = first_event_ms - self.speed().first_event_ms
            if reading_ms >= MIN_READING_SHARE * first_event_ms:
                self.tokens_per_ms.add(tokens / reading_ms)

    def speed(self) -> EngineSpeed:
        """Returns the estimate, or the start values where too few answers were seen."""
        speed = START_SPEED
        if len(self.first_event_ms) >= MIN_SAMPLES:
            first_event_ms = self.first_event_ms.quantile(FIRST_EVENT_QUANTILE)
            speed = speed._replace(first_event_ms=first_event_ms)
        if len(self.tokens_per_ms) >= MIN_SAMPLES:
            tokens_per_ms = self.tokens_per_ms.quantile(SPEED_QUANTILE)
            speed = speed._replace(prefill_tokens_per_ms=tokens_per_ms)
        return speed
