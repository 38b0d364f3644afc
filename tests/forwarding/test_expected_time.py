"""Which plain endpoint the policy `expected-time` takes."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace

import pytest

from jujubeslip.discovery import Endpoint, EndpointRegistry, SlowEndpoint, _registry
from jujubeslip.forwarding import _answer_times, _choice, _health
from jujubeslip.forwarding._choice import Chooser, LeastCost
from jujubeslip.forwarding._expected_time import TRY_SHARE
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.forwarding._policies import ExpectedTime, policies
from jujubeslip.kernel import Deadline, _deadlines
from jujubeslip.peers import EndpointRole
from tests.fakes.clock import Clock
from tests.fakes.engines import engine

OWN, SECOND, THIRD = "zone-1", "zone-2", "zone-3"
TARGET = 0.155
USUAL = 0.022
CHOICES = 2000
SILENCE_SECONDS = 5.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for module in (_deadlines, _health, _choice, _registry):
        monkeypatch.setattr(module, "steady_seconds", clock.steady_seconds)
    defaults = (clock.steady_seconds,)
    for kind in (_answer_times.AnswerTimes, _health.SharedAnswerTimes, _health.SlowLog):
        monkeypatch.setattr(kind.__init__, "__defaults__", defaults)
    return clock


def plain(zone: str, role: EndpointRole = EndpointRole.PLAIN) -> Endpoint:
    """Return an endpoint that was announced when the test's clock began."""
    return replace(
        engine(zone, role, availability_zone=zone),
        address=f"10.0.0.{zone[-1]}:80",
        heard_at=Clock().now,
        slow_until=Deadline(Clock().now),
    )


ENDPOINTS = [plain(OWN), plain(SECOND), plain(THIRD)]


@pytest.fixture
def health(clock: Clock) -> EndpointHealth:
    """Return the health of three endpoints that have answered as usual."""
    health = EndpointHealth()
    for zone in (OWN, SECOND, THIRD):
        answer(health, clock, zone, *[USUAL] * 5)
    return health


def answer(
    health: EndpointHealth, clock: Clock, start_id: str, *seconds: float
) -> None:
    health.answer_times.note_service(start_id, "model")
    for taken in seconds:
        with health.track_request(start_id):
            clock.now += taken
        health.note_success(start_id)


def shares(
    health: EndpointHealth, endpoints: Sequence[Endpoint] = ENDPOINTS
) -> dict[str, float]:
    policy = ExpectedTime(health, OWN, random.Random(1))
    counts = Counter(
        policy.choose(endpoints, TARGET).endpoint_id for _ in range(CHOICES)
    )
    return {zone: counts[zone] / CHOICES for zone in (OWN, SECOND, THIRD)}


class TestEvenEndpoints:
    """Guards against decisions that change where nothing measured differs."""

    def test_choice_is_that_of_least_cost(
        self, health: EndpointHealth, clock: Clock
    ) -> None:
        draw = random.Random(2)
        policy, least_cost = ExpectedTime(health, OWN), LeastCost(health, OWN)
        for _ in range(200):
            start_id = draw.choice((OWN, SECOND, THIRD))
            answer(health, clock, start_id, USUAL * draw.uniform(0.7, 1.4))
            if draw.random() < 0.3:
                health.note_failure(start_id)
            costs = [least_cost.cost(item) for item in ENDPOINTS]
            chosen = policy.choose(ENDPOINTS, TARGET)
            assert least_cost.cost(chosen) == min(costs)

    def test_without_measurements_too(self, clock: Clock) -> None:
        assert shares(EndpointHealth()) == {OWN: 1.0, SECOND: 0.0, THIRD: 0.0}

    def test_single_endpoint_is_taken_however_slow(
        self, health: EndpointHealth, clock: Clock
    ) -> None:
        answer(health, clock, OWN, 1.0, 1.0)
        assert shares(health, ENDPOINTS[:1])[OWN] == 1.0

    def test_equal_ones_share_requests_at_random(
        self, health: EndpointHealth, clock: Clock
    ) -> None:
        assert shares(health, ENDPOINTS[1:])[SECOND] == pytest.approx(0.5, abs=0.05)

    def test_engines_are_chosen_as_before(
        self, health: EndpointHealth, clock: Clock
    ) -> None:
        answer(health, clock, OWN, 5.0, 5.0)
        engines = [plain(zone, EndpointRole.DECODE) for zone in (OWN, SECOND)]
        assert shares(health, engines)[OWN] == 1.0


