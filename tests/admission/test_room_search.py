"""How many engines are looked at for a grant, and that none better is missed."""

from __future__ import annotations

import random

import pytest

from jujubeslip.admission import _engine_memory
from jujubeslip.admission._engines import OTHER_ZONE_COST, ServiceEngines
from jujubeslip.admission._lengths import lengths_of
from jujubeslip.admission._memory_forecast import MemoryOptions
from jujubeslip.admission._models import Applicant, Grant
from jujubeslip.admission._pool import MAXIMUM_TRIED, EnginePool
from jujubeslip.admission._room_changes import CapacityChanges
from jujubeslip.admission._room_search import CapacitySearch
from jujubeslip.kernel import Deadline
from jujubeslip.routes import EngineReport, RunningAnswer
from tests.fakes.engines import engine

CAPACITY = 34_000
EVENT_TOKENS, MAXIMUM_EVENTS = 13, 130
OPTIONS = MemoryOptions(margin=0.05, caution=1.5)
PREFILL_REPORT = EngineReport(CAPACITY, 0, 0, (), reads_prompts=True)


def grant_request(request_id: str, prompt_tokens: int = 3_200) -> Applicant:
    return Applicant(
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


class TestRoomChanges:
    def test_tell_the_engines_that_changed_since(self) -> None:
        changes = CapacityChanges()
        for name in ("one", "two", "three"):
            changes.note(name)
        seen = changes.latest
        changes.note("two")
        assert list(changes.since(seen)) == ["two"]
        assert sorted(changes.since(0)) == ["one", "three", "two"]

    def test_forget_engines_that_are_gone(self) -> None:
        changes = CapacityChanges()
        changes.note("one")
        changes.note("two")
        changes.retain_only({"two"})
        assert list(changes.since(0)) == ["two"]


class TestBurst:
    """Seventy engines are full, hundreds wait, and engines report all the time.

    Callers of a larger deployment saw their streams late by seconds on a calm day, too.
    At each report the leader looked at all engines for each of the first requests; that
    took 31 ms of its processor for one grant, hosts' calls waited for it, and 68 hosts
    began to decide by themselves beside it.
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
        """Return what names each engine whose memory is forecast from now on."""
        asked: list[str] = []
        whole = _engine_memory.EngineMemory.profile

        def profile(
            memory: _engine_memory.EngineMemory, asking: Applicant
        ) -> _engine_memory.MemoryProfile:
            asked.append(memory.endpoint.start_id)
            return whole(memory, asking)

        monkeypatch.setattr(_engine_memory.EngineMemory, "profile", profile)
        return asked

    def test_a_report_is_a_reason_to_look_at_its_engine_only(
        self, pool: EnginePool, forecasts: list[str]
    ) -> None:
        pool.take_report("engine-7", report("engine-7", 9))
        assert set(forecasts) == {"engine-7"}
        assert len(forecasts) <= MAXIMUM_TRIED

    def test_one_that_asks_on_is_no_reason_to_look(
        self, pool: EnginePool, forecasts: list[str]
    ) -> None:
        pool.ask(grant_request("request-3"), (), Deadline.after(0))
        pool.look_again()
        assert forecasts == []

    def test_room_goes_to_the_first_one_at_once(self, pool: EnginePool) -> None:
        pool.take_report("engine-7", report("engine-7", 3))
        decision = pool.ask(grant_request("request-0"), (), Deadline.after(0))
        assert decision.grant is not None
        assert decision.grant.endpoint.endpoint_id == "engine-7"


class TestCheapestEngine:
    @pytest.mark.parametrize("seed", range(20))
    def test_is_the_one_that_a_look_at_all_of_them_finds(self, seed: int) -> None:
        draw = random.Random(seed)
        engines = ServiceEngines(OPTIONS)
        zones = {f"engine-{n}": draw.choice(["zone-1", "zone-2"]) for n in range(20)}
        engines.retain_only(
            [engine(name, availability_zone=zone) for name, zone in zones.items()],
            [engine("reader")],
        )
        engines.take_report("reader", PREFILL_REPORT)
        for name in zones:
            prompt_tokens = draw.randrange(500, 6_000)
            engines.take_report(name, report(name, draw.randrange(10), prompt_tokens))
        asking = grant_request("asks", draw.randrange(500, 6_000))

        def find(avoided: set[str]) -> Grant | None:
            search = CapacitySearch(asking, avoided)
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
