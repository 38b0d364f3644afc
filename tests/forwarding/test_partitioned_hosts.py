"""Entry hosts that have lost their links to all endpoints, with real processes."""

from __future__ import annotations

import time
from collections.abc import Iterator, Sequence

import pytest

from tests.fakes.endpoint_links import CUTS
from tests.fakes.first_tries import FirstTries, FirstTry
from tests.fakes.partitions import PATHS, Partitions, partitionable_system

# The users' bounds: from how long after a partition began the first tries count, in
# seconds, and how often they are served compared with those at other hosts.
CONTACT_SECONDS = 3.0
SERVED_SHARE = 2 / 3
MEASURED_SECONDS = 2.5
# Longer than workers keep idle connections open, in seconds.
IDLE_SECONDS = 5.5


@pytest.fixture(scope="module")
def partitions(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Partitions]:
    folder = tmp_path_factory.mktemp("partitions")
    with partitionable_system(folder, entries=4) as running:
        yield running


def served_share(tries: Sequence[FirstTry]) -> float:
    return sum(item.served for item in tries) / len(tries)


def check_served_alike(clients: FirstTries, cut: Sequence[int]) -> None:
    """Wait while hosts are cut off; compare the first tries there and at others."""
    counted_from = time.monotonic() + CONTACT_SECONDS
    time.sleep(CONTACT_SECONDS + MEASURED_SECONDS)
    ended_at = time.monotonic()
    tries = [t for t in clients.since(counted_from) if t.sent_at < ended_at]
    described = clients.describe(counted_from)
    for path in PATHS:
        of_path = [item for item in tries if item.path == path]
        at_cut = [item for item in of_path if item.entry in cut]
        at_others = [item for item in of_path if item.entry not in cut]
        assert at_cut and at_others
        bound = SERVED_SHARE * served_share(at_others)
        assert served_share(at_cut) >= bound, described


def check_ran_once(partitions: Partitions) -> None:
    runs = partitions.unrepeatable_runs()
    assert len(set(runs)) == len(runs)


class TestHostsWithoutLinksToEndpoints:
    """Guards against hosts that refuse what they can't send to endpoints themselves.

    Clients and the other hosts still reach these hosts, and the other hosts reach all
    endpoints.
    """

    @pytest.mark.parametrize("how", CUTS)
    @pytest.mark.parametrize("cut", [(0,), (0, 1, 2)], ids=["one", "most"])
    def test_serve_first_tries_like_others(
        self, partitions: Partitions, cut: tuple[int, ...], how: str
    ) -> None:
        clients = FirstTries(partitions.system, PATHS)
        with clients.running(), partitions.cut(cut, how):
            check_served_alike(clients, cut)
        check_ran_once(partitions)

    def test_serve_once_their_open_connections_have_ended(
        self, partitions: Partitions
    ) -> None:
        time.sleep(IDLE_SECONDS)
        clients = FirstTries(partitions.system, PATHS)
        with partitions.cut((0, 1), "new-refused"), clients.running():
            check_served_alike(clients, (0, 1))
        check_ran_once(partitions)
