"""An election without a wait, where all replicas have just started.

The load that it answers: all hosts lose power at once, or all control hosts are killed.
A replica that starts waits before it votes, since it may have answered a leader whose
lease lasts on. Where each voter says that it has just started, has heard no leader
since and leads nothing, that leader has started anew, too, and its lease has ended.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor

from jujubeslip.control._members import other_voters
from jujubeslip.control._peers import ReplicaClients
from jujubeslip.control._replica import Replica
from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import Member, PeerRefusal, VoteReply

logger = logging.getLogger(__name__)

# Between two tries, in seconds; each replica draws its own, so that one is the first.
LEAST_PAUSE_SECONDS, MOST_PAUSE_SECONDS = 0.02, 0.12
# How long a voter may take to answer, in seconds: it needs a millisecond or two.
ANSWER_SECONDS = 0.2


class FreshElection:
    """Asks all voters until one of them has met a leader, or waits have ended."""

    def __init__(
        self,
        replica: Replica,
        clients: ReplicaClients,
        campaign: Callable[[Mapping[str, int]], None],
    ) -> None:
        self._replica = replica
        self._clients = clients
        self._campaign = campaign

    def run(self) -> None:
        """Return once the usual elections are to go on."""
        pause = random.uniform(LEAST_PAUSE_SECONDS, MOST_PAUSE_SECONDS)
        while self._may_go_on() and not self._replica.process.stopped.wait(pause):
            start_by_id = self._ask_all()
            if start_by_id is not None and self._may_go_on():
                extra = {"term": self._replica.term, "voters": len(start_by_id) + 1}
                logger.info("all voters have just started", extra=extra)
                self._campaign(start_by_id)

    def _may_go_on(self) -> bool:
        replica = self._replica
        with replica.lock:
            waits = not replica.heard_leader_until.expired
            others = other_voters(replica.membership, replica.replica_id)
            may_lead = replica.is_fresh and replica.may_campaign
            return bool(may_lead and waits and others)

    def _ask_all(self) -> dict[str, int] | None:
        """Return the start of each other voter, None if any has not just started."""
        replica = self._replica
        with replica.lock:
            members = other_voters(replica.membership, replica.replica_id)
        with ThreadPoolExecutor(len(members)) as executor:
            told = list(executor.map(self._ask, members))
        start_by_id = {
            member.replica_id: start
            for member, start in zip(members, told, strict=True)
            if start is not None
        }
        return start_by_id if len(start_by_id) == len(members) else None

    def _ask(self, member: Member) -> int | None:
        replica = self._replica
        with replica.lock:
            request = replica.vote_request(member.replica_id, replica.term + 1, False)
        try:
            reply: VoteReply = self._clients.to_member(member).call(
                lambda client: client.pre_vote(request), ANSWER_SECONDS
            )
        except (PeerUnavailableError, PeerRefusal) as error:
            extra = {"member": member.replica_id, "why": str(error)}
            logger.debug("voter not reached after the start", extra=extra)
            return None
        start: int | None = reply.fresh_start
        return start
