"""Whether a start of an engine can be reached, by its reports and announcements."""

from __future__ import annotations

from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import steady_seconds


class EngineReachability:
    """What is known of the way to one start of an engine; guarded by its pool's lock.

    An engine that was lost has to announce itself before it is given anything again. A
    report alone does not show that it is back: it names nobody, and whoever has taken
    over the address answers as well. Sent there, each request of the lost engine would
    be refused, after its prompt was read.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        """The start, as it announced itself last."""
        self._lost_at: float | None = None

    @property
    def is_lost(self) -> bool:
        """Say whether the engine can't be reached, as far as is known."""
        return self._lost_at is not None

    def note_lost(self) -> None:
        """Note that the engine gives no reports any more."""
        self._lost_at = steady_seconds()

    def note_report(self) -> None:
        """Note that a report came from the engine's address."""
        if self._lost_at is not None and self.endpoint.heard_at > self._lost_at:
            self._lost_at = None
