"""Who votes next: learners that take over, and voters that are gone."""

from __future__ import annotations

from jujubeslip.control._leadership import Progress
from jujubeslip.control._members import (
    is_voter,
    members_of_host,
    voters,
    with_promoted,
    without_replica,
)
from jujubeslip.control._replica import Replica
from jujubeslip.kernel import ControlSettings, steady_seconds
from jujubeslip.peers import Member, Membership

# A replica that has not answered for this many election timeouts counts as gone.
GONE_TIMEOUTS = 2.0
# How long an odd number of voters keeps one that is silent, in seconds: longer than a
# restart or a short cut, which it should outlast without joining anew.
DEAD_SECONDS = 8.0


class Succession:
    """Decides the next change of the voters; a leader's, guarded by its lock."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    @property
    def gone_seconds(self) -> float:
        """Return after which silence a replica counts as gone, in seconds."""
        return GONE_TIMEOUTS * self._replica.election_seconds

    def next_step(self, membership: Membership) -> Membership:
        """Return the membership after the next step, the same one if none is due.

        The replica with the lost disk is removed before its successor votes. The
        removal commits on a majority of the others, and with it every earlier entry:
        what only the lost disk and one other held is on a majority again before a
        second loss can meet a smaller one.
        """
        for learner in membership.members:
            if learner.voter or not self._has_caught_up(learner):
                continue
            for other in members_of_host(membership, learner.host_id):
                if other.voter:
                    return without_replica(membership, other.replica_id)
            return self._with_successor(membership, learner)
        return self._without_silent_spare(membership)

    def is_gone(self, member: Member) -> bool:
        """Say whether another replica has been silent for too long."""
        if member.replica_id == self._replica.replica_id:
            return False
        return self._silence_of(member) > self.gone_seconds

    def _with_successor(self, membership: Membership, learner: Member) -> Membership:
        """Let a learner take the place of a voter that is gone, or vote beside all.

        While a voter is silent and not yet gone, the learner waits: beside it, the
        majority would grow by one, and the next loss would leave none.
        """
        settings = self._replica.settings
        if not settings.admits_any_host:
            return with_promoted(membership, learner.replica_id)
        gone = self._longest_silent(membership, self.gone_seconds)
        if gone is not None:
            return without_replica(membership, gone.replica_id)
        enough_vote = len(voters(membership)) >= _enough_voters(settings)
        if enough_vote and not all(map(self._answers, self._other_voters(membership))):
            return membership
        return with_promoted(membership, learner.replica_id)

    def _without_silent_spare(self, membership: Membership) -> Membership:
        """Remove a voter that is gone, if enough remain without it.

        A host that was replaced for good would count for every majority: of four
        voters, one of them such a host, no other may be lost, and a disk that is lost
        meanwhile leaves no majority for ever. So an even number, whose majority is as
        large as that of the odd number above it, gives up a silent voter at once. One
        that comes back after all joins anew.
        """
        if not _has_spare(membership, self._replica.settings):
            return membership
        even = len(voters(membership)) % 2 == 0
        patience = self.gone_seconds if even else DEAD_SECONDS
        silent = self._longest_silent(membership, patience)
        if silent is None:
            return membership
        return without_replica(membership, silent.replica_id)

    def _other_voters(self, membership: Membership) -> list[Member]:
        own_id = self._replica.replica_id
        return [item for item in voters(membership) if item.replica_id != own_id]

    def _longest_silent(self, membership: Membership, seconds: float) -> Member | None:
        """Return the voter that has been silent longest, beyond these seconds."""
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
        """Say whether this leader has heard the member within an election timeout."""
        silence = steady_seconds() - self._progress_of(member).acknowledged_at
        return silence < self._replica.election_seconds

    def _progress_of(self, member: Member) -> Progress:
        return self._replica.require_leader().progress_by_id[member.replica_id]

    def _silence_of(self, member: Member) -> float:
        """Return for how long this leader has not heard the other replica."""
        started_at = self._replica.require_leader().started_at
        last_seen = max(self._progress_of(member).acknowledged_at, started_at)
        return steady_seconds() - last_seen


def is_spare(
    membership: Membership, replica_id: str, settings: ControlSettings
) -> bool:
    """Say whether a voter may go, since enough others remain without it."""
    return is_voter(membership, replica_id) and _has_spare(membership, settings)


def _has_spare(membership: Membership, settings: ControlSettings) -> bool:
    """Say whether more vote than the losses that are tolerated need.

    Where operators admit each host, they alone remove one.
    """
    enough = _enough_voters(settings)
    return settings.admits_any_host and len(voters(membership)) > enough


def _enough_voters(settings: ControlSettings) -> int:
    """Return how many voters keep a majority through the tolerated losses."""
    return 2 * settings.tolerated_losses + 1
