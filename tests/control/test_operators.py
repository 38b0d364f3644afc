"""Tests of configuration changes and claims from operators and entry hosts."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from jujubeslip.control import ControlClient
from jujubeslip.control._client import REPLICA_TIMEOUT_SECONDS
from jujubeslip.kernel import Deadline, PeerAddress, PeerUnavailableError
from jujubeslip.peers import (
    ApplyReply,
    ApplyRequest,
    KeyReply,
    KeyStatus,
    PeerIdentity,
    PeerRefusal,
)
from tests.control.cluster import (
    BOUND_SECONDS,
    ControlCluster,
    ControlHost,
    make_change,
    make_claim,
)
from tests.fakes.processes import wait_until

# How long a poll waits for a newer revision, in milliseconds.
POLL_MS = 200


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[ControlCluster]:
    with ControlCluster(tmp_path_factory.mktemp("operators"), 3) as running:
        running.apply(0, 0)
        yield running


class TestRacingOperators:
    def test_exactly_one_change_of_a_revision_wins(
        self, cluster: ControlCluster
    ) -> None:
        """Several operators change the rules concurrently from the same revision."""
        base = current_revision(cluster)
        barrier = threading.Barrier(6)

        def race(number: int) -> tuple[int, ApplyReply]:
            request = make_change(100 + number, base, f"operator-{number}")
            barrier.wait(BOUND_SECONDS)
            return number, cluster.client.apply_configuration(
                request, Deadline.after(BOUND_SECONDS)
            )

        with ThreadPoolExecutor(6) as pool:
            replies = list(pool.map(race, range(6)))
        winners = [number for number, reply in replies if reply.accepted]
        assert len(winners) == 1
        for number, reply in replies:
            assert reply.revision == base + 1
            assert reply.winner_change_id == f"change-{100 + winners[0]}"
            assert reply.winner_operator == f"operator-{winners[0]}"
            if number != winners[0]:
                declaration = f"# change {100 + winners[0]}"
                assert reply.winner_declaration == declaration


class TestValidation:
    @pytest.mark.parametrize(
        "declaration",
        ["not toml", 'unknown = "key"', '[[service]]\nname = "a"\nkind = "model"'],
    )
    def test_invalid_declaration_is_never_proposed(
        self, cluster: ControlCluster, declaration: str
    ) -> None:
        base = current_revision(cluster)
        request = ApplyRequest(f"invalid {declaration}", base, declaration, "operator")
        with pytest.raises(PeerRefusal) as refused:
            cluster.client.apply_configuration(request, Deadline.after(BOUND_SECONDS))
        assert refused.value.error_id == "configuration_invalid"
        assert current_revision(cluster) == base


class TestFollowing:
    def test_followers_return_new_revisions_at_once(
        self, cluster: ControlCluster
    ) -> None:
        base = current_revision(cluster)
        followers = cluster.others(cluster.leader())
        with ThreadPoolExecutor(len(followers)) as pool:
            waiting = [
                pool.submit(
                    host.call, lambda peer: peer.get_configuration(base, 15_000), 20.0
                )
                for host in followers
            ]
            cluster.apply(200, base)
            pushed = [future.result(BOUND_SECONDS) for future in waiting]
        assert [item.revision for item in pushed] == [base + 1, base + 1]

    def test_client_switches_from_an_outdated_replica(self, tmp_path: Path) -> None:
        """Guards against an entry host that keeps an outdated configuration.

        The replica that it polls is cut off from the leader and answers each poll with
        the old revision, while the other two replicas have a newer one.
        """
        with ControlCluster(tmp_path, 3) as cluster:
            cluster.apply(1, 0)
            stale = cluster.others(cluster.leader())[0]
            cluster.wait_applied(stale, 1)
            cluster.cut(stale)
            cluster.apply(2, 1)
            # A client asks another replica also if the first one answers too late.
            polls = wait_until(
                lambda: polls_if_outdated(cluster, stale),
                "a first poll that the outdated replica answers",
                BOUND_SECONDS,
            )
            assert polls is not None
            assert 2 in polls

    def test_poll_of_an_unchanged_revision_has_no_text(
        self, cluster: ControlCluster
    ) -> None:
        """Guards against transferring an unchanged declaration with each poll.

        Hundreds of entry hosts poll all the time, and few polls return a change. The
        full text would load control hosts and the links between zones for nothing.
        """
        newest = cluster.client.get_configuration(-1, 0)
        unchanged = cluster.client.get_configuration(newest.revision, 0)
        assert (unchanged.revision, unchanged.declaration) == (newest.revision, "")

    def test_history_holds_each_revision(self, cluster: ControlCluster) -> None:
        cluster.apply(300, current_revision(cluster))
        newest = cluster.client.get_configuration(-1, 0)
        history = cluster.client.history(2)
        assert history[0] == newest
        assert history[1].revision == newest.revision - 1


class TestClaims:
    def test_many_entry_hosts_claim_one_key(self, cluster: ControlCluster) -> None:
        """Guards against a request that runs several times.

        One request reaches all entry hosts at the same time.
        """

        def claim(number: int) -> KeyReply:
            request = make_claim("cover-request", f"request-{number}")
            return cluster.client.claim_key(request, Deadline.after(BOUND_SECONDS))

        with ThreadPoolExecutor(8) as pool:
            replies = list(pool.map(claim, range(8)))
        statuses = sorted(reply.status for reply in replies)
        assert statuses == [KeyStatus.FIRST] + [KeyStatus.RUNNING] * 7

    def test_outcome_reaches_a_resend(self, cluster: ControlCluster) -> None:
        client = cluster.client
        first = make_claim("confirmation", "r1")
        deadline = Deadline.after(BOUND_SECONDS)
        client.claim_key(first, deadline)
        client.finish_key(first, b"confirmed", deadline)
        reply = client.claim_key(make_claim("confirmation", "r2"), deadline)
        assert (reply.status, reply.outcome) == (KeyStatus.FINISHED, b"confirmed")

    @pytest.mark.parametrize("key", ["", "k" * 2000])
    def test_invalid_claim_is_refused(self, cluster: ControlCluster, key: str) -> None:
        with pytest.raises(PeerRefusal) as refused:
            cluster.claim(key)
        assert refused.value.error_id == "claim_invalid"

    def test_client_gives_up_by_its_deadline(self, tmp_path: Path) -> None:
        with ControlCluster(tmp_path, 3) as own_cluster:
            own_cluster.apply(1, 0)
            leader = own_cluster.leader()
            for host in own_cluster.others(leader):
                host.kill()
            deadline = Deadline.after(1.5)
            with pytest.raises(PeerUnavailableError):
                own_cluster.client.claim_key(make_claim("key"), deadline)
            assert deadline.expired
            assert not Deadline(deadline.timestamp + 1.0).expired


def current_revision(cluster: ControlCluster) -> int:
    return cluster.client.get_configuration(-1, 0).revision


def polls_if_outdated(cluster: ControlCluster, stale: ControlHost) -> list[int] | None:
    """Return the revisions of a new client's polls, the first one from the stale host.

    Returns None if the first poll took as long as a replica may take to answer, after
    which the client asks another one for that reason alone.
    """
    client = ControlClient(
        [
            PeerAddress(host.host_id, host.address)
            for host in (stale, *cluster.others(stale))
        ],
        PeerIdentity("test", 1, cluster.secret),
    )
    began = time.monotonic()
    first = client.get_configuration(1, POLL_MS).revision
    may_be_late = time.monotonic() - began >= POLL_MS / 1000 + REPLICA_TIMEOUT_SECONDS
    if first != 1 and may_be_late:
        return None
    assert first == 1
    return [first] + [client.get_configuration(1, POLL_MS).revision for _ in range(2)]
