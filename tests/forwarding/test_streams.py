"""Streams: room first, then the prompt, then events in order to their end."""

from __future__ import annotations

import http.client
import itertools
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import pytest

from tests.fakes.platform_system import (
    ENGINE,
    HOST,
    PROMPT,
    PlatformSystem,
    Reply,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

NUMBERS = itertools.count()
STREAM, RESUMED = "/stream/x", "/resumed/x"


@pytest.fixture(scope="module", params=[True, False], ids=["leader", "alone"])
def asks_leader(request: pytest.FixtureRequest) -> bool:
    """Say whether the leader gives grants, or each host asks the engines itself."""
    return bool(request.param)


@pytest.fixture(scope="module")
def system(
    tmp_path_factory: pytest.TempPathFactory, asks_leader: bool
) -> Iterator[PlatformSystem]:
    shape = {"kind": "stream", "timeoutMs": 8000, "sloMs": 900, "gapSloMs": 300}
    routes = [
        route("stream", "/stream/", "model", **shape, maxAttempts=1),
        route("resumed", "/resumed/", "model", **shape, resumable=True),
    ]
    folder = tmp_path_factory.mktemp("streams")
    entry: dict[str, Any] = {"retry_allowance": 500, "asks_leader": asks_leader}
    with PlatformSystem(folder, **entry) as running:
        running.put_until_accepted(configuration(1, routes, [ENGINE]))
        running.wait_ready()
        yield running


@dataclass(frozen=True)
class Engines:
    """One engine that reads prompts, and two that answer."""

    prefill: PlatformWorker
    decode: tuple[PlatformWorker, PlatformWorker]

    @property
    def all(self) -> tuple[PlatformWorker, ...]:
        return (self.prefill, *self.decode)

    def runs(self) -> list[str]:
        return [run for worker in self.decode for run in worker.run_ids()]


@pytest.fixture
def engines(system: PlatformSystem, asks_leader: bool) -> Iterator[Engines]:
    added = [
        system.add(PlatformWorker(f"e-{next(NUMBERS)}", "model", stage))
        for stage in ("prefill", "decode", "decode")
    ]
    group = Engines(added[0], (added[1], added[2]))
    wait_until(
        lambda: (
            ask(system).status == 200
            and all(worker.runs for worker in group.decode)
            and group.prefill.prompts_read
            and (not asks_leader or grants_at(system, group))
        ),
        "all engines are used",
    )
    for worker in group.all:
        worker.runs.clear()
        worker.prompts_read.clear()
        worker.questions.clear()
    yield group
    for worker in group.all:
        system.withdraw(worker)
        assert system.leave(worker) == 200
        worker.close()


def grants_at(system: PlatformSystem, group: Engines) -> int:
    """Return how many grants the leader has given at these engines."""
    ids = {worker.worker_id for worker in group.decode}
    lines = system.logged("grant at an engine")
    return sum(line["endpoint_id"] in ids for line in lines)


def ask(system: PlatformSystem, path: str = STREAM) -> Reply:
    return system.ask(path, "POST", b"prompt", headers=PROMPT, deadline_ms=8000)


def event_ids(reply: Reply) -> list[int]:
    lines = reply.body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


class TestWholePath:
    def test_room_is_taken_before_the_prompt_is_read(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        reply = ask(system)
        assert reply.whole and event_ids(reply) == [1, 2, 3, 4, 5]
        assert len(engines.prefill.prompts_read) == 1
        runner = next(worker for worker in engines.decode if worker.runs)

        def was_granted() -> bool:
            given = system.logged("grant at an engine")
            return bool(given) and given[-1]["endpoint_id"] == runner.worker_id

        if "reserve" not in runner.questions:
            wait_until(was_granted, "the grant is on record")
        assert runner.runs[0].headers["Kv-From"].startswith(engines.prefill.address)

    def test_no_prompt_is_read_while_no_engine_has_room(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        """A prompt that is read for an engine without room is read in vain."""
        for worker in engines.decode:
            worker.faults.no_room = 3
        reply = ask(system)
        assert reply.whole
        assert len(engines.prefill.prompts_read) == 1

    def test_room_that_was_reserved_is_given_back(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        ask(system)
        assert [worker.reservations for worker in engines.decode] == [{}, {}]


class TestEngineThatChangesItsRole:
    """An engine is ordered to answer, and refuses prompts until the change is done.

    Read by an engine that answers, the prompt would make all its answers stand still.
    """

    def test_another_engine_reads_the_prompt(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        other = PlatformWorker(f"e-{next(NUMBERS)}", "model", "prefill")
        system.add(other)
        wait_until(
            lambda: ask(system).whole and other.prompts_read, "the other one is used"
        )
        engines.prefill.faults.refuse = 1000
        for _ in range(6):
            assert ask(system).whole
        runs = [run for worker in engines.decode for run in worker.runs]
        engines.prefill.faults.refuse = 0
        system.withdraw(other)
        system.leave(other)
        other.close()
        assert all("Kv-From" in run.headers for run in runs[-6:])


class TestPromptWhoseAnswerIsLost:
    """The only engine that reads prompts reads one, and its answer is lost on the way.

    An engine that answers would need three times as long, and stop all its answers for
    that. The engine that has read the prompt still has most of it: asked once more, it
    answers soon.
    """

    def test_is_asked_for_again_at_the_same_engine(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        engines.prefill.faults.lose = 1
        reply = ask(system)
        assert reply.whole
        assert len(engines.prefill.prompts_read) == 2
        (run,) = [run for worker in engines.decode for run in worker.runs]
        assert "Kv-From" in run.headers


class TestReaderThatStopsAnswering:
    """An engine takes a prompt and says nothing any more; its address still connects.

    Waited for as long as reading could take at worst, the summary's first words would
    be late. It is left, and told so by the closed connection.
    """

    def test_is_left_before_the_answer_is_late(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        engines.prefill.faults.hang = 1
        assert ask(system).whole
        assert len(engines.prefill.gone_clients) == 1


class TestPromptThatNobodyReads:
    """Each answer of the only engine that reads prompts is lost.

    The answering engine reads the prompt itself. Where the leader gives grants, it has
    to know of that: two such prompts in a row would stop all answers of the engine.
    """

    def test_is_read_by_the_answering_engine_with_a_grant_for_that(
        self, system: PlatformSystem, engines: Engines, asks_leader: bool
    ) -> None:
        given_before = grants_at(system, engines)
        engines.prefill.faults.lose = 100
        reply = ask(system)
        engines.prefill.faults.lose = 0
        assert reply.whole
        (run,) = [run for worker in engines.decode for run in worker.runs]
        assert "Kv-From" not in run.headers
        if asks_leader:
            wait_until(
                lambda: grants_at(system, engines) == given_before + 2,
                "the second grant is on record",
            )
            assert system.logged("grant at an engine")[-1]["reader_id"] == ""


class TestPromptThatLapsed:
    """The memory of a prompt is gone when the answering engine fetches it.

    The request has not run; the engine can read the prompt itself, more slowly.
    """

    def test_answering_engine_reads_it_itself(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        for worker in engines.decode:
            worker.faults.lapse = 1
        reply = ask(system)
        assert reply.whole and event_ids(reply) == [1, 2, 3, 4, 5]
        run = [run for worker in engines.decode for run in worker.runs][0]
        assert "Kv-From" not in run.headers


class TestStreamThatBreaksOff:
    """An engine dies in the middle of an event of a rider summary.

    A client that took the rest of that event from another engine, or an event twice,
    would show garbled text; one that took the cut for the end would lose the detour.
    """

    def test_goes_on_behind_the_last_whole_event(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        for worker in engines.decode:
            worker.faults.cut_stream_after = 2
        reply = ask(system, RESUMED)
        for worker in engines.decode:
            worker.faults.cut_stream_after = 0
        assert reply.whole and event_ids(reply) == [1, 2, 3, 4, 5] or not reply.whole
        assert event_ids(reply) == sorted(set(event_ids(reply)))

    def test_other_engine_finishes_it(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        def is_finished_elsewhere() -> bool:
            """Ask once; say whether the engine that breaks off had the stream."""
            for worker in engines.decode:
                worker.runs.clear()
            engines.decode[0].faults.cut_stream_after = 3
            reply = ask(system, RESUMED)
            engines.decode[0].faults.cut_stream_after = 0
            assert reply.whole and event_ids(reply) == [1, 2, 3, 4, 5]
            return len(engines.runs()) == 2

        wait_until(is_finished_elsewhere, "a stream goes on at the other engine")

    def test_does_not_look_complete_where_it_may_not_go_on(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        for worker in engines.decode:
            worker.faults.cut_stream_after = 2
        reply = ask(system)
        assert not reply.whole
        assert event_ids(reply) == [1, 2]
        assert len(engines.runs()) == 1


class TestRunThatLosesItsAnswer:
    """An engine closes before the first event, while the others have no room.

    The request may have run and may not run again. Its client must not wait for room
    that it can't use.
    """

    def test_is_answered_without_asking_for_room_again(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        given_before = grants_at(system, engines)
        for worker in engines.decode:
            worker.faults.lose = 1
        reply = ask(system)
        assert reply.status == 502
        for worker in engines.decode:
            worker.faults.lose = 0
        # One more request, whose room is asked for after all that of the first one.
        assert ask(system).status == 200

        def asked() -> int:
            own = [worker.questions.count("reserve") for worker in engines.decode]
            return sum(own) + grants_at(system, engines) - given_before

        wait_until(lambda: asked() >= 2, "room for both is on record")
        assert asked() == 2


class TestStreamThatStandsStill:
    """An engine pushes a summary out of its memory and reads its prompt again.

    The stream is silent for a second or two; no other engine has room. Left for that
    silence, the summary would be lost though its engine goes on with it.
    """

    def test_is_waited_for(self, system: PlatformSystem, engines: Engines) -> None:
        for worker in engines.decode:
            worker.faults.pause_stream_seconds = 2.0
        reply = ask(system, RESUMED)
        assert reply.whole and event_ids(reply) == [1, 2, 3, 4, 5]
        assert len(engines.runs()) == 1


class TestEngineThatFallsSilent:
    """A zone is cut off, and an engine beyond its border sends no more events.

    Its connection stays open. Waited for, the client leaves after a pause of 3.6 s: in
    one cut seven streams ended so.
    """

    SILENT_SECONDS = 6.0

    def test_is_left_while_the_client_still_waits(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        def is_finished_elsewhere() -> bool:
            """Ask once; say whether the engine that falls silent had the stream."""
            for worker in engines.decode:
                worker.runs.clear()
            silent = engines.decode[0]
            silent.faults.pause_stream_seconds = self.SILENT_SECONDS
            began = time.monotonic()
            reply = ask(system, RESUMED)
            silent.faults.pause_stream_seconds = 0.0
            assert reply.whole and event_ids(reply) == [1, 2, 3, 4, 5]
            assert time.monotonic() - began < self.SILENT_SECONDS
            return len(engines.runs()) == 2

        wait_until(is_finished_elsewhere, "a stream goes on at the other engine")

    def test_is_left_before_its_first_event(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        def is_answered_elsewhere() -> bool:
            """Ask once; say whether the engine that falls silent had the stream."""
            for worker in engines.decode:
                worker.runs.clear()
            engines.decode[0].run_seconds = self.SILENT_SECONDS
            reply = ask(system, RESUMED)
            engines.decode[0].run_seconds = 0.0
            assert reply.whole and event_ids(reply) == [1, 2, 3, 4, 5]
            return len(engines.runs()) == 2

        wait_until(is_answered_elsewhere, "the stream starts at the other engine")

    def test_is_waited_for_where_its_stream_may_not_go_on(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        for worker in engines.decode:
            worker.faults.pause_stream_seconds = 3.0
        reply = ask(system)
        assert reply.whole and event_ids(reply) == [1, 2, 3, 4, 5]
        assert len(engines.runs()) == 1


class TestClientThatLeaves:
    """A dispatcher closes the page while the summary is being written.

    The engine's memory must not stay held for a caller who is gone.
    """

    def test_engine_stops_within_half_a_second(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        for worker in engines.decode:
            worker.events = 2000
        connection = http.client.HTTPConnection(system.entry_http[0], timeout=10)
        headers = {**PROMPT, "Host": HOST, "Request-Id": "left", "Deadline-Ms": "8000"}
        connection.request("POST", STREAM, b"prompt", headers)
        response = connection.getresponse()
        assert response.read1(10)
        response.close()
        connection.close()
        wait_until(
            lambda: any("left" in worker.gone_clients for worker in engines.decode),
            "the engine sees its caller go",
        )
        for worker in engines.decode:
            worker.events = 5
