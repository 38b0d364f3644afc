"""A leader whose followers reply late, but within the election timeout."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from jujubeslip.control._election import Elections
from jujubeslip.control._replica import Replica
from jujubeslip.control._replication import Replication
from jujubeslip.control._storage import Storage
from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import AppendReply, AppendRequest, VoteReply, VoteRequest
from tests.control.test_votes import ELECTION_SECONDS, voter

# For how long the leader is observed, in election timeouts.
WATCHED_TIMEOUTS = 3


class LateFollower:
    """Votes at once and replies to appends after a delay.

    A call that takes longer than its timeout gets no reply, although the follower has
    carried it out.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds

    def to_member(self, member: object) -> LateFollower:
        return self

    def call(self, operation: Callable[[Any], Any], timeout: float) -> Any:
        reply = operation(self)
        if isinstance(reply, AppendReply):
            time.sleep(min(self.seconds, timeout))
            if self.seconds > timeout:
                raise PeerUnavailableError("It answers later.")
        return reply

    def pre_vote(self, request: VoteRequest) -> VoteReply:
        return VoteReply(request.term - 1, True)

    def request_vote(self, request: VoteRequest) -> VoteReply:
        return VoteReply(request.term, True)

    def append_entries(self, request: AppendRequest) -> AppendReply:
        last_index = request.previous_index + len(request.entries)
        return AppendReply(request.term, True, last_index)


@pytest.fixture
def replica(tmp_path: Path) -> Iterator[Replica]:
    storage = Storage(tmp_path / "data", "control-1")
    found = voter(tmp_path, storage)
    yield found
    found.process.stopped.set()
    with found.lock:
        found.role_changed.notify_all()
        found.work.notify_all()
    storage.close()


class TestLeaderWithALateFollower:
    """Guards against repeated loss of leadership while replies arrive late."""

    @pytest.mark.parametrize("share", [0.0, 0.3, 0.6, 0.8])
    def test_keeps_leading(
        self, replica: Replica, share: float, caplog: pytest.LogCaptureFixture
    ) -> None:
        clients: Any = LateFollower(share * ELECTION_SECONDS)
        for task in (Replication(replica, clients), Elections(replica, clients)):
            replica.process.start_task(task.run)
        with replica.lock:
            assert replica.role_changed.wait_for(
                lambda: replica.leadership is not None, 4 * ELECTION_SECONDS
            )
        time.sleep(WATCHED_TIMEOUTS * ELECTION_SECONDS)
        lost = [line for line in caplog.messages if line == "no longer leading"]
        assert lost == []
