"""The rate of requested prompt tokens; uses no clock, thread or engine."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# Window over which demand is measured, in seconds: about ten prompts of a prefill
# engine.
DEMAND_SECONDS = 2.0


@dataclass(frozen=True)
class _RequestedPrompt:
    """A prompt for which a request asked a prefill engine."""

    requested_at: float
    tokens: int


class PromptDemand:
    """The prompts that were recently requested, each counted once, granted or not.

    Grants are not a suitable measure: their rate falls whenever grants stall for lack
    of memory or of a leader. Prefill engines would then be ordered to decode while
    requests wait.
    """

    def __init__(self) -> None:
        self._requested_by_id: OrderedDict[str, _RequestedPrompt] = OrderedDict()
        self._tokens = 0

    def note(self, request_id: str, tokens: int, now: float) -> bool:
        """Note a request for a prefill engine; return whether it is a new request.

        `now` is the time of the steady clock.
        """
        self._remove_expired(now)
        if request_id in self._requested_by_id:
            return False
        self._requested_by_id[request_id] = _RequestedPrompt(now, tokens)
        self._tokens += tokens
        return True

    def tokens_per_second(self, now: float) -> float:
        """Return the requested tokens per second."""
        self._remove_expired(now)
        return self._tokens / DEMAND_SECONDS

    def _remove_expired(self, now: float) -> None:
        oldest = now - DEMAND_SECONDS
        while self._requested_by_id:
            request_id, requested = next(iter(self._requested_by_id.items()))
            if requested.requested_at >= oldest:
                return
            del self._requested_by_id[request_id]
            self._tokens -= requested.tokens
