"""A system whose engines crash on some parts of prompts, and clients that send them."""

from __future__ import annotations

import itertools
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from tests.fakes.endpoint_links import EndpointLinks
from tests.fakes.fleet import Fleet
from tests.fakes.platform_system import (
    ENGINE,
    PlatformSystem,
    Reply,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

ENTRIES = 3
ENGINES = 4
# How long crashed engines are down, in seconds.
DOWN_SECONDS = 0.3
# The crashes after which a part counts as fatal, the time within which all hosts know
# it, in seconds, and the number of requests with it that may still reach an engine.
FATAL_CRASHES = 5
CONTACT_SECONDS = 3.0
MAXIMUM_LATE_REQUESTS = 3
# The least share of sound requests that are served, of those served without crashes.
LEAST_SERVED_SHARE = 0.5
SYSTEM_PART = "5157e3"
FATAL_PARTS = frozenset(f"fa7a1{number}" for number in range(8))


@dataclass
class Sent:
    """One request of a client, with its reply."""

    request_id: str
    sent_at: float
    reply: Reply


@dataclass
class Clients:
    """Sends requests to the entry hosts in turn, no two of them with equal contents."""

    system: PlatformSystem
    numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    def send(
        self, shared_parts: list[str], path: str = "/stream/", entry: int | None = None
    ) -> Sent:
        """Send a request whose prompt has these parts and one of its own."""
        number = next(self.numbers)
        parts = [f"{part}:40" for part in shared_parts] + [f"{number:08x}:60"]
        headers = {
            "Model": "m",
            "Token-Count": "100,20",
            "Prompt-Prefix": ",".join(parts),
        }
        sent_at = time.monotonic()
        reply = self.system.ask(
            f"{path}{number}",
            "POST",
            f"request {number}".encode(),
            headers,
            number % ENTRIES if entry is None else entry,
            deadline_ms=4000,
        )
        return Sent(self.system.last_request_id, sent_at, reply)


@dataclass
class FatalSystem:
    """A system whose engines crash on some parts of prompts."""

    system: PlatformSystem
    engines: Fleet
    reader: PlatformWorker
    clients: Clients

    def is_served(self, shared_parts: list[str], entry: int | None = None) -> bool:
        """Send a request with these parts; return whether its answer is whole."""
        reply = self.clients.send(shared_parts, entry=entry).reply
        return reply.status == 200 and reply.complete

    def is_quarantined(self, shared_parts: list[str], entry: int) -> bool:
        """Send a request with these parts; return whether it was refused for them."""
        reply = self.clients.send(shared_parts, entry=entry).reply
        return b"request_quarantined" in reply.body

    def reached(self, sent: list[Sent]) -> list[Sent]:
        """Return the requests that reached an engine, if only for their prefill."""
        ids = {*self.engines.run_ids(), *self.reader.prefilled_requests}
        return [item for item in sent if item.request_id in ids]

    def crash_times(self, sent: list[Sent]) -> list[float]:
        """Return when the requests that ran were answered, in order."""
        ids = set(self.engines.run_ids())
        return [item.sent_at for item in sent if item.request_id in ids]

    def send_until_known(
        self, *shared_parts: str, path: str = "/stream/"
    ) -> list[Sent]:
        """Send unlike requests with the parts until all hosts should know of them."""
        sent: list[Sent] = []

        def crashed() -> bool:
            sent.append(self.clients.send(list(shared_parts), path))
            return len(self.crash_times(sent)) >= FATAL_CRASHES

        wait_until(crashed, "the fifth crash")
        return sent + self.send_for(CONTACT_SECONDS, *shared_parts, path=path)

    def send_for(
        self, seconds: float, *shared_parts: str, path: str = "/stream/"
    ) -> list[Sent]:
        """Send unlike requests with the parts, ten a second."""
        end = time.monotonic() + seconds
        sent = []
        while time.monotonic() < end:
            sent.append(self.clients.send(list(shared_parts), path))
            time.sleep(0.1)
        return sent

    def kill_engines(self, count: int, pause_seconds: float) -> None:
        """Kill engines from outside, one after the other."""
        for _ in range(count):
            running = [item for item in self.engines.starts if not item.closed.is_set()]
            if running:
                running[0].kill()
            time.sleep(pause_seconds)


@contextmanager
def fatal_system(
    folder: Path,
    events: int | None = None,
    is_unframed: bool = False,
    engines_count: int = ENGINES,
    relaying_entry: int | None = None,
) -> Iterator[FatalSystem]:
    """Run the system; its engines send so many events before they crash.

    The relaying entry host has no links to engines, so it sends through the others.
    """
    shape = {"kind": "stream", "timeoutMs": 4000, "sloMs": 900, "gapSloMs": 300}
    routes = [route("stream", "/stream/", "model", **shape, maxAttempts=1)]
    system = PlatformSystem(folder, controls=3, entries=ENTRIES)
    links = None
    if relaying_entry is not None:
        links = EndpointLinks(system.entries[relaying_entry], folder)
    with system:
        system.put_until_accepted(configuration(1, routes, [ENGINE]))
        system.wait_ready()
        with Fleet(
            system,
            engines_count,
            "model",
            down_seconds=DOWN_SECONDS,
            stage="decode",
            crashes_on_parts=FATAL_PARTS,
            crashes_after_events=events,
            crashes_unframed=is_unframed,
        ) as engines:
            reader = system.add(PlatformWorker("reader", "model", "prefill"))
            fatal = FatalSystem(system, engines, reader, Clients(system))
            if links is not None:
                cut_off(links, [reader, *engines.starts])
            for entry in range(ENTRIES):
                wait_until(
                    lambda entry=entry: fatal.is_served([SYSTEM_PART], entry),  # type: ignore[misc]
                    "sound requests are served",
                )
            yield fatal
    if links is not None:
        links.close()


def cut_off(links: EndpointLinks, workers: list[PlatformWorker]) -> None:
    """Let a host's connections to these workers be refused, also to later starts."""
    for worker in workers:
        links.add(worker.address)
    links.cut("reset")
