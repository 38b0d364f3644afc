"""Where an answer is placed: engines that differ, have turned slow, or are even."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from bench.replay._clock import VirtualClock
from jujubeslip.admission import _prefill_queue
from jujubeslip.admission._answer_lengths import lengths_of
from jujubeslip.admission._engine_pool import EnginePool
from jujubeslip.admission._engine_speed import TRY_AFTER_SECONDS
from jujubeslip.admission._memory_forecast import MemoryOptions
from jujubeslip.admission._models import GrantRequest
from jujubeslip.admission._placement import OTHER_ZONE_COST, Offer, Placement
from jujubeslip.admission._prefill_candidates import PrefillCandidates
from jujubeslip.admission._prefill_queue import PrefillQueue
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole
from jujubeslip.routes import EngineReport
from tests.admission.test_engine_speed import (
    EVENT_SECONDS,
    GROWTH_SECONDS,
    REPORT_SECONDS,
    Service,
    constant,
    noisy,
    service_of,
)
from tests.admission.test_prefill_queue import prompt
from tests.fakes.clock import Clock
from tests.fakes.engines import engine

MAXIMUM_GAP = 0.3
# Most answers at which an event takes no longer than the maximum gap.
MOST_ANSWERS = int((MAXIMUM_GAP - EVENT_SECONDS) / GROWTH_SECONDS)


def grant_request(events: int = 70, maximum_gap: float = MAXIMUM_GAP) -> GrantRequest:
    return GrantRequest(
        "request",
        1,
        prompt_tokens=5_000,
        event_tokens=65,
        lengths=lengths_of(2 * events, events),
        slots=1000,
        target_by=Deadline.after(1),
        limit=Deadline.after(1),
        reads_itself=False,
        availability_zone="zone-1",
        maximum_gap=maximum_gap,
    )


def offer_of(
    service: Service,
    name: str,
    answers: int = 6,
    zone: str = "zone-1",
    asks: GrantRequest | None = None,
    later: float = 0.0,
) -> Offer | None:
    start = replace(engine(name, availability_zone=zone))
    placement = Placement(service.speeds)
    return placement.offer(asks or grant_request(), start, answers, service.now + later)


def cost_of(service: Service, name: str, fill: float, zone: str = "zone-1") -> float:
    offer = offer_of(service, name, zone=zone)
    assert offer is not None
    return offer.cost(fill)


@pytest.fixture(scope="module")
def uneven() -> Service:
    service = service_of(*[constant(0.7)] * 4, *[constant(1.7)] * 2)
    service.run(8)
    return service


class TestEvenEngines:
    @pytest.mark.parametrize("is_noisy", [False, True])
    def test_are_chosen_by_memory_and_zone_alone(self, is_noisy: bool) -> None:
        speeds = [noisy(n) if is_noisy else constant(1.0) for n in range(8)]
        service = service_of(*speeds)
        service.run(20)
        for one in service.engines:
            assert offer_of(service, one.name) == Offer(1.0, 0.0)
            assert offer_of(service, one.name, zone="zone-2") == Offer(
                1.0, OTHER_ZONE_COST
            )

    def test_of_a_new_leader_are_chosen_by_memory_and_zone_alone(self) -> None:
        assert offer_of(service_of(), "e0") == Offer(1.0, 0.0)


class TestUnevenEngines:
    def test_a_fast_engine_may_be_fuller(self, uneven: Service) -> None:
        assert cost_of(uneven, "e5", fill=0.8) < cost_of(uneven, "e0", fill=0.5)
        assert cost_of(uneven, "e5", fill=0.9) > cost_of(uneven, "e0", fill=0.3)

    def test_zones_are_crossed_only_for_a_gain(self, uneven: Service) -> None:
        """Guards against answers that all leave their zone for a fast engine."""
        near = cost_of(uneven, "e0", fill=0.4)
        assert cost_of(uneven, "e5", fill=0.5, zone="zone-2") > near
        near = cost_of(uneven, "e0", fill=0.9)
        assert cost_of(uneven, "e5", fill=0.5, zone="zone-2") < near

    def test_an_answer_costs_more_at_an_engine_with_more(self, uneven: Service) -> None:
        few, many = (offer_of(uneven, "e0", answers=n) for n in (2, 20))
        assert few is not None
        assert many is not None
        assert many.cost(0.5) > few.cost(0.5)

    def test_short_answers_are_placed_by_memory(self, uneven: Service) -> None:
        """The difference is shorter than a pause that is still in time."""
        assert offer_of(uneven, "e0", asks=grant_request(events=5)) == Offer(1.0, 0.0)


class TestManyAtOnce:
    def test_are_spread_by_speed(self) -> None:
        """Guards against a burst that goes to the fastest engine alone."""
        with VirtualClock() as clock:
            pool = EnginePool("model", MemoryOptions(margin=0.05, safety_deviations=0))
            names = [f"e{n}" for n in range(6)]
            readers = [engine(f"r{n}", EndpointRole.PREFILL) for n in range(18)]
            pool.set_engines([engine(name) for name in names], readers)
            speeds = [constant(0.7)] * 4 + [constant(1.7)] * 2
            service = service_of(*speeds)
            for one in service.engines:
                one.answers = 1
            for _ in range(32):
                clock.now += REPORT_SECONDS
                for one in service.engines:
                    one.step(clock.now, REPORT_SECONDS)
                    pool.take_report(one.name, one.report())
            for reader in readers:
                pool.take_report(reader.start_id, PREFILL_REPORT)
            granted = Counter(granted_engine(pool, f"new-{n}") for n in range(18))
        fast = granted["e4"] + granted["e5"]
        slow = sum(granted[name] for name in names[:4])
        assert fast + slow == 18
        assert slow / 4 < fast / 2 <= 6
        assert slow >= 6


def granted_engine(pool: EnginePool, request_id: str) -> str:
    asks = replace(grant_request(), request_id=request_id)
    grant = pool.ask(asks, (), Deadline.after(0)).grant
    return grant.endpoint.endpoint_id if grant else "none"


class TestSlowEngines:
    @pytest.fixture(scope="class")
    def service(self) -> Service:
        service = service_of(constant(0.1), *[constant(1.0)] * 7)
        service.run(6)
        return service

    def test_get_no_further_answers(self, service: Service) -> None:
        assert offer_of(service, "e0", answers=0) is None
        assert offer_of(service, "e0", answers=6) is None
        assert offer_of(service, "e1") is not None

    def test_get_one_answer_at_a_time_to_see_their_recovery(
        self, service: Service
    ) -> None:
        later = TRY_AFTER_SECONDS + 0.1
        tried = offer_of(service, "e0", answers=0, later=later)
        assert tried is not None
        assert tried.time_factor == pytest.approx(1.0, abs=0.2)
        assert offer_of(service, "e0", answers=1, later=later) is None

    def test_at_most_a_quarter_is_left_out(self) -> None:
        service = service_of(*[constant(0.1)] * 3, *[constant(1.0)] * 5)
        service.run(6)
        offers = [offer_of(service, one.name, answers=0) for one in service.engines]
        assert offers.count(None) == 2

    def test_are_used_where_callers_state_no_pause(self, service: Service) -> None:
        asks = grant_request(maximum_gap=0.0)
        assert offer_of(service, "e0", asks=asks) is not None


class TestAnswersAtAnEngine:
    def test_one_more_must_not_delay_the_others_beyond_their_pause(self) -> None:
        service = service_of(*[constant(1.0)] * 4)
        for number, one in enumerate(service.engines):
            one.answers = 40 + 40 * number
        service.run(20)
        assert offer_of(service, "e0", answers=MOST_ANSWERS // 2) is not None
        assert offer_of(service, "e0", answers=2 * MOST_ANSWERS) is None
        assert offer_of(service, "e0", answers=0) is not None


class TestPrefillEngines:
    @pytest.fixture
    def clock(self, monkeypatch: pytest.MonkeyPatch) -> Clock:
        clock = Clock()
        monkeypatch.setattr(_prefill_queue, "steady_seconds", clock.steady_seconds)
        return clock

    def test_the_first_to_end_is_chosen_if_they_differ(self, clock: Clock) -> None:
        slow, fast = measured_queues(clock, 30_000, 30_000, 80_000)[1:]
        fast.add(prompt("running", 3_000))
        assert chosen([slow, slow, fast]) is fast

    def test_an_idle_one_is_chosen_if_they_are_even(self, clock: Clock) -> None:
        slow, fast = measured_queues(clock, 30_000, 40_000)
        fast.add(prompt("running", 3_000))
        assert all(chosen([slow, fast]) is slow for _ in range(10))

    def test_even_idle_ones_take_turns_at_random(self, clock: Clock) -> None:
        queues = measured_queues(clock, 30_000, 40_000)
        assert {id(chosen(queues)) for _ in range(50)} == {id(item) for item in queues}

    def test_one_that_has_turned_slow_is_tried_after_a_while(
        self, clock: Clock
    ) -> None:
        *others, slow = measured_queues(clock, 50_000, 50_000, 50_000, 8_000)
        for number, queue in enumerate(others):
            queue.add(prompt(f"running-{number}", 20_000))
        assert chosen([*others, slow]) is None
        clock.now += TRY_AFTER_SECONDS
        slow.take_report(PREFILL_REPORT)
        assert chosen([*others, slow]) is slow


PREFILL_REPORT = EngineReport(1, 0, 0, (), is_prefill_engine=True)


def measured_queues(clock: Clock, *speeds: float) -> list[PrefillQueue]:
    """Return idle queues after ten seconds of prompts at these speeds."""
    queues = [PrefillQueue(engine(f"reader-{n}")) for n in range(len(speeds))]
    for number in range(100):
        for queue, speed in zip(queues, speeds, strict=True):
            queue.add(prompt(str(number), int(speed / 10)))
        clock.now += 0.1
        for queue in queues:
            queue.note_prefilled(str(number), 1)
    for queue in queues:
        queue.take_report(PREFILL_REPORT)
    return queues


def chosen(queues: list[PrefillQueue]) -> PrefillQueue | None:
    return PrefillCandidates(tuple(queues)).next_except((), 5_000)
