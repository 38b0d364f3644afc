"""Membership changes by the leader, one replica at a time."""

from __future__ import annotations

import logging
from collections.abc import Callable

from jujubeslip.control._membership import (
    find_member,
    members_of_host,
    voters,
    with_admitted,
    with_learner,
    without_host,
    without_replica,
)
from jujubeslip.control._membership_planner import MembershipPlanner, is_surplus_voter
from jujubeslip.control._replica import Replica
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import (
    Member,
    Membership,
    NotLeader,
    PeerRefusal,
    ReplicaDescription,
)

logger = logging.getLogger(__name__)

# How long a joining replica waits for its membership change, in seconds: enough for an
# election and a commit.
CHANGE_SECONDS = 5.0
# The same for a change that the leader makes by itself, which is retried in the next
# periodic pass.
STEP_SECONDS = 1.0
# Limit on the steps in one pass; further steps wait for the next pass. A replacement
# takes two steps.
MAXIMUM_STEPS = 4
RETRY_AFTER_MS = 500
POLL_SECONDS = 0.05
# One more than the largest supported cluster, so that a host can be added before
# another is removed.
MAXIMUM_HOSTS = 6


class MembershipChanges:
    """Adds and removes replicas through the log.

    Each change waits until the previous one is committed. As consecutive memberships
    differ by one replica only, any majority of one shares a replica with any majority
    of the other, so that the two can't elect two leaders.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._planner = MembershipPlanner(replica)

    def join(self, joining: ReplicaDescription) -> None:
        """Add a replica as a learner, which receives entries but has no vote."""

        def learner_added(membership: Membership) -> Membership:
            if find_member(membership, joining.replica_id) is not None:
                return membership
            self._check_may_join(membership, joining)
            learner = Member(
                joining.replica_id, joining.host_id, joining.address, False
            )
            return with_learner(membership, learner)

        self._change(learner_added, Deadline.after(CHANGE_SECONDS))

    def add_host(self, host_id: str, deadline: Deadline) -> None:
        """Admit a new host, which then may join with an empty data folder."""

        def admitted(membership: Membership) -> Membership:
            if members_of_host(membership, host_id):
                return membership
            hosts = {member.host_id for member in membership.members}
            if len(hosts | {*membership.admitted_host_ids, host_id}) > MAXIMUM_HOSTS:
                raise _refusal(
                    "too_many_replicas",
                    f"There are {len(hosts)} hosts already.",
                    "Remove one first; three or five are enough.",
                )
            return with_admitted(membership, host_id)

        self._change(admitted, deadline)

    def remove_host(self, host_id: str, deadline: Deadline) -> None:
        """Remove a host's replicas, unless the others would have no quorum."""

        def removed(membership: Membership) -> Membership:
            remaining = without_host(membership, host_id)
            if not voters(remaining):
                raise _no_quorum_left()
            return remaining

        self._change(removed, deadline)

    def leave(self, replica_id: str) -> None:
        """Remove a replica that is about to stop, if enough voters remain."""

        def remaining(membership: Membership) -> Membership:
            if not is_surplus_voter(membership, replica_id, self._replica.settings):
                return membership
            return without_replica(membership, replica_id)

        self._change(remaining, Deadline.after(STEP_SECONDS))

    def promote_learners(self) -> None:
        """Promote learners and remove unresponsive voters, in consecutive steps.

        Between the removal of a replica and the promotion of its successor a majority
        may need all remaining voters, so the steps follow each other without a pause.
        """
        try:
            for _ in range(MAXIMUM_STEPS):
                deadline = Deadline.after(STEP_SECONDS)
                if not self._change(self._planner.next_step, deadline):
                    return
        except (NotLeader, PeerRefusal) as refusal:
            logger.debug("membership step refused", extra={"reason": str(refusal)})

    def _change(
        self, change: Callable[[Membership], Membership], deadline: Deadline
    ) -> bool:
        """Commit the next membership; return False if it equals the current one."""
        replica = self._replica
        with replica.lock:
            unresponsive_seconds = self._planner.unresponsive_seconds
            committable_deadline = deadline.earlier_of(
                Deadline.after(unresponsive_seconds)
            )
            next_membership = self._wait_until_committable(change, committable_deadline)
            if next_membership is None:
                return False
            logger.warning(
                "changing the membership", extra={"to": str(next_membership)}
            )
            waiting = replica.submit(next_membership)
        replica.wait_for(waiting, deadline)
        with replica.lock:
            # A replica that stops after its change may still be needed to confirm it.
            replica.role_changed.wait_for(
                lambda: replica.is_membership_settled or replica.leadership is None,
                deadline.remaining(),
            )
        return True

    def _wait_until_committable(
        self, change: Callable[[Membership], Membership], deadline: Deadline
    ) -> Membership | None:
        """Wait until the quorums that the change needs answer; return the membership.

        The newest membership takes effect as soon as it is in the log, so a change that
        can't commit would leave the log without a quorum. Only replies to requests that
        are sent from now on count, since a host may have failed a moment ago.
        """
        replica = self._replica
        started = steady_seconds()
        while True:
            leadership = replica.require_leader()
            next_membership = change(replica.membership)
            if next_membership == replica.membership:
                return None
            # The leader's first entry has to be committed as well: until then a change
            # by an earlier leader could still be in effect on other replicas.
            newest = max(replica.memberships.current_index, leadership.first_index)
            if newest > replica.commit_index:
                raise _refusal(
                    "change_in_progress",
                    "Another change of the replicas is not committed yet.",
                    "Ask again in a second.",
                )
            quorums = replica.ack_quorums_with(next_membership)
            if leadership.quorum_acknowledged_at(quorums) >= started:
                return next_membership
            if deadline.expired:
                raise _no_quorum_left()
            replica.role_changed.wait(POLL_SECONDS)

    def _check_may_join(
        self, membership: Membership, joining: ReplicaDescription
    ) -> None:
        host_members = members_of_host(membership, joining.host_id)
        admits_any = self._replica.settings.admits_any_host
        if (
            not host_members
            and not admits_any
            and joining.host_id not in membership.admitted_host_ids
        ):
            raise _refusal(
                "host_not_admitted",
                f"Host {joining.host_id!r} is not one of the replicas.",
                f"Run `jujubeslip replica add {joining.host_id}` first.",
            )
        if any(
            member.voter and not self._planner.is_unresponsive(member)
            for member in host_members
        ):
            raise _refusal(
                "replica_still_answers",
                f"Host {joining.host_id!r} still answers from another data folder.",
                "Stop the other process, or correct host_id in the settings.",
            )


def _no_quorum_left() -> PeerRefusal:
    return _refusal(
        "quorum_would_be_lost",
        "Too few of the remaining replicas answer.",
        "Bring one of them back first.",
    )


def _refusal(error_id: str, message: str, remedy: str) -> PeerRefusal:
    return PeerRefusal(error_id, message, remedy, RETRY_AFTER_MS)
