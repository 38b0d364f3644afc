"""The metrics of the processes after requests, read as a collector reads them."""

from __future__ import annotations

from collections.abc import Iterator

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

SERVED = 'jujubeslip_forward_requests_total{kind="stream",service="model",outcome='


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    shape = {"kind": "stream", "timeoutMs": 8000, "sloMs": 900, "gapSloMs": 300}
    routes = [route("stream", "/stream/", "model", **shape, maxAttempts=1)]
    with PlatformSystem(tmp_path_factory.mktemp("metrics")) as running:
        running.put_until_accepted(configuration(1, routes, [ENGINE]))
        for name, stage in (("reader", "prefill"), ("engine", "decode")):
            running.add(PlatformWorker(name, "model", stage))
        running.wait_served("/stream/x", method="POST", headers=PROMPT)
        yield running


def ask(system: PlatformSystem) -> int:
    reply = system.ask("/stream/x", "POST", b"prompt", PROMPT, deadline_ms=8000)
    return reply.status


class TestForwardingHost:
    def test_counts_requests_and_times_their_first_event(
        self, system: PlatformSystem
    ) -> None:
        address = system.entry_metrics[0]
        before = system.metrics(address)
        assert ask(system) == 200
        name = SERVED + '"whole"}'
        wait_until(
            lambda: system.metrics(address)[name] == before.get(name, 0) + 1,
            "the request is counted",
        )
        after = system.metrics(address)
        count = 'jujubeslip_forward_first_event_ms_count{service="model"}'
        assert after[count] == before.get(count, 0) + 1
        assert after["jujubeslip_forward_configuration_version"] == 1
        assert after["jujubeslip_forward_control_hosts"] == 1
        assert after['jujubeslip_forward_retries_left{service="model"}'] > 0


class TestControlHost:
    def test_reports_its_lead_and_what_it_knows(self, system: PlatformSystem) -> None:
        address = system.control_metrics[0]

        def decided() -> bool:
            assert ask(system) == 200
            name = "jujubeslip_admission_decisions_total"
            granted = f'{name}{{service="model",outcome="granted"}}'
            return system.metrics(address).get(granted, 0) > 0

        wait_until(decided, "the leader has granted")
        values = system.metrics(address)
        assert values["jujubeslip_control_leads"] == 1
        assert values["jujubeslip_control_configuration_version"] == 1
        known = 'jujubeslip_control_endpoints{service="model",role="decode",'
        assert values[known + 'leaving="false"}'] == 1


class TestAddressInUse:
    """Another process listens on the metrics' port; clients must still be served."""

    def test_is_logged(
        self, system: PlatformSystem, tmp_path_factory: pytest.TempPathFactory
    ) -> None:
        with PlatformSystem(tmp_path_factory.mktemp("taken")) as second:
            second.entry_metrics[0] = system.entry_metrics[0]
            settings = second.entries[0].settings_path
            text = settings.read_text()
            taken = text.rindex("metrics_address")
            line = f'metrics_address = "{system.entry_metrics[0]}"\n'
            settings.write_text(text[:taken] + line)
            second.entries[0].kill()
            second.entries[0].start()
            wait_until(
                lambda: "metrics not served" in second.entries[0].output(),
                "the failure is logged",
            )
            wait_until(
                lambda: "forwarding host serves" in second.entries[0].output(),
                "the host serves",
            )
