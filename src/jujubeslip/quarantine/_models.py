"""Data classes of crashes during requests of one content or with one prompt part."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from jujubeslip.kernel import Deadline

# The number of successive crashes after which a content is quarantined. A harmless
# content that runs concurrently with the one that crashes endpoints is present at one
# or two of these crashes, and gets a complete answer in between.
QUARANTINE_CRASHES = 3
# The number of successive crashes after which a part of prompts is quarantined although
# no request without it was answered meanwhile, or although it ran shortly before. Then
# endpoints may crash by another cause while all requests have the part.
CERTAIN_CRASHES = 5
# The number of contents among these crashes. Crashes of fewer contents are attributed
# to the contents.
PART_CONTENTS = 3
# How long a run of a part is evidence against the next crashes, in seconds.
RECENT_RUN_SECONDS = 60.0
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
# The maximum number of stored crashes of each content or part: the first and the latest
# ones.
MAXIMUM_CRASHES = 8
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
    content: str = ""
    """The fingerprint of the content that ran, empty if the reporter gives none."""
    service_name: str = ""
    """The service of the endpoint, empty if the reporter gives none."""


@dataclass(frozen=True)
class CrashHistory:
    """The crashes of one content, or of one part of prompts, since it ran last."""

    fingerprint: str
    crashes: tuple[Crash, ...] = ()
    """The crashes in order of time, one for each start."""
    cleared_at: float = -math.inf
    """When a request with it got a complete answer or was released."""
    excused: frozenset[str] = frozenset()
    """Starts whose crash is attributed to another content or part."""
    others_ran_at: float = -math.inf
    """When a request without this part ran completely at the same service."""
    companions: frozenset[str] = frozenset()
    """Parts with the same crashes; only requests with all of them are quarantined."""

    @property
    def is_part(self) -> bool:
        """Return whether this is the history of a part of prompts."""
        return any(
            crash.content not in ("", self.fingerprint) for crash in self.crashes
        )

    @property
    def count(self) -> int:
        """Return the number of successive crashes.

        A crash counts if its request was sent after the previous crash: equal requests
        that run at several endpoints concurrently may all be affected by the content
        that crashes these endpoints.
        """
        return len(self.successive_crashes)

    @property
    def unanswered_count(self) -> int:
        """Return the number of successive crashes before any event of an answer."""
        return len(_successive(crash for crash in self.crashes if not crash.answered))

    @property
    def successive_crashes(self) -> list[Crash]:
        """Return the successive crashes that are attributed to it."""
        return _successive(self._counted_crashes)

    @property
    def _counted_crashes(self) -> list[Crash]:
        return [crash for crash in self.crashes if crash.start_id not in self.excused]

    @property
    def ran_recently(self) -> bool:
        """Return whether it ran completely shortly before the first crash."""
        if not self.crashes:
            return False
        return self.cleared_at > self.crashes[0].crashed_at - RECENT_RUN_SECONDS

    @property
    def others_ran(self) -> bool:
        """Return whether requests without this part ran after its first crash."""
        return bool(self.crashes) and self.others_ran_at > self.crashes[0].crashed_at

    def is_fatal(self, crashes: list[Crash]) -> bool:
        """Return whether successive crashes are enough evidence for a quarantine.

        A part that ran shortly before is in quarantine only if requests without it run
        meanwhile: otherwise all requests may have it, whatever crashes the endpoints.
        """
        if len(crashes) < QUARANTINE_CRASHES:
            return False
        if not self.is_part:
            return True
        if len({crash.content for crash in crashes}) < PART_CONTENTS:
            return False
        if self.ran_recently:
            return self.others_ran and len(crashes) >= CERTAIN_CRASHES
        return self.others_ran or len(crashes) >= CERTAIN_CRASHES

    def has_same_crashes_as(self, other: CrashHistory) -> bool:
        """Return whether both have the same crashes, possibly with different times."""
        own = {(crash.start_id, crash.answered) for crash in self.crashes}
        others = {(crash.start_id, crash.answered) for crash in other.crashes}
        return own == others and self.count == other.count

    @property
    def complete_since(self) -> float:
        """Return the time since which all crashes are stored."""
        if len(self.crashes) < MAXIMUM_CRASHES:
            return self.cleared_at
        return self.crashes[1].crashed_at

    @property
    def latest_at(self) -> float:
        """Return the time of the latest crash, or else when the content was cleared."""
        return self.crashes[-1].crashed_at if self.crashes else self.cleared_at

    @property
    def is_suspect(self) -> bool:
        """Return whether entry hosts should know of it and report complete answers.

        They compare the crashes of parts, so they need those attributed to others, too.
        """
        count = len(self.crashes) if self.is_part else self.count
        return count >= SUSPECT_CRASHES

    @property
    def quarantined_until(self) -> Deadline | None:
        """Return the end of the quarantine, or None if there are too few crashes."""
        settled = (
            crash
            for crash in self._counted_crashes
            if not crash.answered
            or Deadline(crash.crashed_at + PROPAGATION_SECONDS).expired
        )
        if not self.is_fatal(_successive(settled)):
            return None
        return Deadline(self.latest_at + QUARANTINE_SECONDS)

    @property
    def forgotten_at(self) -> Deadline:
        """Return when the history is no longer needed."""
        kept = REMEMBERED_SECONDS if self.crashes else CLEARED_SECONDS
        return Deadline(self.latest_at + kept)


def _successive(crashes: Iterable[Crash]) -> list[Crash]:
    """Return each crash whose request was sent after the previous returned one."""
    found: list[Crash] = []
    crashed_at = -math.inf
    for crash in crashes:
        if crash.sent_at >= crashed_at:
            found.append(crash)
            crashed_at = crash.crashed_at
    return found
