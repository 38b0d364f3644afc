"""What a home learns of its endpoints' speed from the progress that is reported."""

from __future__ import annotations

# The weight of a new sample in the moving averages.
WEIGHT = 0.2


class MovingAverage:
    """An exponentially weighted mean; `value` is the start value until a sample."""

    def __init__(self, start: float) -> None:
        self.value = start
        self.samples = 0

    def add(self, sample: float) -> None:
        """Take a sample into the mean; the first ones weigh as a plain mean would."""
        self.samples += 1
        weight = max(WEIGHT, 1 / self.samples)
        self.value += weight * (sample - self.value)


class Estimates:
    """Speeds of one pool, in seconds per token; optimistic until measured."""

    def __init__(self) -> None:
        self.decode_seconds_per_token = MovingAverage(0.02)
        self.transfer_seconds_per_token = MovingAverage(0.00001)
        self.output_share = MovingAverage(1.0)
        self.urgent_seconds = MovingAverage(0.0)
        self.urgent_target_seconds = MovingAverage(0.0)

    def decode_seconds(self, output_tokens: int) -> float:
        """Return how long a request with this limit holds its decode slot."""
        tokens = output_tokens * min(1.0, self.output_share.value)
        return tokens * self.decode_seconds_per_token.value

    def transfer_seconds(self, prompt_tokens: int) -> float:
        """Return how long a prompt's KV cache is on the way."""
        return prompt_tokens * self.transfer_seconds_per_token.value
