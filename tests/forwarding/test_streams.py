"""Forwarded streams: the grant, the prefill, and all events in order."""

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
    """Return whether the leader gives grants, or each host asks the engines itself."""
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
    """One prefill engine and two decode engines."""

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
            and group.prefill.prefilled_requests
            and (not asks_leader or grants_at(system, group))
        ),
        "all engines are used",
    )
    for worker in group.all:
        worker.runs.clear()
        worker.prefilled_requests.clear()
        worker.system_calls.clear()
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


class TestCompleteStream:
    def test_capacity_is_reserved_before_the_prompt_is_prefilled(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        reply = ask(system)
        assert reply.complete and event_ids(reply) == [1, 2, 3, 4, 5]
        assert len(engines.prefill.prefilled_requests) == 1
        runner = next(worker for worker in engines.decode if worker.runs)

        def was_granted() -> bool:
            given = system.logged("grant at an engine")
            return bool(given) and given[-1]["endpoint_id"] == runner.worker_id

        if "reserve" not in runner.system_calls:
            wait_until(was_granted, "the grant is on record")
        assert runner.runs[0].headers["Kv-From"].startswith(engines.prefill.address)

    def test_no_prompt_is_prefilled_while_no_engine_has_capacity(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        """Prefilling a prompt for an engine without free capacity is wasted work."""
        for worker in engines.decode:
            worker.faults.no_room = 3
        reply = ask(system)
        assert reply.complete
        assert len(engines.prefill.prefilled_requests) == 1

    def test_reservation_is_released(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        ask(system)
        assert [worker.reservations for worker in engines.decode] == [{}, {}]


class TestEngineThatChangesItsRole:
    """Guards against prefills at a decode engine while a prefill engine is available.

    A prefill engine that is ordered to become a decode engine refuses prompts until the
    change is done. A prefill at a decode engine would stall all its streams.
    """

    def test_another_engine_prefills_the_prompt(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        other = PlatformWorker(f"e-{next(NUMBERS)}", "model", "prefill")
        system.add(other)
        wait_until(
            lambda: ask(system).complete and other.prefilled_requests,
            "the other one is used",
        )
        engines.prefill.faults.refuse = 1000
        for _ in range(6):
            assert ask(system).complete
        runs = [run for worker in engines.decode for run in worker.runs]
        engines.prefill.faults.refuse = 0
        system.withdraw(other)
        system.leave(other)
        other.close()
        assert all("Kv-From" in run.headers for run in runs[-6:])


class TestPromptWhoseAnswerIsLost:
    """Guards against a prefill at the decode engine after a lost prefill answer.

    The only prefill engine prefills a prompt, and its answer is lost in transit. A
    decode engine would need three times as long and stall all its streams meanwhile.
    The prefill engine still has most of the prompt: asked again, it answers soon.
    """

    def test_is_asked_for_again_at_the_same_engine(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        engines.prefill.faults.lose = 1
        reply = ask(system)
        assert reply.complete
        assert len(engines.prefill.prefilled_requests) == 2
        (run,) = [run for worker in engines.decode for run in worker.runs]
        assert "Kv-From" in run.headers


class TestPrefillEngineThatStopsAnswering:
    """Guards against waiting for a silent prefill engine until the stream is late.

    An engine takes a prompt and sends nothing any more, though its address still
    accepts connections. Waiting for the longest possible prefill would make the first
    event late, so the host closes the connection, which also informs the engine.
    """

    def test_is_left_before_the_answer_is_late(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        engines.prefill.faults.hang = 1
        assert ask(system).complete
        assert len(engines.prefill.disconnected_clients) == 1


class TestPromptWhosePrefillAlwaysFails:
    """Guards against a prefill at a decode engine that the leader does not know of.

    Each answer of the only prefill engine is lost, so the decode engine prefills the
    prompt itself. If the leader gives grants, it has to grant that: two such prompts in
    a row would stall all streams of the engine.
    """

    def test_is_prefilled_by_the_decode_engine_with_a_grant_for_that(
        self, system: PlatformSystem, engines: Engines, asks_leader: bool
    ) -> None:
        given_before = grants_at(system, engines)
        engines.prefill.faults.lose = 100
        reply = ask(system)
        engines.prefill.faults.lose = 0
        assert reply.complete
        (run,) = [run for worker in engines.decode for run in worker.runs]
        assert "Kv-From" not in run.headers
        if asks_leader:
            wait_until(
                lambda: grants_at(system, engines) == given_before + 2,
                "the second grant is on record",
            )
            assert system.logged("grant at an engine")[-1]["reader_id"] == ""


class TestPromptThatExpired:
    """Guards against losing a request whose prefilled KV cache has expired.

    The decode engine finds no KV cache when it fetches the prompt. The request has not
    run, and the engine can prefill the prompt itself, more slowly.
    """

    def test_decode_engine_prefills_it_itself(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        for worker in engines.decode:
            worker.faults.lapse = 1
        reply = ask(system)
        assert reply.complete and event_ids(reply) == [1, 2, 3, 4, 5]
        run = [run for worker in engines.decode for run in worker.runs][0]
        assert "Kv-From" not in run.headers


class TestStreamThatBreaksOff:
    """Guards against garbled or silently truncated streams.

    An engine dies in the middle of an event. A client that got the rest of that event
    from another engine, or an event twice, would show garbled text; one that took the
    cut for the regular end would lose a part of the text.
    """

    def test_resumes_after_the_last_whole_event(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        for worker in engines.decode:
            worker.faults.cut_stream_after = 2
        reply = ask(system, RESUMED)
        for worker in engines.decode:
            worker.faults.cut_stream_after = 0
        assert (
            reply.complete and event_ids(reply) == [1, 2, 3, 4, 5] or not reply.complete
        )
        assert event_ids(reply) == sorted(set(event_ids(reply)))

    def test_is_finished_by_another_engine(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        def is_finished_elsewhere() -> bool:
            """Ask once; return whether the engine that breaks off had the stream."""
            for worker in engines.decode:
                worker.runs.clear()
            engines.decode[0].faults.cut_stream_after = 3
            reply = ask(system, RESUMED)
            engines.decode[0].faults.cut_stream_after = 0
            assert reply.complete and event_ids(reply) == [1, 2, 3, 4, 5]
            return len(engines.runs()) == 2

        wait_until(is_finished_elsewhere, "a stream resumes at the other engine")

    def test_does_not_look_complete_if_it_is_not_resumable(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        for worker in engines.decode:
            worker.faults.cut_stream_after = 2
        reply = ask(system)
        assert not reply.complete
        assert event_ids(reply) == [1, 2]
        assert len(engines.runs()) == 1


class TestRunThatLosesItsAnswer:
    """Guards against waiting for capacity that the request must not use.

    An engine closes the connection before the first event. The request may have run and
    must not run again, so its client must not wait for another grant.
    """

    def test_is_answered_without_asking_for_capacity_again(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        given_before = grants_at(system, engines)
        for worker in engines.decode:
            worker.faults.lose = 1
        reply = ask(system)
        assert reply.status == 502
        for worker in engines.decode:
            worker.faults.lose = 0
        # The capacity of this request is asked for after all that of the first one.
        assert ask(system).status == 200

        def asked() -> int:
            own = [worker.system_calls.count("reserve") for worker in engines.decode]
            return sum(own) + grants_at(system, engines) - given_before

        wait_until(lambda: asked() >= 2, "capacity for both is on record")
        assert asked() == 2


class TestStalledStream:
    """Guards against giving up a stream whose engine recomputes its prompt.

    An engine evicts a running request and prefills its prompt again. The stream is
    silent for a second or two, and no other engine has free capacity. If the host gave
    it up, the answer would be lost though its engine continues it.
    """

    def test_is_waited_for(self, system: PlatformSystem, engines: Engines) -> None:
        for worker in engines.decode:
            worker.faults.pause_stream_seconds = 2.0
        reply = ask(system, RESUMED)
        assert reply.complete and event_ids(reply) == [1, 2, 3, 4, 5]
        assert len(engines.runs()) == 1


class TestEngineThatFallsSilent:
    """Guards against waiting for an engine behind a network partition.

    An availability zone is partitioned, and an engine in another zone sends no more
    events while its connection stays open. The client leaves after a pause of 3.6 s;
    seven streams ended so in one partition.
    """

    SILENT_SECONDS = 6.0

    def test_is_abandoned_while_the_client_still_waits(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        def is_finished_elsewhere() -> bool:
            """Ask once; return whether the silent engine had the stream."""
            for worker in engines.decode:
                worker.runs.clear()
            silent = engines.decode[0]
            silent.faults.pause_stream_seconds = self.SILENT_SECONDS
            began = time.monotonic()
            reply = ask(system, RESUMED)
            silent.faults.pause_stream_seconds = 0.0
            assert reply.complete and event_ids(reply) == [1, 2, 3, 4, 5]
            assert time.monotonic() - began < self.SILENT_SECONDS
            return len(engines.runs()) == 2

        wait_until(is_finished_elsewhere, "a stream resumes at the other engine")

    def test_is_abandoned_before_its_first_event(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        def is_answered_elsewhere() -> bool:
            """Ask once; return whether the silent engine had the stream."""
            for worker in engines.decode:
                worker.runs.clear()
            engines.decode[0].run_seconds = self.SILENT_SECONDS
            reply = ask(system, RESUMED)
            engines.decode[0].run_seconds = 0.0
            assert reply.complete and event_ids(reply) == [1, 2, 3, 4, 5]
            return len(engines.runs()) == 2

        wait_until(is_answered_elsewhere, "the stream starts at the other engine")

    def test_is_waited_for_if_its_stream_is_not_resumable(
        self, system: PlatformSystem, engines: Engines
    ) -> None:
        for worker in engines.decode:
            worker.faults.pause_stream_seconds = 3.0
        reply = ask(system)
        assert reply.complete and event_ids(reply) == [1, 2, 3, 4, 5]
        assert len(engines.runs()) == 1


class TestClientThatDisconnects:
    """Guards against engine memory that stays in use for a disconnected client."""

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
            lambda: any(
                "left" in worker.disconnected_clients for worker in engines.decode
            ),
            "the engine notices the disconnect",
        )
        for worker in engines.decode:
            worker.events = 5
