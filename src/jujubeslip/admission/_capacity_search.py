"""What one waiting request needs, and when no engine last had capacity for it."""

from __future__ import annotations

from collections.abc import Collection

from jujubeslip.admission._memory_forecast import (
    GrowingAnswer,
    MemoryProfile,
    profile_of,
)
from jujubeslip.admission._models import GrantRequest, MissingResource


class CapacitySearch:
    """The search for capacity for one request, over all its tries."""

    def __init__(self, grant_request: GrantRequest, avoided: Collection[str]) -> None:
        self.grant_request = grant_request
        self.avoided = frozenset(avoided)
        """Starts of engines that the request must not be granted."""
        self.tried_at = 0
        """Number of the capacity change up to which no engine fitted, 0 for none."""
        self.last_missing = MissingResource.MEMORY
        """What the request lacked when it was last tried."""
        self.spare_tokens = 0
        """Memory that its engine must have left for others, in tokens."""
        self._answer = GrowingAnswer(
            grant_request.prompt_tokens,
            0,
            grant_request.event_tokens,
            grant_request.lengths,
        )
        self._profile_by_longest: dict[int, MemoryProfile] = {}

    def set_avoided(self, avoided: Collection[str]) -> bool:
        """Replace the avoided engines; return whether they have changed."""
        if self.avoided == frozenset(avoided):
            return False
        self.avoided = frozenset(avoided)
        self.tried_at = 0
        return True

    def note_no_capacity(self, change: int) -> None:
        """Note that no engine has capacity in the state after this change."""
        self.tried_at = change

    def own_profile(self, longest: int) -> MemoryProfile:
        """Return the forecast of its answer's memory, over this number of events.

        Forecasts of engines whose longest answers differ have different points.
        """
        profile = self._profile_by_longest.get(longest)
        if profile is None:
            profile = profile_of([self._answer], longest)
            self._profile_by_longest[longest] = profile
        return profile
