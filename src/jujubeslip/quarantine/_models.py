"""Data classes of crashes during requests of one content."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from jujubeslip.kernel import Deadline

# The number of successive crashes after which a content is quarantined. A harmless
# content that runs concurrently with the one that crashes endpoints is present at one
# or two of these crashes, and gets a complete answer in between.
QUARANTINE_CRASHES = 3
# The number of crashes from which a content is a suspect, which is reported to entry
# hosts so that any of them can report a complete answer to it.
SUSPECT_CRASHES = 2
# How long it may take until hosts know what else ran at an endpoint that crashed, in
# seconds. Until then, a crash during an answer does not count towards a quarantine.
PROPAGATION_SECONDS = 0.5
# How long a content is quarantined after its latest crash, in seconds. A further crash
# after that quarantines it again.
QUARANTINE_SECONDS = 600.0
# How long a content is stored after its latest crash, in seconds. It is longer than the
# quarantine, so that a single further crash is enough to quarantine the content again.
REMEMBERED_SECONDS = 3600.0
# How long a content with a complete answer is stored, in seconds: until late reports of
# earlier crashes have arrived.
CLEARED_SECONDS = 60.0


@dataclass(frozen=True)
class Crash:
    """The crash of an endpoint's start while it ran a request; times in seconds."""

    start_id: str
    sent_at: float
    """When the request was sent to the endpoint."""
    crashed_at: float
    answered: bool = False
    """Whether an event of the answer to a request of the content had arrived."""


@dataclass(frozen=True)
class CrashHistory:
    """The crashes during requests of one content since its last complete answer."""

    fingerprint: str
    crashes: tuple[Crash, ...] = ()
    """The crashes in order of time, one for each start."""
    cleared_at: float = -math.inf
    """When a request of this content got a complete answer or was released."""
    excused: frozenset[str] = frozenset()
    """Starts that answered it and whose crash is attributed to another content."""

    @property
    def count(self) -> int:
        """Return the number of successive crashes.

        A crash counts if its request was sent after the previous crash: equal requests
        that run at several endpoints concurrently may all be affected by the content
        that crashes these endpoints.
        """
        return _count(self._counted_crashes)

    @property
    def unanswered_count(self) -> int:
        """Return the number of successive crashes before any event of an answer."""
        return _count(crash for crash in self.crashes if not crash.answered)

    @property
    def _counted_crashes(self) -> list[Crash]:
        return [crash for crash in self.crashes if crash.start_id not in self.excused]

    def has_same_crashes_as(self, other: CrashHistory) -> bool:
        """Return whether both have the same crashes, possibly with different times."""
        own = {(crash.start_id, crash.answered) for crash in self.crashes}
        others = {(crash.start_id, crash.answered) for crash in other.crashes}
        return own == others and self.count == other.count

    @property
    def latest_at(self) -> float:
        """Return the time of the latest crash, or else when the content was cleared."""
        return self.crashes[-1].crashed_at if self.crashes else self.cleared_at

    @property
    def is_suspect(self) -> bool:
        """Return whether entry hosts should report complete answers to the content."""
        return self.count >= SUSPECT_CRASHES

    @property
    def quarantined_until(self) -> Deadline | None:
        """Return the end of the quarantine, or None if there are too few crashes."""
        settled = (
            crash
            for crash in self._counted_crashes
            if not crash.answered
            or Deadline(crash.crashed_at + PROPAGATION_SECONDS).expired
        )
        if _count(settled) < QUARANTINE_CRASHES:
            return None
        return Deadline(self.latest_at + QUARANTINE_SECONDS)

    @property
    def forgotten_at(self) -> Deadline:
        """Return when the history is no longer needed."""
        kept = REMEMBERED_SECONDS if self.crashes else CLEARED_SECONDS
        return Deadline(self.latest_at + kept)


def _count(crashes: Iterable[Crash]) -> int:
    count, crashed_at = 0, -math.inf
    for crash in crashes:
        if crash.sent_at >= crashed_at:
            count += 1
            crashed_at = crash.crashed_at
    return count
