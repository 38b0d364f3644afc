"""Which start of an endpoint is valid, in whatever order announcements arrive."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from jujubeslip.discovery import (
    Endpoint,
    EndpointRegistry,
    _models,
    _registry,
    endpoint_from_record,
    to_record,
)
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole
from tests.fakes.clock import Clock

FIRST, SECOND, THIRD = 1_700_000_000_000, 1_700_000_005_000, 1_700_000_009_000


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(_registry, "steady_seconds", clock.steady_seconds)
    monkeypatch.setattr(_models, "steady_seconds", clock.steady_seconds)
    return clock


def announced(
    clock: Clock,
    started_at_ms: int,
    sequence: int = 1,
    leaving: bool = False,
    role: EndpointRole = EndpointRole.PLAIN,
) -> Endpoint:
    """Return an announcement that arrives now."""
    return Endpoint(
        endpoint_id="e",
        service_name="plain",
        address=f"10.0.0.1:{started_at_ms % 1000 + 80}",
        availability_zone="zone-1",
        sequence=sequence,
        leaving=leaving,
        slots=4,
        role=role,
        heard_at=clock.now,
        slow_until=Deadline.after(0),
        started_at_ms=started_at_ms,
    )


def known(registry: EndpointRegistry) -> Endpoint:
    found = registry.find("e")
    assert found is not None
    return found


class TestLaterStart:
    """Guards against ignoring a new start of an endpoint.

    The sequence of its announcements starts again at 1. If they were taken for late
    ones, they would have no effect until their sequence exceeds that of the previous
    start, and requests would go to the previous address.
    """

    def test_is_valid_although_its_sequence_is_lower(self, clock: Clock) -> None:
        registry = EndpointRegistry()
        registry.merge([announced(clock, FIRST, 700)])
        later = announced(clock, SECOND, 1, role=EndpointRole.DECODE)
        registry.merge([later])
        assert known(registry) == replace(later, restarted=True)

    def test_does_not_leave_with_the_previous_start(self, clock: Clock) -> None:
        registry = EndpointRegistry()
        registry.merge([announced(clock, FIRST, 700, leaving=True)])
        registry.remove_endpoint("e")
        registry.merge([announced(clock, SECOND)])
        assert known(registry).accepts_work

    def test_wakes_waiting_callers(self, clock: Clock) -> None:
        registry = EndpointRegistry()
        version = registry.merge([announced(clock, FIRST)])
        registry.merge([announced(clock, SECOND)])
        waited = Deadline.after(5)
        registry.wait_for_changes(version, lambda: False, waited)
        assert not waited.expired

    def test_has_another_start_id(self, clock: Clock) -> None:
        registry = EndpointRegistry()
        earlier = announced(clock, FIRST)
        registry.merge([earlier])
        assert registry.find_start(earlier.start_id) is not None
        registry.merge([announced(clock, SECOND)])
        assert registry.find_start(earlier.start_id) is None
        assert registry.is_superseded(earlier)


class TestEarlierStart:
    """Announcements from before an endpoint was killed arrive after its next start."""

    @pytest.mark.parametrize("leaving", [True, False])
    def test_does_not_change_the_later_start(self, clock: Clock, leaving: bool) -> None:
        registry = EndpointRegistry()
        later = announced(clock, SECOND)
        registry.merge([later])
        registry.merge([announced(clock, FIRST, 701, leaving)])
        assert known(registry) == replace(later, restarted=True)

    def test_removal_that_names_it_changes_nothing(self, clock: Clock) -> None:
        registry = EndpointRegistry()
        registry.merge([announced(clock, FIRST)])
        registry.merge([announced(clock, SECOND)])
        before = known(registry)
        registry.remove_endpoint("e", FIRST)
        assert known(registry) == before

    def test_without_a_start_time_precedes_all_others(self, clock: Clock) -> None:
        registry = EndpointRegistry()
        registry.merge([announced(clock, 0, 700)])
        registry.merge([announced(clock, FIRST)])
        registry.merge([announced(clock, 0, 701, leaving=True)])
        assert known(registry).started_at_ms == FIRST and known(registry).accepts_work


class TestClockSetBack:
    """Guards against ignoring a start permanently when its clock was set back.

    The new start reports an earlier time than the previous one, which has ended, and
    would otherwise get no requests as long as it runs.
    """

    def test_new_start_is_valid_once_the_other_is_silent(self, clock: Clock) -> None:
        registry = EndpointRegistry()
        registry.merge([announced(clock, SECOND, 700)])
        clock.now += _registry.STALE_START_SECONDS - 1
        registry.merge([announced(clock, FIRST, 29)])
        assert known(registry).started_at_ms == SECOND
        clock.now += 2
        registry.merge([announced(clock, FIRST, 31)])
        assert known(registry).started_at_ms == FIRST and known(registry).accepts_work

    def test_is_not_reverted_by_a_host_that_knows_the_other(self, clock: Clock) -> None:
        registry = EndpointRegistry()
        ended = announced(clock, SECOND, 700)
        clock.now += _registry.STALE_START_SECONDS + 1
        registry.merge([announced(clock, FIRST, 31)])
        registry.merge([ended])
        assert known(registry).started_at_ms == FIRST


class TestRemoval:
    """A removal without a start may be a delayed one of an earlier start.

    If it were ignored, a leaving endpoint would get requests until it exits. If it were
    final, it would keep a start out of service that it wasn't meant for.
    """

    def restarted(self, clock: Clock) -> EndpointRegistry:
        registry = EndpointRegistry()
        registry.merge([announced(clock, FIRST, 700)])
        registry.merge([announced(clock, SECOND, 1)])
        return registry

    def test_applies_at_once(self, clock: Clock) -> None:
        registry = self.restarted(clock)
        version = registry.version
        registry.remove_endpoint("e")
        assert not known(registry).accepts_work
        waited = Deadline.after(5)
        registry.wait_for_changes(version, lambda: False, waited)
        assert not waited.expired

    def test_ends_for_a_restarted_endpoint_that_keeps_running(
        self, clock: Clock
    ) -> None:
        registry = self.restarted(clock)
        registry.remove_endpoint("e")
        clock.now += _models.REMOVAL_SECONDS - 0.1
        registry.merge([announced(clock, SECOND, 5)])
        assert not known(registry).accepts_work
        clock.now += 0.2
        registry.merge([announced(clock, SECOND, 6)])
        assert known(registry).accepts_work

    def test_is_final_for_an_endpoint_without_earlier_start(self, clock: Clock) -> None:
        registry = EndpointRegistry()
        registry.merge([announced(clock, FIRST)])
        registry.remove_endpoint("e")
        clock.now += 2 * _models.REMOVAL_SECONDS
        registry.merge([announced(clock, FIRST, 9)])
        assert not known(registry).accepts_work

    def test_that_names_the_start_is_final(self, clock: Clock) -> None:
        registry = self.restarted(clock)
        registry.remove_endpoint("e", SECOND)
        clock.now += 2 * _models.REMOVAL_SECONDS
        registry.merge([announced(clock, SECOND, 9)])
        assert not known(registry).accepts_work

    def test_of_the_later_start_may_expire_first(self, clock: Clock) -> None:
        """Guards against a failure of the next removal of any endpoint."""
        registry = EndpointRegistry()
        for started_at_ms in (SECOND, FIRST):
            registry.remove_endpoint("e", started_at_ms)
        clock.now += _registry.RETENTION_SECONDS + 1
        registry.remove_endpoint("another", FIRST)
        removed_ids = [item.endpoint_id for item in registry.removals_since(0)]
        assert removed_ids == ["another"]

    def test_before_the_new_start_is_announced_does_not_apply_to_it(
        self, clock: Clock
    ) -> None:
        registry = EndpointRegistry()
        registry.merge([announced(clock, FIRST, 700)])
        registry.remove_endpoint("e")
        registry.merge([announced(clock, SECOND)])
        assert known(registry).accepts_work


def exchange_state(registries: tuple[EndpointRegistry, EndpointRegistry]) -> None:
    for _ in range(2):
        for sender, receiver in (registries, registries[::-1]):
            receiver.merge(
                endpoint_from_record(to_record(item)) for item in sender.endpoints()
            )


class TestStateExchangedBetweenHosts:
    def test_record_carries_the_start_and_its_removal(self, clock: Clock) -> None:
        registry = EndpointRegistry()
        registry.merge([announced(clock, FIRST)])
        registry.merge([announced(clock, SECOND)])
        clock.now += 1
        registry.remove_endpoint("e")
        clock.now += 2
        carried = endpoint_from_record(to_record(known(registry)))
        assert carried.start_id == known(registry).start_id
        assert carried.restarted and not carried.accepts_work
        assert carried.removed_at == pytest.approx(clock.now - 2)

    def test_record_of_a_host_without_start_times(self, clock: Clock) -> None:
        record = to_record(announced(clock, FIRST))
        record.started_at_ms = record.restarted = record.removed_ago_ms = None
        assert endpoint_from_record(record).start_id == "e"

    @pytest.mark.parametrize("seed", range(50))
    def test_converges_on_the_same_start_in_any_order(
        self, clock: Clock, seed: int
    ) -> None:
        """Two hosts receive the announcements in random order and exchange them."""
        chance = random.Random(seed)
        registries = (EndpointRegistry(), EndpointRegistry())
        events = [
            announced(clock, start, sequence, leaving=leaving)
            for start in (FIRST, SECOND, THIRD)
            for sequence, leaving in ((1, False), (2, False), (3, start != THIRD))
        ]
        chance.shuffle(events)
        for event in events:
            chance.choice(registries).merge([event])
        exchange_state(registries)
        for registry in registries:
            latest = known(registry)
            assert latest.started_at_ms == THIRD
            assert latest.sequence == 3 and latest.accepts_work
        version = registries[0].version
        assert registries[0].merge(registries[1].endpoints()) == version

    @pytest.mark.parametrize("seed", range(50))
    def test_converges_on_late_removals(self, clock: Clock, seed: int) -> None:
        """Removals of earlier starts arrive at either host between announcements."""
        chance = random.Random(seed)
        registries = (EndpointRegistry(), EndpointRegistry())
        calls: list[Endpoint | None] = [None, None]
        calls += [announced(clock, start, 2) for start in (FIRST, SECOND, THIRD)]
        chance.shuffle(calls)
        for call in calls:
            clock.now += chance.random()
            registry = chance.choice(registries)
            if call is None:
                registry.remove_endpoint("e")
            else:
                registry.merge([replace(call, heard_at=clock.now)])
        exchange_state(registries)
        assert known(registries[0]).accepts_work == known(registries[1]).accepts_work
        clock.now += _models.REMOVAL_SECONDS + 1
        chance.choice(registries).merge([announced(clock, THIRD, 3)])
        exchange_state(registries)
        for registry in registries:
            assert (
                known(registry).started_at_ms == THIRD and known(registry).accepts_work
            )
