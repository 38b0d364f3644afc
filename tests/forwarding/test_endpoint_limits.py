"""Endpoints that announce a limit of requests per second, with real processes."""

from __future__ import annotations

import itertools
import json
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import Any

import pytest

from jujubeslip.tracing import cause_of, lines_about
from tests.fakes import steady_load
from tests.fakes.platform_system import (
    ENGINE,
    PLAIN,
    PROMPT,
    PlatformSystem,
    Reply,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

ENTRIES = 4
LIMIT = 3.0
WINDOW_SECONDS = 4.0
CONTACT_SECONDS = 3.0
# Maximum number of requests to an endpoint in a window, and requests sent per second.
MAXIMUM_REQUESTS_IN_WINDOW = 1.5 * LIMIT * WINDOW_SECONDS + 5
REQUESTS_PER_SECOND = 30
PAUSE_SECONDS = ENTRIES / REQUESTS_PER_SECOND
NUMBERS = itertools.count()


class Arrivals(list[Any]):
    """Records when each request reached a worker, in seconds."""

    def __init__(self) -> None:
        super().__init__()
        self.at: list[float] = []

    def append(self, item: Any) -> None:
        """Record a request."""
        self.at.append(time.monotonic())
        super().append(item)

    def max_in_window(self, since: float) -> int:
        """Return the highest count in a window that ends after the given time."""
        found = list(self.at)
        ends = [end for end in found if end > since]
        return max(
            (sum(end - WINDOW_SECONDS < at <= end for at in found) for end in ends),
            default=0,
        )


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    shape = {"kind": "stream", "timeoutMs": 4000, "sloMs": 900, "gapSloMs": 300}
    routes = [
        route("safe", "/safe/", "plain"),
        route("unsafe", "/unsafe/", "plain", kind="unsafe", maxAttempts=1),
        route("stream", "/stream/", "model", **shape, maxAttempts=1),
    ]
    folder = tmp_path_factory.mktemp("named-limits")
    with PlatformSystem(folder, controls=3, entries=ENTRIES) as running:
        running.put_until_accepted(configuration(1, routes, [PLAIN, ENGINE]))
        running.wait_ready()
        yield running


@contextmanager
def workers(
    system: PlatformSystem, count: int, service: str = "plain", stage: str = ""
) -> Iterator[list[PlatformWorker]]:
    """Announce workers, and remove them at the end."""
    added = [
        system.add(
            PlatformWorker(f"w-{next(NUMBERS)}", service, stage, runs=Arrivals())
        )
        for _ in range(count)
    ]
    try:
        yield added
    finally:
        for worker in added:
            system.withdraw(worker)
            system.heartbeat(worker, "draining")
            worker.close()


def ask(system: PlatformSystem, target: str, entry: int) -> Reply:
    headers = PROMPT if target.startswith("/stream/") else {}
    return system.ask(target, "POST", b"p", headers, entry, deadline_ms=4000)


def offer(
    system: PlatformSystem,
    target: str,
    seconds: float,
    entries: Sequence[int] = range(ENTRIES),
) -> list[Reply]:
    """Send requests to entry hosts at a steady rate; return the answers."""
    return steady_load.offer(
        lambda entry: ask(system, target, entry), seconds, entries, PAUSE_SECONDS
    )


def lines(system: PlatformSystem, entry: int, message: str) -> list[dict[str, Any]]:
    found = [json.loads(line) for line in system.entries[entry].output().splitlines()]
    return [line for line in found if line.get("message") == message]


class TestAnnouncedLimit:
    """Guards against logs that don't show when a host knew of a limit."""

    def test_is_logged_when_it_is_set_and_lifted(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (worker,):
            system.wait_served("/unsafe/x", method="POST", body=b"p")
            worker.limit = "2.5"
            wait_until(lambda: ask(system, "/unsafe/x", 0).status == 200, "served")
            wait_until(lambda: lines(system, 0, "endpoint named a limit"), "the line")
            line = lines(system, 0, "endpoint named a limit")[-1]
            assert line["start_id"] == worker.worker_id
            assert line["per_second"] == 2.5
            worker.limit = ""
            wait_until(
                lambda: (
                    ask(system, "/unsafe/x", 0).status == 200
                    and lines(system, 0, "endpoint lifted its limit")
                ),
                "the line of its end",
            )

    def test_is_passed_on_to_the_client(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (worker,):
            system.wait_served("/unsafe/x", method="POST", body=b"p")
            worker.limit = "2.5"
            reply = ask(system, "/unsafe/x", 1)
            assert (reply.status, reply.headers["server-limit"]) == (200, "2.5")


class TestLimitOverAllHosts:
    """Guards against a limit that each host enforces by itself, or not at all."""

    def test_holds_for_the_sum_while_other_endpoints_serve_the_rest(
        self, system: PlatformSystem
    ) -> None:
        with workers(system, 2) as (limited, free):
            system.wait_served("/unsafe/x", method="POST", body=b"p")
            limited.limit = str(LIMIT)
            named_at = time.monotonic()
            replies = offer(system, "/unsafe/x", CONTACT_SECONDS + 6.0)
            known_from = named_at + CONTACT_SECONDS
            assert (
                arrivals(limited).max_in_window(known_from)
                <= MAXIMUM_REQUESTS_IN_WINDOW
            )
            assert arrivals(free).max_in_window(known_from) > MAXIMUM_REQUESTS_IN_WINDOW
            served = sum(reply.status == 200 for reply in replies)
            assert served > 0.95 * len(replies)

    def test_is_used_up_if_all_endpoints_have_one(self, system: PlatformSystem) -> None:
        with workers(system, 2) as limited:
            system.wait_served("/unsafe/x", method="POST", body=b"p")
            for worker in limited:
                worker.limit = str(LIMIT)
            offer(system, "/unsafe/x", CONTACT_SECONDS)
            known_from = time.monotonic()
            replies = offer(system, "/unsafe/x", 6.0)
            for worker in limited:
                assert (
                    arrivals(worker).max_in_window(known_from)
                    <= MAXIMUM_REQUESTS_IN_WINDOW
                )
                reached = sum(at > known_from for at in arrivals(worker).at)
                assert reached > 0.6 * LIMIT * 6.0
        refused = [reply for reply in replies if reply.status != 200]
        for reply in refused:
            refusal = json.loads(reply.body)
            assert reply.status == 503
            assert (refusal["error"], refusal["ran"]) == ("endpoint_limit", "no")
            assert float(reply.headers["retry-after"]) > 0

    def test_holds_while_there_is_no_leader(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (limited,):
            system.wait_served("/unsafe/x", method="POST", body=b"p")
            limited.limit = str(LIMIT)
            offer(system, "/unsafe/x", CONTACT_SECONDS)
            for host in system.controls[1:]:
                host.kill()
            known_from = time.monotonic()
            try:
                offer(system, "/unsafe/x", 10.0)
            finally:
                for host in system.controls[1:]:
                    host.start()
            wait_until(lambda: system.put(system.read()[1]) == 200, "a leader is there")
            offer(system, "/unsafe/x", 5.0)
            assert (
                arrivals(limited).max_in_window(known_from)
                <= MAXIMUM_REQUESTS_IN_WINDOW
            )
            reached = sum(at > known_from for at in arrivals(limited).at)
            assert reached > 5

    def test_holds_across_the_restart_of_a_host(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (limited,):
            system.wait_served("/unsafe/x", method="POST", body=b"p")
            limited.limit = str(LIMIT)
            offer(system, "/unsafe/x", CONTACT_SECONDS)
            known_from = time.monotonic()
            with ThreadPoolExecutor(1) as pool:
                offered = pool.submit(offer, system, "/unsafe/x", 6.0, (0, 1, 2))
                system.entries[3].kill()
                system.entries[3].start()
                wait_until(lambda: system.ready(3), "the host is ready")
                offered.result()
            assert (
                arrivals(limited).max_in_window(known_from)
                <= MAXIMUM_REQUESTS_IN_WINDOW
            )

    def test_is_lifted_at_all_hosts(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (limited,):
            system.wait_served("/unsafe/x", method="POST", body=b"p")
            limited.limit = str(LIMIT)
            offer(system, "/unsafe/x", CONTACT_SECONDS)
            limited.limit = ""
            offer(system, "/unsafe/x", CONTACT_SECONDS)
            replies = offer(system, "/unsafe/x", 2.0)
            assert {reply.status for reply in replies} == {200}

    def test_holds_for_decode_and_prefill_engines(self, system: PlatformSystem) -> None:
        with (
            workers(system, 2, "model", "decode") as (limited, free),
            workers(system, 2, "model", "prefill") as prefill_engines,
        ):
            system.wait_served("/stream/x", method="POST", headers=PROMPT, body=b"p")
            limited.limit = str(LIMIT)
            prefill_engines[0].prefilled_requests = Arrivals()
            prefill_engines[0].limit = str(LIMIT)
            offer(system, "/stream/x", CONTACT_SECONDS)
            known_from = time.monotonic()
            replies = offer(system, "/stream/x", 6.0)
            assert (
                arrivals(limited).max_in_window(known_from)
                <= MAXIMUM_REQUESTS_IN_WINDOW
            )
            prefills = prefill_engines[0].prefilled_requests
            assert isinstance(prefills, Arrivals)
            assert prefills.max_in_window(known_from) <= MAXIMUM_REQUESTS_IN_WINDOW
            assert arrivals(free).max_in_window(known_from) > MAXIMUM_REQUESTS_IN_WINDOW
            served = sum(reply.status == 200 for reply in replies)
            assert served > 0.9 * len(replies)


class TestTraceOfARefusal:
    def test_names_the_limit(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (limited,):
            system.wait_served("/unsafe/x", method="POST", body=b"p")
            limited.limit = "0.1"
            path = system.folder / "limited.log"

            def cause() -> str:
                if ask(system, "/unsafe/x", 0).status == 200:
                    return ""
                request_id = system.last_request_id
                path.write_text(system.entries[0].output())
                return cause_of(lines_about(request_id, [path]))

            wait_until(lambda: "takes 0.1 requests a second" in cause(), "the cause")


def arrivals(worker: PlatformWorker) -> Arrivals:
    assert isinstance(worker.runs, Arrivals)
    return worker.runs
