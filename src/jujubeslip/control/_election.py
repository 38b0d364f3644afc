"""Elections: one task that campaigns when no leader is heard, and gives up a lead."""

from __future__ import annotations

import logging
import threading
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from jujubeslip.control._fresh_election import FreshElection
from jujubeslip.control._leadership import Role
from jujubeslip.control._members import VoteQuorum, other_voters, vote_quorum
from jujubeslip.control._peers import ReplicaClients
from jujubeslip.control._receiver import WRONG_REPLICA
from jujubeslip.control._replica import Replica
from jujubeslip.kernel import Deadline, PeerUnavailableError
from jujubeslip.peers import (
    Member,
    PeerRefusal,
    ReplicaMetadata,
    VoteReply,
    VoteRequest,
)

logger = logging.getLogger(__name__)

# How long a campaign waits for pre-votes, which cost the voters no disk, as a share of
# the election timeout.
PRE_VOTE_SHARE = 0.5
IDLE_SECONDS = 1.0


class Ballot:
    """Votes that come in from the tasks that ask for them; the candidate's is one."""

    def __init__(self, quorum: VoteQuorum) -> None:
        self._quorum = quorum
        self._votes = 1
        self._lost_ids: set[str] = set()
        self._changed = threading.Condition()

    def grant(self) -> None:
        """Count one vote."""
        with self._changed:
            self._votes += 1
            self._changed.notify_all()

    def note_lost(self, replica_id: str) -> None:
        """Note a voter whose disk is lost."""
        with self._changed:
            self._lost_ids.add(replica_id)
            self._changed.notify_all()

    def won(self, deadline: Deadline) -> bool:
        """Wait until the votes are enough; False when the deadline passes first."""
        with self._changed:
            return self._changed.wait_for(self._is_won, deadline.remaining())

    def needless_ids(self) -> set[str]:
        """Return the voters with lost disks without whom alone it is won."""
        with self._changed:
            is_majority = self._votes >= self._quorum.votes_needed(0)
            return set() if is_majority else set(self._lost_ids)

    def _is_won(self) -> bool:
        return self._votes >= self._quorum.votes_needed(len(self._lost_ids))


@dataclass(frozen=True)
class Question:
    """What a candidate asks one voter."""

    voter: Member
    request: VoteRequest


@dataclass(frozen=True)
class Campaign:
    """What a candidate asks the others: a pre-vote changes nothing at the voter."""

    term: int
    questions: tuple[Question, ...]
    pre_vote: bool
    quorum: VoteQuorum
    until: Deadline
    """How long votes are waited for."""


