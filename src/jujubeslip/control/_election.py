"""Elections: one task that campaigns when no leader is heard, and gives up a lead."""

from __future__ import annotations

import logging
import threading
from collections.abc import Mapping
from dataclasses import dataclass

from jujubeslip.control._fresh_election import FreshElection
from jujubeslip.control._leadership import Role
from jujubeslip.control._members import other_voters, quorum_size
from jujubeslip.control._peers import ReplicaClients
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
    """Votes that come in from the tasks that ask for them."""

    def __init__(self, needed: int) -> None:
        self._missing = needed
        self._changed = threading.Condition()

    def grant(self) -> None:
        """Count one vote."""
        with self._changed:
            self._missing -= 1
            self._changed.notify_all()

    def won(self, deadline: Deadline) -> bool:
        """Wait until the votes are enough; False when the deadline passes first."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._missing <= 0, deadline.remaining()
            )


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
    needed: int
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
        if not transfer and not self._wins(pre_vote):
            return
        try:
            campaign = self._begin_term(transfer, next_campaign)
        except PeerRefusal:
            return
        if campaign is not None and self._wins(campaign):
            self._lead(campaign.term)

    def campaign_fresh(self, start_by_id: Mapping[str, int]) -> None:
        """Campaign without a wait: all voters have told that they just started."""
        with self._replica.lock:
            next_campaign = self._replica.random_election_deadline()
            self._replica.election_deadline = next_campaign
        try:
            campaign = self._begin_term(False, next_campaign, start_by_id)
        except PeerRefusal:
            return
        if campaign is not None and self._wins(campaign):
            self._lead(campaign.term)

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
        needed = quorum_size(replica.membership) - 1
        return Campaign(term, tuple(questions), pre_vote, needed, until)

    def _begin_term(
        self,
        transfer: bool,
        next_campaign: Deadline,
        start_by_id: Mapping[str, int] | None = None,
    ) -> Campaign | None:
        """Vote for itself in the next term, durably before anyone is asked.

        Votes are waited for until the next campaign. A voter saves its vote first,
        which takes long on a busy disk; left earlier, each campaign would ask for
        another term to be saved, and none would be won.

        None where a campaign by the starts of all voters comes too late: this replica
        has answered a leader since, whose lease a vote for itself would break.
        """
        replica = self._replica
        with replica.disk_lock, replica.lock, replica.promising():
            if start_by_id is not None and not replica.is_fresh:
                return None
            replica.write_pending()
            term = replica.term + 1
            replica.save_metadata(
                ReplicaMetadata(replica.cluster_id, term, replica.replica_id)
            )
            replica.role = Role.CANDIDATE
            logger.info("campaigning", extra={"term": term})
            return self._prepare(term, False, transfer, next_campaign, start_by_id)

    def _wins(self, campaign: Campaign) -> bool:
        ballot = Ballot(campaign.needed)
        for question in campaign.questions:
            self._replica.process.start_task(self._ask, campaign, question, ballot)
        return ballot.won(campaign.until)

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
            return
        if reply.granted:
            ballot.grant()
            return
        try:
            self._replica.observe_term(reply.term)
        except PeerRefusal:
            return

    def _lead(self, term: int) -> None:
        replica = self._replica
        with replica.lock:
            still_candidate = replica.role is Role.CANDIDATE and replica.term == term
            if still_candidate and not replica.failure:
                replica.lead()
