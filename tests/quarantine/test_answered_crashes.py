"""Crashes during an answer, which another content may have caused."""

from __future__ import annotations

import pytest

from jujubeslip.quarantine import (
    Crash,
    CrashHistory,
    CrashRegistry,
    _registry,
    to_crash_record,
    usable_histories,
)
from jujubeslip.quarantine._models import PROPAGATION_SECONDS, QUARANTINE_CRASHES
from tests.fakes.broken_fields import received
from tests.fakes.clock import Clock

FATAL, STREAM = "f" * 16, "0" * 16
RUN_SECONDS = 0.1


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for module in (
        _registry.__name__,
        "jujubeslip.kernel._deadlines",
        "jujubeslip.quarantine._records",
    ):
        monkeypatch.setattr(f"{module}.steady_seconds", clock.steady_seconds)
    return clock


def add_crash(
    registry: CrashRegistry, clock: Clock, content: str, number: int, answered: bool
) -> None:
    crash = Crash(f"start-{number}", clock.now - RUN_SECONDS, clock.now, answered)
    registry.record_crash(content, crash)


def quarantined(registry: CrashRegistry) -> list[str]:
    return [history.fingerprint for history in registry.quarantined_contents()]


def crash_with_stream(registry: CrashRegistry, clock: Clock) -> None:
    """Crash endpoints that answer a stream, but not yet the fatal content."""
    for number in range(QUARANTINE_CRASHES):
        clock.now += 1
        add_crash(registry, clock, STREAM, number, answered=True)
        add_crash(registry, clock, FATAL, number, answered=False)
    clock.now += 2 * PROPAGATION_SECONDS


class TestCrashDuringAnAnswer:
    def test_does_not_count_with_another_unanswered_content(self, clock: Clock) -> None:
        registry = CrashRegistry()
        crash_with_stream(registry, clock)
        assert quarantined(registry) == [FATAL]

    def test_counts_once_the_other_content_is_harmless(self, clock: Clock) -> None:
        """Guards against excusing a content by one that only waited concurrently."""
        registry = CrashRegistry()
        crash_with_stream(registry, clock)
        registry.clear(FATAL)
        assert quarantined(registry) == [STREAM]

    def test_counts_only_after_the_propagation_delay(self, clock: Clock) -> None:
        """Guards against a quarantine that a report in transit would prevent."""
        registry = CrashRegistry()
        for number in range(QUARANTINE_CRASHES):
            clock.now += 1
            add_crash(registry, clock, STREAM, number, answered=True)
        assert quarantined(registry) == []
        clock.now += 2 * PROPAGATION_SECONDS
        assert quarantined(registry) == [STREAM]

    def test_is_reported_as_answered(self, clock: Clock) -> None:
        """Guards against reports that don't say which content was being answered."""
        sender, receiver = CrashRegistry(), CrashRegistry()
        crash_with_stream(sender, clock)
        _, histories = sender.changes_since(0)
        records = [received(to_crash_record(history)) for history in histories]
        receiver.merge(usable_histories("host", records))
        assert quarantined(receiver) == [FATAL]

    def test_is_reported_as_unanswered_by_older_hosts(self, clock: Clock) -> None:
        crash = Crash("start-1", clock.now - RUN_SECONDS, clock.now, answered=True)
        record = to_crash_record(CrashHistory(STREAM, (crash,)))
        record.crashes[0].answered = None
        (reported,) = usable_histories("host", [received(record)])
        assert not reported.crashes[0].answered

    def test_is_merged_in_any_order_for_equal_requests(self, clock: Clock) -> None:
        """Guards against registries that depend on the order of reports."""
        for first_answered in (True, False):
            registry = CrashRegistry()
            add_crash(registry, clock, STREAM, 1, answered=first_answered)
            add_crash(registry, clock, STREAM, 1, answered=not first_answered)
            history = registry.find(STREAM)
            assert history is not None
            assert [crash.answered for crash in history.crashes] == [True]
