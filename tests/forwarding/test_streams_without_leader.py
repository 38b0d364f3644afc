"""Streams are served while no leader gives grants, with real processes."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.fakes.platform_system import (
    ENGINE,
    PROMPT,
    PlatformSystem,
    Reply,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until


@pytest.fixture
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    shape = {"kind": "stream", "timeoutMs": 8000, "sloMs": 900, "gapSloMs": 300}
    routes = [route("stream", "/stream/", "model", **shape, maxAttempts=1)]
    folder = tmp_path_factory.mktemp("leader")
    with PlatformSystem(folder) as running:
        running.put_until_accepted(configuration(1, routes, [ENGINE]))
        for name, stage in (("reader", "prefill"), ("engine", "decode")):
            running.add(PlatformWorker(name, "model", stage))
        running.wait_served("/stream/x", method="POST", headers=PROMPT)
        yield running


def ask(system: PlatformSystem) -> Reply:
    return system.ask("/stream/x", "POST", b"prompt", PROMPT, deadline_ms=8000)


def wait_for_grants(system: PlatformSystem) -> None:
    given = len(system.logged("grant at an engine"))
    wait_until(
        lambda: (
            ask(system).complete and len(system.logged("grant at an engine")) > given
        ),
        "the leader gives grants",
    )


class TestKilledLeader:
    """Guards against streams that fail while no leader gives grants.

    The control host that gives grants is killed while streams are requested. The entry
    hosts still know the engines, and reserve capacity there themselves. After its
    restart the control host learns from the engines' reports what runs there.
    """

    def test_streams_are_served_throughout(self, system: PlatformSystem) -> None:
        wait_for_grants(system)
        system.controls[0].kill()
        for _ in range(5):
            reply = ask(system)
            assert reply.status == 200 and reply.complete
        system.controls[0].start()
        wait_for_grants(system)
