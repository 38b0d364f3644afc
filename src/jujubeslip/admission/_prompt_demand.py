"""How many prompt tokens requests ask to be read; knows no clock, thread or engine."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# Span over which demand is told, in seconds: some ten prompts of a reader.
DEMAND_SECONDS = 2.0


@dataclass(frozen=True)
class _RequestedPrompt:
    """A prompt that a request asked a reader for."""

    asked_at: float
    tokens: int


class PromptDemand:
    """What requests asked for lately, each counted once, whatever they were answered.

    What was granted is no measure: it falls whenever grants stall, for want of memory
    or of a leader. Readers would then be ordered to answer while requests wait.
    """

    def __init__(self) -> None:
        self._requested_by_id: OrderedDict[str, _RequestedPrompt] = OrderedDict()
        self._tokens = 0

    def note(self, request_id: str, tokens: int, now: float) -> bool:
        """Note a request that asks for a reader; say if it hadn't asked lately.

        `now` is the steady clock's.
        """
        self._forget_old(now)
        if request_id in self._requested_by_id:
            return False
        self._requested_by_id[request_id] = _RequestedPrompt(now, tokens)
        self._tokens += tokens
        return True

    def tokens_per_second(self, now: float) -> float:
        """Return the tokens that were asked for, a second."""
        self._forget_old(now)
        return self._tokens / DEMAND_SECONDS

    def _forget_old(self, now: float) -> None:
        oldest = now - DEMAND_SECONDS
        while self._requested_by_id:
            request_id, asked = next(iter(self._requested_by_id.items()))
            if asked.asked_at >= oldest:
                return
            del self._requested_by_id[request_id]
            self._tokens -= asked.tokens
