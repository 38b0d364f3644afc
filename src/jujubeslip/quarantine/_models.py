"""The crashes that requests of one content are known to have taken part in."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from jujubeslip.kernel import Deadline

# Crashes, one after another, after which a content is held back. One that ran beside it
# was there at one or two of them, and is answered whole between.
QUARANTINE_CRASHES = 3
# Crashes from which on entry hosts are told of a content, so that any of them can
# report that it was answered whole.
SUSPECT_CRASHES = 2
# How long hosts may take to hear what else ran at an endpoint that has ended, in
# seconds: until then, nothing is held back for a crash during an answer.
NEWS_SECONDS = 0.5
# How long a content is held back after its latest crash, in seconds. The next crash
# after that holds it back again.
QUARANTINE_SECONDS = 600.0
# How long after its latest crash a content is remembered, in seconds: longer than it is
# held back, so that one further crash is enough then.
REMEMBERED_SECONDS = 3600.0
# How long a content that was answered whole is remembered, in seconds: until reports of
# earlier crashes have come in.
CLEARED_SECONDS = 60.0


@dataclass(frozen=True)
class Crash:
    """The end of an endpoint's start while it ran a request; instants in seconds."""

    start_id: str
    sent_at: float
    """When the request was sent there."""
    crashed_at: float
    answered: bool = False
    """Whether an event of an answer to a request of the content had come."""


@dataclass(frozen=True)
class CrashHistory:
    """The crashes during requests of one content, since it was answered whole."""

    fingerprint: str
    crashes: tuple[Crash, ...] = ()
    """In the order in which they came, one for each start."""
    cleared_at: float = -math.inf
    """When a request of this content was answered whole, or its quarantine lifted."""
    excused: frozenset[str] = frozenset()
    """Starts that were answering it, and were ended by another content."""

    @property
    def count(self) -> int:
        """Return how many crashes came one after another.

        A crash counts if its request was sent after the crash before: equal requests
        that run at several endpoints at a time may all be hit by what ends those.
        """
        return _count(self._blamed)

    @property
    def unanswered_count(self) -> int:
        """Return how many came one after another before an event of an answer."""
        return _count(crash for crash in self.crashes if not crash.answered)

    @property
    def _blamed(self) -> list[Crash]:
        return [crash for crash in self.crashes if crash.start_id not in self.excused]

    def says_as_much_as(self, other: CrashHistory) -> bool:
        """Say whether both tell of the same crashes, maybe with other instants."""
        told = {(crash.start_id, crash.answered) for crash in self.crashes}
        others = {(crash.start_id, crash.answered) for crash in other.crashes}
        return told == others and self.count == other.count

    @property
    def latest_at(self) -> float:
        """Return when the latest crash came, or the content was cleared."""
        return self.crashes[-1].crashed_at if self.crashes else self.cleared_at

    @property
    def is_suspect(self) -> bool:
        """Say whether entry hosts are to report that it was answered whole."""
        return self.count >= SUSPECT_CRASHES

    @property
    def held_until(self) -> Deadline | None:
        """Return until when it is held back, None if its crashes are too few."""
        settled = (
            crash
            for crash in self._blamed
            if not crash.answered or Deadline(crash.crashed_at + NEWS_SECONDS).expired
        )
        if _count(settled) < QUARANTINE_CRASHES:
            return None
        return Deadline(self.latest_at + QUARANTINE_SECONDS)

    @property
    def forgotten_at(self) -> Deadline:
        """Return when nothing needs to be known of it any more."""
        kept = REMEMBERED_SECONDS if self.crashes else CLEARED_SECONDS
        return Deadline(self.latest_at + kept)


def _count(crashes: Iterable[Crash]) -> int:
    count, crashed_at = 0, -math.inf
    for crash in crashes:
        if crash.sent_at >= crashed_at:
            count += 1
            crashed_at = crash.crashed_at
    return count
