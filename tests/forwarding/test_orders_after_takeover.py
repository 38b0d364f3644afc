"""Role orders to engines after the leader was killed, with real processes."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from datetime import datetime
from typing import Any

import pytest

from jujubeslip.control._role_balance import OBSERVATION_SECONDS
from tests.fakes.platform_system import (
    PROMPT,
    PlatformSystem,
    Reply,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until
from tests.fakes.steady_load import offer
from tests.forwarding.test_few_engines import (
    CLIENTS,
    EVENTS,
    LONG_PROMPT,
    PAUSE_SECONDS,
    READ_SECONDS,
    SERVICE,
)

CONTROLS = 3
# Leaders give no order before they have recorded their orders for five seconds; every
# two seconds they store for the next leader how long that has been.
RECORDED_SECONDS = 8.0
# An order takes a scan, a status call to the engine and the order itself.
ORDER_SECONDS = 2.0
LOAD_SECONDS = 20.0


@pytest.fixture
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    shape = {"kind": "stream", "timeoutMs": 8000, "sloMs": 900, "gapSloMs": 300}
    routes = [route("stream", "/stream/", "model", **shape, maxAttempts=1)]
    folder = tmp_path_factory.mktemp("orders")
    with PlatformSystem(folder, controls=CONTROLS) as running:
        running.put_until_accepted(configuration(1, routes, [SERVICE]))
        yield running


def ask(system: PlatformSystem) -> Reply:
    return system.ask("/stream/x", "POST", b"prompt", LONG_PROMPT, deadline_ms=8000)


def latest_election(system: PlatformSystem) -> dict[str, Any]:
    """Return the line that the leader of the latest term logged at its election."""
    return max(system.logged("leading"), key=lambda line: int(line["term"]))


def leader_of(system: PlatformSystem) -> int:
    """Return the control host that leads in the latest term."""
    line = json.dumps(latest_election(system)["time"])
    written = [line in host.output() for host in system.controls]
    return written.index(True)


def seconds_between(earlier: dict[str, Any], later: dict[str, Any]) -> float:
    """Return the seconds between two lines."""
    times = [datetime.fromisoformat(line["time"]) for line in (earlier, later)]
    return (times[1] - times[0]).total_seconds()


class TestLastPrefillEngineLostWithTheLeader:
    """Guards against a service without a prefill engine long after an election.

    The last prefill engine leaves when the leader is killed, and a new leader has to
    order one of the decode engines to replace it.
    """

    def test_is_replaced_as_soon_as_a_host_leads(self, system: PlatformSystem) -> None:
        prefill_engine = PlatformWorker("reader", "model", "prefill")
        workers = [PlatformWorker(f"engine-{n}", "model", "decode") for n in range(4)]
        for worker in (prefill_engine, *workers):
            system.add(worker)
        system.wait_served("/stream/x", method="POST", headers=PROMPT)
        time.sleep(RECORDED_SECONDS)
        killed = leader_of(system)
        before = latest_election(system)["term"]
        system.controls[killed].kill()
        system.withdraw(prefill_engine)
        others = [number for number in range(CONTROLS) if number != killed]
        for number in others:
            system.leave(prefill_engine, control=number)
        wait_until(
            lambda: latest_election(system)["term"] > before, "another host leads"
        )
        wait_until(lambda: system.logged("engine ordered"), "an engine is ordered")
        ordered = system.logged("engine ordered")
        assert [line["role"] for line in ordered] == ["PREFILL"]
        assert seconds_between(latest_election(system), ordered[0]) <= ORDER_SECONDS


class TestDecodeEngineLostWithTheLeader:
    """Guards against two idle prefill engines beside the only decode engine."""

    def test_prefill_engine_replaces_it_as_soon_as_a_host_leads(
        self, system: PlatformSystem
    ) -> None:
        prefill_engines = [
            PlatformWorker(
                f"reader-{n}", "model", "prefill", prefill_seconds=READ_SECONDS
            )
            for n in (1, 2)
        ]
        decode_engines = [
            PlatformWorker(f"engine-{n}", "model", "decode", events=EVENTS)
            for n in (1, 2)
        ]
        for worker in (*prefill_engines, *decode_engines):
            system.add(worker)
        system.wait_served("/stream/x", method="POST", headers=LONG_PROMPT)
        with ThreadPoolExecutor(1) as pool:
            replies = pool.submit(
                offer, lambda _: ask(system), LOAD_SECONDS, [0] * CLIENTS, PAUSE_SECONDS
            )
            time.sleep(OBSERVATION_SECONDS + ORDER_SECONDS)
            assert not system.logged("engine ordered")
            killed = leader_of(system)
            before = latest_election(system)["term"]
            system.controls[killed].kill()
            system.withdraw(decode_engines[1])
            for number in range(CONTROLS):
                if number != killed:
                    system.leave(decode_engines[1], control=number)
            wait_until(
                lambda: latest_election(system)["term"] > before, "another host leads"
            )
            assert replies.result()
        ordered = system.logged("engine ordered")
        assert [line["role"] for line in ordered] == ["DECODE"]
        assert seconds_between(latest_election(system), ordered[0]) <= ORDER_SECONDS
