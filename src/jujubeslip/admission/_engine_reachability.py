"""Whether a start of an engine is reachable, by its reports and announcements."""

from __future__ import annotations

from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import steady_seconds


class EngineReachability:
    """Tracks whether one start of an engine is reachable; guarded by its pool's lock.

    A lost engine has to announce itself before it is granted requests again. A report
    alone does not show that it is back: it does not name its engine, and another engine
    that has taken over the address replies as well. That engine would refuse each
    request for the lost one, after the prompt was prefilled.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        """The start as last announced."""
        self._unreachable_since: float | None = None

    @property
    def is_unreachable(self) -> bool:
        """Return whether the engine is considered unreachable."""
        return self._unreachable_since is not None

    def note_unreachable(self) -> None:
        """Note that the engine no longer reports."""
        self._unreachable_since = steady_seconds()

    def note_report(self) -> None:
        """Note that a report was received from the engine's address."""
        if (
            self._unreachable_since is not None
            and self.endpoint.heard_at > self._unreachable_since
        ):
            self._unreachable_since = None
