"""Loads and checks for endpoints that ask for backoff or report that they leave."""

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
# How many requests a host may send to an endpoint within a backoff that the endpoint
# asked it for; those of the first SLACK_SECONDS are not counted.
SLACK_SECONDS = 0.5
MAXIMUM_IN_BACKOFF = 2
# How long after it reported to leave an endpoint may still get requests, in seconds.
DRAIN_SECONDS = 2.0
# A request that is known to be unservable is refused within this time, in seconds.
IMMEDIATE_REFUSAL_SECONDS = 0.4
PAUSE_SECONDS = 0.05


@contextmanager
def with_leader(system: PlatformSystem) -> Iterator[None]:
    """Change nothing."""
    yield


@contextmanager
def without_leader(system: PlatformSystem) -> Iterator[None]:
    """Suspend all control hosts but one, which cannot lead without a quorum."""
    for host in system.controls[1:]:
        host.signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for host in system.controls[1:]:
            host.signal(signal.SIGCONT)
        wait_until(lambda: system.put(system.read()[1]) == 200, "a leader is there")


@contextmanager
def partitioned(system: PlatformSystem) -> Iterator[None]:
    """Partition all control hosts but one from the entry hosts."""
    for proxy in system.proxies[1:]:
        proxy.cut()
    try:
        yield
    finally:
        for proxy in system.proxies[1:]:
            proxy.heal()
        wait_until(lambda: system.put(system.read()[1]) == 200, "a leader is there")


Situation = Callable[[PlatformSystem], AbstractContextManager[None]]
SITUATIONS: tuple[Situation, ...] = (with_leader, without_leader, partitioned)


@dataclass(frozen=True)
class TimedReply:
    """A response and its latency."""

    reply: Reply
    seconds: float

    @property
    def error(self) -> str:
        """Return the error of a refusal, empty for a request that was served."""
        return "" if self.reply.status == 200 else json.loads(self.reply.body)["error"]


def ask(system: PlatformSystem, target: str, entry: int = 0) -> TimedReply:
    """Send a request whose `X-Entry` header names the entry host to endpoints."""
    shape = PROMPT if target.startswith(("/stream/", "/resumed/")) else {}
    headers = {"X-Entry": str(entry), **shape}
    began = time.monotonic()
    reply = system.ask(target, "POST", b"p", headers, entry, deadline_ms=4000)
    return TimedReply(reply, time.monotonic() - began)


def offer(
    system: PlatformSystem,
    target: str,
    seconds: float,
    entries: Sequence[int] = range(ENTRIES),
    clients: int = 1,
) -> list[TimedReply]:
    """Send requests with some clients to each entry host; return the responses."""
    return steady_load.offer(
        lambda entry: ask(system, target, entry),
        seconds,
        list(entries) * clients,
        PAUSE_SECONDS,
    )


def offer_in(
    situation: Situation, system: PlatformSystem, target: str, seconds: float
) -> list[TimedReply]:
    """Send requests to all entry hosts, or without a leader to the first one."""
    with situation(system):
        if situation is with_leader:
            return offer(system, target, seconds)
        return offer(system, target, seconds, [0], clients=ENTRIES)


def by_sender(worker: PlatformWorker) -> dict[str, list[Arrival]]:
    """Return the arrivals by entry host; reservations count for the first host.

    Reservations do not name their host. Hosts make them only without a leader, when the
    tests send requests that need any to the first host alone.
    """
    found = defaultdict(list)
    for arrival in list(worker.arrivals):
        found[arrival.sender or "0"].append(arrival)
    return found


def maximum_in_backoff(worker: PlatformWorker) -> int:
    """Return the maximum number of requests of one host within one backoff."""
    maximum = 0
    for arrivals in by_sender(worker).values():
        for notice in arrivals:
            if not notice.backoff:
                continue
            since, until = notice.at + SLACK_SECONDS, notice.at + float(notice.backoff)
            maximum = max(maximum, sum(since < item.at < until for item in arrivals))
    return maximum


def count_late_after_leaving(worker: PlatformWorker) -> int:
    """Return how many requests came too long after the worker reported to leave."""
    late = 0
    for arrivals in by_sender(worker).values():
        notice = [item.at for item in arrivals if item.reported_leaving]
        if notice:
            late += sum(item.at > notice[0] + DRAIN_SECONDS for item in arrivals)
    return late


def served_share(replies: Sequence[TimedReply]) -> float:
    """Return the share of requests that were answered with 200."""
    return sum(item.reply.status == 200 for item in replies) / len(replies)


def wait_used_again(
    system: PlatformSystem, worker: PlatformWorker, target: str
) -> None:
    """End the worker's backoff; wait until requests at all entry hosts are served."""
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
    """Restart a worker and yield its next start, which leaves at the end."""
    later = system.restart(worker)
    try:
        yield later
    finally:
        system.withdraw(later)
        system.heartbeat(later, "draining")
        later.close()
        system.add(worker)


def ask_for_backoff(worker: PlatformWorker) -> None:
    """Make the worker refuse all requests and ask for three seconds of backoff."""
    worker.backoff = "3"


def report_leaving(worker: PlatformWorker) -> None:
    """Make the worker report in responses that it leaves, while it keeps serving."""
    worker.leaves = True


def obeys_notices(worker: PlatformWorker) -> bool:
    """Return whether hosts obeyed the worker's notices, of which there was one."""
    notice = any(
        arrival.backoff or arrival.reported_leaving for arrival in worker.arrivals
    )
    few = maximum_in_backoff(worker) <= MAXIMUM_IN_BACKOFF
    return notice and few and count_late_after_leaving(worker) == 0
