"""Plain requests, with workers that refuse, fail, hang or lose their answers."""

from __future__ import annotations

import itertools
import json
import socket
from collections.abc import Iterator

import pytest

from tests.fakes.platform_system import (
    HOST,
    PLAIN,
    PlatformSystem,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

NUMBERS = itertools.count()
SAFE, UNSAFE, ONCE = "/safe/x", "/unsafe/x", "/once/x"


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    routes = [
        route("safe", "/safe/", "plain"),
        route("unsafe", "/unsafe/", "plain", kind="unsafe"),
        route("once", "/once/", "plain", maxAttempts=1),
    ]
    folder = tmp_path_factory.mktemp("plain")
    with PlatformSystem(folder, retry_allowance=500) as running:
        running.put_until_accepted(configuration(1, routes, [PLAIN]))
        running.wait_ready()
        yield running


@pytest.fixture
def workers(system: PlatformSystem) -> Iterator[list[PlatformWorker]]:
    """Run two workers for one test, and no others."""
    added = [
        system.add(PlatformWorker(f"w-{next(NUMBERS)}", "plain")) for _ in range(2)
    ]
    wait_until(
        lambda: system.ask(SAFE).status == 200 and all(item.runs for item in added),
        "both workers are used",
    )
    for worker in added:
        worker.runs.clear()
    yield added
    for worker in added:
        system.withdraw(worker)
        assert system.leave(worker) == 200
        worker.close()


def run_ids(workers: list[PlatformWorker]) -> list[str]:
    return [run for worker in workers for run in worker.run_ids()]


class TestAnswer:
    def test_is_unchanged_and_proves_its_origin(
        self, system: PlatformSystem, workers: list[PlatformWorker]
    ) -> None:
        reply = system.ask(UNSAFE + "?a=%2F&b=1", "POST", b"body")
        run = [run for worker in workers for run in worker.runs][0]
        assert (reply.status, reply.body) == (200, b"answer")
        assert reply.headers["server-stamp"].endswith(run.request_id)
        assert (run.method, run.target, run.body) == (
            "POST",
            UNSAFE + "?a=%2F&b=1",
            b"body",
        )

    def test_worker_gets_the_remaining_time_and_its_own_id(
        self, system: PlatformSystem, workers: list[PlatformWorker]
    ) -> None:
        system.ask(SAFE, deadline_ms=900)
        worker = next(worker for worker in workers if worker.runs)
        headers = worker.runs[0].headers
        assert 0 < int(headers["Deadline-Ms"]) <= 900
        assert headers["Expect-Instance"] == worker.worker_id

    def test_headers_that_only_the_system_sets_are_dropped(
        self, system: PlatformSystem, workers: list[PlatformWorker]
    ) -> None:
        """Clients must not fetch another client's KV cache or reserve capacity."""
        sent = {"Kv-From": "1.1.1.1:1/h", "Pin-Ms": "9", "Kv-Hold": "x", "Stage": "s"}
        system.ask(SAFE, headers={**sent, "Extra": "kept"})
        run = [run for worker in workers for run in worker.runs][0]
        assert not sent.keys() & run.headers.keys()
        assert run.headers["Extra"] == "kept"


class TestWorkerThatRefusesRequests:
    def test_another_worker_runs_the_request(
        self, system: PlatformSystem, workers: list[PlatformWorker]
    ) -> None:
        for _ in range(6):
            workers[0].faults.refuse = 1
            assert system.ask(UNSAFE, "POST").status == 200
            workers[0].faults.refuse = 0
        assert len(run_ids(workers)) == 6

    def test_request_is_refused_if_all_workers_refuse(
        self, system: PlatformSystem, workers: list[PlatformWorker]
    ) -> None:
        for worker in workers:
            worker.faults.refuse = 4
        reply = system.ask(UNSAFE, "POST")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert run_ids(workers) == []


class TestWorkerThatLosesItsAnswer:
    """Guards against an unsafe request that runs twice.

    A worker runs a request, and its connection ends without an answer. Nobody knows
    whether the request has run. It must not be sent again, and the client must not be
    told "not run", or it would send the request again itself.
    """

    def test_unsafe_request_runs_once_and_fails_with_502(
        self, system: PlatformSystem, workers: list[PlatformWorker]
    ) -> None:
        for worker in workers:
            worker.faults.lose = 1
        reply = system.ask(UNSAFE, "POST")
        assert reply.status == 502
        assert len(run_ids(workers)) == 1

    def test_safe_request_is_answered_by_another_worker(
        self, system: PlatformSystem, workers: list[PlatformWorker]
    ) -> None:
        workers[0].faults.lose = workers[1].faults.lose = 1
        first = system.ask(SAFE)
        workers[0].faults.lose = workers[1].faults.lose = 0
        second = system.ask(SAFE)
        assert first.status in (200, 502)
        assert second.status == 200
        assert len(run_ids(workers)) == 3

    def test_maximum_attempts_of_the_route_are_not_exceeded(
        self, system: PlatformSystem, workers: list[PlatformWorker]
    ) -> None:
        for worker in workers:
            worker.faults.lose = 1
        assert system.ask(ONCE).status == 502
        assert len(run_ids(workers)) == 1

    def test_incomplete_answer_is_not_relayed(
        self, system: PlatformSystem, workers: list[PlatformWorker]
    ) -> None:
        for worker in workers:
            worker.faults.cut = 1
        assert system.ask(UNSAFE, "POST").status == 502

    def test_failure_of_the_worker_keeps_its_status_and_stamp(
        self, system: PlatformSystem, workers: list[PlatformWorker]
    ) -> None:
        for worker in workers:
            worker.faults.fail = 1
        reply = system.ask(UNSAFE, "POST")
        assert reply.status == 500
        assert "server-stamp" in reply.headers


class TestWorkerThatAnswersTwice:
    """Guards against answers that reach the wrong request.

    A worker sends a second answer after the first on the same connection, and the next
    request on that connection would get it. The request id in the answer shows that it
    is for another request.
    """

    def test_second_answer_reaches_no_other_request(
        self, system: PlatformSystem, workers: list[PlatformWorker]
    ) -> None:
        for worker in workers:
            worker.faults.answer_twice = 3
        for number in range(12):
            request_id = f"twice-{number}"
            reply = system.ask(SAFE, headers={"Request-Id": request_id})
            assert reply.status == 200
            assert reply.headers["server-stamp"].endswith(request_id)

    def test_answer_without_length_ends_at_the_connection_close(
        self, system: PlatformSystem, workers: list[PlatformWorker]
    ) -> None:
        for worker in workers:
            worker.faults.unframed = 1
        reply = system.ask(SAFE)
        assert (reply.status, reply.body) == (200, b"answer")


class TestDeadline:
    def test_client_is_answered_at_the_timeout_of_the_route(
        self, system: PlatformSystem, workers: list[PlatformWorker]
    ) -> None:
        for worker in workers:
            worker.faults.hang = 1
        reply = system.ask(UNSAFE, "POST", deadline_ms=600)
        assert reply.status == 504

    def test_safe_request_is_sent_elsewhere_before_its_timeout(
        self, system: PlatformSystem, workers: list[PlatformWorker]
    ) -> None:
        workers[0].faults.hang = 1
        replies = [system.ask(SAFE).status for _ in range(4)]
        assert replies == [200] * 4


class TestNoRoute:
    def test_is_answered_with_404(self, system: PlatformSystem) -> None:
        assert system.ask("/nowhere/x").status == 404


class TestRequestThatCanBeReadInTwoWays:
    """Guards against one client's bytes that run as another's request."""

    @pytest.mark.parametrize(
        ("header", "named"),
        [
            ("Transfer-Encoding: chunked", "transfer-encoding"),
            ("Request-Id: another", "request-id"),
            ("Deadline-Ms: 900", "deadline-ms"),
            ("Host: other.example", "host"),
        ],
    )
    def test_is_refused_and_runs_nowhere(
        self,
        system: PlatformSystem,
        workers: list[PlatformWorker],
        header: str,
        named: str,
    ) -> None:
        inner = f"POST {UNSAFE} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: inner\r\n\r\n"
        body = f"0\r\n\r\n{inner}"
        head = (
            f"POST {SAFE} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: outer\r\n"
            f"Deadline-Ms: 1500\r\nContent-Length: {len(body)}\r\n{header}\r\n\r\n"
        )
        status, refusal = send(system.entry_http[0], (head + body).encode())
        assert (status, refusal["ran"]) == (400, "no")
        assert named in refusal["message"]
        assert run_ids(workers) == []


def send(address: str, sent: bytes) -> tuple[int, dict[str, str]]:
    """Send bytes; return the status and the body of the only answer."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), 5.0) as connection:
        connection.sendall(sent)
        received = b""
        while part := connection.recv(65536):
            received += part
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)
