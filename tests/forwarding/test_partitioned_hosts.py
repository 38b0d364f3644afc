"""Entry hosts that have lost their links to all endpoints, with real processes."""

from __future__ import annotations

import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

import pytest

from tests.fakes.endpoint_links import CUTS, EndpointLinks
from tests.fakes.first_tries import FirstTries, FirstTry
from tests.fakes.platform_system import (
    ENGINE,
    PLAIN,
    PROMPT,
    PlatformSystem,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

ENTRIES = 4
SAFE, UNSAFE, STREAM = "/safe/x", "/unsafe/x", "/stream/x"
PATHS = (SAFE, UNSAFE, STREAM)
# The users' bounds: from how long after a partition began the first tries count, in
# seconds, and how often they are served compared with those at other hosts.
CONTACT_SECONDS = 3.0
SERVED_SHARE = 2 / 3
MEASURED_SECONDS = 2.5
# Longer than workers keep idle connections open, in seconds.
IDLE_SECONDS = 5.5


@dataclass(frozen=True)
class Partitions:
    """A system whose entry hosts can lose their links to all workers."""

    system: PlatformSystem
    workers: tuple[PlatformWorker, ...]
    links: tuple[EndpointLinks, ...]
    """The links of each entry host."""

    @contextmanager
    def cut(self, entries: Sequence[int], how: str) -> Iterator[None]:
        """Return a context within which these hosts are cut off from all workers."""
        for entry in entries:
            self.links[entry].cut(how)
        try:
            yield
        finally:
            for entry in entries:
                self.links[entry].heal()
            self.wait_served()

    def wait_served(self) -> None:
        """Wait until all hosts serve all kinds of requests."""
        for entry in range(ENTRIES):
            for path in PATHS:
                wait_until(
                    lambda entry=entry, path=path: self.is_served(entry, path),  # type: ignore[misc]
                    f"{path} is served by entry host {entry}",
                )

    def is_served(self, entry: int, path: str) -> bool:
        """Return whether one request is served."""
        reply = self.system.ask(path, headers=PROMPT, entry=entry)
        return reply.status == 200 and reply.complete

    def run_ids(self) -> list[str]:
        """Return the ids of all requests that workers have run."""
        return [item for worker in self.workers for item in worker.run_ids()]


def add_workers() -> tuple[PlatformWorker, ...]:
    plain = [PlatformWorker(f"plain-{number}", "plain") for number in range(2)]
    stages = ("prefill", "decode", "decode")
    engines = [
        PlatformWorker(f"engine-{number}", "model", stage)
        for number, stage in enumerate(stages)
    ]
    return (*plain, *engines)


@pytest.fixture(scope="module")
def partitions(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Partitions]:
    shape = {"kind": "stream", "timeoutMs": 8000, "sloMs": 900, "gapSloMs": 300}
    routes = [
        route("safe", "/safe/", "plain"),
        route("unsafe", "/unsafe/", "plain", kind="unsafe", maxAttempts=1),
        route("stream", "/stream/", "model", **shape, maxAttempts=1),
    ]
    folder = tmp_path_factory.mktemp("partitions")
    system = PlatformSystem(folder, entries=ENTRIES)
    workers = add_workers()
    addresses = [worker.address for worker in workers]
    links = tuple(EndpointLinks(host, folder, addresses) for host in system.entries)
    with system:
        system.put_until_accepted(configuration(1, routes, [PLAIN, ENGINE]))
        for worker in workers:
            system.add(worker)
        system.wait_ready()
        found = Partitions(system, workers, links)
        found.wait_served()
        yield found
    for host_links in links:
        host_links.close()


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
    runs = partitions.run_ids()
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
