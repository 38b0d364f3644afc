"""How soon an endpoint that starts again is used, and what is sent to it in vain.

Run it with ``python -m bench.restarts``. Real control and entry processes on loopback
serve a steady load from two endpoints, of which one is killed and started again under
its id, again and again. Measured are the seconds from the new start's first
announcement until its first request, and the sends that met no start of it: those of
requests which came while it was gone, and those which came after that announcement.
Requests that it worked on when it was killed are not counted.
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

FIRST_START_MS = 1_700_000_000_000
# Announcements of the start before: ten minutes of one a second.
EARLIER_ANNOUNCEMENTS = 600
# A new start that got no request for so long is counted as not found, in seconds.
LONGEST_SECONDS = 10.0
# Between two requests of the load, in seconds.
LOAD_PAUSE_SECONDS = 0.01
# How long the load goes on between two restarts, in seconds.
SETTLE_SECONDS = 0.5
VAIN = ("endpoint_unreachable", "answer_cut", "endpoint_replaced", "endpoint_role")
STREAM_SHAPE = {"kind": "stream", "timeoutMs": 4000, "sloMs": 900, "gapSloMs": 300}


@dataclass(frozen=True)
class Case:
    """One way to start again."""

    name: str
    service: str
    stage: str
    same_address: bool
    was_leaving: bool


CASES = [
    Case(f"{service}, {name}", service, stage, same_address, was_leaving)
    for service, stage in (("plain", ""), ("model", "decode"))
    for name, same_address, was_leaving in (
        ("same address", True, False),
        ("another address", False, False),
        ("was leaving", True, True),
    )
]


@dataclass(frozen=True)
class Measured:
    """What one case gave."""

    seconds: list[float]
    missed: int
    """Starts that got no request in the longest time."""
    vain_while_gone: int
    vain_after: int
    """Requests that were sent to it in vain, while it was gone and after."""


@dataclass
class Load:
    """Requests that are sent one after another, four at a time."""

    times_by_id: dict[str, tuple[float, float]] = field(default_factory=dict)
    """When each request was sent, and when its answer came."""
    numbers: Iterator[int] = field(default_factory=itertools.count)


@contextmanager
def load(system: PlatformSystem, service: str) -> Iterator[Load]:
    """Send requests until the end of the context."""
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


def sent_in_vain(system: PlatformSystem, endpoint_id: str) -> list[str]:
    """Return the requests with a send to the endpoint that brought no answer."""
    lines = [
        json.loads(line)
        for line in system.entries[0].output().splitlines()
        if '"request ended"' in line
    ]
    return [
        line["request_id"]
        for line in lines
        if any(
            endpoint_id in step and any(error in step for error in VAIN)
            for step in line["sends"]
        )
    ]


def count_vain(
    vain: list[str], sent: Load, gone: list[tuple[float, float]]
) -> tuple[int, int]:
    """Return how many came while the endpoint was gone, and how many after."""
    while_gone = after = 0
    killed_next = [killed for killed, _ in gone[1:]] + [float("inf")]
    for request_id in vain:
        began, ended = sent.times_by_id.get(request_id, (0.0, 0.0))
        for (killed, back), killed_again in zip(gone, killed_next, strict=True):
            while_gone += killed <= began < back
            after += back <= began and ended < killed_again
    return while_gone, after


def measure(system: PlatformSystem, case: Case, restarts: int) -> Measured:
    """Restart an endpoint so many times under load."""
    name = case.name.replace(" ", "-").replace(",", "")
    worker = PlatformWorker(
        f"again-{name}", case.service, case.stage, started_at_ms=FIRST_START_MS
    )
    stays = PlatformWorker(f"stays-{name}", case.service, case.stage)
    seconds: list[float] = []
    missed = 0
    gone: list[tuple[float, float]] = []
    worker.sequence = EARLIER_ANNOUNCEMENTS
    system.add(stays)
    system.add(worker)
    with load(system, case.service) as sent:
        wait_until(lambda: worker.runs, "the endpoint is used")
        for _ in range(restarts):
            time.sleep(SETTLE_SECONDS)
            if case.was_leaving:
                system.heartbeat(worker, "draining")
            killed = time.monotonic()
            worker = system.restart(worker, same_address=case.same_address)
            announced = time.monotonic()
            gone.append((killed, announced))
            while not worker.runs and time.monotonic() - announced < LONGEST_SECONDS:
                time.sleep(0.002)
            if worker.runs:
                seconds.append(time.monotonic() - announced)
            else:
                missed += 1
            worker.sequence = EARLIER_ANNOUNCEMENTS
    vain = count_vain(sent_in_vain(system, worker.worker_id), sent, gone)
    for item in (stays, worker):
        system.withdraw(item)
        system.heartbeat(item, "draining")
        item.close()
    return Measured(seconds, missed, *vain)


def main() -> None:
    """Measure all cases and print a line for each."""
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


def _print(case: Case, measured: Measured, restarts: int) -> None:
    if len(measured.seconds) < 2:
        found = "-"
    else:
        cuts = statistics.quantiles(measured.seconds, n=100, method="inclusive")
        found = f"p50 {cuts[49] * 1000:.0f} ms, p99 {cuts[98] * 1000:.0f} ms"
    print(
        f"{case.name}: {found}; no request in {LONGEST_SECONDS:.0f} s: "
        f"{measured.missed} of {restarts}; sent in vain: {measured.vain_while_gone} "
        f"while gone, {measured.vain_after} after",
        flush=True,
    )


if __name__ == "__main__":
    main()
