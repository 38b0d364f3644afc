"""Estimates of endpoint speed, learned from reported grant progress."""

from __future__ import annotations

# The weight of a new sample in the moving averages.
WEIGHT = 0.1
# Sizes whose standard deviation is below this share of their mean do not determine
# the slope.
MINIMUM_SPREAD_SHARE = 0.05


class MovingAverage:
    """An exponentially weighted mean; `value` is `start` until the first sample."""

    def __init__(self, start: float) -> None:
        self.value = start
        self.samples = 0

    def add(self, sample: float) -> None:
        """Add a sample; the first samples are weighted as in an arithmetic mean."""
        self.samples += 1
        weight = max(WEIGHT, 1 / self.samples)
        self.value += weight * (sample - self.value)


class LinearEstimate:
    """Seconds as a fixed cost plus a cost per token, fitted to recent samples.

    A mean of seconds per token is not enough: with many short prompts, their fixed
    cost would be mistaken for the cost per token of a long prompt.
    """

    def __init__(self, start_seconds_per_token: float) -> None:
        self._start = start_seconds_per_token
        self._size = MovingAverage(0.0)
        self._seconds = MovingAverage(0.0)
        self._size_squared = MovingAverage(0.0)
        self._product = MovingAverage(0.0)

    def add(self, tokens: int, seconds: float) -> None:
        """Add the measured duration for a size to the fit."""
        self._size.add(tokens)
        self._seconds.add(seconds)
        self._size_squared.add(tokens * tokens)
        self._product.add(tokens * seconds)

    @property
    def seconds_per_token(self) -> float:
        """Return the slope of the fit."""
        if self._size.samples == 0:
            return self._start
        mean = self._size.value
        variance = self._size_squared.value - mean * mean
        if variance <= (MINIMUM_SPREAD_SHARE * mean) ** 2:
            return self._seconds.value / max(1.0, mean)
        slope = (self._product.value - mean * self._seconds.value) / variance
        return min(max(slope, 0.0), self._seconds.value / max(1.0, mean))

    def seconds_for(self, tokens: int) -> float:
        """Return the estimated seconds for a size."""
        slope = self.seconds_per_token
        fixed = max(0.0, self._seconds.value - slope * self._size.value)
        return fixed + slope * tokens


class Estimates:
    """Speed estimates of one pool; optimistic until the first measurements."""

    def __init__(self) -> None:
        self.decode_seconds = LinearEstimate(0.01)
        self.transfer_seconds = LinearEstimate(0.000001)
        self.output_share = MovingAverage(1.0)
        self.urgent_seconds = MovingAverage(0.0)
        self.urgent_target_seconds = MovingAverage(0.0)

    def hold_seconds(self, output_tokens: int) -> float:
        """Return how long a request with this output limit holds its decode slot."""
        tokens = output_tokens * min(1.0, self.output_share.value)
        return self.decode_seconds.seconds_for(round(tokens))