class Elections:
    """Campaigns when the election deadline passes; steps down without a quorum."""

    def __init__(self, replica: Replica, clients: ReplicaClients) -> None:
        self._replica = replica
        self._clients = clients

    def run(self) -> None:
        """Run until the process stops."""
        FreshElection(self._replica, self._clients, self.campaign_fresh).run()
        while not self._replica.process.stopped.is_set():
            if self._wait():
                self._campaign()

    def _wait(self) -> bool:
        """Wait for the next deadline; say whether it is time to campaign."""
        replica = self._replica
        with replica.lock:
            deadline = self._next_deadline()
            if not deadline.expired:
                replica.role_changed.wait(deadline.remaining())
                return False
            if replica.leadership is not None:
                # Cut off from a majority, which may have another leader by now.
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
                replica.membership, replica.election_seconds
            )
        if not replica.may_campaign:
            return Deadline.after(IDLE_SECONDS)
        return replica.election_deadline

    def _campaign(self) -> None:
        """Ask for pre-votes, then for votes, and lead if a majority gives them.

        The pre-vote guards against a replica that was cut off: its term would grow
        with each try, and on its return it would depose a leader that works.
        """
        with self._replica.lock:
            transfer, self._replica.transferring = self._replica.transferring, False
            next_campaign = self._replica.random_election_deadline()
            self._replica.election_deadline = next_campaign
            until = Deadline.after(self._replica.election_seconds * PRE_VOTE_SHARE)
            term = self._replica.term + 1
            pre_vote = self._prepare(term, True, transfer, until)
            logger.info("no leader heard", extra={"term": self._replica.term})
        if not transfer and self._win(pre_vote) is None:
            return
        try:
            pre_voted = None if transfer else term
            campaign = self._begin_term(transfer, next_campaign, pre_voted)
        except PeerRefusal:
            return
        self._lead_if_won(campaign)

    def campaign_fresh(self, start_by_id: Mapping[str, int]) -> None:
        """Campaign without a wait: all voters have told that they just started."""
        with self._replica.lock:
            next_campaign = self._replica.random_election_deadline()
            self._replica.election_deadline = next_campaign
        try:
            campaign = self._begin_term(False, next_campaign, start_by_id=start_by_id)
        except PeerRefusal:
            return
        self._lead_if_won(campaign)

    def _prepare(
        self,
        term: int,
        pre_vote: bool,
        transfer: bool,
        until: Deadline,
        start_by_id: Mapping[str, int] | None = None,
    ) -> Campaign:
        replica = self._replica
        questions = []
        for member in other_voters(replica.membership, replica.replica_id):
            request = replica.vote_request(member.replica_id, term, transfer)
            request.fresh_start = (start_by_id or {}).get(member.replica_id)
            questions.append(Question(member, request))
        quorum = vote_quorum(replica.memberships)
        return Campaign(term, tuple(questions), pre_vote, quorum, until)

    def _begin_term(
        self,
        transfer: bool,
        next_campaign: Deadline,
        pre_voted_term: int | None = None,
        start_by_id: Mapping[str, int] | None = None,
    ) -> Campaign | None:
        """Vote for itself in the next term, durably before anyone is asked.

        Votes are waited for until the next campaign. A voter saves its vote first,
        which takes long on a busy disk; left earlier, each campaign would ask for
        another term to be saved, and none would be won.

        None where it comes too late. A campaign by the starts of all voters does once
        this replica has answered a leader, whose lease a vote for itself would break;
        one by pre-votes once it is in a later term. It may have voted in that one, and
        would depose who was elected a moment ago.
        """
        replica = self._replica
        with replica.disk_lock, replica.lock, replica.promising():
            if start_by_id is not None and not replica.is_fresh:
                return None
            term = replica.term + 1
            if pre_voted_term not in (None, term):
                extra = {"pre_voted_term": pre_voted_term, "term": replica.term}
                logger.info("campaign given up", extra=extra)
                return None
            replica.write_pending()
            replica.save_metadata(
                ReplicaMetadata(replica.cluster_id, term, replica.replica_id)
            )
            replica.role = Role.CANDIDATE
            logger.info("campaigning", extra={"term": term})
            return self._prepare(term, False, transfer, next_campaign, start_by_id)

    def _lead_if_won(self, campaign: Campaign | None) -> None:
        ballot = self._win(campaign) if campaign is not None else None
        if campaign is not None and ballot is not None:
            self._lead(campaign.term, ballot.needless_ids())

    def _win(self, campaign: Campaign) -> Ballot | None:
        """Ask for votes; return the ballot if it is won."""
        ballot = Ballot(campaign.quorum)
        for question in campaign.questions:
            self._replica.process.start_task(self._ask, campaign, question, ballot)
        return ballot if ballot.won(campaign.until) else None

    def _ask(self, campaign: Campaign, question: Question, ballot: Ballot) -> None:
        member, request = question.voter, question.request
        timeout = campaign.until.remaining()
        method = "pre_vote" if campaign.pre_vote else "request_vote"
        try:
            reply: VoteReply = self._clients.to_member(member).call(
                lambda client: getattr(client, method)(request), timeout
            )
        except (PeerUnavailableError, PeerRefusal) as error:
            logger.debug("no vote", extra={"member": member.replica_id, "why": error})
            if isinstance(error, PeerRefusal) and error.error_id == WRONG_REPLICA:
                self._note_if_lost(member, campaign, ballot)
            return
        if reply.granted:
            ballot.grant()
            return
        try:
            self._replica.observe_term(reply.term)
        except PeerRefusal:
            return

    def _note_if_lost(self, member: Member, campaign: Campaign, ballot: Ballot) -> None:
        """Count a voter out if its own host answers from another disk.

        The host answers at the voter's address, where only one of its processes can
        listen: the disk that the voter wrote to is used no more.
        """
        try:
            found = self._clients.to_member(member).call(
                lambda client: client.describe(), campaign.until.remaining()
            )
        except (PeerUnavailableError, PeerRefusal):
            return
        if found.host_id != member.host_id or found.replica_id == member.replica_id:
            return
        extra = {"member": member.replica_id, "answers_as": found.replica_id}
        logger.info("voter has lost its disk", extra=extra)
        ballot.note_lost(member.replica_id)

    def _lead(self, term: int, lost_ids: Collection[str]) -> None:
        replica = self._replica
        with replica.lock:
            still_candidate = replica.role is Role.CANDIDATE and replica.term == term
            if still_candidate and not replica.failure:
                replica.lead(lost_ids)
