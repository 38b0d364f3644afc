"""A leader whose followers reply late, but within the election timeout."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Iterator
from functools import partial
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest

from jujubeslip.control._commands import NoOp
from jujubeslip.control._election import Elections
from jujubeslip.control._replica import Replica
from jujubeslip.control._replication import Replication
from jujubeslip.control._storage import Storage
from jujubeslip.kernel import Deadline, PeerUnavailableError
from jujubeslip.peers import (
    AppendReply,
    AppendRequest,
    Member,
    VoteReply,
    VoteRequest,
)
from tests.control.test_votes import ELECTION_SECONDS, voter

# For how long the leader is observed, in election timeouts.
WATCHED_TIMEOUTS = 3
# How long a prompt reply takes, in seconds.
PROMPT_SECONDS = 0.01
COMMITS = 10


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


class NewlyLateFollower(LateFollower):
    """Replies late from one moment on, when one connection to it is open.

    A further connection takes as long as a reply before it carries a call.
    """

    def __init__(self, seconds: float) -> None:
        super().__init__(0.0)
        self._late_seconds = seconds
        self._idle_connections = 1
        self._lock = threading.Lock()
        self.replied_at: list[float] = []

    def reply_late(self) -> None:
        """Reply late from now on."""
        self.seconds = self._late_seconds

    def call(self, operation: Callable[[Any], Any], timeout: float) -> Any:
        with self._lock:
            is_open = self._idle_connections > 0
            self._idle_connections -= is_open
        if not is_open:
            time.sleep(self.seconds)
            timeout -= self.seconds
        reply = super().call(operation, timeout)
        with self._lock:
            self._idle_connections += 1
            self.replied_at.append(time.monotonic())
        return reply

    def longest_silence(self) -> float:
        """Return the longest time between two replies, in seconds."""
        with self._lock:
            return max(later - at for at, later in pairwise(self.replied_at))


class NewlyLateFollowers:
    """Followers that turn late at the same time."""

    def __init__(self, seconds: float) -> None:
        self._create = partial(NewlyLateFollower, seconds)
        self.by_id: dict[str, NewlyLateFollower] = {}

    def to_member(self, member: Member) -> NewlyLateFollower:
        """Return the follower, which is also the client for calls to it."""
        return self.by_id.setdefault(member.replica_id, self._create())


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


def lead(replica: Replica, clients: Any) -> None:
    """Start the tasks of a replica, and wait until it leads."""
    for task in (Replication(replica, clients), Elections(replica, clients)):
        replica.process.start_task(task.run)
    with replica.lock:
        assert replica.role_changed.wait_for(
            lambda: replica.leadership is not None, 4 * ELECTION_SECONDS
        )


class TestLeaderWithALateFollower:
    """Guards against repeated loss of leadership while replies arrive late."""

    @pytest.mark.parametrize("share", [0.0, 0.3, 0.6, 0.8])
    def test_keeps_leading(
        self, replica: Replica, share: float, caplog: pytest.LogCaptureFixture
    ) -> None:
        lead(replica, LateFollower(share * ELECTION_SECONDS))
        time.sleep(WATCHED_TIMEOUTS * ELECTION_SECONDS)
        lost = [line for line in caplog.messages if line == "no longer leading"]
        assert lost == []


class TestLeaderWhoseFollowersTurnLate:
    """Guards against the loss of leadership while more connections are opened."""

    @pytest.mark.parametrize("share", [0.6, 0.7, 0.8])
    def test_keeps_leading(
        self, replica: Replica, share: float, caplog: pytest.LogCaptureFixture
    ) -> None:
        followers = NewlyLateFollowers(share * ELECTION_SECONDS)
        lead(replica, followers)
        time.sleep(ELECTION_SECONDS)
        for follower in followers.by_id.values():
            follower.reply_late()
        time.sleep(WATCHED_TIMEOUTS * ELECTION_SECONDS)
        assert "no longer leading" not in caplog.messages
        for follower in followers.by_id.values():
            assert follower.longest_silence() < ELECTION_SECONDS


class TestLeaderWhoseFollowersWereLate:
    """Guards against commits that wait for heartbeats once replies have been late."""

    def test_commits_at_once(
        self, replica: Replica, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level(logging.INFO)
        follower = LateFollower(0.0)
        lead(replica, follower)
        follower.seconds = 0.7 * ELECTION_SECONDS
        time.sleep(2 * ELECTION_SECONDS)
        assert "replica replies late" in caplog.messages
        follower.seconds = PROMPT_SECONDS
        time.sleep(ELECTION_SECONDS)
        assert "replica replies in time" in caplog.messages
        for _ in range(COMMITS):
            started = time.monotonic()
            waiter = replica.submit(NoOp())
            with replica.disk_lock:
                replica.write_pending()
            replica.wait_for(waiter, Deadline.after(ELECTION_SECONDS))
            took = time.monotonic() - started
            assert took < replica.settings.heartbeat_ms / 1000 / 2
