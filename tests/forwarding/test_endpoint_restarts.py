"""Endpoints that restart under the same id, with several control hosts."""

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
# Time within which an announced start is used, in seconds.
FOUND_SECONDS = 3.0
# Number of announcements that a worker made before its restart.
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
    """Collect the workers that a test announces, and withdraw them after the test."""
    workers: list[PlatformWorker] = []
    yield workers
    for worker in workers:
        if not worker.closed.is_set():
            system.withdraw(worker)
            system.heartbeat(worker, "draining")
            worker.close()


def add(
    system: PlatformSystem,
    started: list[PlatformWorker],
    stage: str = "",
    service: str = "plain",
) -> PlatformWorker:
    """Announce a worker whose announcement sequence is already high."""
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
    """Ask once, and return whether the worker ran the request."""
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


class TestKilledAndRestartedAtOnce:
    """Guards against ignoring the announcements of a restarted worker.

    A container is killed, and its supervisor restarts it at once. The announcements of
    the new start are numbered from 1 again. If they were taken for late ones of the
    earlier start, clients of the only worker would get 503 for minutes.
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

    def test_last_of_several_starts_is_used(
        self, system: PlatformSystem, started: list[PlatformWorker]
    ) -> None:
        worker = plain_worker(system, started)
        for _ in range(3):
            worker = restart(system, started, worker, same_address=False)
        wait_used(system, worker)

    def test_new_start_as_prefill_engine_answers_no_requests(
        self, system: PlatformSystem, started: list[PlatformWorker]
    ) -> None:
        """Requests sent to the new start, whose stage differs, would all be refused."""
        stays = add(system, started, "decode", "model")
        earlier = add(system, started, "decode", "model")
        wait_used(system, earlier, STREAM, within=8.0)
        later = restart(system, started, earlier, False, "prefill")
        wait_until(
            lambda: is_used(system, stays, STREAM) and bool(later.prefilled_requests),
            "the new start prefills prompts",
            8.0,
        )
        assert later.runs == []


class TestRestartedWhileLeaving:
    """Guards against applying the leaving of one start to the next.

    A worker announces that it leaves, and its next start has the same id. Leaving is
    never withdrawn, so the new start would get no requests for minutes, as long as the
    leaving of the earlier start is remembered.
    """

    @pytest.mark.parametrize("removed", [True, False])
    def test_new_start_is_used(
        self, system: PlatformSystem, started: list[PlatformWorker], removed: bool
    ) -> None:
        earlier = plain_worker(system, started)
        assert system.heartbeat(earlier, "draining") == 200
        if removed:
            assert system.leave(earlier) == 200
        later = restart(system, started, earlier)
        wait_used(system, later)


class TestLateCallsOfTheEarlierStart:
    """Guards against late calls that change the state of the new start.

    Calls of an ended start reach another control host after the first calls of the next
    start. The new start would be marked as leaving, or requests would go to the earlier
    address.
    """

    @pytest.mark.parametrize("state", ["ready", "draining"])
    def test_announcement_changes_nothing(
        self, system: PlatformSystem, started: list[PlatformWorker], state: str
    ) -> None:
        earlier = plain_worker(system, started)
        later = restart(system, started, earlier, same_address=False)
        wait_used(system, later)
        assert (
            system.send_announcement(
                earlier.worker_id, earlier.heartbeat(state), control=1
            )
            == 200
        )
        time.sleep(0.3)
        asked = [is_used(system, later) for _ in range(5)]
        assert asked == [True] * 5

    def test_removal_excludes_the_new_start_for_seconds_only(
        self, system: PlatformSystem, started: list[PlatformWorker]
    ) -> None:
        """The removal names no start, so it may be a call of the new start itself."""
        earlier = plain_worker(system, started)
        later = restart(system, started, earlier)
        wait_used(system, later)
        assert system.leave(earlier, control=1) == 200
        assert not is_used(system, later)
        wait_used(system, later, within=16.0)

    def test_removal_that_names_its_start_changes_nothing(
        self, system: PlatformSystem, started: list[PlatformWorker]
    ) -> None:
        earlier = plain_worker(system, started)
        later = restart(system, started, earlier)
        wait_used(system, later)
        assert system.leave(earlier, control=1, includes_start=True) == 200
        time.sleep(0.3)
        assert [is_used(system, later) for _ in range(5)] == [True] * 5

    def test_removal_by_the_new_start_itself_takes_effect(
        self, system: PlatformSystem, started: list[PlatformWorker]
    ) -> None:
        later = restart(system, started, plain_worker(system, started))
        wait_used(system, later)
        system.withdraw(later)
        assert system.leave(later, control=2) == 200
        for _ in range(6):
            # It continues to announce itself until it exits.
            assert system.heartbeat(later) == 200
            time.sleep(0.5)
            assert not is_used(system, later)
        later.close()


class TestUnsafeRequest:
    """Guards against an unsafe request that runs at both starts of a worker.

    A worker is killed while it runs the request and restarts before the client retries.
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
    """Guards against streams that start from the beginning after a restart.

    An engine is killed in the middle of a stream and restarts at once. Its next start
    knows nothing of the stream; if it began again there, the client would get the same
    events twice.
    """

    def stream_over_a_restart(
        self, system: PlatformSystem, started: list[PlatformWorker], path: str
    ) -> tuple[Reply, PlatformWorker, PlatformWorker]:
        """Kill the engine in mid-stream; return the reply, it, and its next start."""
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

    def test_runs_once_if_it_is_not_resumable(
        self, system: PlatformSystem, started: list[PlatformWorker]
    ) -> None:
        reply, engine, later = self.stream_over_a_restart(system, started, STREAM)
        request_id = reply.headers["request-id"]
        assert not reply.complete
        assert event_ids(reply) == list(range(1, len(event_ids(reply)) + 1))
        ran = [run for worker in started for run in worker.run_ids()]
        assert ran.count(request_id) == 1

    def test_resumes_after_its_last_event_if_it_is_resumable(
        self, system: PlatformSystem, started: list[PlatformWorker]
    ) -> None:
        reply, engine, later = self.stream_over_a_restart(system, started, RESUMED)
        assert reply.complete
        assert event_ids(reply) == list(range(1, LONG_STREAM + 1))
        request_id = reply.headers["request-id"]
        resumed = [
            run
            for worker in started
            for run in worker.runs
            if run.request_id == request_id and worker is not engine
        ]
        assert [bool(run.headers.get("Last-Event-Id")) for run in resumed] == [True]


class TestChangeOfTheLeader:
    """Guards against a new leader that grants the earlier start of an engine.

    The leading control host dies just when an engine restarts. The next leader knows
    the earlier start, too.
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
        later = earlier.kill_and_restart(FIRST_START_MS + 5000, same_address=False)
        system.withdraw(earlier)
        other = (system.controls.index(leader) + 1) % len(system.controls)
        started.append(system.add(later, other))
        try:
            wait_used(system, later, STREAM, within=8.0)
        finally:
            leader.start()
