"""Planned stops of a forwarding host."""

from __future__ import annotations

import signal
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.fakes.platform_system import PLAIN, PlatformSystem, configuration, route
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

ROUTES = [route("slow", "/slow/", "plain", timeoutMs=60_000, maxAttempts=1)]


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
