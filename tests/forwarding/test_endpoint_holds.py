"""Endpoints that ask for backoff or say that they leave, with real processes."""

from __future__ import annotations

import json
import signal
import time
from collections import defaultdict
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from threading import Event

import pytest

from jujubeslip.tracing import cause_of, lines_about
from tests.fakes.platform_system import (
    ENGINE,
    PLAIN,
    PROMPT,
    PlatformSystem,
    Reply,
    configuration,
    route,
)
from tests.fakes.platform_worker import Arrival, PlatformWorker
from tests.fakes.processes import wait_until
from tests.forwarding.test_endpoint_limits import lines, workers

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
STREAM = "/stream/x"
PLAIN_ROUTES = ("/safe/x", "/unsafe/x")


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    shape = {"kind": "stream", "timeoutMs": 4000, "sloMs": 900, "gapSloMs": 300}
    routes = [
        route("safe", "/safe/", "plain"),
        route("unsafe", "/unsafe/", "plain", kind="unsafe", maxAttempts=1),
        route("stream", "/stream/", "model", **shape, maxAttempts=2),
        route("resumed", "/resumed/", "model", **shape, maxAttempts=3, resumable=True),
    ]
    folder = tmp_path_factory.mktemp("endpoint-holds")
    with PlatformSystem(folder, controls=3, entries=ENTRIES) as running:
        running.put_until_accepted(configuration(1, routes, [PLAIN, ENGINE]))
        running.wait_ready()
        yield running


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


@dataclass(frozen=True)
class Timed:
    """An answer, and how long it took."""

    reply: Reply
    seconds: float

    @property
    def error(self) -> str:
        return "" if self.reply.status == 200 else json.loads(self.reply.body)["error"]


def ask(system: PlatformSystem, target: str, entry: int = 0) -> Timed:
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
    ended = Event()

    def send_to(entry: int) -> list[Timed]:
        replies = []
        while not ended.wait(PAUSE_SECONDS):
            replies.append(ask(system, target, entry))
        return replies

    with ThreadPoolExecutor(len(entries) * clients) as pool:
        found = [pool.submit(send_to, entry) for entry in list(entries) * clients]
        time.sleep(seconds)
        ended.set()
        return [timed for future in found for timed in future.result()]


def offer_with(
    system: PlatformSystem, target: str, seconds: float, has_leader: bool
) -> list[Timed]:
    """Send requests to all entry hosts, or without a leader to the first one."""
    if has_leader:
        return offer(system, target, seconds)
    with without_leader(system):
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
        told = [item.at for item in arrivals if item.told_leaving]
        if told:
            late += sum(item.at > told[0] + DRAIN_SECONDS for item in arrivals)
    return late


def served_share(replies: Sequence[Timed]) -> float:
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


