"""Reported crashes of contents that the receiving host has seen run."""

from __future__ import annotations

import pytest

from jujubeslip.forwarding._quarantine import Quarantine
from jujubeslip.quarantine import Crash, CrashHistory, CrashRegistry, HarmlessContents
from jujubeslip.quarantine import _harmless_contents as harmless_contents_module
from jujubeslip.quarantine import _registry as registry_module
from jujubeslip.quarantine._harmless_contents import HARMLESS_SECONDS
from jujubeslip.quarantine._registry import MAXIMUM_UNSUSPECTED
from tests.fakes.clock import Clock

POLL = "0" * 16
RUN_SECONDS = 0.1


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for module in (
        registry_module.__name__,
        harmless_contents_module.__name__,
        "jujubeslip.kernel._deadlines",
    ):
        monkeypatch.setattr(f"{module}.steady_seconds", clock.steady_seconds)
    return clock


def crashes(clock: Clock, count: int) -> tuple[Crash, ...]:
    """Return crashes one after another, the latest of them now."""
    times = [clock.now - number for number in reversed(range(count))]
    return tuple(Crash(f"start-{at}", at - RUN_SECONDS, at) for at in times)


class Host:
    """An entry host's registries, and how often it has cleared a content."""

    def __init__(self) -> None:
        self.registry = CrashRegistry()
        self.harmless = HarmlessContents()
        Quarantine(self.registry, self.harmless)
        self.cleared = 0
        self.registry.set_cleared_callback(self._count)

    def _count(self) -> None:
        self.cleared += 1


class TestContentSeenRunByThisHost:
    """Guards against quarantining a content that another host has seen run."""

    @pytest.mark.parametrize("count", [1, 2, 3])
    def test_is_cleared_for_any_reported_count(self, clock: Clock, count: int) -> None:
        host = Host()
        host.harmless.note(POLL)
        clock.now += count
        host.registry.merge([CrashHistory(POLL, crashes(clock, count))])
        _, (history,) = host.registry.changes_since(0)
        assert not history.crashes
        assert host.cleared == 1

    def test_is_cleared_once_for_repeated_reports(self, clock: Clock) -> None:
        """Guards against hosts that report the same change to each other forever."""
        host = Host()
        host.harmless.note(POLL)
        found = crashes(clock, 1)
        for _ in range(5):
            clock.now += 1
            host.registry.merge([CrashHistory(POLL, found)])
        assert host.cleared == 1

    def test_is_not_cleared_after_it_expires(self, clock: Clock) -> None:
        """Guards against excusing a content that crashes a new endpoint version."""
        host = Host()
        host.harmless.note(POLL)
        clock.now += HARMLESS_SECONDS + 1
        host.registry.merge([CrashHistory(POLL, crashes(clock, 1))])
        assert host.cleared == 0

    def test_another_content_is_not_cleared(self, clock: Clock) -> None:
        host = Host()
        host.harmless.note("1" * 16)
        host.registry.merge([CrashHistory(POLL, crashes(clock, 3))])
        assert host.cleared == 0
        assert host.registry.quarantined_contents()


class TestReportsToEntryHosts:
    def test_suspects_and_the_latest_of_the_others(self, clock: Clock) -> None:
        """Guards against replies that grow with the contents run at an endpoint."""
        registry = CrashRegistry()
        registry.merge([CrashHistory(POLL, crashes(clock, 2))])
        others = [f"{number:016x}" for number in range(1, 2 * MAXIMUM_UNSUSPECTED)]
        for content in others:
            clock.now += 1
            registry.merge([CrashHistory(content, crashes(clock, 1))])
        version, found = registry.changes_for_entry_host(0)
        reported = {history.fingerprint for history in found}
        assert reported == {POLL, *others[-MAXIMUM_UNSUSPECTED:]}
        assert registry.changes_for_entry_host(version) == (version, [])
