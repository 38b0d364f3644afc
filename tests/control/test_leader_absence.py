"""Times in which no control host can have led with a valid lease."""

from __future__ import annotations

import pytest

from jujubeslip.control._leader_absence import (
    LeaderAbsence,
    SilenceReport,
    blocking_size,
)
from jujubeslip.control._lease_clock import LeaseClock
from jujubeslip.peers import Member, Membership

NOW = 100.0


def membership(voting: int, learners: int = 0) -> Membership:
    members = [
        Member(f"r-{number}", f"h-{number}", f"10.0.0.{number}:7000", number < voting)
        for number in range(voting + learners)
    ]
    return Membership("cluster", members, [])


def silent(seconds: float, answered_at: float = NOW) -> SilenceReport:
    return SilenceReport(seconds, answered_at - 0.01, answered_at)


class TestBlockingSize:
    """Guards against a pool and a leader that both grant an account's rate."""

    @pytest.mark.parametrize(
        ("voting", "needed"), [(1, 1), (2, 1), (3, 2), (4, 2), (5, 3), (6, 3), (7, 4)]
    )
    def test_leaves_no_majority(self, voting: int, needed: int) -> None:
        assert blocking_size([membership(voting)]) == needed
        assert voting - needed < voting // 2 + 1

    def test_counts_a_learner_as_a_voter(self) -> None:
        """A leader that keeps half of six voters may promote a seventh."""
        assert blocking_size([membership(6, learners=1)]) == 4

    def test_holds_for_both_memberships_of_a_change(self) -> None:
        assert blocking_size([membership(5), membership(7)]) == 4


class TestLeaderAbsence:
    def test_needs_enough_silent_voters_at_the_same_time(self) -> None:
        absence = LeaderAbsence()
        absence.add_round([silent(2.0), silent(1.0)], 3, NOW)
        assert absence.spans == []
        absence.add_round([silent(2.0), silent(1.0), silent(0.5)], 3, NOW)
        assert absence.spans == [(NOW - 0.5, NOW - 0.01)]

    def test_silences_that_follow_each_other_do_not_add_up(self) -> None:
        absence = LeaderAbsence()
        early = SilenceReport(1.0, NOW - 2, NOW - 1.9)
        absence.add_round([early, silent(1.0), silent(0.9)], 3, NOW)
        assert absence.spans == []

    def test_time_during_a_late_answer_does_not_count(self) -> None:
        """The voter may have acknowledged a leader after it was asked."""
        late = SilenceReport(0.3, NOW - 0.4, NOW)
        absence = LeaderAbsence()
        absence.add_round([late], 1, NOW)
        assert absence.spans == []

    def test_round_that_was_missed_is_covered_by_the_next(self) -> None:
        absence = LeaderAbsence()
        for at, seconds in ((NOW, 1.0), (NOW + 0.75, 1.75)):
            absence.add_round([silent(seconds, at)] * 3, 3, at)
        assert absence.spans == [(NOW - 1.0, NOW + 0.74)]

    def test_leader_in_between_is_left_out(self) -> None:
        absence = LeaderAbsence()
        absence.add_round([silent(1.0)] * 3, 3, NOW)
        absence.add_round([silent(0.5, NOW + 3)] * 3, 3, NOW + 3)
        assert len(absence.spans) == 2


class TestLeaseClock:
    """Guards against a ledger that fills for a time that a pool has spent, too."""

    def test_stands_still_while_the_lease_has_lapsed(self) -> None:
        clock = LeaseClock(NOW)
        assert clock.time(NOW + 1) == NOW
        clock.renew(NOW + 1.6, NOW + 1)
        assert clock.time(NOW + 1.5) == NOW + 0.5
        assert clock.time(NOW + 3) == pytest.approx(NOW + 0.6)
        clock.renew(NOW + 4.6, NOW + 4)
        assert clock.time(NOW + 4.1) == pytest.approx(NOW + 0.7)

    def test_goes_on_while_the_lease_is_renewed_in_time(self) -> None:
        clock = LeaseClock(NOW)
        for tenth in range(50):
            clock.renew(NOW + tenth / 10 + 0.6, NOW + tenth / 10)
        assert clock.time(NOW + 4.9) == pytest.approx(NOW + 4.9)

    def test_answer_that_came_too_late_renews_nothing(self) -> None:
        clock = LeaseClock(NOW)
        clock.renew(NOW + 0.6, NOW + 0.7)
        assert clock.time(NOW + 0.8) == NOW
