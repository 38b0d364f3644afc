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
    """Guards against a stopping host that accepts a request it cannot finish.

    A client's connection is idle when its host is told to stop. Six seconds later,
    while the host still finishes an open stream, a new request arrives over it. The
    host accepted it and exited a second later in the middle of the answer.
    """

    def test_is_refused_once_the_load_balancer_has_noticed(
        self, tmp_path: Path
    ) -> None:
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
                    "the host accepts no more",
                )
                idle.request("GET", "/slow/x", headers={"Host": HOST})
                response = idle.getresponse()
                refusal = json.loads(response.read())
                assert len(worker.runs) == before + 1
            idle.close()
            assert response.status == 503
            assert (refusal["error"], refusal["ran"]) == ("entry_stopping", "no")


class TestRequestDuringTheExit:
    """Guards against requests that a host forwards just before it exits.

    A client polls over a kept connection. The host has no open request left, decides to
    exit, and then reads the poll and forwards it. The process exits 10 ms later, and
    the answer is lost though an endpoint is running the request.
    """

    def test_is_refused_and_not_forwarded(self) -> None:
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
    """Poll over kept connections until none can be opened; count the answers of 200."""
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
            # The host exited before it read the request, or closed as announced.
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
    """Guards against requests lost in a rolling stop of the hosts under load.

    A host that exits at once breaks off its open requests; one that still reports ready
    gets new ones; one that closes connections unannounced loses requests in transit.
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
                wait_until(lambda: not system.ready(), "the host is not ready any more")
                reply = open_request.result()
            assert (reply.status, reply.complete) == (200, True)
            assert reply.headers["connection"] == "close"
            process = system.entries[0].process
            assert process is not None and process.wait() == 0

    def test_exits_within_its_limit_though_a_request_hangs(
        self, tmp_path: Path
    ) -> None:
        """A worker is silent, and the platform would kill the process at its limit.

        The kill would break off all other answers that are still in transit.
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

    def test_reload_signal_does_not_stop_the_host(self, tmp_path: Path) -> None:
        with PlatformSystem(tmp_path) as system:
            system.put_until_accepted(configuration(1, ROUTES, [PLAIN]))
            system.add(PlatformWorker("w-1", "plain"))
            system.wait_served("/slow/x")
            system.entries[0].signal(signal.SIGHUP)
            wait_until(
                lambda: "seeds read" in system.entries[0].output(), "settings read"
            )
            assert system.ask("/slow/x").status == 200