class TestBackoffOfAPlainEndpoint:
    """Guards against requests to an endpoint within the backoff that it asked for."""

    @pytest.mark.parametrize("backoff", ["3", "2.4"])
    @pytest.mark.parametrize("target", PLAIN_ROUTES)
    def test_is_kept_by_each_host_while_others_serve(
        self, system: PlatformSystem, target: str, backoff: str
    ) -> None:
        with workers(system, 2) as (refusing, free):
            system.wait_served(target, method="POST", body=b"p")
            refusing.backoff = backoff
            replies = offer(system, target, 4.0)
            assert any(arrival.backoff for arrival in refusing.arrivals)
            assert most_in_a_backoff(refusing) <= MOST_IN_A_BACKOFF
            assert served_share(replies) > 0.95
            assert len(free.arrivals) > 100

    def test_is_kept_by_second_sends(self, system: PlatformSystem) -> None:
        with workers(system, 2) as (refusing, failing):
            system.wait_served("/safe/x", method="POST", body=b"p")
            failing.faults.fail = 1_000_000
            refusing.backoff = "3"
            offer(system, "/safe/x", 4.0)
            assert any(arrival.backoff for arrival in refusing.arrivals)
            assert most_in_a_backoff(refusing) <= MOST_IN_A_BACKOFF

    def test_is_kept_without_a_leader(self, system: PlatformSystem) -> None:
        with workers(system, 2) as (refusing, _), without_leader(system):
            refusing.backoff = "3"
            replies = offer(system, "/safe/x", 4.0)
            assert any(arrival.backoff for arrival in refusing.arrivals)
            assert most_in_a_backoff(refusing) <= MOST_IN_A_BACKOFF
            assert served_share(replies) > 0.95

    def test_ends_when_it_was_to_end(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (worker,):
            system.wait_served("/safe/x", method="POST", body=b"p")
            worker.backoff = "1.5"
            wait_until(
                lambda: ask(system, "/safe/x").error == "endpoint_backoff", "backoff"
            )
            asked_at = next(item.at for item in worker.arrivals if item.backoff)
            worker.backoff = ""
            wait_until(lambda: ask(system, "/safe/x").reply.status == 200, "used")
            assert 1.5 <= worker.arrivals[-1].at - asked_at < 2.0

    def test_is_kept_however_long(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (worker,):
            system.wait_served("/safe/x", method="POST", body=b"p")
            worker.backoff = "99999999999"
            offer(system, "/safe/x", 1.0)
            arrived = len(worker.arrivals)
            worker.backoff = ""
            replies = offer(system, "/safe/x", 2.0)
            assert len(worker.arrivals) == arrived
            assert {item.error for item in replies} == {"endpoint_backoff"}

    @pytest.mark.parametrize("backoff", ["soon", "-3", "0"])
    def test_is_none_that_can_not_be_read(
        self, system: PlatformSystem, backoff: str
    ) -> None:
        with workers(system, 1) as (worker,):
            system.wait_served("/safe/x", method="POST", body=b"p")
            worker.backoff = backoff
            assert ask(system, "/safe/x").reply.status == 503
            worker.backoff = ""
            assert ask(system, "/safe/x").reply.status == 200

    def test_is_not_owed_by_the_next_start(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (worker,):
            worker.started_at_ms = 1_700_000_000_000
            wait_until(lambda: ask(system, "/safe/x").reply.status == 200, "served")
            worker.backoff = "60"
            offer(system, "/safe/x", 0.5)
            with restarted(system, worker) as later:
                wait_used_again(system, later, "/safe/x")


class TestWhereAllAreInBackoff:
    """Guards against requests that wait in vain for endpoints in backoff."""

    @pytest.mark.parametrize("target", [*PLAIN_ROUTES, STREAM])
    @pytest.mark.parametrize("has_leader", [True, False])
    def test_is_refused_at_once_with_the_time_of_return(
        self, system: PlatformSystem, target: str, has_leader: bool
    ) -> None:
        service, stage = ("model", "decode") if target == STREAM else ("plain", "")
        with workers(system, 2, service, stage) as refusing:
            headers = PROMPT if target == STREAM else {}
            system.wait_served(target, method="POST", body=b"p", headers=headers)
            for worker in refusing:
                worker.backoff = "20"
            replies = offer_with(system, target, 2.0, has_leader)
            for worker in refusing:
                assert most_in_a_backoff(worker) <= MOST_IN_A_BACKOFF
            latest = replies[len(replies) // 2 :]
            assert {item.error for item in latest} == {"endpoint_backoff"}
            for item in latest:
                told = json.loads(item.reply.body)
                assert (item.reply.status, told["ran"]) == (503, "no")
                assert 16 < float(item.reply.headers["retry-after"]) < 21
            assert sorted(item.seconds for item in latest)[-3] < AT_ONCE_SECONDS

    def test_a_trace_names_them(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (worker,):
            system.wait_served("/safe/x", method="POST", body=b"p")
            worker.backoff = "20"
            wait_until(
                lambda: ask(system, "/safe/x").error == "endpoint_backoff", "backoff"
            )
            ask(system, "/safe/x")
            path = system.folder / "backoff.log"
            path.write_text(system.entries[0].output())
            cause = cause_of(lines_about(system.last_request_id, [path]))
            assert "asked this host for backoff" in cause
            assert worker.worker_id in cause
            asked = lines(system, 0, "endpoint asked for backoff")[-1]
            assert asked["start_id"] == worker.worker_id
            assert 19 < asked["seconds"] <= 20


class TestBackoffOfAnEngine:
    """Guards against prompts, answers and reservations within an engine's backoff."""

    @pytest.mark.parametrize("has_leader", [True, False])
    def test_is_kept_by_those_that_answer_and_those_that_read(
        self, system: PlatformSystem, has_leader: bool
    ) -> None:
        with (
            workers(system, 2, "model", "decode") as (refusing, _),
            workers(system, 2, "model", "prefill") as (refusing_reader, _),
        ):
            system.wait_served(STREAM, method="POST", headers=PROMPT, body=b"p")
            refusing.backoff = refusing_reader.backoff = "3"
            replies = offer_with(system, STREAM, 4.0, has_leader)
            for worker in (refusing, refusing_reader):
                assert any(arrival.backoff for arrival in worker.arrivals)
                assert most_in_a_backoff(worker) <= MOST_IN_A_BACKOFF
            assert served_share(replies) > 0.9

    def test_is_kept_by_requests_that_wait_for_room(
        self, system: PlatformSystem
    ) -> None:
        with workers(system, 1, "model", "decode") as (engine,):
            system.wait_served(STREAM, method="POST", headers=PROMPT, body=b"p")
            engine.run_seconds = 0.3
            with ThreadPoolExecutor(1) as pool:
                offered = pool.submit(offer, system, STREAM, 5.0, range(ENTRIES), 6)
                time.sleep(1.0)
                engine.backoff = "3"
                replies = offered.result()
            assert any(arrival.backoff for arrival in engine.arrivals)
            assert most_in_a_backoff(engine) <= MOST_IN_A_BACKOFF
            assert {item.error for item in replies} <= {
                "",
                "endpoint_backoff",
                "no_room",
            }

    def test_is_kept_by_an_answer_whose_prompt_was_being_read(
        self, system: PlatformSystem
    ) -> None:
        with (
            workers(system, 2, "model", "decode") as (refusing, _),
            workers(system, 1, "model", "prefill") as (reader,),
        ):
            system.wait_served(STREAM, method="POST", headers=PROMPT, body=b"p")
            reader.read_seconds = 0.8
            with ThreadPoolExecutor(1) as pool:
                offered = pool.submit(offer, system, STREAM, 5.0, [0], 6)
                time.sleep(1.0)
                refusing.backoff = "3"
                offered.result()
            assert most_in_a_backoff(refusing) <= MOST_IN_A_BACKOFF

    def test_is_kept_by_a_stream_that_goes_on(self, system: PlatformSystem) -> None:
        with workers(system, 3, "model", "decode") as (cutting, refusing, free):
            target = "/resumed/x"
            wait_until(lambda: ask(system, target).reply.status == 200, "served")
            refusing.backoff = "3"
            cutting.events = free.events = 20
            ended = Event()

            def cut() -> None:
                while not ended.wait(0.1):
                    cutting.faults.cut_stream_after = 3

            with ThreadPoolExecutor(1) as pool:
                pool.submit(cut)
                replies = offer(system, target, 4.0)
                ended.set()
            assert any(arrival.backoff for arrival in refusing.arrivals)
            assert most_in_a_backoff(refusing) <= MOST_IN_A_BACKOFF
            assert sum(item.reply.whole for item in replies) > 0.9 * len(replies)


class TestEndpointThatSaysItLeaves:
    """Guards against requests to an endpoint that has said in answers that it leaves.

    It goes on announcing that it is ready, as where its announcements are lost.
    """

    @pytest.mark.parametrize("target", PLAIN_ROUTES)
    def test_gets_nothing_more(self, system: PlatformSystem, target: str) -> None:
        with workers(system, 2) as (leaving, _):
            system.wait_served(target, method="POST", body=b"p")
            leaving.leaves = True
            replies = offer(system, target, DRAIN_SECONDS + 2.0)
            assert len(by_sender(leaving)) >= ENTRIES
            assert late_after_leaving(leaving) == 0
            assert served_share(replies) > 0.99

    @pytest.mark.parametrize("has_leader", [True, False])
    def test_gets_no_prompts_and_no_answers(
        self, system: PlatformSystem, has_leader: bool
    ) -> None:
        with (
            workers(system, 2, "model", "decode") as (leaving, _),
            workers(system, 2, "model", "prefill") as (leaving_reader, _),
        ):
            system.wait_served(STREAM, method="POST", headers=PROMPT, body=b"p")
            leaving.leaves = leaving_reader.leaves = True
            replies = offer_with(system, STREAM, DRAIN_SECONDS + 2.0, has_leader)
            assert late_after_leaving(leaving) == 0
            assert late_after_leaving(leaving_reader) == 0
            assert served_share(replies) > 0.9

    def test_is_passed_on_to_the_client(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (leaving,):
            system.wait_served("/safe/x", method="POST", body=b"p")
            leaving.leaves = True
            reply = ask(system, "/safe/x", 1).reply
            assert (reply.status, reply.headers["server-leaving"]) == (200, "1")

    def test_gets_nothing_where_no_other_is_left(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (leaving,):
            system.wait_served("/safe/x", method="POST", body=b"p")
            leaving.leaves = True
            replies = offer(system, "/safe/x", DRAIN_SECONDS + 1.0)
            assert late_after_leaving(leaving) == 0
            refused = [item for item in replies if item.error]
            assert {item.error for item in refused} == {"no_endpoint"}
            assert sorted(item.seconds for item in refused)[-3] < AT_ONCE_SECONDS

    def test_is_used_once_it_has_started_again(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (leaving,):
            leaving.started_at_ms = 1_700_000_000_000
            wait_until(lambda: ask(system, "/safe/x").reply.status == 200, "served")
            leaving.leaves = True
            offer(system, "/safe/x", 0.5)
            with restarted(system, leaving) as later:
                wait_used_again(system, later, "/safe/x")
