"""The election task: campaigns without a leader, steps down without a quorum."""

from __future__ import annotations

import logging
import threading
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from jujubeslip.control._cold_start_election import ColdStartElection
from jujubeslip.control._leadership import Role
from jujubeslip.control._lost_disks import has_lost_disk, suggests_lost_disk
from jujubeslip.control._membership import Electorate, all_voters, electorates
from jujubeslip.control._replica import Replica
from jujubeslip.control._replica_clients import ReplicaClients
from jujubeslip.kernel import Deadline, PeerUnavailableError
from jujubeslip.peers import (
    Member,
    PeerRefusal,
    ReplicaMetadata,
    VoteReply,
    VoteRequest,
)

logger = logging.getLogger(__name__)

# How long a campaign waits for pre-votes, as a share of the election timeout. Voters
# answer them without a write to disk.
PRE_VOTE_SHARE = 0.5
# How long a replica that may not campaign waits before it checks again, in seconds.
IDLE_SECONDS = 1.0


class VoteTally:
    """Counts the votes that the asking tasks collect, the candidate's own included."""

    def __init__(
        self,
        electorates: Sequence[Electorate],
        candidate_id: str,
        lost_ids: Collection[str] = (),
    ) -> None:
        """Create the tally; `electorates` begin with that of the newest membership.

        `lost_ids` are the voters whose disks are known to be lost.
        """
        self._electorates = electorates
        self._vote_ids = {candidate_id}
        self._lost_ids = set(lost_ids)
        self._found_lost_ids: set[str] = set()
        self._changed = threading.Condition()

    def grant(self, replica_id: str) -> None:
        """Count the vote of a replica."""
        with self._changed:
            self._vote_ids.add(replica_id)
            self._changed.notify_all()

    def add_lost(self, replica_id: str) -> None:
        """Record a voter whose disk is lost."""
        with self._changed:
            self._found_lost_ids.add(replica_id)
            self._changed.notify_all()

    def wait_until_decided(self, deadline: Deadline) -> bool:
        """Wait until the votes suffice, or would without the disks found lost since.

        Return False when the deadline passes first.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self._suffice(self.all_lost_ids()), deadline.remaining()
            )

    def is_won(self) -> bool:
        """Return whether the votes suffice."""
        with self._changed:
            return self._suffice(self._lost_ids)

    def all_lost_ids(self) -> set[str]:
        """Return the voters whose disks are lost, known before or found since."""
        with self._changed:
            return self._lost_ids | self._found_lost_ids

    def excluded_lost_ids(self) -> set[str]:
        """Return the newest voters with lost disks that the quorum had to leave out.

        Empty if the votes are a majority of all newest voters.
        """
        with self._changed:
            newest = self._electorates[0]
            if newest.is_won(self._vote_ids, ()):
                return set()
            return set(newest.voter_ids & self._lost_ids)

    def _suffice(self, lost_ids: Collection[str]) -> bool:
        return all(item.is_won(self._vote_ids, lost_ids) for item in self._electorates)


@dataclass(frozen=True)
class AddressedVoteRequest:
    """A vote request and the voter that it goes to."""

    voter: Member
    request: VoteRequest


@dataclass(frozen=True)
class Campaign:
    """One round of vote requests; a pre-vote changes nothing at the voter."""

    term: int
    vote_requests: tuple[AddressedVoteRequest, ...]
    pre_vote: bool
    electorates: Sequence[Electorate]
    until: Deadline
    """Deadline for the votes."""


class Elections:
    """Campaigns when the election deadline passes; steps down without a quorum."""

    def __init__(self, replica: Replica, clients: ReplicaClients) -> None:
        self._replica = replica
        self._clients = clients

    def run(self) -> None:
        """Run until the process stops."""
        ColdStartElection(
            self._replica, self._clients, self.campaign_after_cold_start
        ).run()
        while not self._replica.process.stopped.is_set():
            if self._wait_until_due():
                self._campaign()

    def _wait_until_due(self) -> bool:
        """Wait for the next deadline; return whether it is time to campaign."""
        replica = self._replica
        with replica.lock:
            deadline = self._next_deadline()
            if not deadline.expired:
                replica.role_changed.wait(deadline.remaining())
                return False
            if replica.leadership is not None:
                # A majority that can't be reached may have elected another leader.
                replica.step_down("no quorum has answered")
                return False
            if not replica.may_campaign:
                replica.election_deadline = replica.random_election_deadline()
                return False
            return True

    def _next_deadline(self) -> Deadline:
        replica = self._replica
        if replica.leadership is not None:
            return replica.leadership.quorum_deadline(
                replica.ack_quorums, replica.election_seconds
            )
        if not replica.may_campaign:
            return Deadline.after(IDLE_SECONDS)
        return replica.election_deadline

    def _campaign(self) -> None:
        """Ask for pre-votes, then for votes, and lead if a majority grants them.

        The pre-vote guards against a replica that was partitioned from the others:
        without it, its term would grow with each campaign, and on its return it would
        make a working leader step down.
        """
        with self._replica.lock:
            transfer, self._replica.transferring = self._replica.transferring, False
            next_campaign = self._replica.random_election_deadline()
            self._replica.election_deadline = next_campaign
            until = Deadline.after(self._replica.election_seconds * PRE_VOTE_SHARE)
            term = self._replica.term + 1
            pre_vote = self._build_campaign(term, True, transfer, until)
            # Also logged when the leader transfers its leadership to this replica.
            logger.info("no leader heard", extra={"term": self._replica.term})
        if not transfer and self._gather_votes(pre_vote) is None:
            return
        try:
            pre_voted = None if transfer else term
            campaign = self._begin_term(transfer, next_campaign, pre_voted)
        except PeerRefusal:
            return
        self._lead_if_won(campaign)

    def campaign_after_cold_start(self, start_by_id: Mapping[str, int]) -> None:
        """Campaign at once, after all voters reported that they just started."""
        with self._replica.lock:
            next_campaign = self._replica.random_election_deadline()
            self._replica.election_deadline = next_campaign
        try:
            campaign = self._begin_term(False, next_campaign, start_by_id=start_by_id)
        except PeerRefusal:
            return
        self._lead_if_won(campaign)

    def _build_campaign(
        self,
        term: int,
        pre_vote: bool,
        transfer: bool,
        until: Deadline,
        start_by_id: Mapping[str, int] | None = None,
    ) -> Campaign:
        replica = self._replica
        vote_requests = []
        memberships, commit_index = replica.memberships, replica.commit_index
        for member in all_voters(memberships, commit_index):
            if member.replica_id == replica.replica_id:
                continue
            request = replica.vote_request(member.replica_id, term, transfer)
            request.fresh_start = (start_by_id or {}).get(member.replica_id)
            vote_requests.append(AddressedVoteRequest(member, request))
        return Campaign(
            term,
            tuple(vote_requests),
            pre_vote,
            electorates(memberships, commit_index),
            until,
        )

    def _begin_term(
        self,
        transfer: bool,
        next_campaign: Deadline,
        pre_voted_term: int | None = None,
        start_by_id: Mapping[str, int] | None = None,
    ) -> Campaign | None:
        """Vote for itself in the next term, durably before any voter is asked.

        Votes are accepted until the next campaign. A voter saves its vote before it
        replies, which takes long on a busy disk. With a shorter wait each campaign
        would make the voters save another term, and none would be won.

        Returns None if the campaign has become invalid. A campaign after a cold start
        is invalid once this replica has answered a leader, since a vote for itself
        would break that leader's lease. A campaign by pre-votes is invalid once this
        replica is in a later term: it may have voted in that term, and would make the
        leader that was just elected step down.
        """
        replica = self._replica
        with replica.disk_lock, replica.lock, replica.requiring_working_disk():
            if start_by_id is not None and not replica.no_leader_since_start:
                return None
            term = replica.term + 1
            if pre_voted_term not in (None, term):
                extra = {"pre_voted_term": pre_voted_term, "term": replica.term}
                logger.info("campaign abandoned; term has changed", extra=extra)
                return None
            replica.write_pending()
            replica.save_metadata(
                ReplicaMetadata(replica.cluster_id, term, replica.replica_id)
            )
            replica.role = Role.CANDIDATE
            logger.info("campaigning", extra={"term": term})
            return self._build_campaign(
                term, False, transfer, next_campaign, start_by_id
            )

    def _lead_if_won(self, campaign: Campaign | None) -> None:
        tally = self._gather_votes(campaign) if campaign is not None else None
        if campaign is not None and tally is not None:
            self._lead(campaign.term, tally.excluded_lost_ids())

    def _gather_votes(self, campaign: Campaign) -> VoteTally | None:
        """Ask for votes; return the tally if they suffice.

        Votes that suffice only without lost disks are asked for again once the losses
        are known. A voter that has lost its disk since its vote does not count then: a
        leader that has noted that loss may have committed entries without it.
        """
        lost_ids: set[str] = set()
        while (tally := self._ask_voters(campaign, lost_ids)) is not None:
            if tally.is_won():
                return tally
            lost_ids = tally.all_lost_ids()
        return None

    def _ask_voters(
        self, campaign: Campaign, lost_ids: Collection[str]
    ) -> VoteTally | None:
        """Ask all voters but the lost ones; return None if the votes don't suffice."""
        tally = VoteTally(campaign.electorates, self._replica.replica_id, lost_ids)
        for addressed in campaign.vote_requests:
            if addressed.voter.replica_id not in lost_ids:
                self._replica.process.start_task(
                    self._request_vote, campaign, addressed, tally
                )
        return tally if tally.wait_until_decided(campaign.until) else None

    def _request_vote(
        self, campaign: Campaign, addressed: AddressedVoteRequest, tally: VoteTally
    ) -> None:
        member, request = addressed.voter, addressed.request
        timeout = campaign.until.remaining()
        method = "pre_vote" if campaign.pre_vote else "request_vote"
        try:
            reply: VoteReply = self._clients.to_member(member).call(
                lambda client: getattr(client, method)(request), timeout
            )
        except (PeerUnavailableError, PeerRefusal) as error:
            logger.debug(
                "vote request failed",
                extra={"member": member.replica_id, "why": error},
            )
            if suggests_lost_disk(error):
                if has_lost_disk(self._clients, member, campaign.until):
                    tally.add_lost(member.replica_id)
            return
        if reply.granted:
            tally.grant(member.replica_id)
            return
        try:
            self._replica.observe_term(reply.term)
        except PeerRefusal:
            return

    def _lead(self, term: int, lost_ids: Collection[str]) -> None:
        replica = self._replica
        with replica.lock:
            still_candidate = replica.role is Role.CANDIDATE and replica.term == term
            if still_candidate and not replica.failure:
                replica.lead(lost_ids)
