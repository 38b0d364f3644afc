"""Decides the next membership: which learner is promoted, which voter is removed."""

from __future__ import annotations

from jujubeslip.control._leadership import Progress
from jujubeslip.control._membership import (
    is_voter,
    members_of_host,
    quorum_size,
    voters,
    with_promoted,
    without_replica,
)
from jujubeslip.control._replica import Replica
from jujubeslip.kernel import ControlSettings, steady_seconds
from jujubeslip.peers import Member, Membership

# A replica that has not answered for this many election timeouts is unresponsive.
UNRESPONSIVE_TIMEOUTS = 2.0
# How long an unresponsive voter stays a member, in seconds, if the others tolerate
# further losses. Longer than a restart or a short network partition, after which the
# voter should not have to join again.
GRACE_SECONDS = 8.0


class MembershipPlanner:
    """Plans the leader's next membership change; guarded by the replica's lock."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    @property
    def unresponsive_seconds(self) -> float:
        """Return the silence after which a replica is unresponsive, in seconds."""
        return UNRESPONSIVE_TIMEOUTS * self._replica.election_seconds

    def next_step(self, membership: Membership) -> Membership:
        """Return the membership after the next step, or the same one if none is due.

        A replica with a lost disk is removed before its successor becomes a voter. The
        removal commits on a majority of the others, and with it every earlier entry.
        An entry that only the lost disk and one other replica held is thus on a
        majority again before a second loss can meet the smaller membership.
        """
        for learner in membership.members:
            if learner.voter or not self._has_caught_up(learner):
                continue
            for other in members_of_host(membership, learner.host_id):
                if other.voter:
                    return without_replica(membership, other.replica_id)
            return self._with_successor(membership, learner)
        return self._without_unresponsive_surplus(membership)

    def is_unresponsive(self, member: Member) -> bool:
        """Return whether another replica has not answered for too long."""
        if member.replica_id == self._replica.replica_id:
            return False
        return self._silence_of(member) > self.unresponsive_seconds

    def _with_successor(self, membership: Membership, learner: Member) -> Membership:
        """Remove an unresponsive voter in favor of a learner, or promote the learner.

        While a voter is silent but not yet unresponsive, the learner is not promoted:
        with one more voter the majority would grow by one, and the next loss would
        leave no majority.
        """
        settings = self._replica.settings
        if not settings.admits_any_host:
            return with_promoted(membership, learner.replica_id)
        if len(voters(membership)) < _required_voters(settings):
            return with_promoted(membership, learner.replica_id)
        unresponsive = self._longest_silent(membership, self.unresponsive_seconds)
        if unresponsive is not None:
            return without_replica(membership, unresponsive.replica_id)
        if not all(map(self._answers, self._other_voters(membership))):
            return membership
        return with_promoted(membership, learner.replica_id)

    def _without_unresponsive_surplus(self, membership: Membership) -> Membership:
        """Remove an unresponsive voter if enough voters remain without it.

        A host that was permanently replaced would still count for every majority: of
        four voters with one such host, one lost disk permanently leaves no majority.
        If the responsive voters do not tolerate the configured number of losses, the
        unresponsive voter is removed at once, otherwise after a grace period. A removed
        voter that returns joins again.
        """
        if not _has_surplus_voter(membership, self._replica.settings):
            return membership
        silence_limit = self.unresponsive_seconds
        if self._tolerates_losses(membership):
            silence_limit = max(silence_limit, GRACE_SECONDS)
        silent = self._longest_silent(membership, silence_limit)
        if silent is None:
            return membership
        return without_replica(membership, silent.replica_id)

    def _tolerates_losses(self, membership: Membership) -> bool:
        """Return whether the responsive voters keep a majority after further losses."""
        unresponsive = sum(map(self.is_unresponsive, self._other_voters(membership)))
        remaining = len(voters(membership)) - unresponsive
        tolerated = self._replica.settings.tolerated_losses
        return remaining - tolerated >= quorum_size(membership)

    def _other_voters(self, membership: Membership) -> list[Member]:
        own_id = self._replica.replica_id
        return [item for item in voters(membership) if item.replica_id != own_id]

    def _longest_silent(self, membership: Membership, seconds: float) -> Member | None:
        """Return the voter that has been silent longest, if beyond these seconds."""
        others = self._other_voters(membership)
        if not others:
            return None
        silent = max(others, key=self._silence_of)
        return silent if self._silence_of(silent) > seconds else None

    def _has_caught_up(self, learner: Member) -> bool:
        progress = self._progress_of(learner)
        caught_up = progress.match_index >= self._replica.commit_index
        return caught_up and self._answers(learner)

    def _answers(self, member: Member) -> bool:
        """Return whether the member has answered within an election timeout."""
        silence = steady_seconds() - self._progress_of(member).acknowledged_at
        return silence < self._replica.election_seconds

    def _progress_of(self, member: Member) -> Progress:
        return self._replica.require_leader().progress_by_id[member.replica_id]

    def _silence_of(self, member: Member) -> float:
        """Return for how long the other replica has not answered, in seconds."""
        started_at = self._replica.require_leader().started_at
        last_seen = max(self._progress_of(member).acknowledged_at, started_at)
        return steady_seconds() - last_seen


def is_surplus_voter(
    membership: Membership, replica_id: str, settings: ControlSettings
) -> bool:
    """Return whether a voter may be removed, since enough others remain without it."""
    return is_voter(membership, replica_id) and _has_surplus_voter(membership, settings)


def _has_surplus_voter(membership: Membership, settings: ControlSettings) -> bool:
    """Return whether there are more voters than the tolerated losses require.

    False where operators admit each host: then only they remove one.
    """
    required = _required_voters(settings)
    return settings.admits_any_host and len(voters(membership)) > required


def _required_voters(settings: ControlSettings) -> int:
    """Return the number of voters that keep a majority after the tolerated losses."""
    return 2 * settings.tolerated_losses + 1
