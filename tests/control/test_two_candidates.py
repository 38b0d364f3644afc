"""Two replicas that campaign at the same time."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from jujubeslip.control._election import Elections
from jujubeslip.control._replica import Replica
from jujubeslip.control._storage import Storage
from jujubeslip.peers import Member, PeerRefusal, VoteReply
from tests.control.test_votes import CANDIDATE, voter

TERM_INCREMENT = 1


class OtherCandidate:
    """Grants the pre-vote, and can obtain this replica's vote for itself first."""

    def __init__(self, replica: Replica, has_campaigned: bool) -> None:
        self._replica = replica
        self._has_campaigned = has_campaigned

    def to_member(self, member: Member) -> OtherCandidate:
        return self

    def call(self, operation: Any, timeout: float) -> Any:
        return operation(self)

    def pre_vote(self, request: Any) -> VoteReply:
        if self._has_campaigned:
            replica = self._replica
            with replica.disk_lock, replica.lock:
                replica.adopt_term(replica.term + TERM_INCREMENT, CANDIDATE)
        return VoteReply(request.term - 1, True)

    def request_vote(self, request: Any) -> VoteReply:
        return VoteReply(request.term, True)

    def describe(self) -> Any:
        raise PeerRefusal("unknown", "", "", 0)


class TestCandidateThatVotesForAnother:
    """Guards against a leader that steps down milliseconds after its election.

    A replica votes for another candidate during its own pre-vote round; if its campaign
    continued, its higher term would make the other one step down.
    """

    @pytest.mark.parametrize("has_campaigned", [True, False])
    def test_abandons_its_own_campaign(
        self, tmp_path: Path, has_campaigned: bool
    ) -> None:
        storage = Storage(tmp_path / "data", "control-1")
        replica = voter(tmp_path, storage)
        term = replica.term
        others: Any = OtherCandidate(replica, has_campaigned)
        Elections(replica, others)._campaign()
        leads = replica.leadership is not None
        assert (replica.term, leads) == (term + 1, not has_campaigned)
        storage.close()
