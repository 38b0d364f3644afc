"""Planned stops of a forwarding host."""

from __future__ import annotations

import http.client
import json
import signal
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from jujubeslip.forwarding._app import ForwardApp, OpenRequests
from jujubeslip.platform._requests import encode_refusal
from tests.fakes.platform_system import (
    HOST,
    PLAIN,
    PlatformSystem,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

ROUTES = [route("slow", "/slow/", "plain", timeoutMs=60_000, maxAttempts=1)]


class TestRequestOverAnIdleConnection:
    """A dispatcher's connection was idle when its host was told to stop.

    Six seconds later, while the host still finishes an open stream, a new summary is
    asked for over it. The host takes it, and ends a second later in its middle.
    """

    def test_is_refused_once_the_balancer_knows(self, tmp_path: Path) -> None:
        with PlatformSystem(tmp_path) as system:
            system.put_until_accepted(configuration(1, ROUTES, [PLAIN]))
            worker = system.add(PlatformWorker("w-1", "plain"))
            system.wait_served("/slow/x")
            idle = http.client.HTTPConnection(system.entry_http[0], timeout=20)
            idle.connect()
            worker.run_seconds = 6.0
            with ThreadPoolExecutor() as pool:
                before = len(worker.runs)
                pool.submit(system.ask, "/slow/x", deadline_ms=20_000)
                wait_until(lambda: len(worker.runs) > before, "the request runs")
                system.entries[0].signal(signal.SIGTERM)
                wait_until(
                    lambda: "no further requests" in system.entries[0].output(),
                    "the host takes no more",
                )
                idle.request("GET", "/slow/x", headers={"Host": HOST})
                response = idle.getresponse()
                refusal = json.loads(response.read())
                assert len(worker.runs) == before + 1
            idle.close()
            assert response.status == 503
            assert (refusal["error"], refusal["ran"]) == ("entry_stopping", "no")


class TestRequestInTheLastMoment:
    """A board polls over a kept connection while its host ends.

    The host has no open request left, decides to end, and then reads the poll and
    sends it on. The process ends 10 ms later, and the board's confirmation is lost
    though its endpoint was at work on it.
    """

    def test_is_refused_and_not_sent_on(self) -> None:
        open_requests = OpenRequests(10)
        assert open_requests.try_enter()
        open_requests.close()
        assert not open_requests.try_enter()
        open_requests.leave()
        assert open_requests.wait_until_none(0)
        interface: Any = SimpleNamespace(refusal=encode_refusal)
        never_asked: Any = None
        app = ForwardApp(interface, never_asked, open_requests)
        statuses: list[str] = []
        app({}, lambda status, headers: statuses.append(status))
        assert statuses == ["503 Service Unavailable"]

    def test_every_poll_that_ran_is_answered(self, tmp_path: Path) -> None:
        routes = [route("poll", "/poll/", "plain", kind="unsafe", timeoutMs=5000)]
        with PlatformSystem(tmp_path) as system:
            system.put_until_accepted(configuration(1, routes, [PLAIN]))
            worker = system.add(PlatformWorker("w-1", "plain"))
            system.wait_served("/poll/x", method="POST", body=b"shift")
            worker.run_seconds = 0.02
            before = len(worker.runs)
            with ThreadPoolExecutor() as pool:
                polls = [pool.submit(poll, system.entry_http[0]) for _ in range(6)]
                wait_until(lambda: len(worker.runs) > before + 12, "polls are served")
                system.entries[0].signal(signal.SIGTERM)
                process = system.entries[0].process
                assert process is not None and process.wait() == 0
                answered = sum(item.result() for item in polls)
            assert answered == len(worker.runs) - before


def poll(address: str) -> int:
    """Ask over kept connections until none can be opened; return how often 200 came."""
    answered = 0
    while True:
        connection = http.client.HTTPConnection(address, timeout=10)
        try:
            connection.connect()
        except OSError:
            return answered
        try:
            answered += poll_over(connection)
        except (OSError, http.client.HTTPException):
            # The host ended before it read the request, or closed as it had said.
            continue
        finally:
            connection.close()


def poll_over(connection: http.client.HTTPConnection) -> int:
    """Return 1 for an answer of 200, 0 for a refusal."""
    headers = {"Host": HOST, "Request-Id": "poll", "Deadline-Ms": "5000"}
    connection.request("POST", "/poll/x", b"shift", headers)
    response = connection.getresponse()
    response.read()
    return int(response.status == 200)


class TestPlannedStop:
    """The platform stops hosts one after the other while boards poll.

    A host that ends at once cuts its open requests off; one that still says that it
    is ready gets new ones; one that doesn't announce the close of its connections
    meets requests that cross it.
    """

    def test_open_request_is_answered_and_the_close_announced(
        self, tmp_path: Path
    ) -> None:
        with PlatformSystem(tmp_path) as system:
            system.put_until_accepted(configuration(1, ROUTES, [PLAIN]))
            worker = system.add(PlatformWorker("w-1", "plain"))
            system.wait_served("/slow/x")
            worker.run_seconds = 1.0
            with ThreadPoolExecutor() as pool:
                before = len(worker.runs)
                open_request = pool.submit(
                    system.ask, "/slow/x", headers=None, deadline_ms=8000
                )
                wait_until(lambda: len(worker.runs) > before, "the request runs")
                system.entries[0].signal(signal.SIGTERM)
                wait_until(lambda: not system.ready(), "not ready any more")
                reply = open_request.result()
            assert (reply.status, reply.whole) == (200, True)
            assert reply.headers["connection"] == "close"
            process = system.entries[0].process
            assert process is not None and process.wait() == 0

    def test_ends_within_its_limit_though_a_request_hangs(self, tmp_path: Path) -> None:
        """A worker is silent; the platform would kill the process at its limit.

        Killed, it would cut off all other answers that are still on their way.
        """
        with PlatformSystem(tmp_path, stop_limit_ms=4000) as system:
            system.put_until_accepted(configuration(1, ROUTES, [PLAIN]))
            worker = system.add(PlatformWorker("w-1", "plain"))
            system.wait_served("/slow/x")
            worker.faults.hang = 1
            before = len(worker.runs)
            with ThreadPoolExecutor() as pool:
                pool.submit(system.ask, "/slow/x", deadline_ms=30_000)
                wait_until(lambda: len(worker.runs) > before, "the request runs")
                system.entries[0].signal(signal.SIGTERM)
                process = system.entries[0].process
                assert process is not None and process.wait() == 0

    def test_reload_signal_ends_nothing(self, tmp_path: Path) -> None:
        with PlatformSystem(tmp_path) as system:
            system.put_until_accepted(configuration(1, ROUTES, [PLAIN]))
            system.add(PlatformWorker("w-1", "plain"))
            system.wait_served("/slow/x")
            system.entries[0].signal(signal.SIGHUP)
            wait_until(
                lambda: "seeds read" in system.entries[0].output(), "settings read"
            )
            assert system.ask("/slow/x").status == 200
