"""The number of engines evaluated for a grant, and that the best one is found."""

from __future__ import annotations

import random

import pytest

from jujubeslip.admission import _engine_memory
from jujubeslip.admission._answer_lengths import lengths_of
from jujubeslip.admission._capacity_changes import CapacityChanges
from jujubeslip.admission._capacity_search import CapacitySearch
from jujubeslip.admission._engine_pool import MAXIMUM_TRIED, EnginePool
from jujubeslip.admission._memory_forecast import MemoryOptions
from jujubeslip.admission._models import Grant, GrantRequest
from jujubeslip.admission._placement import OTHER_ZONE_COST
from jujubeslip.admission._service_engines import ServiceEngines
from jujubeslip.kernel import Deadline
from jujubeslip.routes import EngineReport, RunningAnswer
from tests.fakes.engines import engine

CAPACITY = 34_000
EVENT_TOKENS, MAXIMUM_EVENTS = 13, 130
OPTIONS = MemoryOptions(margin=0.05, safety_deviations=1.5)
PREFILL_REPORT = EngineReport(CAPACITY, 0, 0, (), is_prefill_engine=True)


def grant_request(request_id: str, prompt_tokens: int = 3_200) -> GrantRequest:
    return GrantRequest(
        request_id,
        attempt=1,
        prompt_tokens=prompt_tokens,
        event_tokens=EVENT_TOKENS,
        lengths=lengths_of(MAXIMUM_EVENTS),
        slots=64,
        target_by=Deadline.after(30),
        limit=Deadline.after(30),
        reads_itself=False,
        availability_zone="zone-1",
        maximum_gap=0.3,
    )


def report(name: str, answers: int, prompt_tokens: int = 3_200) -> EngineReport:
    running = tuple(
        RunningAnswer(prompt_tokens + 60 * EVENT_TOKENS, 60, f"{name}-{number}")
        for number in range(answers)
    )
    used = sum(item.memory_tokens for item in running)
    return EngineReport(CAPACITY, used, 0, running)


class TestCapacityChanges:
    def test_yield_the_engines_changed_since(self) -> None:
        changes = CapacityChanges()
        for name in ("one", "two", "three"):
            changes.note(name)
        seen = changes.latest
        changes.note("two")
        assert list(changes.since(seen)) == ["two"]
        assert sorted(changes.since(0)) == ["one", "three", "two"]

    def test_drop_removed_engines(self) -> None:
        changes = CapacityChanges()
        changes.note("one")
        changes.note("two")
        changes.retain_only({"two"})
        assert list(changes.since(0)) == ["two"]


class TestBurst:
    """Guards against evaluating all engines for each request at each report.

    Seventy engines are full, hundreds of requests wait, and engines report all the
    time. An exhaustive search took the leader 31 ms of processor time for one grant.
    Hosts' calls waited for it, 68 hosts began to decide on their own, and in a larger
    deployment streams were late by seconds even under low load.
    """

    ENGINES, WAITING = 70, 400

    @pytest.fixture
    def pool(self) -> EnginePool:
        pool = EnginePool("model", OPTIONS)
        names = [f"engine-{number}" for number in range(self.ENGINES)]
        pool.set_engines([engine(name) for name in names], [engine("reader")])
        pool.take_report("reader", PREFILL_REPORT)
        for name in names:
            pool.take_report(name, report(name, 9))
        for number in range(self.WAITING):
            pool.ask(grant_request(f"request-{number}"), (), Deadline.after(0))
        return pool

    @pytest.fixture
    def forecasts(self, monkeypatch: pytest.MonkeyPatch) -> list[str]:
        """Return a list that collects the start of each engine that is forecast."""
        forecast_ids: list[str] = []
        original_profile = _engine_memory.EngineMemory.profile

        def profile(
            memory: _engine_memory.EngineMemory, waiting_request: GrantRequest
        ) -> _engine_memory.MemoryProfile:
            forecast_ids.append(memory.endpoint.start_id)
            return original_profile(memory, waiting_request)

        monkeypatch.setattr(_engine_memory.EngineMemory, "profile", profile)
        return forecast_ids

    def test_report_triggers_forecasts_of_its_engine_only(
        self, pool: EnginePool, forecasts: list[str]
    ) -> None:
        pool.take_report("engine-7", report("engine-7", 9))
        assert set(forecasts) == {"engine-7"}
        assert len(forecasts) <= MAXIMUM_TRIED

    def test_repeated_call_triggers_no_forecast(
        self, pool: EnginePool, forecasts: list[str]
    ) -> None:
        pool.ask(grant_request("request-3"), (), Deadline.after(0))
        pool.look_again()
        assert forecasts == []

    def test_free_capacity_is_granted_to_the_first_request(
        self, pool: EnginePool
    ) -> None:
        pool.take_report("engine-7", report("engine-7", 3))
        decision = pool.ask(grant_request("request-0"), (), Deadline.after(0))
        assert decision.grant is not None
        assert decision.grant.endpoint.endpoint_id == "engine-7"


class TestGrantedEngine:
    @pytest.mark.parametrize("seed", range(20))
    def test_equals_that_of_an_exhaustive_search(self, seed: int) -> None:
        generator = random.Random(seed)
        engines = ServiceEngines(OPTIONS)
        zones = {
            f"engine-{n}": generator.choice(["zone-1", "zone-2"]) for n in range(20)
        }
        engines.retain_only(
            [engine(name, availability_zone=zone) for name, zone in zones.items()],
            [engine("reader")],
        )
        engines.take_report("reader", PREFILL_REPORT)
        for name in zones:
            prompt_tokens = generator.randrange(500, 6_000)
            engines.take_report(
                name, report(name, generator.randrange(10), prompt_tokens)
            )
        waiting_request = grant_request("asks", generator.randrange(500, 6_000))

        def find(avoided: set[str]) -> Grant | None:
            search = CapacitySearch(waiting_request, avoided)
            return engines.find_grant(search, engines.prefill_candidates())

        costs = {
            name: grant.fill + (0.0 if zone == "zone-1" else OTHER_ZONE_COST)
            for name, zone in zones.items()
            if (grant := find(zones.keys() - {name})) is not None
        }
        found = find(set())
        assert (found is None) is (not costs)
        if found is not None:
            assert costs[found.endpoint.endpoint_id] == min(costs.values())
