"""How fast an engine prefills prompts, as measured; uses no clock."""

from __future__ import annotations

# A prefill counts for at most this many times the expected time: one slow prompt, or
# one host that reports late, does not decide the speed.
MAXIMUM_TIME_FACTOR = 4.0
# A prompt that had the engine to itself and is reported to have taken less than this
# share of the expected time was not prefilled.
MINIMUM_TIME_FACTOR = 0.1


class PrefillSpeed:
    """The moving average of an engine's speed, in tokens a second.

    It is kept as sums of tokens and seconds, not of single speeds: among prompts that
    are prefilled together, the last one seems to take no time. `averaging_seconds` is
    its time constant, in seconds of prefill.
    """

    def __init__(self, initial: float, averaging_seconds: float) -> None:
        self._averaging_seconds = averaging_seconds
        self.tokens = initial * averaging_seconds
        self.seconds = averaging_seconds
        self.measured_at: float | None = None
        """When it was last measured; None if it is the initial one."""
        self.measured_seconds = 0.0
        """The seconds of prefill that were measured."""

    @property
    def tokens_per_second(self) -> float:
        """Return how many tokens the engine prefills in a second."""
        return self.tokens / self.seconds

    def measure(
        self, tokens: int, seconds: float, had_engine_alone: bool, now: float
    ) -> None:
        """Record that a prompt was prefilled in this time."""
        expected = tokens / self.tokens_per_second
        if had_engine_alone and seconds < MINIMUM_TIME_FACTOR * expected:
            return
        seconds = min(seconds, MAXIMUM_TIME_FACTOR * expected)
        self.measured_at = now
        self.measured_seconds += seconds
        decay = self._averaging_seconds / (self._averaging_seconds + seconds)
        self.seconds = decay * (self.seconds + seconds)
        self.tokens = decay * (self.tokens + tokens)
