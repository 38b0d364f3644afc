"""Asks the other voters whether they may still prolong a leader's lease.

Only control hosts with which hosts without a leader have pooled their limits ask, a few
times a second.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from jujubeslip.control._leader_absence import (
    LeaderAbsence,
    SilenceReport,
    blocking_size,
)
from jujubeslip.control._membership import is_voter, other_voters
from jujubeslip.control._replica import Replica
from jujubeslip.control._replica_clients import ReplicaClients
from jujubeslip.kernel import Deadline, PeerUnavailableError, steady_seconds
from jujubeslip.peers import LeaderSilence, Member, Membership, PeerRefusal

logger = logging.getLogger(__name__)

# Interval between rounds, and how long one waits for answers, in seconds. An answer
# takes a few milliseconds; one that is missed is covered by the next round.
PROBE_INTERVAL_SECONDS = 0.25
ANSWER_SECONDS = 0.15
MILLISECONDS = 1000


class _Round:
    """The answers to one round of questions."""

    def __init__(self, expected: int) -> None:
        self._left = expected
        self._reports: list[SilenceReport] = []
        self._changed = threading.Condition()

    def add(self, report: SilenceReport | None) -> None:
        with self._changed:
            self._left -= 1
            if report is not None:
                self._reports.append(report)
            self._changed.notify_all()

    def wait(self, deadline: Deadline) -> list[SilenceReport]:
        """Return the reports once all voters have answered, or at the deadline."""
        with self._changed:
            self._changed.wait_for(lambda: self._left <= 0, deadline.remaining())
            return list(self._reports)


class AbsenceProbe:
    """Keeps the times in which no leader can have had a lease, while it is needed."""

    def __init__(
        self,
        replica: Replica,
        clients: ReplicaClients,
        is_needed: Callable[[], bool],
    ) -> None:
        self._replica = replica
        self._clients = clients
        self._is_needed = is_needed
        self._absence = LeaderAbsence()
        self._lock = threading.Lock()
        self._was_absent = False

    def spans(self) -> list[tuple[float, float]]:
        """Return the times in which no leader can have had a valid lease."""
        with self._lock:
            return self._absence.spans

    def run_once(self) -> None:
        """Ask each other voter once, if hosts without a leader have joined here."""
        if not self._is_needed():
            return
        replica = self._replica
        with replica.lock:
            membership = replica.membership
            memberships = [membership]
            if not replica.is_membership_settled:
                memberships.append(replica.memberships.previous)
        others = other_voters(membership, replica.replica_id)
        answers = _Round(len(others))
        for member in others:
            replica.process.start_task(self._ask, member, answers)
        reports = answers.wait(Deadline.after(ANSWER_SECONDS))
        reports.extend(self._own_report(membership))
        needed = blocking_size(memberships)
        with self._lock:
            self._absence.add_round(reports, needed, steady_seconds())
        self._log_change(len(reports), needed)

    def _own_report(self, membership: Membership) -> list[SilenceReport]:
        asked_at = steady_seconds()
        silent_seconds = self._replica.silent_seconds()
        if silent_seconds is None or not is_voter(membership, self._replica.replica_id):
            return []
        return [SilenceReport(silent_seconds, asked_at, steady_seconds())]

    def _ask(self, member: Member, answers: _Round) -> None:
        answers.add(self._report_of(member))

    def _report_of(self, member: Member) -> SilenceReport | None:
        asked_at = steady_seconds()
        client = self._clients.to_member(member)
        try:
            silence: LeaderSilence = client.call_within(
                lambda peer: peer.leader_silence(), ANSWER_SECONDS
            )
        except (PeerUnavailableError, PeerRefusal):
            return None
        is_member = silence.replica_id == member.replica_id
        if silence.silent_ms is None or not is_member:
            return None
        silent_seconds = silence.silent_ms / MILLISECONDS
        return SilenceReport(silent_seconds, asked_at, steady_seconds())

    def _log_change(self, silent: int, needed: int) -> None:
        is_absent = silent >= needed
        if is_absent == self._was_absent:
            return
        self._was_absent = is_absent
        extra = {"silent": silent, "needed": needed, "absent": is_absent}
        logger.info("leader's lease ruled out or possible again", extra=extra)
