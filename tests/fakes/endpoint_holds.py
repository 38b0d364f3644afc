"""Endpoints that say something of themselves, and what hosts send them after that."""

from __future__ import annotations

import json
import signal
import time
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass

from tests.fakes import steady_load
from tests.fakes.platform_system import PROMPT, PlatformSystem, Reply
from tests.fakes.platform_worker import Arrival, PlatformWorker
from tests.fakes.processes import wait_until

ENTRIES = 4
# What a host may still send an endpoint that has asked it for backoff: no more than so
# many requests, those of the first moments not counted.
SLACK_SECONDS = 0.5
MOST_IN_A_BACKOFF = 2
# From when on an endpoint that has said that it leaves must get nothing, in seconds.
DRAIN_SECONDS = 2.0
# What is known not to be served is refused within this time, in seconds.
AT_ONCE_SECONDS = 0.4
PAUSE_SECONDS = 0.05


@contextmanager
def with_leader(system: PlatformSystem) -> Iterator[None]:
    """Leave all as it is."""
    yield


@contextmanager
def without_leader(system: PlatformSystem) -> Iterator[None]:
    """Leave the entry hosts one control host, which can't lead by itself."""
    for host in system.controls[1:]:
        host.signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for host in system.controls[1:]:
            host.signal(signal.SIGCONT)
        wait_until(lambda: system.put(system.read()[1]) == 200, "a leader is there")


@contextmanager
def cut_off(system: PlatformSystem) -> Iterator[None]:
    """Leave the entry hosts one control host, by a cut of the network."""
    for proxy in system.proxies[1:]:
        proxy.cut()
    try:
        yield
    finally:
        for proxy in system.proxies[1:]:
            proxy.heal()
        wait_until(lambda: system.put(system.read()[1]) == 200, "a leader is there")


Situation = Callable[[PlatformSystem], AbstractContextManager[None]]
SITUATIONS: tuple[Situation, ...] = (with_leader, without_leader, cut_off)


@dataclass(frozen=True)
class Timed:
    """An answer, and how long it took."""

    reply: Reply
    seconds: float

    @property
    def error(self) -> str:
        """Return why it was refused, nothing where it was served."""
        return "" if self.reply.status == 200 else json.loads(self.reply.body)["error"]


def ask(system: PlatformSystem, target: str, entry: int = 0) -> Timed:
    """Send a request that tells endpoints which entry host sends it on."""
    shape = PROMPT if target.startswith(("/stream/", "/resumed/")) else {}
    headers = {"X-Entry": str(entry), **shape}
    began = time.monotonic()
    reply = system.ask(target, "POST", b"p", headers, entry, deadline_ms=4000)
    return Timed(reply, time.monotonic() - began)


def offer(
    system: PlatformSystem,
    target: str,
    seconds: float,
    entries: Sequence[int] = range(ENTRIES),
    clients: int = 1,
) -> list[Timed]:
    """Send requests to entry hosts, some clients at each; return the answers."""
    return steady_load.offer(
        lambda entry: ask(system, target, entry),
        seconds,
        list(entries) * clients,
        PAUSE_SECONDS,
    )


def offer_in(
    situation: Situation, system: PlatformSystem, target: str, seconds: float
) -> list[Timed]:
    """Send requests to all entry hosts, or without a leader to the first one."""
    with situation(system):
        if situation is with_leader:
            return offer(system, target, seconds)
        return offer(system, target, seconds, [0], clients=ENTRIES)


def by_sender(worker: PlatformWorker) -> dict[str, list[Arrival]]:
    """Return what came from each host; reservations, which don't tell, from the first.

    Hosts ask for reservations without a leader alone, where only the first is offered
    requests that need any.
    """
    found = defaultdict(list)
    for arrival in list(worker.arrivals):
        found[arrival.sender or "0"].append(arrival)
    return found


def most_in_a_backoff(worker: PlatformWorker) -> int:
    """Return how many requests of one host came at most within one backoff."""
    most = 0
    for arrivals in by_sender(worker).values():
        for told in arrivals:
            if not told.backoff:
                continue
            since, until = told.at + SLACK_SECONDS, told.at + float(told.backoff)
            most = max(most, sum(since < item.at < until for item in arrivals))
    return most


def late_after_leaving(worker: PlatformWorker) -> int:
    """Return how many requests came too late after the worker had said it leaves."""
    late = 0
    for arrivals in by_sender(worker).values():
        told = [item.at for item in arrivals if item.reported_leaving]
        if told:
            late += sum(item.at > told[0] + DRAIN_SECONDS for item in arrivals)
    return late


def served_share(replies: Sequence[Timed]) -> float:
    """Return the share of requests that were answered with 200."""
    return sum(item.reply.status == 200 for item in replies) / len(replies)


def wait_used_again(
    system: PlatformSystem, worker: PlatformWorker, target: str
) -> None:
    """Wait until a worker that asks for no more backoff is used by all entry hosts."""
    worker.backoff = ""
    for entry in range(ENTRIES):
        wait_until(
            lambda entry=entry: ask(system, target, entry).reply.status == 200,  # type: ignore[misc]
            "used again",
        )


@contextmanager
def restarted(
    system: PlatformSystem, worker: PlatformWorker
) -> Iterator[PlatformWorker]:
    """Give the next start of a worker, which leaves at the end."""
    later = system.restart(worker)
    try:
        yield later
    finally:
        system.withdraw(later)
        system.beat(later, "draining")
        later.close()
        system.add(worker)


def ask_for_backoff(worker: PlatformWorker) -> None:
    """Let the worker refuse all requests and ask for some seconds of backoff."""
    worker.backoff = "3"


def say_leaving(worker: PlatformWorker) -> None:
    """Let the worker say in answers that it leaves, and go on."""
    worker.leaves = True


def is_spared(worker: PlatformWorker) -> bool:
    """Say whether hosts sent the worker no more than it had asked for."""
    told = any(
        arrival.backoff or arrival.reported_leaving for arrival in worker.arrivals
    )
    few = most_in_a_backoff(worker) <= MOST_IN_A_BACKOFF
    return told and few and late_after_leaving(worker) == 0
