"""Immediate election after a cold start, when all replicas have just started.

It covers a power loss of all hosts and the restart of all control processes. A replica
that starts normally waits before it votes, since it may have acknowledged a leader
whose lease is still valid. If every voter reports that it has just started and has
neither led nor heard from a leader since, the former leader has restarted too, and its
lease has ended.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor

from jujubeslip.control._membership import all_voters
from jujubeslip.control._replica import Replica
from jujubeslip.control._replica_clients import ReplicaClients
from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import Member, PeerRefusal, VoteReply

logger = logging.getLogger(__name__)

# Pause between two rounds, in seconds. Each replica draws its own from this range, so
# that one of them campaigns first.
MINIMUM_PAUSE_SECONDS, MAXIMUM_PAUSE_SECONDS = 0.02, 0.12
# Timeout for a voter's answer, in seconds; an answer takes a millisecond or two.
ANSWER_SECONDS = 0.2


class ColdStartElection:
    """Asks all voters until one has heard from a leader or the start-up wait ends."""

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
        """Run until regular elections take over."""
        pause = random.uniform(MINIMUM_PAUSE_SECONDS, MAXIMUM_PAUSE_SECONDS)
        while self._may_continue() and not self._replica.process.stopped.wait(pause):
            start_by_id = self._ask_all()
            if start_by_id is not None and self._may_continue():
                extra = {"term": self._replica.term, "voters": len(start_by_id) + 1}
                logger.info("all voters have just started", extra=extra)
                self._campaign(start_by_id)

    def _may_continue(self) -> bool:
        replica = self._replica
        with replica.lock:
            awaits_lease_end = not replica.heard_leader_until.expired
            others = self._other_voters()
            may_lead = replica.no_leader_since_start and replica.may_campaign
            return bool(may_lead and awaits_lease_end and others)

    def _other_voters(self) -> list[Member]:
        replica = self._replica
        found = all_voters(replica.memberships, replica.commit_index)
        return [item for item in found if item.replica_id != replica.replica_id]

    def _ask_all(self) -> dict[str, int] | None:
        """Return each other voter's start number, None if any has not just started."""
        replica = self._replica
        with replica.lock:
            members = self._other_voters()
        with ThreadPoolExecutor(len(members)) as executor:
            starts = list(executor.map(self._ask, members))
        start_by_id = {
            member.replica_id: start
            for member, start in zip(members, starts, strict=True)
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
            logger.debug("voter not reached after cold start", extra=extra)
            return None
        start: int | None = reply.fresh_start
        return start
