"""Most new connections at one entry host, with several hosts in their own processes."""

from __future__ import annotations

import http.client
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import pytest

from tests.fakes.platform_system import (
    ENGINE,
    PLAIN,
    PROMPT,
    PlatformSystem,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker

ENTRIES = 4
# Requests a second of all clients, each on a new connection; while they are uneven,
# clients open new connections more often.
EVEN_RATE = 40
UNEVEN_RATE = 60
SECONDS = 3.0
CLIENT_THREADS = 250
DEADLINE_MS = 4000
# A time of answers with which one host would serve more requests at a time than it
# has threads, in seconds.
SLOW_SECONDS = 2.5
SLOW_RATE = 80
# The least share of first attempts served, of the share that was served before.
LEAST_SHARE = 0.75


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    shape = {"kind": "stream", "timeoutMs": 4000, "sloMs": 900, "gapSloMs": 300}
    routes = [
        route(
            "unsafe", "/unsafe/", "plain", kind="unsafe", maxAttempts=1, timeoutMs=4000
        ),
        route("stream", "/stream/", "model", **shape, maxAttempts=1),
    ]
    folder = tmp_path_factory.mktemp("uneven")
    with PlatformSystem(folder, entries=ENTRIES) as running, ExitStack() as workers:
        running.put_until_accepted(configuration(1, routes, [PLAIN, ENGINE]))
        running.wait_ready()
        slow_workers: list[PlatformWorker] = []
        for name, service, stage in (
            *((f"plain-{number}", "plain", "") for number in range(3)),
            *((f"engine-{number}", "model", "decode") for number in range(3)),
            ("reader", "model", "prefill"),
        ):
            worker = PlatformWorker(name, service, stage, run_seconds=0.02)
            workers.enter_context(worker)
            running.add(worker)
            slow_workers += [worker] * (service == "plain")
        running.wait_served("/unsafe/warm", method="POST", body=b"")
        running.wait_served("/stream/warm", method="POST", headers=PROMPT)
        running.slow_workers = slow_workers  # type: ignore[attr-defined]
        yield running


def share_served(
    system: PlatformSystem,
    rate: float,
    entries: Sequence[int],
    seconds: float = SECONDS,
) -> float:
    """Send requests at this rate to the hosts in turn; return the share served."""
    count = int(rate * seconds)
    begun_at = time.monotonic()

    def send(number: int) -> bool:
        time.sleep(max(0.0, begun_at + number / rate - time.monotonic()))
        path, headers = ("/stream/x", PROMPT) if number % 5 == 0 else ("/unsafe/x", {})
        first = entries[number % len(entries)]
        return first_read_attempt_is_served(system, number, path, headers, first)

    with ThreadPoolExecutor(CLIENT_THREADS) as pool:
        return sum(pool.map(send, range(count))) / count


def first_read_attempt_is_served(
    system: PlatformSystem, number: int, path: str, headers: dict[str, str], first: int
) -> bool:
    """Send a request, to the next host whenever its connection is closed unread."""
    body = b"request %d" % number
    for entry in range(first, first + ENTRIES):
        try:
            reply = system.ask(
                path, "POST", body, headers, entry % ENTRIES, DEADLINE_MS
            )
        except (ConnectionError, http.client.RemoteDisconnected):
            continue
        return reply.status == 200 and reply.complete
    return False


class TestMostNewConnectionsAtOneHost:
    """Guards against a host that serves a smaller share as it gets most requests."""

    @pytest.mark.parametrize("busy", [0, ENTRIES - 1])
    def test_serves_as_many_as_before(self, system: PlatformSystem, busy: int) -> None:
        before = share_served(system, EVEN_RATE, range(ENTRIES))
        uneven = [busy] * 9 + [(busy + 1) % ENTRIES]
        assert share_served(system, UNEVEN_RATE, uneven) >= LEAST_SHARE * before

    def test_hands_on_what_it_has_no_thread_for(self, system: PlatformSystem) -> None:
        """Guards against refusing requests that another host would serve at once."""
        for worker in system.slow_workers:  # type: ignore[attr-defined]
            worker.run_seconds = SLOW_SECONDS
        before = share_served(system, SLOW_RATE, range(ENTRIES))
        uneven = share_served(system, SLOW_RATE, [0], 2 * SECONDS)
        assert uneven >= LEAST_SHARE * before
