"""Priorities of requests as engines receive them, with real processes."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.fakes.platform_system import (
    ENGINE,
    PROMPT,
    PlatformSystem,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

STREAM = {"kind": "stream", "timeoutMs": 6000, "sloMs": 900}
OTHER_ENGINE = {**ENGINE, "name": "other"}
EVEN, FIRST, SECOND = "/even/x", "/first/x", "/second/x"
ROUTES = [
    route("first", "/first/", "model", priority=1, **STREAM),
    route("second", "/second/", "model", priority=12, **STREAM),
    route("even", "/even/", "other", priority=12, **STREAM),
]


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    folder: Path = tmp_path_factory.mktemp("priorities")
    with PlatformSystem(folder) as running:
        running.put_until_accepted(configuration(1, ROUTES, [ENGINE, OTHER_ENGINE]))
        running.wait_ready()
        for service in ("model", "other"):
            running.add(PlatformWorker(f"{service}-reads", service, stage="prefill"))
            running.add(PlatformWorker(f"{service}-answers", service, stage="decode"))
        for path in (FIRST, EVEN):
            wait_until(
                lambda path=path: sent(running, path),  # type: ignore[misc]
                f"{path} is served",
            )
        yield running


def sent(system: PlatformSystem, path: str, **headers: str) -> list[dict[str, Any]]:
    """Return the headers of all calls to engines for a request, if it is served."""
    reply = system.ask(path, headers={**PROMPT, **headers}, deadline_ms=5000)
    if reply.status != 200:
        return []
    request_id = system.last_request_id
    workers = system._workers
    received = [run.headers for worker in workers for run in worker.runs]
    received += [headers for worker in workers for headers in worker.prefill_headers]
    return [
        {name.lower(): value for name, value in headers.items()}
        for headers in received
        if headers.get("Request-Id") == request_id
    ]


class TestRequestPriority:
    """Guards against engines that preempt requests of a higher priority."""

    @pytest.mark.parametrize(("path", "priority"), [(FIRST, "1"), (SECOND, "9")])
    def test_is_sent_where_routes_differ(
        self, system: PlatformSystem, path: str, priority: str
    ) -> None:
        calls = sent(system, path)
        assert [call.get("request-priority") for call in calls] == [priority] * 2

    def test_is_not_sent_where_all_are_equal(self, system: PlatformSystem) -> None:
        calls = sent(system, EVEN, **{"Request-Priority": "0"})
        assert len(calls) == 2
        assert not any("request-priority" in call for call in calls)
