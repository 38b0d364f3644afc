"""Changes of the membership, one replica at a time, by the leader."""

from __future__ import annotations

import logging
from collections.abc import Callable

from jujubeslip.control._members import (
    find_member,
    members_of_host,
    voters,
    with_admitted,
    with_learner,
    without_host,
    without_replica,
)
from jujubeslip.control._replica import Replica
from jujubeslip.control._succession import Succession, is_spare
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import (
    Member,
    Membership,
    NotLeader,
    PeerRefusal,
    ReplicaDescription,
)

logger = logging.getLogger(__name__)

# How long a joining replica waits for its change, in seconds: an election and a commit.
CHANGE_SECONDS = 5.0
# The same for one step of the leader's own, which is tried again at the next look.
STEP_SECONDS = 1.0
# A replacement takes two steps; the rest waits for the next look.
MAXIMUM_STEPS = 4
RETRY_AFTER_MS = 500
POLL_SECONDS = 0.05
# One more than is planned for, so that a host can be added before one is removed.
MAXIMUM_HOSTS = 6


class MembershipChanges:
    """Adds and removes replicas through the log.

    Each change waits for the one before it: with only one replica of difference, any
    majority before shares a replica with any majority after, so that two leaders
    can't be elected by two memberships.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._succession = Succession(replica)

    def join(self, joining: ReplicaDescription) -> None:
        """Take in a replica as a learner; it gets entries but no vote."""

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
        """Let a new host join with an empty data folder."""

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
        """Remove a host's replicas, unless the others would be without a quorum."""

        def removed(membership: Membership) -> Membership:
            left = without_host(membership, host_id)
            if not voters(left):
                raise _no_quorum_left()
            return left

        self._change(removed, deadline)

    def leave(self, replica_id: str) -> None:
        """Remove a replica that is about to stop, if the others are enough."""

        def left(membership: Membership) -> Membership:
            if not is_spare(membership, replica_id, self._replica.settings):
                return membership
            return without_replica(membership, replica_id)

        self._change(left, Deadline.after(STEP_SECONDS))

    def promote_learners(self) -> None:
        """Promote learners and remove who is gone, one step right after the other.

        Between the removal of a replica and the promotion of its successor each
        majority needs all that are left: that state is kept as short as it can be.
        """
        try:
            for _ in range(MAXIMUM_STEPS):
                deadline = Deadline.after(STEP_SECONDS)
                if not self._change(self._succession.next_step, deadline):
                    return
        except (NotLeader, PeerRefusal) as refusal:
            logger.debug("no membership step", extra={"reason": str(refusal)})

    def _change(
        self, next_of: Callable[[Membership], Membership], deadline: Deadline
    ) -> bool:
        """Commit the next membership; False if it equals the current one."""
        replica = self._replica
        with replica.lock:
            patience = self._succession.gone_seconds
            settling = deadline.earlier_of(Deadline.after(patience))
            following = self._settle(next_of, settling)
            if following is None:
                return False
            logger.warning("changing the replicas", extra={"to": str(following)})
            waiting = replica.submit(following)
        replica.wait_for(waiting, deadline)
        with replica.lock:
            # Who stops after its change may be needed to have it told.
            replica.role_changed.wait_for(
                lambda: replica.is_settled or replica.leadership is None,
                deadline.remaining(),
            )
        return True

    def _settle(
        self, next_of: Callable[[Membership], Membership], deadline: Deadline
    ) -> Membership | None:
        """Wait until a majority of the next voters answers; return the membership.

        A change that can't commit would leave the log without any quorum, since the
        newest membership counts from the moment that it is in the log. A host that
        died a moment ago shows only by not answering what is sent from now on.
        """
        replica = self._replica
        started = steady_seconds()
        while True:
            leadership = replica.require_leader()
            following = next_of(replica.membership)
            if following == replica.membership:
                return None
            # Also the leader's first entry: before it commits, an earlier leader's
            # change could still be in force elsewhere.
            newest = max(replica.memberships.current_index, leadership.first_index)
            if newest > replica.commit_index:
                raise _refusal(
                    "change_in_progress",
                    "Another change of the replicas is not committed yet.",
                    "Ask again in a second.",
                )
            if leadership.quorum_instant(following) >= started:
                return following
            if deadline.expired:
                raise _no_quorum_left()
            replica.role_changed.wait(POLL_SECONDS)

    def _check_may_join(
        self, membership: Membership, joining: ReplicaDescription
    ) -> None:
        known = members_of_host(membership, joining.host_id)
        admits_any = self._replica.settings.admits_any_host
        if (
            not known
            and not admits_any
            and joining.host_id not in membership.admitted_host_ids
        ):
            raise _refusal(
                "host_not_admitted",
                f"Host {joining.host_id!r} is not one of the replicas.",
                f"Run `jujubeslip replica add {joining.host_id}` first.",
            )
        if any(
            member.voter and not self._succession.is_gone(member) for member in known
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
