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
    with_promoted,
    without_host,
    without_replica,
)
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

CHANGE_SECONDS = 5.0
STEP_SECONDS = 1.0
RETRY_AFTER_MS = 500
POLL_SECONDS = 0.05
# One more than is planned for, so that a host can be added before one is removed.
MAXIMUM_HOSTS = 6
# A replica that has not answered for this many election timeouts counts as gone.
GONE_TIMEOUTS = 2.0
# A replica that nothing was heard of for this long counts as dead, in seconds: longer
# than a restart or a short cut, which it should outlast without being copied anew.
DEAD_SECONDS = 8.0


class MembershipChanges:
    """Adds and removes replicas through the log.

    Each change waits for the one before it: with only one replica of difference, any
    majority before shares a replica with any majority after, so that two leaders
    can't be elected by two memberships.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

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

    def promote_learners(self) -> None:
        """Take the next step for a learner that has caught up, if there is one.

        The replica with the lost disk is removed before its successor votes. The
        removal commits on a majority of the others, and with it every earlier entry:
        what only the lost disk and one other held is on a majority again before a
        second loss can meet a smaller one.
        """
        try:
            self._change(self._next_step, Deadline.after(STEP_SECONDS))
        except (NotLeader, PeerRefusal) as refusal:
            logger.debug("no membership step", extra={"reason": str(refusal)})

    def _next_step(self, membership: Membership) -> Membership:
        for learner in membership.members:
            if learner.voter or not self._has_caught_up(learner):
                continue
            for other in members_of_host(membership, learner.host_id):
                if other.voter:
                    return without_replica(membership, other.replica_id)
            replaced = self._longest_gone(membership, self._gone_seconds())
            if replaced is not None and self._admits_any_host():
                return without_replica(membership, replaced.replica_id)
            return with_promoted(membership, learner.replica_id)
        return self._without_dead_voter(membership)

    def _without_dead_voter(self, membership: Membership) -> Membership:
        """Remove a voter that is gone for long, if enough remain without it.

        A host that was replaced for good would count for every majority: of four
        voters, one of them such a host, no other may be lost. One that comes back
        after all joins anew.
        """
        settings = self._replica.settings
        enough = 2 * settings.tolerated_losses + 1
        if not settings.admits_any_host or len(voters(membership)) <= enough:
            return membership
        dead = self._longest_gone(membership, DEAD_SECONDS)
        if dead is None:
            return membership
        return without_replica(membership, dead.replica_id)

    def _admits_any_host(self) -> bool:
        return self._replica.settings.admits_any_host

    def _longest_gone(self, membership: Membership, seconds: float) -> Member | None:
        """Return the voter that has been silent longest, beyond these seconds."""
        silences = [
            (self._silence_of(member), member)
            for member in voters(membership)
            if member.replica_id != self._replica.replica_id
        ]
        if not silences:
            return None
        silence, member = max(silences, key=lambda item: item[0])
        return member if silence > seconds else None

    def _has_caught_up(self, learner: Member) -> bool:
        leadership = self._replica.require_leader()
        progress = leadership.progress_by_id[learner.replica_id]
        answered = steady_seconds() - progress.acknowledged_at
        recent = answered < self._replica.election_seconds
        return recent and progress.match_index >= self._replica.commit_index

    def _change(
        self, next_of: Callable[[Membership], Membership], deadline: Deadline
    ) -> None:
        """Commit the next membership; nothing if it equals the current one."""
        replica = self._replica
        with replica.lock:
            patience = GONE_TIMEOUTS * replica.election_seconds
            settling = deadline.earlier_of(Deadline.after(patience))
            following = self._settle(next_of, settling)
            if following is None:
                return
            logger.warning("changing the replicas", extra={"to": str(following)})
            waiting = replica.submit(following)
        replica.wait_for(waiting, deadline)

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
        if any(member.voter and not self._is_gone(member) for member in known):
            raise _refusal(
                "replica_still_answers",
                f"Host {joining.host_id!r} still answers from another data folder.",
                "Stop the other process, or correct host_id in the settings.",
            )

    def _is_gone(self, member: Member) -> bool:
        if member.replica_id == self._replica.replica_id:
            return False
        return self._silence_of(member) > self._gone_seconds()

    def _gone_seconds(self) -> float:
        return GONE_TIMEOUTS * self._replica.election_seconds

    def _silence_of(self, member: Member) -> float:
        """Return for how long this leader has not heard the other replica."""
        leadership = self._replica.require_leader()
        progress = leadership.progress_by_id[member.replica_id]
        last_seen = max(progress.acknowledged_at, leadership.started_at)
        return steady_seconds() - last_seen


def _no_quorum_left() -> PeerRefusal:
    return _refusal(
        "quorum_would_be_lost",
        "Too few of the remaining replicas answer.",
        "Bring one of them back first.",
    )


def _refusal(error_id: str, message: str, remedy: str) -> PeerRefusal:
    return PeerRefusal(error_id, message, remedy, RETRY_AFTER_MS)
