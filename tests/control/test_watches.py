"""What a control host makes of the watches of other hosts."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.control import _watches
from jujubeslip.control._watches import KNOWN_SECONDS, WATCHER_SECONDS, Watches
from jujubeslip.discovery import EndpointBook
from jujubeslip.kernel import Deadline
from jujubeslip.peers import ServicePressure, WatchRequest
from jujubeslip.quarantine import Crash, CrashBook, CrashHistory
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
    """Return the watches of a host that knows one endpoint."""
    book = EndpointBook()
    book.take([engine("a")])
    current = SimpleNamespace(revision=3)
    replica: Any = SimpleNamespace(
        machine=SimpleNamespace(configurations=SimpleNamespace(current=current)),
        lock=EndpointBook()._changed,
        leadership=None,
        hears_leader=False,
    )
    return Watches(replica, book, lambda: ["10.0.0.1:7000"])


def ask(watches: Watches, *pressures: ServicePressure, **fields: Any) -> int:
    """Ask as a host that knows nothing; return how many endpoints it is told of."""
    request = WatchRequest(0, 0, 0, True, "entry-1/1", 0, list(pressures))
    for name, value in fields.items():
        setattr(request, name, value)
    return len(watches.answer(received(request)).endpoints)


class TestBrokenLoad:
    """An entry host of another version tells of its load without one of the fields.

    The sum over all hosts would fail, and with it the look at the engines of every
    service: no engine is ordered to another role while that host watches.
    """

    @pytest.mark.parametrize("broken", BROKEN, ids=repr)
    def test_is_left_out_of_the_sum(
        self, watches: Watches, broken: ServicePressure
    ) -> None:
        sound = ServicePressure("model", 4, 500)
        assert ask(watches, broken, sound) == 1
        assert watches.pressure_of("model") == sound


class TestWatchThatLacksFields:
    @pytest.mark.parametrize(
        "name",
        ["known_version", "wait_ms", "known_configuration_version", "pressures"],
    )
    def test_is_told_all_and_holds_nobody_up(self, watches: Watches, name: str) -> None:
        assert ask(watches, **{name: None}) == 1
        assert not watches.wait_until_told(1, Deadline.after(0))


class TestHostsThatAreNotHeard:
    """A zone of hosts is cut off, and spends its part of accounts' limits by itself.

    A leader that let run the whole rate meanwhile would break the limits' bound.
    """

    def test_lower_the_share_until_they_are_back(
        self, watches: Watches, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = Clock()
        monkeypatch.setattr(_watches, "steady_seconds", clock.steady_seconds)
        assert watches.heard_share() == 1
        for host in ("near", "far"):
            ask(watches, watcher_id=f"{host}/1")
        clock.now += WATCHER_SECONDS - 0.5
        ask(watches, watcher_id="near/1")
        assert watches.heard_share() == 1
        clock.now += 1
        assert watches.heard_share() == 0.5
        # Another start of the same host.
        ask(watches, watcher_id="far/2")
        assert watches.heard_share() == 1

    def test_are_forgotten_when_they_were_taken_away(
        self, watches: Watches, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = Clock()
        monkeypatch.setattr(_watches, "steady_seconds", clock.steady_seconds)
        ask(watches, watcher_id="removed/1")
        clock.now += KNOWN_SECONDS + 1
        ask(watches, watcher_id="near/1")
        assert watches.heard_share() == 1

    def test_do_not_count_control_hosts(self, watches: Watches) -> None:
        ask(watches, watcher_id="control/1", is_entry_host=False)
        assert watches.heard_share() == 1


class TestCrashOfOneContent:
    """Guards against a content that another host saw run, and was not asked about."""

    def test_is_told_to_entry_hosts(self, watches: Watches) -> None:
        crash_book = CrashBook()
        watches._crash_book = crash_book
        crash = Crash("start-1", 0.0, 1.0)
        crash_book.take([CrashHistory("f" * 16, (crash,))])
        request = WatchRequest(0, 0, 0, True, "entry-1/1", 0, [])
        reply = watches.answer(received(request))
        assert [record.fingerprint for record in reply.crashes] == ["f" * 16]
