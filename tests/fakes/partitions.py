"""A system whose entry hosts can lose their links to all workers."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.fakes.endpoint_links import EndpointLinks
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

SAFE, UNSAFE, STREAM = "/safe/x", "/unsafe/x", "/stream/x"
PATHS = (SAFE, UNSAFE, STREAM)


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
        for entry in range(len(self.links)):
            for path in PATHS:
                wait_until(
                    lambda entry=entry, path=path: self.is_served(entry, path),  # type: ignore[misc]
                    f"{path} is served by entry host {entry}",
                )

    def is_served(self, entry: int, path: str) -> bool:
        """Return whether one request is served."""
        reply = self.system.ask(path, headers=PROMPT, entry=entry)
        return reply.status == 200 and reply.complete

    def unrepeatable_runs(self) -> list[str]:
        """Return the ids of requests that may run once at most, for each run."""
        runs = [run for worker in self.workers for run in worker.runs]
        return [run.request_id for run in runs if run.target != SAFE]


def make_workers() -> tuple[PlatformWorker, ...]:
    plain = [PlatformWorker(f"plain-{number}", "plain") for number in range(2)]
    stages = ("prefill", "decode", "decode")
    engines = [
        PlatformWorker(f"engine-{number}", "model", stage)
        for number, stage in enumerate(stages)
    ]
    return (*plain, *engines)


@contextmanager
def partitionable_system(
    folder: Path, entries: int, **entry: Any
) -> Iterator[Partitions]:
    """Return a context with a running system that serves requests on all PATHS."""
    shape = {"kind": "stream", "timeoutMs": 8000, "sloMs": 900, "gapSloMs": 300}
    routes = [
        route("safe", "/safe/", "plain"),
        route("unsafe", "/unsafe/", "plain", kind="unsafe", maxAttempts=1),
        route("stream", "/stream/", "model", **shape, maxAttempts=1),
    ]
    system = PlatformSystem(folder, entries=entries, **entry)
    workers = make_workers()
    addresses = [worker.address for worker in workers]
    links = tuple(EndpointLinks(host, folder, addresses) for host in system.entries)
    with system:
        system.put_until_accepted(configuration(1, routes, [PLAIN, ENGINE]))
        for worker in workers:
            system.add(worker)
        system.wait_ready()
        partitions = Partitions(system, workers, links)
        partitions.wait_served()
        yield partitions
    for host_links in links:
        host_links.close()
