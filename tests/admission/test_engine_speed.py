"""The measured speed of decode engines that differ, are slowed, or report nonsense."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

import pytest
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader, NumberDataPoint

from jujubeslip.admission._engine_speed import TRY_AFTER_SECONDS, DecodeSpeeds
from jujubeslip.admission._meters import observe_speeds
from jujubeslip.admission._models import MeasuredEngine
from jujubeslip.admission._speed_measure import (
    UNKNOWN_SPEED,
    EngineSpeed,
    SpeedMeasure,
)
from jujubeslip.kernel import steady_seconds
from jujubeslip.peers import EndpointRole
from jujubeslip.routes import EngineReport, RunningAnswer
from tests.fakes.engines import engine

CAPACITY = 61_605
REPORT_SECONDS = 0.25
# Time of an event with one answer, and its growth with each further answer, in seconds.
EVENT_SECONDS, GROWTH_SECONDS = 0.039, 0.0014

SpeedAt = Callable[[float], float]


@dataclass
class SimulatedEngine:
    """Adds events to its answers at a speed that depends on the time."""

    name: str
    speed_at: SpeedAt
    answers: int = 6
    events: float = 1.0
    slow_answer: int | None = None
    """Index of an answer that gets hardly any events."""

    def step(self, now: float, seconds: float) -> None:
        """Advance by this time."""
        event_seconds = EVENT_SECONDS + GROWTH_SECONDS * self.answers
        self.events += seconds * self.speed_at(now) / event_seconds

    def report(self) -> EngineReport:
        """Return its state now."""
        running = tuple(
            RunningAnswer(5_000, self._events_of(number), f"{self.name}-{number}")
            for number in range(self.answers)
        )
        return EngineReport(CAPACITY, 5_000 * self.answers, 0, running)

    def _events_of(self, number: int) -> int:
        return 1 + int(self.events / 50 if number == self.slow_answer else self.events)


@dataclass
class Service:
    """Engines whose reports are measured four times a second."""

    engines: list[SimulatedEngine]
    speeds: DecodeSpeeds = field(default_factory=DecodeSpeeds)
    now: float = 1000.0

    def run(self, seconds: float) -> None:
        """Run for this time."""
        for _ in range(round(seconds / REPORT_SECONDS)):
            self.now += REPORT_SECONDS
            for one in self.engines:
                one.step(self.now, REPORT_SECONDS)
                self.speeds.note_report(one.name, one.report(), self.now)

    def factor(self, name: str) -> float:
        """Return the measured speed of an engine."""
        return self.speeds.speed_of(name).factor


def constant(speed: float) -> SpeedAt:
    return lambda _: speed


def noisy(seed: int, speed: float = 1.0) -> SpeedAt:
    """Return a speed that is slowed 2.5 times in 15 % of the time, for 0.6 s each."""

    def speed_at(now: float) -> float:
        is_slowed = random.Random(f"{seed}-{int(now / 0.6)}").random() < 0.15
        return speed / 2.5 if is_slowed else speed

    return speed_at


def service_of(*speeds: SpeedAt) -> Service:
    return Service([SimulatedEngine(f"e{n}", speed) for n, speed in enumerate(speeds)])


class TestUnevenEngines:
    def test_speeds_are_measured_relative_to_the_median(self) -> None:
        service = service_of(*[constant(0.7)] * 4, *[constant(1.7)] * 2)
        service.run(6)
        assert service.factor("e0") == pytest.approx(1.0, abs=0.1)
        assert service.factor("e5") == pytest.approx(1.7 / 0.7, rel=0.1)
        assert service.speeds.are_uneven

    def test_an_engine_with_many_answers_is_not_slow(self) -> None:
        """Guards against a speed that only says how full an engine is."""
        service = service_of(*[constant(1.0)] * 4)
        for number, one in enumerate(service.engines):
            one.answers = 2 + 8 * number
        service.run(20)
        factors = [service.factor(one.name) for one in service.engines]
        assert max(factors) / min(factors) < 1.15
        assert not service.speeds.are_uneven

    def test_an_answer_at_an_engine_with_more_answers_takes_longer(self) -> None:
        service = service_of(*[constant(1.0)] * 4)
        for number, one in enumerate(service.engines):
            one.answers = 2 + 4 * number
        service.run(20)
        speed = service.speeds.speed_of("e0")
        few, many = (service.speeds.event_seconds(speed, n) for n in (2, 14))
        assert many - few == pytest.approx(12 * GROWTH_SECONDS, rel=0.5)

    def test_brief_slowdowns_hardly_ever_make_them_uneven(self) -> None:
        """Guards against a choice that follows noise: 1 % of the time at most."""
        uneven = []
        for seed in range(10):
            service = service_of(*[noisy(100 * seed + n) for n in range(12)])
            for _ in range(120):
                service.run(0.25)
                uneven.append(service.speeds.are_uneven)
        assert sum(uneven) <= 0.01 * len(uneven)

    def test_small_differences_do_not_alternate_the_choice(self) -> None:
        """Guards against a choice that changes with each report near the threshold."""
        speeds = [1.7]
        service = service_of(lambda _: speeds[0], *[constant(1.0)] * 5)
        service.run(10)
        assert service.speeds.are_uneven
        speeds[0] = 1.4
        for _ in range(40):
            service.run(0.25)
            assert service.speeds.are_uneven
        speeds[0] = 1.0
        service.run(20)
        assert not service.speeds.are_uneven
        speeds[0] = 1.4
        for _ in range(40):
            service.run(0.25)
            assert not service.speeds.are_uneven

    def test_one_slow_answer_does_not_make_an_engine_slow(self) -> None:
        service = service_of(*[constant(1.0)] * 4)
        service.engines[0].slow_answer = 2
        service.run(6)
        assert service.factor("e0") == pytest.approx(1.0, abs=0.1)


class TestChanges:
    def test_a_slow_engine_is_seen_within_two_seconds(self) -> None:
        slow_from = 1010.0
        turning = [lambda now: 0.2 if now > slow_from else 1.0]
        service = service_of(*turning, *[constant(1.0)] * 5)
        service.run(10)
        assert service.factor("e0") == pytest.approx(1.0, abs=0.1)
        service.run(2)
        assert service.factor("e0") < 0.5
        assert service.speeds.may_be_left_out("e0")

    def test_a_recovered_engine_is_seen_within_two_seconds(self) -> None:
        recovers_at = 1010.0
        recovering = [lambda now: 1.0 if now > recovers_at else 0.2]
        service = service_of(*recovering, *[constant(1.0)] * 5)
        service.run(10)
        assert service.factor("e0") < 0.3
        service.run(2)
        assert service.factor("e0") > 0.7

    def test_an_engine_without_progress_is_slow(self) -> None:
        stopped = [lambda now: 0.0 if now > 1010.0 else 1.0]
        service = service_of(*stopped, *[constant(1.0)] * 5)
        service.run(13)
        assert service.factor("e0") < 0.5

    def test_an_idle_slow_engine_is_tried_again(self) -> None:
        """Guards against an engine that is never used again after it was slow."""
        service = service_of(constant(0.2), *[constant(1.0)] * 5)
        service.run(5)
        at = service.now + TRY_AFTER_SECONDS
        speeds = service.speeds
        assert speeds.expected_speed("e0", 0, service.now).factor < 0.5
        assert speeds.expected_speed("e0", 0, at).factor == 1.0
        assert speeds.expected_speed("e0", 1, at).factor < 0.5

    def test_no_more_than_a_quarter_may_be_left_out(self) -> None:
        service = service_of(*[constant(0.1)] * 6, *[constant(1.0)] * 2)
        service.run(5)
        left_out = [
            one.name
            for one in service.engines
            if service.speeds.may_be_left_out(one.name)
        ]
        assert len(left_out) == 2


class TestUnknownSpeeds:
    def test_a_new_leader_knows_none(self) -> None:
        speed = DecodeSpeeds().speed_of("e0")
        assert speed.factor == 1.0
        assert speed.age(1000.0) == math.inf

    def test_a_later_start_begins_unknown(self) -> None:
        service = service_of(constant(0.2), *[constant(1.0)] * 5)
        service.run(5)
        service.speeds.retain_only({"e1", "e2", "e3", "e4", "e5"})
        assert service.factor("e0") == 1.0
        assert service.speeds.speed_of("e0").measured_at is None

    def test_a_service_with_one_engine_is_even(self) -> None:
        service = service_of(constant(0.3))
        service.run(5)
        assert service.factor("e0") == pytest.approx(1.0, abs=0.01)
        assert not service.speeds.are_uneven
        assert not service.speeds.may_be_left_out("e0")


class TestImplausibleReports:
    @pytest.mark.parametrize("events", [-5, 10**9])
    def test_impossible_counts_are_ignored(self, events: int) -> None:
        service = service_of(*[constant(1.0)] * 4)
        service.run(5)
        report = service.engines[0].report()
        running = tuple(
            RunningAnswer(1, item.events + events, item.request_id)
            for item in report.running
        )
        odd = EngineReport(CAPACITY, 0, 0, running)
        service.speeds.note_report("e0", odd, service.now + 0.25)
        assert service.factor("e0") == pytest.approx(1.0, abs=0.1)

    def test_a_report_from_the_past_is_ignored(self) -> None:
        service = service_of(*[constant(1.0)] * 4)
        service.run(5)
        before = service.speeds.speed_of("e0")
        service.engines[0].step(service.now, 5.0)
        report = service.engines[0].report()
        service.speeds.note_report("e0", report, service.now - 3600)
        after = service.speeds.speed_of("e0")
        assert after.measured_at == before.measured_at
        assert after.factor == pytest.approx(before.factor, abs=0.02)

    @pytest.mark.parametrize(
        ("expected", "observed"),
        [
            (0.0, 1.0),
            (-1.0, 1.0),
            (1.0, 0.0),
            (1.0, -1.0),
            (math.inf, 1.0),
            (1.0, math.inf),
            (math.nan, 1.0),
            (1.0, math.nan),
            (100.0, 1.0),
        ],
    )
    def test_a_measure_ignores_them(self, expected: float, observed: float) -> None:
        measure = SpeedMeasure()
        assert measure.observe(1.0, 1.0, 1000.0)
        assert not measure.observe(expected, observed, 1001.0)
        assert measure.ratio == 1.0
        assert measure.measured_at == 1000.0


class TestMeters:
    def test_show_the_speed_of_each_known_engine(self) -> None:
        reader = InMemoryMetricReader()
        measured = [
            MeasuredEngine(engine("e0"), EngineSpeed(0.4, steady_seconds() - 2)),
            MeasuredEngine(engine("e1", EndpointRole.PREFILL), UNKNOWN_SPEED),
        ]
        observe_speeds(lambda: measured, MeterProvider([reader]))
        speeds, ages = points_of(reader)
        assert speeds == {("e0", "decode"): 0.4, ("e1", "prefill"): 1.0}
        assert ages == {("e0", "decode"): pytest.approx(2, abs=0.5)}


def points_of(reader: InMemoryMetricReader) -> list[dict[tuple[str, str], float]]:
    data = reader.get_metrics_data()
    assert data is not None
    gauges = data.resource_metrics[0].scope_metrics[0].metrics
    return [dict(_points(gauge.data.data_points)) for gauge in gauges]


def _points(points: Iterable[object]) -> Iterator[tuple[tuple[str, str], float]]:
    for point in points:
        assert isinstance(point, NumberDataPoint)
        labels = point.attributes or {}
        yield (str(labels["endpoint"]), str(labels["role"])), point.value
