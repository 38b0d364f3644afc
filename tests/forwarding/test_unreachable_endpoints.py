"""Sends that never reach an endpoint, with real processes."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.fakes.platform_system import PLAIN, PlatformSystem, configuration, route
from tests.fakes.platform_worker import PlatformWorker

ENDED = 6
REQUESTS = 20


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    """Return a system without any retry budget, most of whose endpoints have ended."""
    routes = [
        route("safe", "/safe/", "plain"),
        route("unsafe", "/unsafe/", "plain", kind="unsafe", maxAttempts=1),
    ]
    folder = tmp_path_factory.mktemp("unreachable")
    with PlatformSystem(folder, retry_ratio=0.0, retry_allowance=0.0) as running:
        running.put_until_accepted(configuration(1, routes, [PLAIN]))
        running.add(PlatformWorker("runs", "plain"))
        running.wait_served("/safe/x")
        for number in range(ENDED):
            running.add(PlatformWorker(f"ended-{number}", "plain")).close()
        yield running


class TestConnectionThatIsRefused:
    """Guards against refusals for want of retry budget when nothing was sent."""

    @pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
    def test_request_is_sent_to_another_endpoint(
        self, system: PlatformSystem, path: str
    ) -> None:
        replies = [system.ask(path) for _ in range(REQUESTS)]
        assert [reply.status for reply in replies] == [200] * REQUESTS
