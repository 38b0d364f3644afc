"""The whole system while another program sends invalid announcements."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from tests.fakes.broken_fields import (
    INVALID_NUMBERS,
    INVALID_TEXTS,
    INVALID_WORDS,
    broken_field_cases,
)
from tests.fakes.platform_system import (
    PLAIN,
    PlatformSystem,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

# A few fields of each kind; the tests without processes cover every field.
BREAKS = broken_field_cases(
    {
        ("service",): INVALID_TEXTS,
        ("slots",): INVALID_NUMBERS,
        ("state",): INVALID_WORDS,
        ("seq",): INVALID_NUMBERS,
    }
)


def announce(system: PlatformSystem, endpoint_id: str, body: bytes) -> int | None:
    """Announce an endpoint at the first control host; return the status."""
    return system._call(0, "PUT", f"/instances/{endpoint_id}", body, 3.0)[0]


class TestInvalidAnnouncementsOfAnotherProgram:
    """Guards against invalid announcements that hide all other endpoints.

    One sequence number of seventy bits is enough: the answers to all watching hosts
    can't be encoded any more. A worker that starts afterwards never gets a request, and
    one that announces that it leaves still gets some.
    """

    def test_leave_the_others_in_use(self, tmp_path: Path) -> None:
        with PlatformSystem(tmp_path, controls=2, entries=1) as system:
            with PlatformWorker("foreign", "plain") as foreign:
                system.add(PlatformWorker("first", "plain"))
                first_configuration = configuration(
                    1, [route("r", "/a/", "plain", maxAttempts=1)], [PLAIN]
                )
                system.put_until_accepted(first_configuration)
                system.wait_served("/a/x")
                heartbeat = foreign.heartbeat()
                statuses = {
                    announce(system, "foreign", broken.apply(heartbeat))
                    for broken in BREAKS
                }
                later = system.add(PlatformWorker("later", "plain"))
                wait_until(lambda: self._reaches(system, later), "later is used")
                assert foreign.runs == []
                assert statuses == {400}
                # Configurations sent before the election have another status.
                refused = [
                    item["endpoint_id"]
                    for item in system.logged("call not accepted")
                    if item["status"] == 400
                ]
                assert refused == ["foreign"] * len(BREAKS)

    def _reaches(self, system: PlatformSystem, worker: PlatformWorker) -> bool:
        assert system.ask("/a/x").status == 200
        return bool(worker.runs)


class TestServiceThatIsNotConfigured:
    """A worker announces itself before the configuration that names its service.

    If the announcement were dropped, the worker would lose a heartbeat or more. If it
    counted for another service, it would get requests that it must not run.
    """

    def test_is_kept_and_used_once_it_is_named(self, tmp_path: Path) -> None:
        with PlatformSystem(tmp_path) as system:
            known = system.add(PlatformWorker("known", "plain"))
            early = system.add(PlatformWorker("early", "later"))
            routes: list[dict[str, Any]] = [route("r", "/a/", "plain")]
            system.put_until_accepted(configuration(1, routes, [PLAIN]))
            system.wait_served("/a/x")
            for _ in range(10):
                assert system.ask("/a/x").status == 200
            assert early.runs == [] and known.runs
            routes.append(route("later", "/b/", "later"))
            services = [PLAIN, {**PLAIN, "name": "later"}]
            system.put_until_accepted(configuration(2, routes, services))
            system.wait_served("/b/x")
            assert early.runs
