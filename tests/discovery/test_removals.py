"""Removals that arrive among announcements of several starts."""

from __future__ import annotations

from dataclasses import replace

from jujubeslip.discovery import Endpoint, EndpointRegistry, Removal
from jujubeslip.discovery._models import REMOVAL_SECONDS
from jujubeslip.discovery._registry import STALE_START_SECONDS
from jujubeslip.kernel import steady_seconds
from jujubeslip.peers import RemovalScope
from tests.discovery.test_registry import endpoint

FIRST, SECOND = 1_700_000_000_000, 1_700_000_005_000


def start(started_at_ms: int, sequence: int = 1) -> Endpoint:
    return replace(endpoint(sequence), started_at_ms=started_at_ms)


def accepts_work(registry: EndpointRegistry) -> bool:
    found = registry.find("e")
    assert found is not None
    return found.accepts_work


class TestRemovalOfAnUnknownStart:
    """Guards against a removal that is dropped because another start is known."""

    def test_of_a_later_start_applies_once_that_is_announced(self) -> None:
        registry = EndpointRegistry()
        registry.merge([start(FIRST)])
        registry.remove_endpoint("e", SECOND)
        registry.merge([start(SECOND)])
        assert not accepts_work(registry)

    def test_of_a_later_start_applies_to_the_known_one(self) -> None:
        """A later start shows that the known one has ended."""
        registry = EndpointRegistry()
        registry.merge([start(FIRST)])
        version = registry.version
        registry.remove_endpoint("e", SECOND)
        assert not accepts_work(registry)
        [changed] = registry.changes_since(version)[1]
        assert not changed.accepts_work

    def test_of_a_later_start_applies_to_a_late_announcement(self) -> None:
        registry = EndpointRegistry()
        registry.remove_endpoint("e", SECOND)
        registry.merge([start(FIRST)])
        assert not accepts_work(registry)

    def test_of_a_later_start_ends_if_the_known_one_is_heard_from(self) -> None:
        """The clock of its host may have been set back between the two starts."""
        registry = EndpointRegistry()
        registry.merge([start(FIRST)])
        registry.remove_endpoint("e", SECOND)
        heard_at = steady_seconds() + REMOVAL_SECONDS + 1
        registry.merge([replace(start(FIRST, sequence=2), heard_at=heard_at)])
        assert accepts_work(registry)

    def test_from_another_host_applies_once_the_start_is_announced(self) -> None:
        registry, other = EndpointRegistry(), EndpointRegistry()
        registry.merge([start(FIRST)])
        other.remove_endpoint("e", SECOND)
        registry.apply_removals(other.removals_since(0))
        registry.merge([start(SECOND)])
        assert not accepts_work(registry)

    def test_of_an_earlier_start_applies_if_the_later_one_is_silent(self) -> None:
        registry = EndpointRegistry()
        registry.merge([start(FIRST)])
        registry.remove_endpoint("e", FIRST)
        silent_since = steady_seconds() - STALE_START_SECONDS - 1
        registry.merge([replace(start(SECOND), heard_at=silent_since)])
        registry.merge([start(FIRST, sequence=2)])
        assert not accepts_work(registry)


class TestRemovalsExchangedBetweenHosts:
    """Guards against hosts that keep sending each other the same removal."""

    def test_converge_on_the_latest(self) -> None:
        registries = (EndpointRegistry(), EndpointRegistry())
        now = steady_seconds()
        for registry, age in zip(registries, (10.0, 5.0), strict=True):
            removal = Removal("e", now - age, FIRST, scope=RemovalScope.LATEST_START)
            registry.apply_removals([removal])
        for _ in range(2):
            for sender, receiver in (registries, registries[::-1]):
                receiver.apply_removals(sender.removals_since(0))
        versions = [registry.version for registry in registries]
        for sender, receiver in (registries, registries[::-1]):
            receiver.apply_removals(sender.removals_since(0))
        assert [registry.version for registry in registries] == versions
        assert [
            registry.removals_since(0)[0].removed_at for registry in registries
        ] == [now - 5] * 2

    def test_of_unknown_starts_apply_to_the_known_start(self) -> None:
        registry, other = EndpointRegistry(), EndpointRegistry()
        registry.remove_endpoint("e")
        other.merge([start(FIRST)])
        other.apply_removals(registry.removals_since(0))
        assert not accepts_work(other)
        other.merge([start(SECOND)])
        assert accepts_work(other)


class TestRemovalThatNamesNoStart:
    """Guards against a removal that misses a start which only another host has heard.

    The host that receives it takes it for one of the earlier start that it knows.
    """

    def receive(self, age: float = 0.0) -> Removal:
        """Return the removal as another host, which knows the first start, has it."""
        other = EndpointRegistry()
        other.merge([start(FIRST)])
        removal = other.removal_of("e")
        return replace(removal, removed_at=removal.removed_at - age)

    def test_applies_to_a_later_start_that_ran_by_then(self) -> None:
        registry = EndpointRegistry()
        registry.merge([start(SECOND)])
        registry.apply_removals([self.receive()])
        assert not accepts_work(registry)
        registry.merge([start(SECOND, sequence=2)])
        assert not accepts_work(registry)

    def test_applies_to_a_later_start_that_is_renewed_before_it_arrives(self) -> None:
        registry = EndpointRegistry()
        registry.merge([start(SECOND)])
        removal = self.receive()
        registry.merge([start(SECOND, sequence=2)])
        registry.apply_removals([removal])
        assert not accepts_work(registry)

    def test_does_not_apply_to_a_start_after_it(self) -> None:
        registry = EndpointRegistry()
        registry.merge([start(FIRST)])
        registry.apply_removals([self.receive()])
        registry.merge([start(SECOND)])
        assert accepts_work(registry)

    def test_that_is_late_does_not_apply_to_a_start_after_it(self) -> None:
        registry = EndpointRegistry()
        registry.merge([start(SECOND)])
        registry.apply_removals([self.receive(age=5.0)])
        assert accepts_work(registry)

    def test_ends_for_a_start_that_goes_on(self) -> None:
        registry = EndpointRegistry()
        registry.merge([start(SECOND)])
        registry.apply_removals([self.receive()])
        heard_at = steady_seconds() + REMOVAL_SECONDS + 1
        registry.merge([replace(start(SECOND, sequence=2), heard_at=heard_at)])
        assert accepts_work(registry)

    def test_with_a_later_time_does_not_apply_to_a_start_after_it(self) -> None:
        """A control host that restarts knows the latest possible time only."""
        registry = EndpointRegistry()
        registry.merge([start(FIRST)])
        registry.apply_removals([self.receive(age=5.0)])
        registry.merge([start(SECOND)])
        registry.apply_removals([self.receive()])
        assert accepts_work(registry)

    def test_of_the_log_does_not_apply_to_a_later_start(self) -> None:
        registry = EndpointRegistry()
        registry.merge([start(SECOND)])
        registry.apply_removals([self.receive()], are_dated=False)
        assert accepts_work(registry)

    def test_leaves_a_later_start_in_use_after_a_restart_of_the_host(self) -> None:
        registry, report = EndpointRegistry(), start(SECOND)
        registry.apply_removals([self.receive()], are_dated=False)
        registry.merge([report])
        assert accepts_work(registry)
