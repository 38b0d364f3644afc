"""Followers with slow disks, and the leader that they follow."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from jujubeslip.control._commands import NoOp, make_entry
from jujubeslip.control._election import Elections
from jujubeslip.control._receiver import Receiver
from jujubeslip.control._replica import Replica
from jujubeslip.control._replication import Replication
from jujubeslip.control._storage import Storage
from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import (
    AppendReply,
    AppendRequest,
    LogEntry,
    VoteReply,
    VoteRequest,
)
from tests.control.test_votes import CANDIDATE, ELECTION_SECONDS, voter

BOUND_SECONDS = 5.0
WATCHED_TIMEOUTS = 3


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


def append(replica: Replica, previous: int, *entries: LogEntry) -> AppendRequest:
    term = replica.log.term_at(previous) or 0
    return AppendRequest(
        replica.cluster_id,
        replica.replica_id,
        CANDIDATE,
        "",
        replica.term,
        previous,
        term,
        list(entries),
        0,
    )


class TestHeartbeatDuringASlowSync:
    """Guards against the loss of leadership while a follower's disk is slow."""

    def test_acknowledges_only_synced_entries(
        self, replica: Replica, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        receiver = Receiver(replica)
        last = replica.log.last_index
        entry = make_entry(last + 1, replica.term, 0, NoOp())
        begun, may_end = threading.Event(), threading.Event()

        def sync() -> None:
            begun.set()
            may_end.wait(BOUND_SECONDS)

        monkeypatch.setattr(replica.storage.log, "sync", sync)
        writing = threading.Thread(
            target=receiver.append_entries, args=[append(replica, last, entry)]
        )
        writing.start()
        assert begun.wait(BOUND_SECONDS)
        began = time.monotonic()
        replies = [
            receiver.append_entries(append(replica, previous))
            for previous in (last, last + 1)
        ]
        took = time.monotonic() - began
        may_end.set()
        writing.join()
        assert took < ELECTION_SECONDS / 4
        assert [(item.accepted, item.match_index) for item in replies] == [
            (True, last),
            (True, last),
        ]
        assert replica.written_index == last + 1


class SlowFollowers:
    """Answer vote requests and heartbeats at once, but never appends with entries."""

    def to_member(self, member: object) -> SlowFollowers:
        return self

    def call(self, operation: Callable[[Any], Any], timeout: float) -> Any:
        reply = operation(self)
        if reply is None:
            time.sleep(timeout)
            raise PeerUnavailableError("It still writes.")
        return reply

    def pre_vote(self, request: VoteRequest) -> VoteReply:
        return VoteReply(request.term - 1, True)

    def request_vote(self, request: VoteRequest) -> VoteReply:
        return VoteReply(request.term, True)

    def append_entries(self, request: AppendRequest) -> AppendReply | None:
        if request.entries:
            return None
        return AppendReply(request.term, True, request.previous_index)


class TestLeaderOfFollowersWithSlowDisks:
    """Guards against the loss of leadership while followers write its entries."""

    def test_keeps_leading(
        self, replica: Replica, caplog: pytest.LogCaptureFixture
    ) -> None:
        clients: Any = SlowFollowers()
        for task in (Replication(replica, clients), Elections(replica, clients)):
            replica.process.start_task(task.run)
        with replica.lock:
            assert replica.role_changed.wait_for(
                lambda: replica.leadership is not None, 4 * ELECTION_SECONDS
            )
        time.sleep(WATCHED_TIMEOUTS * ELECTION_SECONDS)
        assert "no longer leading" not in caplog.messages
