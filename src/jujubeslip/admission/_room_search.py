"""What one waiting request needs, and when it last found no room."""

from __future__ import annotations

from collections.abc import Collection

from jujubeslip.admission._memory_forecast import (
    GrowingAnswer,
    MemoryProfile,
    profile_of,
)
from jujubeslip.admission._models import Applicant, MissingResource


class CapacitySearch:
    """The search for room of one request, over all the times that it is tried."""

    def __init__(self, grant_request: Applicant, avoided: Collection[str]) -> None:
        self.grant_request = grant_request
        self.avoided = frozenset(avoided)
        """Starts of engines that are not to be given."""
        self.tried_at = 0
        """The latest change of room before which no engine had any, 0 for none."""
        self.last_missing = MissingResource.MEMORY
        """What was not there when it was last tried."""
        self._answer = GrowingAnswer(
            grant_request.prompt_tokens,
            0,
            grant_request.event_tokens,
            grant_request.lengths,
        )
        self._profile_by_longest: dict[int, MemoryProfile] = {}

    def set_avoided(self, avoided: Collection[str]) -> bool:
        """Leave out these engines from now on; say whether they were others before."""
        if self.avoided == frozenset(avoided):
            return False
        self.avoided = frozenset(avoided)
        self.tried_at = 0
        return True

    def note_no_capacity(self, change: int) -> None:
        """Note that no engine has room as they are after this change."""
        self.tried_at = change

    def own_profile(self, longest: int) -> MemoryProfile:
        """Return how its answer's memory grows, at the instants of such an engine.

        Engines whose longest answers differ look at different instants.
        """
        found = self._profile_by_longest.get(longest)
        if found is None:
            found = profile_of([self._answer], longest)
            self._profile_by_longest[longest] = found
        return found
