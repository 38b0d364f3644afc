"""Which contents are quarantined, depending on the crashes that hosts know."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import pytest

from jujubeslip.peers import RequestCrash
from jujubeslip.quarantine import (
    Crash,
    CrashHistory,
    CrashRegistry,
    _registry,
    to_crash_record,
    usable_histories,
)
from jujubeslip.quarantine._models import QUARANTINE_SECONDS, REMEMBERED_SECONDS
from jujubeslip.quarantine._registry import MAXIMUM_CONTENTS, MAXIMUM_CRASHES
from tests.fakes.broken_fields import received
from tests.fakes.clock import Clock

FATAL = "f" * 16
OTHER = "0" * 16
RUN_SECONDS = 0.1


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for module in (
        _registry,
        "jujubeslip.kernel._deadlines",
        "jujubeslip.quarantine._records",
    ):
        target = module if isinstance(module, str) else module.__name__
        monkeypatch.setattr(f"{target}.steady_seconds", clock.steady_seconds)
    return clock


def crash(start_id: str, crashed_at: float, ran_for: float = RUN_SECONDS) -> Crash:
    return Crash(start_id, crashed_at - ran_for, crashed_at)


def crashes(count: int, first_at: float, pause: float = 1.0) -> list[Crash]:
    return [crash(f"start-{n}", first_at + n * pause) for n in range(count)]


def record_all(
    registry: CrashRegistry, found: Sequence[Crash], content: str = FATAL
) -> None:
    for item in found:
        registry.record_crash(content, item)


def quarantined(registry: CrashRegistry) -> list[str]:
    return [history.fingerprint for history in registry.quarantined_contents()]


class TestReportedCrashTimes:
    """Guards against uncounted crashes, as network delays shift reported times."""

    def test_count_as_successive_crashes(self, clock: Clock) -> None:
        first = crash("first", clock.now)
        second = Crash("second", first.crashed_at, first.crashed_at + RUN_SECONDS)
        registry = CrashRegistry()
        for delay_seconds, known in ((0.004, (first,)), (0.001, (first, second))):
            record = to_crash_record(CrashHistory(FATAL, known))
            clock.now += delay_seconds
            registry.merge(usable_histories("host", [record]))
            clock.now += RUN_SECONDS
        history = registry.find(FATAL)
        assert history is not None
        assert history.count == 2

    def test_do_not_change_the_version_when_repeated(self, clock: Clock) -> None:
        registry = CrashRegistry()
        history = CrashHistory(FATAL, (crash("first", clock.now),))
        registry.merge([history])
        version = registry.version
        record = to_crash_record(history)
        for _ in range(3):
            clock.now += 0.002
            registry.merge(usable_histories("host", [record]))
        assert registry.version == version


class TestFatalContentQuarantine:
    def test_starts_at_the_third_crash(self, clock: Clock) -> None:
        registry = CrashRegistry()
        first, second, third = crashes(3, clock.now)
        record_all(registry, [first, second])
        assert quarantined(registry) == []
        record_all(registry, [third])
        assert quarantined(registry) == [FATAL]

    def test_expires_and_restarts_at_the_next_crash(self, clock: Clock) -> None:
        registry = CrashRegistry()
        record_all(registry, crashes(3, clock.now))
        clock.now += QUARANTINE_SECONDS + 3
        assert quarantined(registry) == []
        registry.record_crash(FATAL, crash("late", clock.now))
        assert quarantined(registry) == [FATAL]

    def test_is_forgotten_after_the_storage_time(self, clock: Clock) -> None:
        registry = CrashRegistry()
        record_all(registry, crashes(3, clock.now))
        clock.now += REMEMBERED_SECONDS + 3
        registry.forget_old()
        assert registry.is_empty


class TestHarmlessContent:
    """Guards against quarantining a content that only ran alongside a fatal one."""

    def test_two_crashes_are_not_enough(self, clock: Clock) -> None:
        registry = CrashRegistry()
        record_all(registry, crashes(2, clock.now))
        assert quarantined(registry) == []

    def test_a_complete_answer_clears_it(self, clock: Clock) -> None:
        registry = CrashRegistry()
        record_all(registry, crashes(2, clock.now))
        clock.now += 2
        assert registry.clear(FATAL)
        record_all(
            registry, [crash("start-8", clock.now + 1), crash("start-9", clock.now + 2)]
        )
        assert quarantined(registry) == []

    def test_equal_requests_at_endpoints_that_crash_together_count_once(
        self, clock: Clock
    ) -> None:
        registry = CrashRegistry()
        record_all(
            registry, [crash(f"start-{n}", clock.now + n / 1000) for n in range(5)]
        )
        assert quarantined(registry) == []

    def test_hosts_that_report_one_crash_count_once(self, clock: Clock) -> None:
        registry = CrashRegistry()
        for late in range(5):
            registry.record_crash(
                FATAL, crash("start-1", clock.now + late, ran_for=0.0)
            )
        assert quarantined(registry) == []

    def test_a_late_report_from_before_its_complete_answer_does_not_count(
        self, clock: Clock
    ) -> None:
        registry = CrashRegistry()
        found = crashes(3, clock.now)
        record_all(registry, found)
        clock.now += 5
        registry.clear(FATAL)
        record_all(registry, found)
        assert quarantined(registry) == []


class TestStorageLimits:
    def test_contents_are_limited_and_the_quarantined_one_is_kept(
        self, clock: Clock
    ) -> None:
        registry = CrashRegistry()
        record_all(registry, crashes(3, clock.now))
        for number in range(2 * MAXIMUM_CONTENTS):
            registry.record_crash(
                f"{number:016x}", crash("start-1", clock.now + number)
            )
        assert len(registry.changes_since(0)[1]) == MAXIMUM_CONTENTS
        assert quarantined(registry) == [FATAL]

    def test_crashes_of_a_content_are_limited(self, clock: Clock) -> None:
        registry = CrashRegistry()
        record_all(registry, crashes(50, clock.now))
        history = registry.find(FATAL)
        assert history is not None
        assert len(history.crashes) == MAXIMUM_CRASHES


class TestReportsBetweenHosts:
    def test_lead_to_the_same_histories_in_any_order(self, clock: Clock) -> None:
        reported = [CrashHistory(FATAL, (item,)) for item in crashes(4, clock.now)]
        reported.append(CrashHistory(FATAL, cleared_at=clock.now + 0.5))
        known = set()
        for order in itertools.permutations(reported):
            registry = CrashRegistry()
            registry.merge(order)
            history = registry.find(FATAL)
            assert history is not None
            known.add(history.crashes)
        # Clearing an unknown content changes nothing; one crash is not cleared then.
        assert {len(found) for found in known} <= {3, 4}

    def test_stop_without_changes(self, clock: Clock) -> None:
        """Guards against histories that circulate between hosts forever."""
        registries = [CrashRegistry() for _ in range(3)]
        record_all(registries[0], crashes(2, clock.now))
        clock.now += 3
        for _ in range(3):
            exchange_all(registries, clock, 0.05)
        registries[2].clear(FATAL)
        for _ in range(3):
            exchange_all(registries, clock, 0.05)
        versions = [registry.version for registry in registries]
        for _ in range(10):
            exchange_all(registries, clock, 0.05)
        assert [registry.version for registry in registries] == versions

    def test_entry_hosts_get_only_suspects(self, clock: Clock) -> None:
        registry = CrashRegistry()
        record_all(registry, crashes(1, clock.now), OTHER)
        record_all(registry, crashes(2, clock.now))
        assert registry.suspects_version == registry.version
        found = registry.changes_since(0, suspected_or_cleared_only=True)[1]
        assert [history.fingerprint for history in found] == [FATAL]
        assert len(registry.changes_since(0)[1]) == 2

    def test_a_record_can_be_read_by_the_receiver(self, clock: Clock) -> None:
        registry = CrashRegistry()
        record_all(registry, crashes(3, clock.now))
        clock.now += 10
        history = registry.find(FATAL)
        assert history is not None
        record = received(to_crash_record(history))
        (reported,) = usable_histories("host", [record])
        assert reported.count == 3
        assert reported.latest_at == pytest.approx(history.latest_at, abs=0.002)

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("fingerprint", None),
            ("fingerprint", "no hexadecimal"),
            ("crashes", [RequestCrash(None, 1, 1)]),
            ("crashes", [RequestCrash("start-1", 1, -1)]),
            ("cleared_ago_ms", -1),
        ],
    )
    def test_an_invalid_record_does_not_affect_others(
        self, clock: Clock, name: str, value: object
    ) -> None:
        registry = CrashRegistry()
        record_all(registry, crashes(3, clock.now))
        history = registry.find(FATAL)
        assert history is not None
        sound, broken = to_crash_record(history), to_crash_record(history)
        setattr(broken, name, value)
        found = list(usable_histories("host", [broken, sound]))
        assert [item.fingerprint for item in found] == [FATAL]


def exchange_all(
    registries: Sequence[CrashRegistry], clock: Clock, delay: float
) -> None:
    """Report all histories of each registry to each other one, after a delay."""
    for sender, receiver in itertools.permutations(registries, 2):
        _, histories = sender.changes_since(0)
        records = [to_crash_record(history) for history in histories]
        clock.now += delay
        receiver.merge(usable_histories("host", records))
