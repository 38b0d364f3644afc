"""Endpoints that start again under the id that they had, with two control hosts."""

from __future__ import annotations

import itertools
import json
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.fakes.platform_system import (
    ENGINE,
    PLAIN,
    PROMPT,
    Host,
    PlatformSystem,
    Reply,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

NUMBERS = itertools.count()
FIRST_START_MS = 1_700_000_000_000
SAFE, UNSAFE, STREAM, RESUMED = "/safe/x", "/unsafe/x", "/stream/x", "/resumed/x"
# Events of a stream that lasts for about a second.
LONG_STREAM = 80
# A start that has announced itself is used within this, in seconds.
FOUND_SECONDS = 3.0
# Announcements that a worker made before it started again.
EARLIER_ANNOUNCEMENTS = 500


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    shape = {"kind": "stream", "timeoutMs": 4000, "sloMs": 900, "gapSloMs": 300}
    routes = [
        route("safe", "/safe/", "plain"),
        route("unsafe", "/unsafe/", "plain", kind="unsafe"),
        route("stream", "/stream/", "model", **shape, maxAttempts=1),
        route("resumed", "/resumed/", "model", **shape, resumable=True),
    ]
    folder = tmp_path_factory.mktemp("restarts")
    with PlatformSystem(folder, controls=3, retry_allowance=500) as running:
        running.put_until_accepted(configuration(1, routes, [PLAIN, ENGINE]))
        running.wait_ready()
        yield running


@pytest.fixture
def started(system: PlatformSystem) -> Iterator[list[PlatformWorker]]:
    """Collect what a test announces; all of it leaves with the test."""
    workers: list[PlatformWorker] = []
    yield workers
    for worker in workers:
        if not worker.closed.is_set():
            system.withdraw(worker)
            system.beat(worker, "draining")
            worker.close()


def add(
    system: PlatformSystem,
    started: list[PlatformWorker],
    stage: str = "",
    service: str = "plain",
) -> PlatformWorker:
    """Announce a worker that has announced itself often."""
    worker = PlatformWorker(
        f"w-{next(NUMBERS)}", service, stage, started_at_ms=FIRST_START_MS
    )
    worker.sequence = EARLIER_ANNOUNCEMENTS
    started.append(system.add(worker))
    return worker


def plain_worker(
    system: PlatformSystem, started: list[PlatformWorker]
) -> PlatformWorker:
    worker = add(system, started)
    wait_until(lambda: system.ask(SAFE).status == 200, "the worker is used")
    return worker


def restart(
    system: PlatformSystem,
    started: list[PlatformWorker],
    worker: PlatformWorker,
    same_address: bool = True,
    stage: str | None = None,
) -> PlatformWorker:
    later = system.restart(worker, same_address=same_address, stage=stage)
    started.append(later)
    return later


def is_used(system: PlatformSystem, worker: PlatformWorker, path: str = SAFE) -> bool:
    """Ask once, and say whether the worker ran that."""
    headers = PROMPT if path == STREAM else None
    system.ask(path, "POST", b"x", headers=headers, deadline_ms=900)
    return system.last_request_id in worker.run_ids()


def wait_used(
    system: PlatformSystem,
    worker: PlatformWorker,
    path: str = SAFE,
    within: float = FOUND_SECONDS,
) -> None:
    wait_until(lambda: is_used(system, worker, path), "the new start is used", within)


def granted_by(system: PlatformSystem, worker: PlatformWorker) -> list[Host]:
    """Return the control hosts that gave a grant at the worker."""
    return [
        host
        for host in system.controls
        if any(
            line["message"] == "grant at an engine"
            and line["endpoint_id"] == worker.worker_id
            for line in map(json.loads, host.output().splitlines())
        )
    ]


def event_ids(reply: Reply) -> list[int]:
    lines = reply.body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


class TestKilledAndBackAtOnce:
    """An operator's container is killed, and its supervisor starts it again at once.

    Users of the only worker get 503 for minutes: the announcements of the new start
    count from 1 and are taken for late ones of the start before.
    """

    @pytest.mark.parametrize("same_address", [True, False])
    def test_new_start_is_used(
        self,
        system: PlatformSystem,
        started: list[PlatformWorker],
        same_address: bool,
    ) -> None:
        earlier = plain_worker(system, started)
        later = restart(system, started, earlier, same_address)
        wait_used(system, later)

    def test_of_several_starts_the_last_one_is_used(
        self, system: PlatformSystem, started: list[PlatformWorker]
    ) -> None:
        worker = plain_worker(system, started)
        for _ in range(3):
            worker = restart(system, started, worker, same_address=False)
        wait_used(system, worker)

    def test_new_start_that_reads_prompts_answers_nobody(
        self, system: PlatformSystem, started: list[PlatformWorker]
    ) -> None:
        """Its stage is another one: sent there, requests would all be refused."""
        stays = add(system, started, "decode", "model")
        earlier = add(system, started, "decode", "model")
        wait_used(system, earlier, STREAM, within=8.0)
        later = restart(system, started, earlier, False, "prefill")
        wait_until(
            lambda: is_used(system, stays, STREAM) and bool(later.prompts_read),
            "the new start reads prompts",
            8.0,
        )
        assert later.runs == []


class TestBackWhileItWasLeaving:
    """A worker says that it leaves, and its next start has the same id.

    Its users wait for minutes: leaving is never taken back, and the new start gets
    nothing for as long as the leaving of the one before is remembered.
    """

    @pytest.mark.parametrize("removed", [True, False])
    def test_new_start_is_used(
        self, system: PlatformSystem, started: list[PlatformWorker], removed: bool
    ) -> None:
        earlier = plain_worker(system, started)
        assert system.beat(earlier, "draining") == 200
        if removed:
            assert system.leave(earlier) == 200
        later = restart(system, started, earlier)
        wait_used(system, later)


class TestLateNewsOfTheEarlierStart:
    """Calls of a start that is gone arrive at another control host after the next one.

    The new start is told to leave, or requests go to the address of before.
    """

    @pytest.mark.parametrize("state", ["ready", "draining"])
    def test_announcement_changes_nothing(
        self, system: PlatformSystem, started: list[PlatformWorker], state: str
    ) -> None:
        earlier = plain_worker(system, started)
        later = restart(system, started, earlier, same_address=False)
        wait_used(system, later)
        assert system.tell(earlier.worker_id, earlier.beat(state), control=1) == 200
        time.sleep(0.3)
        asked = [is_used(system, later) for _ in range(5)]
        assert asked == [True] * 5

    def test_removal_keeps_the_new_start_out_for_seconds_only(
        self, system: PlatformSystem, started: list[PlatformWorker]
    ) -> None:
        """A removal names no start, so that it may be the new start's own."""
        earlier = plain_worker(system, started)
        later = restart(system, started, earlier)
        wait_used(system, later)
        assert system.leave(earlier, control=1) == 200
        assert not is_used(system, later)
        wait_used(system, later, within=16.0)

    def test_removal_that_tells_its_start_changes_nothing(
        self, system: PlatformSystem, started: list[PlatformWorker]
    ) -> None:
        earlier = plain_worker(system, started)
        later = restart(system, started, earlier)
        wait_used(system, later)
        assert system.leave(earlier, control=1, tells_start=True) == 200
        time.sleep(0.3)
        assert [is_used(system, later) for _ in range(5)] == [True] * 5

    def test_own_removal_of_the_new_start_counts(
        self, system: PlatformSystem, started: list[PlatformWorker]
    ) -> None:
        later = restart(system, started, plain_worker(system, started))
        wait_used(system, later)
        system.withdraw(later)
        assert system.leave(later, control=2) == 200
        for _ in range(6):
            # It goes on announcing itself until it exits.
            assert system.beat(later) == 200
            time.sleep(0.5)
            assert not is_used(system, later)
        later.close()


class TestUnsafeRequest:
    """A worker is killed over a shift confirmation, and is back before its client is.

    Sent again to the new start, a cleaner could be sent twice.
    """

    def test_runs_once_over_both_starts(
        self, system: PlatformSystem, started: list[PlatformWorker]
    ) -> None:
        worker = plain_worker(system, started)
        ran: list[str] = []
        for number in range(4):
            worker.faults.lose = 1
            reply = system.ask(UNSAFE, "POST", headers={"Request-Id": f"once-{number}"})
            assert reply.status == 502
            ran += worker.run_ids()
            worker = restart(system, started, worker, same_address=number % 2 == 0)
            wait_used(system, worker)
        ran += worker.run_ids()
        assert [ran.count(f"once-{number}") for number in range(4)] == [1] * 4


class TestStreamInProgress:
    """An engine is killed in the middle of a summary, and is back at once.

    Its next start knows nothing of the summary. Begun anew there, its reader would see
    the same lines twice.
    """

    def stream_over_a_restart(
        self, system: PlatformSystem, started: list[PlatformWorker], path: str
    ) -> tuple[Reply, PlatformWorker, PlatformWorker]:
        """Kill the engine in the middle of a stream; return it, and its next start."""
        add(system, started, "prefill", "model")
        engine = add(system, started, "decode", "model")
        engine.events = LONG_STREAM
        wait_used(system, engine, STREAM, within=8.0)
        engine.runs.clear()
        other = add(system, started, "decode", "model")
        other.events = LONG_STREAM
        with ThreadPoolExecutor() as clients:
            replies = [
                clients.submit(
                    system.ask, path, "POST", b"x", headers=PROMPT, deadline_ms=8000
                )
                for _ in range(4)
            ]
            wait_until(lambda: engine.runs, "a stream runs at the engine")
            run = engine.runs[0].request_id
            time.sleep(0.2)
            later = restart(system, started, engine)
            by_id = {
                reply.result().headers["request-id"]: reply.result()
                for reply in replies
                if reply.result().status == 200
            }
        return by_id[run], engine, later

    def test_runs_once_where_it_cannot_be_resumed(
        self, system: PlatformSystem, started: list[PlatformWorker]
    ) -> None:
        reply, engine, later = self.stream_over_a_restart(system, started, STREAM)
        request_id = reply.headers["request-id"]
        assert not reply.whole
        assert event_ids(reply) == list(range(1, len(event_ids(reply)) + 1))
        ran = [run for worker in started for run in worker.run_ids()]
        assert ran.count(request_id) == 1

    def test_goes_on_behind_its_last_event_where_it_can(
        self, system: PlatformSystem, started: list[PlatformWorker]
    ) -> None:
        reply, engine, later = self.stream_over_a_restart(system, started, RESUMED)
        assert reply.whole
        assert event_ids(reply) == list(range(1, LONG_STREAM + 1))
        request_id = reply.headers["request-id"]
        resumed = [
            run
            for worker in started
            for run in worker.runs
            if run.request_id == request_id and worker is not engine
        ]
        assert [bool(run.headers.get("Last-Event-Id")) for run in resumed] == [True]


class TestLeaderThatChanges:
    """The control host that leads dies just as an engine starts again.

    The next leader knows of the earlier start, too, and would grant that.
    """

    def test_new_start_of_an_engine_gets_grants(
        self, system: PlatformSystem, started: list[PlatformWorker]
    ) -> None:
        add(system, started, "prefill", "model")
        earlier = add(system, started, "decode", "model")
        wait_until(
            lambda: is_used(system, earlier, STREAM) and granted_by(system, earlier),
            "the leader grants the engine",
        )
        leader = granted_by(system, earlier)[0]
        leader.kill()
        later = earlier.killed_and_back(FIRST_START_MS + 5000, same_address=False)
        system.withdraw(earlier)
        other = (system.controls.index(leader) + 1) % len(system.controls)
        started.append(system.add(later, other))
        try:
            wait_used(system, later, STREAM, within=8.0)
        finally:
            leader.start()
