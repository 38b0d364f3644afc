"""Shows during which times no control host can have led with a valid lease.

It answers bursts of requests of limited accounts while the control hosts are split:
the rate of a limit may then be spent without a leader, but never for a time in which a
leader on the other side may have granted it, too. It has no lock and no clock; callers
pass the times and synchronize access.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from jujubeslip.control._membership import voters
from jujubeslip.peers import Membership

# How long a time without a leader is remembered, in seconds: longer than any window in
# which a limit holds.
KEPT_SECONDS = 60.0


@dataclass(frozen=True)
class SilenceReport:
    """A voter's answer that it has not acknowledged a leader for some time.

    A voter is silent while it has acknowledged no leader for longer than a lease lasts.
    """

    silent_seconds: float
    asked_at: float
    """When it was asked, by the clock of the asking host."""
    answered_at: float

    @property
    def span(self) -> tuple[float, float]:
        """Return a time in which it was surely silent, by the asking host's clock."""
        return self.answered_at - self.silent_seconds, self.asked_at


def blocking_size(memberships: Iterable[Membership]) -> int:
    """Return how many silent voters rule out a lease in each of the memberships.

    A lease needs a majority of the voters, so it is ruled out once the others are too
    few for one. A leader may promote a learner that it reaches, so that a membership
    with learners counts as one with a further voter, too.
    """
    return max(_blocking_size_of(membership) for membership in memberships)


def _blocking_size_of(membership: Membership) -> int:
    voting = len(voters(membership))
    has_learners = len(membership.members) > voting
    counts = (voting, voting + 1) if has_learners else (voting,)
    return max(count - count // 2 for count in counts)


class LeaderAbsence:
    """The times in which no leader can have had a valid lease."""

    def __init__(self) -> None:
        self._spans: list[tuple[float, float]] = []

    @property
    def spans(self) -> list[tuple[float, float]]:
        """Return these times, in order and without overlaps."""
        return self._spans

    def add_round(
        self, reports: Collection[SilenceReport], needed: int, now: float
    ) -> None:
        """Add the times in which as many voters as needed were silent.

        The reports are one answer of each voter; each covers the voter's whole silence,
        so that the answers of one round are enough.
        """
        spans = [*self._spans, *_covered_by(reports, needed)]
        self._spans = _merged(span for span in spans if span[1] > now - KEPT_SECONDS)


def _covered_by(
    reports: Collection[SilenceReport], needed: int
) -> list[tuple[float, float]]:
    """Return the times that as many of the reports cover as are needed."""
    spans = [report.span for report in reports if report.span[0] < report.span[1]]
    changes = sorted(
        [(begin, 1) for begin, _ in spans] + [(end, -1) for _, end in spans]
    )
    covered, count, began_at = [], 0, 0.0
    for at, change in changes:
        was_enough = count >= needed
        count += change
        if count >= needed and not was_enough:
            began_at = at
        elif was_enough and count < needed:
            covered.append((began_at, at))
    return covered


def _merged(spans: Iterable[tuple[float, float]]) -> list[tuple[float, float]]:
    merged: list[tuple[float, float]] = []
    for begin, end in sorted(spans):
        if merged and begin <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(merged[-1][1], end))
        else:
            merged.append((begin, end))
    return merged
