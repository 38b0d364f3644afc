"""Which of two endpoints that announced the same address is in service."""

from __future__ import annotations

from dataclasses import replace

import pytest

from jujubeslip.discovery import Endpoint, EndpointRegistry, _registry
from jujubeslip.discovery._address_claims import MAXIMUM_DELAY_SECONDS
from jujubeslip.peers import EndpointRole
from tests.fakes.clock import Clock
from tests.fakes.engines import engine

ADDRESS = "10.1.64.19:8205"
CRASHED, SUCCESSOR = "i-gone", "i-next"


class TestAddressOfACrashedEngine:
    """Guards against grants to a crashed engine whose address another engine has.

    An engine crashes, and five seconds later another one starts at its address. A
    control host that was frozen meanwhile then reports a delayed announcement of the
    first engine. The leader considered it alive and, since the reports from its address
    showed an idle engine, granted it 25 streams in five seconds. All their prompts were
    prefilled, and the new engine refused each one.
    """

    @pytest.fixture
    def clock(self, monkeypatch: pytest.MonkeyPatch) -> Clock:
        clock = Clock()
        monkeypatch.setattr(_registry, "steady_seconds", clock.steady_seconds)
        return clock

    @staticmethod
    def announced_by(endpoint_id: str, at: float, sequence: int = 1) -> Endpoint:
        announced = replace(engine(endpoint_id), address=ADDRESS)
        return replace(announced, heard_at=at, sequence=sequence)

    @staticmethod
    def used_engines(registry: EndpointRegistry) -> list[str]:
        engines = registry.engines("model", EndpointRole.DECODE)
        assert {item.endpoint_id for item in engines} <= {
            item.endpoint_id for item in registry.endpoints()
        }
        return [item.endpoint_id for item in engines]

    def test_belongs_to_the_successor(self, clock: Clock) -> None:
        registry = EndpointRegistry()
        first = self.announced_by(CRASHED, clock.now)
        registry.merge([first])
        assert self.used_engines(registry) == [CRASHED]
        assert not registry.is_superseded(first)
        clock.now += 2
        registry.merge([self.announced_by(SUCCESSOR, clock.now)])
        assert self.used_engines(registry) == [SUCCESSOR]
        assert registry.is_superseded(first)
        assert registry.find_start(CRASHED) is None

    def test_is_not_reclaimed_by_a_late_announcement(self, clock: Clock) -> None:
        registry = EndpointRegistry()
        registry.merge([self.announced_by(CRASHED, clock.now)])
        clock.now += 2
        registry.merge([self.announced_by(SUCCESSOR, clock.now)])
        clock.now += 0.2
        registry.merge([self.announced_by(CRASHED, clock.now, sequence=2)])
        assert self.used_engines(registry) == [SUCCESSOR]

    def test_is_not_reclaimed_once_the_successor_is_silent(self, clock: Clock) -> None:
        """A partitioned zone gets no announcements and keeps its last state."""
        registry = EndpointRegistry()
        registry.merge([self.announced_by(CRASHED, clock.now)])
        clock.now += 2
        registry.merge([self.announced_by(SUCCESSOR, clock.now)])
        clock.now += 30
        assert [item.endpoint_id for item in registry.endpoints()] == [SUCCESSOR]

    def test_is_shared_with_an_engine_that_keeps_announcing_itself(
        self, clock: Clock
    ) -> None:
        """Another endpoint's announcement doesn't remove a running engine."""
        registry = EndpointRegistry()
        registry.merge([self.announced_by(CRASHED, clock.now)])
        clock.now += 2
        registry.merge([self.announced_by(SUCCESSOR, clock.now)])
        clock.now += MAXIMUM_DELAY_SECONDS + 1
        registry.merge([self.announced_by(CRASHED, clock.now, sequence=6)])
        assert CRASHED in self.used_engines(registry)

    def test_is_resolved_on_a_host_that_has_just_started(self, clock: Clock) -> None:
        """Both arrive in one update; the silent one has lost the address."""
        silent = self.announced_by(CRASHED, clock.now - 20)
        registry = EndpointRegistry()
        registry.merge([silent, self.announced_by(SUCCESSOR, clock.now)])
        assert [item.endpoint_id for item in registry.endpoints()] == [SUCCESSOR]

    def test_of_an_engine_that_moved_is_free_for_another(self, clock: Clock) -> None:
        registry = EndpointRegistry()
        first = self.announced_by(CRASHED, clock.now)
        registry.merge([first])
        registry.merge([replace(first, sequence=2, address="10.1.64.20:8205")])
        clock.now += 2
        registry.merge([self.announced_by(SUCCESSOR, clock.now)])
        assert sorted(self.used_engines(registry)) == [CRASHED, SUCCESSOR]
