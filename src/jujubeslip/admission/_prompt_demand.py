"""How many prompt tokens requests ask to be read; knows no clock, thread or engine."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# Span over which demand is told, in seconds: some ten prompts of a reader.
DEMAND_SECONDS = 2.0


@dataclass(frozen=True)
class _AskedPrompt:
    """A prompt that a request asked a reader for."""

    asked_at: float
    tokens: int


class PromptDemand:
    """What requests asked for lately, each counted once, whatever they were answered.

    What was granted is no measure: it falls whenever grants stall, for want of memory
    or of a leader. Readers would then be ordered to answer while requests wait.
    """

    def __init__(self) -> None:
        self._asked_by_request: OrderedDict[str, _AskedPrompt] = OrderedDict()
        self._tokens = 0

    def note(self, request_id: str, tokens: int, now: float) -> bool:
        """Note a request that asks for a reader; say if it hadn't asked lately.

        `now` is the steady clock's.
        """
        self._forget_old(now)
        if request_id in self._asked_by_request:
            return False
        self._asked_by_request[request_id] = _AskedPrompt(now, tokens)
        self._tokens += tokens
        return True

    def tokens_per_second(self, now: float) -> float:
        """Return the tokens that were asked for, a second."""
        self._forget_old(now)
        return self._tokens / DEMAND_SECONDS

    def _forget_old(self, now: float) -> None:
        oldest = now - DEMAND_SECONDS
        while self._asked_by_request:
            request_id, asked = next(iter(self._asked_by_request.items()))
            if asked.asked_at >= oldest:
                return
            del self._asked_by_request[request_id]
            self._tokens -= asked.tokens
