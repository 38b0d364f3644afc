"""One run of the soak: the processes, the load, the faults, the checks."""

from __future__ import annotations

import shutil
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path

from soak._checks import find_violations
from soak._clients import CLIENTS, Client
from soak._endpoints import SoakEndpoint
from soak._faults import Faults
from soak._observations import Kind, Observations, Violation
from soak._operator import Operator
from soak._schedule import (
    BASE_ENTRIES,
    CONTROLS,
    ENDPOINTS,
    ENTRIES,
    GAP_SECONDS,
    describe,
    make_schedule,
)
from soak._system import SoakSystem
from tests.fakes.processes import wait_until

CHECK_SECONDS = 3.0
STALL_CHECK_SECONDS = 0.05
# How long the system may take to serve all requests after the last fault, in seconds.
RECOVERY_SECONDS = 60.0
# How long the last responses and notices of disconnected clients may take, in seconds.
SETTLE_SECONDS = 4.5
FAULT_END_SECONDS = 60.0


@dataclass(frozen=True)
class SoakOptions:
    """The options of a run."""

    seed: int
    seconds: float
    folder: Path
    """The folder of the processes' logs; removed if every guarantee held."""


class _Soak:
    def __init__(self, options: SoakOptions, system: SoakSystem) -> None:
        self._options = options
        self._system = system
        self._observations = system.observations
        self._operator = Operator(system, options.seed)
        self._violation_by_key: dict[tuple[str, str], Violation] = {}

    def run(self) -> list[Violation]:
        """Run the load and the faults; return the violated guarantees."""
        self._system.start_all()
        endpoint_by_slot = self._start_load()
        self._run_faults(Faults(self._system, endpoint_by_slot))
        print(f"{self._observations.offset(time.monotonic())}: the faults are over")
        self._recover()
        print(
            f"{self._observations.offset(time.monotonic())}: everything is served again"
        )
        time.sleep(SETTLE_SECONDS)
        self._check()
        self._system.stopping.set()
        for endpoint in endpoint_by_slot.values():
            endpoint.close()
        return list(self._violation_by_key.values())

    def _start_load(self) -> dict[str, SoakEndpoint]:
        system, seed = self._system, self._options.seed
        endpoint_by_slot = {}
        for number, slot in enumerate(ENDPOINTS):
            endpoint = SoakEndpoint(slot, number, system, seed)
            endpoint_by_slot[slot] = endpoint
            self._start(endpoint.announce)
        self._operator.put_initial_version()
        self._wait_served("before")
        for task in (self._operator.run, self._operator.read, self._watch_stalls):
            self._start(task)
        for number, kind in enumerate(CLIENTS):
            self._start(Client(str(number), kind, system, seed).run)
        return endpoint_by_slot

    @staticmethod
    def _start(task: Callable[[], None]) -> threading.Thread:
        thread = threading.Thread(target=task, daemon=True)
        thread.start()
        return thread

    def _run_faults(self, faults: Faults) -> None:
        schedule = make_schedule(self._options.seed, self._options.seconds)
        starts_at = time.monotonic()
        ends_at = starts_at + self._options.seconds
        self._observations.started_at = starts_at
        tracks = [
            self._start(
                lambda own=own: faults.run_track(own, starts_at, ends_at)  # type: ignore[misc]
            )
            for track in GAP_SECONDS
            if (own := [fault for fault in schedule if fault.track == track])
        ]
        while time.monotonic() < ends_at + FAULT_END_SECONDS:
            time.sleep(CHECK_SECONDS)
            self._check()
            if not any(track.is_alive() for track in tracks):
                return
        self._observations.unrecovered.append("the last faults did not end")

    def _check(self) -> None:
        self._system.restart_ended()
        for violation in find_violations(self._observations):
            key = (violation.guarantee, violation.subject)
            if key not in self._violation_by_key:
                self._violation_by_key[key] = violation
                now = self._observations.offset(time.monotonic())
                print(
                    f"BROKEN after {now}: {violation.guarantee}: {violation.subject}: "
                    f"{violation.message}",
                    flush=True,
                )

    def _recover(self) -> None:
        """Wait until the system has recovered from all faults."""
        try:
            self._system.wait_until_ready()
            self._wait_served("after")
            for slot in CONTROLS:
                wait_until(
                    lambda slot=slot: self._operator.read_once(slot),  # type: ignore[misc]
                    f"the configuration at {slot}",
                    RECOVERY_SECONDS,
                )
        except TimeoutError as error:
            self._observations.unrecovered.append(str(error))

    def _wait_served(self, phase: str) -> None:
        """Wait until each entry host serves each kind of request."""

        def wait(kind: Kind, entry: str) -> None:
            name = f"{phase}-{entry}"
            client = Client(name, kind, self._system, self._options.seed)
            wait_until(
                lambda: client.send_request_to(entry).status == 200,
                f"{entry} serves {kind.value}",
                RECOVERY_SECONDS,
            )

        with ThreadPoolExecutor(len(Kind) * len(BASE_ENTRIES)) as pool:
            kinds = [kind for kind in Kind for _ in ENTRIES]
            list(pool.map(wait, kinds, ENTRIES * len(Kind)))

    def _watch_stalls(self) -> None:
        """Measure the wake-up delay of a thread of the soak."""
        while not self._system.stopping.is_set():
            before = time.monotonic()
            time.sleep(STALL_CHECK_SECONDS)
            late = time.monotonic() - before - STALL_CHECK_SECONDS
            if late > STALL_CHECK_SECONDS:
                self._observations.stalls.append((before, late))


