"""Tests of the watches by which other hosts follow a control host."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.control import _watches
from jujubeslip.control._watches import (
    ENTRY_HOST_RETENTION_SECONDS,
    WATCHER_TIMEOUT_SECONDS,
    Watches,
)
from jujubeslip.discovery import EndpointRegistry
from jujubeslip.kernel import Deadline
from jujubeslip.peers import ServicePressure, WatchRequest
from jujubeslip.quarantine import Crash, CrashHistory, CrashRegistry
from tests.fakes.broken_fields import received
from tests.fakes.clock import Clock
from tests.fakes.engines import engine

BROKEN = [
    ServicePressure(None, 1, 1),
    ServicePressure("", 1, 1),
    ServicePressure("model", None, 1),
    ServicePressure("model", 1, None),
    ServicePressure("model", -5, 1),
    ServicePressure("model", 1, -5),
]


@pytest.fixture
def watches() -> Watches:
    """Return the watches of a control host that knows one endpoint."""
    registry = EndpointRegistry()
    registry.merge([engine("a")])
    current = SimpleNamespace(revision=3)
    replica: Any = SimpleNamespace(
        machine=SimpleNamespace(configurations=SimpleNamespace(current=current)),
        lock=EndpointRegistry()._changed,
        leadership=None,
        hears_leader=False,
    )
    return Watches(replica, registry, lambda: ["10.0.0.1:7000"])


def ask(watches: Watches, *pressures: ServicePressure, **fields: Any) -> int:
    """Watch as a host without any state; return how many endpoints it receives."""
    request = WatchRequest(0, 0, 0, True, "entry-1/1", 0, list(pressures))
    for name, value in fields.items():
        setattr(request, name, value)
    return len(watches.answer(received(request)).endpoints)


class TestInvalidLoad:
    """Guards against an invalid load of one host that stops all role changes.

    An entry host of another version reports its load without one of the fields. The sum
    over all hosts would fail, and with it the scan of the engines of every service.
    """

    @pytest.mark.parametrize("broken", BROKEN, ids=repr)
    def test_is_excluded_from_the_sum(
        self, watches: Watches, broken: ServicePressure
    ) -> None:
        sound = ServicePressure("model", 4, 500)
        assert ask(watches, broken, sound) == 1
        assert watches.pressure_of("model") == sound


@pytest.mark.parametrize("is_entry_host", [True, False])
class TestRemoval:
    """Guards against an acknowledged removal that a watching host never hears of."""

    def removed(self, watches: Watches, is_entry_host: bool) -> list[tuple[str, int]]:
        """Watch as a host without any state; return the starts that are removed."""
        request = WatchRequest(0, 0, 0, is_entry_host, "entry-1/1", 0, [])
        reply = watches.answer(received(request))
        return [(item.endpoint_id, item.started_at_ms) for item in reply.removals]

    def test_of_an_unknown_endpoint_is_told(
        self, watches: Watches, is_entry_host: bool
    ) -> None:
        watches._registry.remove_endpoint("unknown", 5000)
        assert self.removed(watches, is_entry_host) == [("unknown", 5000)]

    def test_of_an_unknown_start_of_a_known_endpoint_is_told(
        self, watches: Watches, is_entry_host: bool
    ) -> None:
        watches._registry.remove_endpoint("a", 5000)
        assert self.removed(watches, is_entry_host) == [("a", 5000)]

    def test_of_a_known_endpoint_is_told_beside_its_change(
        self, watches: Watches, is_entry_host: bool
    ) -> None:
        known = watches._registry.version
        watches._registry.remove_endpoint("a")
        assert self.removed(watches, is_entry_host) == [("a", 0)]
        [changed] = watches._registry.changes_since(known)[1]
        assert not changed.accepts_work


class TestWatchWithMissingFields:
    @pytest.mark.parametrize(
        "name",
        ["known_version", "wait_ms", "known_configuration_version", "pressures"],
    )
    def test_gets_everything_without_a_wait(self, watches: Watches, name: str) -> None:
        assert ask(watches, **{name: None}) == 1
        assert not watches.wait_until_confirmed(1, Deadline.after(0))


class TestUnreportedHosts:
    """Guards against a leader that grants the whole rate while hosts are cut off.

    The hosts of a cut-off availability zone spend their share of the account limits
    without the leader, so the accounts would exceed their limits.
    """

    def test_lower_the_share_until_they_report_again(
        self, watches: Watches, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = Clock()
        monkeypatch.setattr(_watches, "steady_seconds", clock.steady_seconds)
        assert watches.heard_share() == 1
        for host in ("near", "far"):
            ask(watches, watcher_id=f"{host}/1")
        clock.now += WATCHER_TIMEOUT_SECONDS - 0.5
        ask(watches, watcher_id="near/1")
        assert watches.heard_share() == 1
        clock.now += 1
        assert watches.heard_share() == 0.5
        # Another start of the same host.
        ask(watches, watcher_id="far/2")
        assert watches.heard_share() == 1

    def test_are_forgotten_once_they_count_as_removed(
        self, watches: Watches, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = Clock()
        monkeypatch.setattr(_watches, "steady_seconds", clock.steady_seconds)
        ask(watches, watcher_id="removed/1")
        clock.now += ENTRY_HOST_RETENTION_SECONDS + 1
        ask(watches, watcher_id="near/1")
        assert watches.heard_share() == 1

    def test_do_not_include_control_hosts(self, watches: Watches) -> None:
        ask(watches, watcher_id="control/1", is_entry_host=False)
        assert watches.heard_share() == 1


class TestFirstCrashOfAContent:
    """Guards against a crash that entry hosts don't learn of.

    Another host may have seen the same content run to completion, which it reports only
    if it learns of the crash.
    """

    def test_is_sent_to_entry_hosts(self, watches: Watches) -> None:
        crash_registry = CrashRegistry()
        watches._crash_registry = crash_registry
        crash = Crash("start-1", 0.0, 1.0)
        crash_registry.merge([CrashHistory("f" * 16, (crash,))])
        request = WatchRequest(0, 0, 0, True, "entry-1/1", 0, [])
        reply = watches.answer(received(request))
        assert [record.fingerprint for record in reply.crashes] == ["f" * 16]
