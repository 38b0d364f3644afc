"""Watchers are notified of a new leader, with real processes."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from jujubeslip.peers import WatchReply, WatchRequest
from tests.control.cluster import ControlCluster, ControlHost

# Wait time of an entry host's watch, in milliseconds.
WAIT_MS = 4000
# Limit on the delay of the notification, in seconds. With a longer one, hosts send
# requests to the former leader that it can't serve.
NOTIFICATION_SECONDS = 0.25


def watch(host: ControlHost, known: WatchReply | None = None) -> WatchReply:
    """Watch as an entry host that knows the state of an earlier reply."""
    request = WatchRequest(
        known.book_id if known else 0,
        known.version if known else 0,
        WAIT_MS if known else 0,
        True,
        "entry-1/1",
        known.configuration_version if known else 0,
        [],
        known.crash_version if known else 0,
        [],
    )
    return host.call(lambda peer: peer.watch(request), WAIT_MS / 1000 + 1)


class TestElection:
    """Guards against requests that are still sent to a replaced leader."""

    @pytest.mark.parametrize("takeovers", [1, 2])
    def test_is_reported_at_once(self, tmp_path: Path, takeovers: int) -> None:
        with ControlCluster(tmp_path, 5) as cluster:
            cluster.apply(1, 0)
            for host in cluster.hosts:
                cluster.wait_applied(host, 1)
            for _ in range(takeovers):
                self._take_over(cluster)

    def _take_over(self, cluster: ControlCluster) -> None:
        frozen = cluster.leader()
        others = [host for host in cluster.others(frozen) if host.running]
        with ThreadPoolExecutor(len(others)) as threads:
            watched = [(host, watch(host)) for host in others]
            waiting = [threads.submit(watch, host, known) for host, known in watched]
            frozen.kill()
            leader = cluster.leader(others)
            elected = time.monotonic()
            replies = [item.result() for item in waiting]
            assert time.monotonic() - elected < NOTIFICATION_SECONDS
        assert {reply.leader_address for reply in replies} == {leader.address}
