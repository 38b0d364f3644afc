"""Measures how soon a restarted endpoint is used, and the failed sends to it.

Run it with ``python -m bench.restarts``. Control and entry processes on loopback serve
a steady load from two endpoints, one of which is repeatedly killed and restarted under
the same id. The figures are the time from the first announcement of the new start
until its first request, and the number of sends that failed: of requests that arrived
while the endpoint was down, and of those that arrived after the announcement. Requests
that were running on the endpoint when it was killed are not counted.
"""

from __future__ import annotations

import argparse
import itertools
import json
import statistics
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

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

INITIAL_START_MS = 1_700_000_000_000
# Announcements of the previous start: ten minutes at one per second.
EARLIER_ANNOUNCEMENTS = 600
# Seconds without a request after which a new start counts as unused.
FIRST_REQUEST_TIMEOUT = 10.0
# Pause of each load thread between two requests, in seconds.
LOAD_PAUSE_SECONDS = 0.01
# Time under load between two restarts, in seconds.
SETTLE_SECONDS = 0.5
FAILED_SEND_ERRORS = (
    "endpoint_unreachable",
    "answer_cut",
    "endpoint_replaced",
    "endpoint_role",
)
STREAM_SHAPE = {"kind": "stream", "timeoutMs": 4000, "sloMs": 900, "gapSloMs": 300}


@dataclass(frozen=True)
class Case:
    """A service and the way in which its endpoint restarts."""

    name: str
    service: str
    stage: str
    same_address: bool
    drained_first: bool


CASES = [
    Case(f"{service}, {name}", service, stage, same_address, drained_first)
    for service, stage in (("plain", ""), ("model", "decode"))
    for name, same_address, drained_first in (
        ("same address", True, False),
        ("another address", False, False),
        ("was leaving", True, True),
    )
]


@dataclass(frozen=True)
class CaseResult:
    """The results of one case."""

    seconds: list[float]
    unused: int
    """Starts that received no request before the timeout."""
    failed_while_down: int
    failed_after_restart: int
    """Requests with a failed send to it, while it was down and after its restart."""


@dataclass
class Load:
    """The requests that four threads send, each one at a time."""

    times_by_id: dict[str, tuple[float, float]] = field(default_factory=dict)
    """The times at which each request was sent and answered."""
    numbers: Iterator[int] = field(default_factory=itertools.count)


@contextmanager
def load(system: PlatformSystem, service: str) -> Iterator[Load]:
    """Send requests until the context exits."""
    sent = Load()
    stopped = threading.Event()
    path = f"/{service}/x"
    prompt = PROMPT if service == "model" else {}

    def ask() -> None:
        while not stopped.wait(LOAD_PAUSE_SECONDS):
            request_id = f"{service}-{id(sent):x}-{next(sent.numbers)}"
            headers = {**prompt, "Request-Id": request_id}
            began = time.monotonic()
            system.ask(path, "POST", b"x", headers=headers, deadline_ms=1400)
            sent.times_by_id[request_id] = (began, time.monotonic())

    threads = [threading.Thread(target=ask, daemon=True) for _ in range(4)]
    for thread in threads:
        thread.start()
    try:
        yield sent
    finally:
        stopped.set()
        for thread in threads:
            thread.join()


def failed_sends(system: PlatformSystem, endpoint_id: str) -> list[str]:
    """Return the requests with a failed send to the endpoint."""
    lines = [
        json.loads(line)
        for line in system.entries[0].output().splitlines()
        if '"request ended"' in line
    ]
    return [
        line["request_id"]
        for line in lines
        if any(
            endpoint_id in step and any(error in step for error in FAILED_SEND_ERRORS)
            for step in line["sends"]
        )
    ]


def count_failed_sends(
    failed: list[str], sent: Load, downtimes: list[tuple[float, float]]
) -> tuple[int, int]:
    """Count the requests that began while the endpoint was down, and later ones."""
    while_down = after = 0
    next_kills = [killed for killed, _ in downtimes[1:]] + [float("inf")]
    for request_id in failed:
        began, ended = sent.times_by_id.get(request_id, (0.0, 0.0))
        for (killed, announced), killed_again in zip(
            downtimes, next_kills, strict=True
        ):
            while_down += killed <= began < announced
            after += announced <= began and ended < killed_again
    return while_down, after


def measure(system: PlatformSystem, case: Case, restarts: int) -> CaseResult:
    """Restart an endpoint `restarts` times under load and measure its use."""
    name = case.name.replace(" ", "-").replace(",", "")
    worker = PlatformWorker(
        f"again-{name}", case.service, case.stage, started_at_ms=INITIAL_START_MS
    )
    other_worker = PlatformWorker(f"stays-{name}", case.service, case.stage)
    seconds: list[float] = []
    unused = 0
    downtimes: list[tuple[float, float]] = []
    worker.sequence = EARLIER_ANNOUNCEMENTS
    system.add(other_worker)
    system.add(worker)
    with load(system, case.service) as sent:
        wait_until(lambda: worker.runs, "the endpoint is used")
        for _ in range(restarts):
            time.sleep(SETTLE_SECONDS)
            if case.drained_first:
                system.heartbeat(worker, "draining")
            killed = time.monotonic()
            worker = system.restart(worker, same_address=case.same_address)
            announced = time.monotonic()
            downtimes.append((killed, announced))
            while (
                not worker.runs and time.monotonic() - announced < FIRST_REQUEST_TIMEOUT
            ):
                time.sleep(0.002)
            if worker.runs:
                seconds.append(time.monotonic() - announced)
            else:
                unused += 1
            worker.sequence = EARLIER_ANNOUNCEMENTS
    failed = count_failed_sends(failed_sends(system, worker.worker_id), sent, downtimes)
    for item in (other_worker, worker):
        system.withdraw(item)
        system.heartbeat(item, "draining")
        item.close()
    return CaseResult(seconds, unused, *failed)


def main() -> None:
    """Measure all cases and print the results of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--restarts", type=int, default=20, help="for each case")
    restarts = parser.parse_args().restarts
    routes = [
        route("plain", "/plain/", "plain"),
        route("model", "/model/", "model", **STREAM_SHAPE, maxAttempts=1),
    ]
    with (
        tempfile.TemporaryDirectory(dir="target") as folder,
        PlatformSystem(Path(folder).resolve(), 3, retry_allowance=500) as system,
    ):
        system.put_until_accepted(configuration(1, routes, [PLAIN, ENGINE]))
        system.wait_ready()
        for case in CASES:
            _print(case, measure(system, case, restarts), restarts)


def _print(case: Case, result: CaseResult, restarts: int) -> None:
    if len(result.seconds) < 2:
        found = "-"
    else:
        cuts = statistics.quantiles(result.seconds, n=100, method="inclusive")
        found = f"p50 {cuts[49] * 1000:.0f} ms, p99 {cuts[98] * 1000:.0f} ms"
    print(
        f"{case.name}: {found}; no request in {FIRST_REQUEST_TIMEOUT:.0f} s: "
        f"{result.unused} of {restarts}; failed sends: {result.failed_while_down} "
        f"while down, {result.failed_after_restart} after",
        flush=True,
    )


if __name__ == "__main__":
    main()