class TestSlowEndpoint:
    """Guards against an endpoint that is several times slower and keeps its work."""

    def test_work_goes_to_the_others(
        self, health: EndpointHealth, clock: Clock
    ) -> None:
        answer(health, clock, OWN, *[8 * USUAL] * 3)
        found = shares(health)
        assert 0 < found[OWN] <= 2 * TRY_SHARE
        assert found[SECOND] == pytest.approx(found[THIRD], abs=0.06)

    def test_saving_below_the_price_of_a_crossing_is_not_worth_it(
        self, health: EndpointHealth, clock: Clock
    ) -> None:
        # 0.15 of the target is 23 ms, twice the usual time saves 22 ms.
        answer(health, clock, OWN, *[2 * USUAL] * 3)
        assert shares(health)[OWN] == 1.0

    def test_more_requests_leave_the_longer_it_takes(
        self, health: EndpointHealth, clock: Clock
    ) -> None:
        answer(health, clock, OWN, *[3 * USUAL] * 3)
        some = shares(health)[OWN]
        answer(health, clock, OWN, *[4.5 * USUAL] * 3)
        assert 1 > some > shares(health)[OWN] > 2 * TRY_SHARE

    def test_all_slow_ones_share_as_before(
        self, health: EndpointHealth, clock: Clock
    ) -> None:
        for zone in (OWN, SECOND, THIRD):
            answer(health, clock, zone, *[5 * USUAL] * 3)
        assert shares(health)[OWN] > 0.9

    def test_it_is_tried_and_used_when_it_is_well(
        self, health: EndpointHealth, clock: Clock
    ) -> None:
        answer(health, clock, OWN, *[8 * USUAL] * 3)
        shares(health)
        answer(health, clock, OWN, USUAL, USUAL)
        clock.now += 1.5
        assert shares(health)[OWN] == 1.0

    def test_log_tells_when(
        self,
        health: EndpointHealth,
        clock: Clock,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        caplog.set_level("INFO")
        answer(health, clock, OWN, *[8 * USUAL] * 3)
        shares(health)
        assert health.slow_log.count == 1
        answer(health, clock, OWN, *[USUAL] * 3)
        clock.now += 1.5
        shares(health)
        assert health.slow_log.count == 0
        lines = [
            item.message for item in caplog.records if "considered" in item.message
        ]
        assert lines == ["endpoint considered slow", "endpoint considered well again"]


class TestWhatOtherHostsReport:
    """Guards against each host that has to find a slow endpoint by itself."""

    def test_slow_endpoint_is_left_without_own_answers(
        self, health: EndpointHealth, clock: Clock
    ) -> None:
        listed = [SlowEndpoint(OWN, 8 * USUAL, 0.0)]
        health.shared_times.apply("control", listed)
        assert shares(health)[OWN] <= 2 * TRY_SHARE

    def test_no_request_crosses_to_a_slow_one(
        self, health: EndpointHealth, clock: Clock
    ) -> None:
        health.shared_times.apply("control", [SlowEndpoint(SECOND, 8 * USUAL, 0.0)])
        assert shares(health, ENDPOINTS[1:])[SECOND] <= 2 * TRY_SHARE

    def test_endpoint_that_fails_in_part_gets_less(
        self, health: EndpointHealth, clock: Clock
    ) -> None:
        health.shared_times.apply("control", [SlowEndpoint(OWN, 0.0, 0.45)])
        assert shares(health)[OWN] <= 2 * TRY_SHARE

    def test_one_of_three_control_hosts_changes_nothing(
        self, health: EndpointHealth, clock: Clock
    ) -> None:
        health.shared_times.apply("control-1", [SlowEndpoint(OWN, 9.0, 1.0)])
        health.shared_times.apply("control-2", [])
        health.shared_times.apply("control-3", [])
        assert shares(health)[OWN] == 1.0

    def test_old_list_does_not_count(
        self, health: EndpointHealth, clock: Clock
    ) -> None:
        health.shared_times.apply("control", [SlowEndpoint(OWN, 9.0, 1.0)])
        clock.now += 3
        assert shares(health)[OWN] == 1.0


class TestChooser:
    """Guards against a chooser that passes over what the policy needs."""

    def test_takes_the_policy_of_the_settings(
        self, health: EndpointHealth, clock: Clock
    ) -> None:
        answer(health, clock, OWN, *[40 * USUAL] * 3)
        registry = EndpointRegistry()
        registry.merge(ENDPOINTS)
        policy = policies.get("expected-time")(health, OWN)
        chooser = Chooser(registry, health, policy, SILENCE_SECONDS)
        chosen = [chooser.choose("model", EndpointRole.PLAIN, ()) for _ in range(40)]
        assert None not in chosen
        assert sum(item == ENDPOINTS[0] for item in chosen) < 10
        excluded = {item.start_id for item in ENDPOINTS[1:]}
        assert chooser.choose("model", EndpointRole.PLAIN, excluded) == ENDPOINTS[0]
        in_zone = chooser.choose_in_zone("model", EndpointRole.PLAIN, (), OWN)
        assert in_zone == ENDPOINTS[0]
