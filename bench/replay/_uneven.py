"""Simulates engines of uneven speed in four zones whose demand rises in turn.

Speeds of 0.7, 0.7 and 1.7; each engine is slowed 2.5 times in 15 % of the time, for
0.6 s each; one turns five times slower for some seconds; half are replaced, one after
the other. Compares ways to place answers at decode engines.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, replace

from bench.replay._engines import DecodeEngine, PrefillEngine, SpeedAt
from bench.replay._patterns import LONG_ANSWERS, Loss, Pattern
from bench.replay._simulation import (
    STEP_SECONDS,
    Answer,
    DecisionOptions,
    Simulation,
    _Request,
)
from jujubeslip.admission import MemoryOptions, WaitingOptions
from jujubeslip.admission._engine_pool import EnginePool
from jujubeslip.admission._engine_speed import DecodeSpeeds
from jujubeslip.admission._models import Grant, GrantRequest
from jujubeslip.admission._placement import OTHER_ZONE_COST, Offer, Placement
from jujubeslip.admission._service_engines import ServiceEngines
from jujubeslip.discovery import Endpoint

ZONES = ("zone-1", "zone-2", "zone-3", "zone-4")
UNEVEN, EVEN = (0.7, 0.7, 1.7), (1.0, 1.0, 1.0)
# Share of the time in which an engine is slowed, for how long, and to which speed.
SLOWED_SHARE, SLOWED_SECONDS, SLOWED_SPEED = 0.15, 0.6, 0.4
# The demand of each zone, as a share of what its engines bear, and the time for which
# the higher one stays in a zone.
LOW_DEMAND, HIGH_DEMAND, WAVE_SECONDS = 0.8, 1.2, 4.0
# Answers that an engine of speed 1 completes in a second with nearly full memory.
ANSWERS_PER_SECOND = 2.0
# An engine that turns slow: its name, speed and span in seconds.
SLOW_ENGINE, SLOW_SPEED, SLOW_FROM, SLOW_UNTIL = "engine-2", 0.2, 12.0, 20.0

WORKLOAD = replace(
    LONG_ANSWERS,
    capacity_tokens=61_605,
    log_prompt_tokens=math.log(5_000),
    log_events=math.log(65),
    log_deviations=(0.2, 0.3),
)
CALM = Pattern("uneven", 12, 4, 1.0, workload=WORKLOAD)
RELEASE = tuple(
    Loss(8.0 + 2.0 * number, 1.0, decode_engines=1, is_announced=True)
    for number in range(6)
)


@dataclass(frozen=True)
class UnevenPattern:
    """The speeds and faults of a pattern."""

    name: str
    speeds: tuple[float, ...] = UNEVEN
    has_slow_engine: bool = False
    losses: tuple[Loss, ...] = ()
    load_factor: float = 1.0
    is_noisy: bool = True
    seconds: float = 28.0


UNEVEN_PATTERNS = (
    UnevenPattern("even", EVEN),
    UnevenPattern("uneven"),
    UnevenPattern("uneven, 0.8 of the load", load_factor=0.8),
    UnevenPattern("uneven, 1.5 of the load", load_factor=1.5),
    UnevenPattern("one turns five times slower", EVEN, has_slow_engine=True),
    UnevenPattern("uneven, one turns slower", has_slow_engine=True),
    UnevenPattern("uneven, half replaced", losses=RELEASE),
)


class PlacementByMemory(Placement):
    """Places answers by the fill of the memory alone."""

    def offer(
        self, grant_request: GrantRequest, engine: Endpoint, answers: int, now: float
    ) -> Offer | None:
        """Return the terms at any engine."""
        same_zone = engine.availability_zone == grant_request.availability_zone
        return Offer(1.0, 0.0 if same_zone else OTHER_ZONE_COST)


class LeastOutstanding(PlacementByMemory):
    """Places answers at the engine with the fewest."""

    def offer(
        self, grant_request: GrantRequest, engine: Endpoint, answers: int, now: float
    ) -> Offer | None:
        """Return the terms: one answer costs as much as an eighth of the memory."""
        base = super().offer(grant_request, engine, answers, now)
        assert base is not None
        return Offer(0.0, base.zone_cost + answers / 8)


class LatencyWeighted(LeastOutstanding):
    """Places answers by the fewest times the time of an event."""

    def offer(
        self, grant_request: GrantRequest, engine: Endpoint, answers: int, now: float
    ) -> Offer | None:
        """Return the terms: one more answer, weighted by the speed of the engine."""
        speed = self._speeds.speed_of(engine.start_id).factor
        base = super().offer(grant_request, engine, answers, now)
        assert base is not None
        return Offer(0.0, base.zone_cost + (answers + 1) / 8 / speed)


WAYS: dict[str, type[Placement]] = {
    "fill of the memory": PlacementByMemory,
    "least outstanding": LeastOutstanding,
    "latency-weighted": LatencyWeighted,
    "expected end": Placement,
}


class UnevenSimulation(Simulation):
    """One simulation of a pattern with one way to place answers."""

    def __init__(self, uneven: UnevenPattern, way: type[Placement], seed: int) -> None:
        self._uneven, self._way, self._seed = uneven, way, seed
        self.served_by_zone: Counter[str] = Counter()
        self.requested_by_zone: Counter[str] = Counter()
        self.served_by_second: Counter[int] = Counter()
        self.requested_by_second: Counter[int] = Counter()
        self.crossings = 0
        self.held_token_seconds = 0.0
        rate = 12 / len(UNEVEN) * sum(uneven.speeds) * ANSWERS_PER_SECOND
        pattern = replace(
            CALM,
            streams_per_second=rate * uneven.load_factor,
            losses=uneven.losses,
            seconds=uneven.seconds,
        )
        options = DecisionOptions(MemoryOptions(0.05, 1.5), WaitingOptions(0.3, 0.3))
        super().__init__(pattern, options, seed)

    @property
    def worst_zone(self) -> float:
        """Return the share in time in the worst-served zone."""
        return min(
            self.served_by_zone[zone] / self.requested_by_zone[zone] for zone in ZONES
        )

    @property
    def worst_second(self) -> float:
        """Return the share in time among the requests of the worst second."""
        return min(
            self.served_by_second[second] / requested
            for second, requested in self.requested_by_second.items()
            if requested >= 10
        )

    def _new_pool(self, memory: MemoryOptions, waiting: WaitingOptions) -> EnginePool:
        pool = EnginePool("model", memory, waiting)
        pool._engines = ServiceEngines(memory, self._placement)
        return pool

    def _placement(self, speeds: DecodeSpeeds) -> Placement:
        return self._way(speeds)

    def _zone_of(self, name: str) -> str:
        # Three decode engines a zone, and one prefill engine.
        number = int(name.rsplit("-", 1)[1])
        return ZONES[(number // len(UNEVEN)) % len(ZONES)]

    def _new_decode_engine(self, name: str) -> DecodeEngine:
        engine = super()._new_decode_engine(name)
        engine.speed_at = self._speed_of(name)
        return engine

    def _new_prefill_engine(self, name: str) -> PrefillEngine:
        engine = super()._new_prefill_engine(name)
        engine.speed_at = self._speed_of(name)
        return engine

    def _speed_of(self, name: str) -> SpeedAt:
        number = int(name.rsplit("-", 1)[1])
        usual = self._uneven.speeds[number % len(self._uneven.speeds)]
        is_slow_one = self._uneven.has_slow_engine and name == SLOW_ENGINE
        slowed: dict[int, bool] = {}

        def speed_at(now: float) -> float:
            at = now - self._begun_at
            speed = usual
            if is_slow_one and SLOW_FROM <= at < SLOW_UNTIL:
                speed *= SLOW_SPEED
            span = int(at / SLOWED_SECONDS)
            if span not in slowed:
                draw = random.Random(f"{self._seed} {name} {span}").random()
                slowed[span] = self._uneven.is_noisy and draw < SLOWED_SHARE
            return speed * SLOWED_SPEED if slowed[span] else speed

        return speed_at

    def _draw_request(self, number: int, at: float) -> _Request:
        request = super()._draw_request(number, at)
        highest = int((at - self._begun_at) / WAVE_SECONDS) % len(ZONES)
        weights = [
            HIGH_DEMAND if zone == highest else LOW_DEMAND for zone in range(len(ZONES))
        ]
        (zone,) = self._draw.choices(ZONES, weights)
        return replace(request, availability_zone=zone)

    def _rate(self, at: float) -> float:
        mean = (HIGH_DEMAND + LOW_DEMAND * (len(ZONES) - 1)) / len(ZONES)
        return super()._rate(at) * mean

    def _arrive(self, request: _Request) -> None:
        if not request.is_retry:
            self.requested_by_zone[request.availability_zone] += 1
            self.requested_by_second[self._second_of(request)] += 1
        super()._arrive(request)

    def _start_prefill(self, request: _Request, grant: Grant) -> None:
        crosses = grant.endpoint.availability_zone != request.availability_zone
        self.crossings += crosses
        super()._start_prefill(request, grant)

    def _note_ended(self, answer: Answer, is_complete: bool) -> None:
        request = self._request_by_id[answer.request_id]
        before = self.outcome.in_time
        super()._note_ended(answer, is_complete)
        if self.outcome.in_time > before:
            self.served_by_zone[request.availability_zone] += 1
            self.served_by_second[self._second_of(request)] += 1

    def _second_of(self, request: _Request) -> int:
        return int(request.first_requested_at - self._begun_at)

    def _step(self) -> None:
        super()._step()
        used = sum(engine.used for engine in self._decode_engines.values())
        self.held_token_seconds += used * STEP_SECONDS
