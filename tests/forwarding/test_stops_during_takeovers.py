"""Planned stops of a forwarding host and of the leader in quick succession."""

from __future__ import annotations

import http.client
import signal
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from tests.control.test_leaving import leader_status
from tests.fakes.platform_system import (
    ENGINE,
    HOST,
    PLAIN,
    PROMPT,
    Host,
    PlatformSystem,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

CLIENTS = 4
STREAM, POLL = "/stream/x", "/poll/x"
SHAPE = {"kind": "stream", "timeoutMs": 6000, "sloMs": 900, "gapSloMs": 300}
ROUTES = [
    route("poll", "/poll/", "plain", kind="unsafe", timeoutMs=5000, maxAttempts=1),
    route("stream", "/stream/", "model", **SHAPE, maxAttempts=2),
]
# A request sent earlier than this before the end of its connection, in seconds, was
# read by the host.
READ_SECONDS = 0.2


@dataclass
class Client:
    """Sends requests on one persistent connection after the other until stopped."""

    address: str
    target: str
    number: int
    stopped: threading.Event
    answered: set[str] = field(default_factory=set)
    unanswered: dict[str, float] = field(default_factory=dict)
    """Requests without a complete answer, and how long the client waited for each."""

    def run(self) -> None:
        while not self.stopped.is_set():
            connection = http.client.HTTPConnection(self.address, timeout=15)
            try:
                connection.connect()
                self._use(connection)
            except OSError:
                time.sleep(0.02)
            finally:
                connection.close()

    def _use(self, connection: http.client.HTTPConnection) -> None:
        while not self.stopped.is_set():
            self.number += CLIENTS
            request_id = f"{self.number:016x}"
            shape = PROMPT if self.target == STREAM else {}
            headers = {"Request-Id": request_id, "Deadline-Ms": "8000", **shape}
            sent_at = time.monotonic()
            try:
                connection.request("POST", self.target, b"p", {"Host": HOST, **headers})
                response = connection.getresponse()
                response.read()
            except (OSError, http.client.HTTPException):
                self.unanswered[request_id] = time.monotonic() - sent_at
                return
            self.answered.add(request_id)
            if response.getheader("connection") == "close":
                return


@pytest.fixture
def system(tmp_path: Path) -> Iterator[PlatformSystem]:
    with PlatformSystem(tmp_path, 3, 2) as running:
        running.put_until_accepted(configuration(1, ROUTES, [PLAIN, ENGINE]))
        running.wait_ready()
        yield running


def stop_leader(system: PlatformSystem) -> Host:
    known = wait_until(lambda: leader_status(system), "a host leads")
    assert known is not None
    name = known.leader_id.partition("/")[0]
    host = next(item for item in system.controls if item.name == name)
    host.signal(signal.SIGTERM)
    return host


class TestPersistentConnection:
    """Guards against a forwarded request that ends without an answer."""

    @pytest.mark.parametrize("target", [STREAM, POLL])
    @pytest.mark.parametrize("order", ["leader first", "host first", "both again"])
    def test_forwarded_request_is_answered(
        self, system: PlatformSystem, target: str, order: str
    ) -> None:
        stage = "decode" if target == STREAM else ""
        service = "model" if target == STREAM else "plain"
        workers = [
            system.add(PlatformWorker(f"w-{number}", service, stage, run_seconds=0.02))
            for number in range(2)
        ]
        if target == STREAM:
            system.add(PlatformWorker("reader", service, "prefill"))
        headers = PROMPT if target == STREAM else {}
        system.wait_served(target, method="POST", body=b"p", headers=headers)
        stopped = threading.Event()
        clients = [
            Client(system.entry_http[0], target, number, stopped)
            for number in range(1, CLIENTS + 1)
        ]
        with ThreadPoolExecutor() as pool:
            running = [pool.submit(client.run) for client in clients]
            wait_until(
                lambda: all(len(client.answered) > 5 for client in clients),
                "all are served",
            )
            entry = system.entries[0]
            assert entry.process is not None
            if order == "host first":
                entry.signal(signal.SIGTERM)
                time.sleep(0.3)
                stop_leader(system)
            else:
                first = stop_leader(system)
                if order == "both again":
                    assert first.process is not None
                    first.process.wait()
                    first.start()
                    stop_leader(system)
                time.sleep(0.3)
                entry.signal(signal.SIGTERM)
            assert entry.process.wait() == 0
            stopped.set()
            for item in running:
                item.result()
        unanswered = {
            key: at for client in clients for key, at in client.unanswered.items()
        }
        forwarded = {run.request_id for worker in workers for run in worker.runs}
        assert unanswered.keys() & forwarded == set()
        assert [at for at in unanswered.values() if at > READ_SECONDS] == []