def run_soak(options: SoakOptions) -> list[Violation]:
    """Run the soak once; return the violated guarantees."""
    schedule = make_schedule(options.seed, options.seconds)
    print(f"seed {options.seed}, {options.seconds} s, {len(schedule)} faults")
    for fault in schedule:
        print(f"  {describe(fault)} ({fault.track})")
    shutil.rmtree(options.folder, ignore_errors=True)
    options.folder.mkdir(parents=True)
    observations = Observations()
    with closing(SoakSystem(options.folder, observations)) as system:
        found = _run_in_thread(_Soak(options, system).run)
    _print_summary(options, observations, found)
    if not found:
        shutil.rmtree(options.folder)
    return found


def _run_in_thread(task: Callable[[], list[Violation]]) -> list[Violation]:
    """Run the task in a separate thread, and return its result.

    An interrupt is raised in the main thread. If the task ran there, the interrupt
    could come between the start of a process and the storage of its id, and that
    process would be left running.
    """
    result: Future[list[Violation]] = Future()

    def run() -> None:
        try:
            result.set_result(task())
        except BaseException as error:
            result.set_exception(error)

    threading.Thread(target=run, daemon=True).start()
    return result.result()


def _print_summary(
    options: SoakOptions, observations: Observations, found: list[Violation]
) -> None:
    counts = Counter(
        f"{call.kind.value} {call.outcome.value} {call.status}"
        for call in observations.calls
    )
    print(", ".join(f"{name}: {count}" for name, count in sorted(counts.items())))
    stalled = max((late for _, late in observations.stalls), default=0.0)
    print(
        f"{len(observations.calls)} calls, {len(observations.runs)} runs, "
        f"{len(observations.put_by_version)} versions, "
        f"{len(observations.reads)} reads, "
        f"{len(observations.departures)} departures, {len(observations.ends)} stops, "
        f"{len(observations.disconnected_at_by_request_id)} "
        f"endpoints notified of disconnected clients, "
        f"longest stall {stalled:.2f} s"
    )
    verdict = f"{len(found)} BROKEN, logs in {options.folder}" if found else "kept"
    print(f"seed {options.seed}, {options.seconds} s: {verdict}", flush=True)
