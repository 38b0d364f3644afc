"""The speeds of a service's decode engines, from the events in their reports.

Answers the load of engines of one service that differ in speed by up to two and a half
times, are slowed at times for parts of a second, or turn five times slower for seconds.
A speed belongs to one start of an engine. A new leader knows none of them; an unknown
speed counts as that of the median engine. Uses no clock.
"""

from __future__ import annotations

import statistics
from collections.abc import Container
from dataclasses import dataclass, field

from jujubeslip.admission._speed_measure import (
    UNKNOWN_SPEED,
    EngineSpeed,
    SpeedMeasure,
)
from jujubeslip.admission._step_curve import StepCurve
from jujubeslip.routes import EngineReport

# Speeds count as uneven if one differs from the median by more than this factor. An
# engine that is slowed to two fifths for 0.6 s in 15 % of the time stays well within.
# The lower factor applies once they are uneven, so that the choice does not alternate.
EVEN_FACTOR = 1.5
EVEN_AGAIN_FACTOR = 1.25
# Engines below this share of the median's speed have turned slow: engines of one kind
# differ by less.
SLOW_FACTOR = 0.35
# A slow engine without answers gets one, as if its speed were unknown, once its last
# measurement is this old, in seconds. Its events show whether the engine has recovered.
TRY_AFTER_SECONDS = 2.0
# The largest share of a service's engines that may be left out as too slow.
MAXIMUM_LEFT_OUT_SHARE = 0.25
# Answers without progress for this long count as one event in that time, in seconds.
# Shorter ones may be due to two reports of the same state.
NO_PROGRESS_SECONDS = 1.0
# Interval at which the median and the slowest engines are determined, in seconds.
REFRESH_SECONDS = 0.1


@dataclass
class _Observed:
    """What is known of one start."""

    measure: SpeedMeasure = field(default_factory=SpeedMeasure)
    report: EngineReport | None = None
    """The report after which its answers last made progress."""
    reported_at: float = 0.0


class DecodeSpeeds:
    """The speeds of one service's decode engines; guarded by the pool's lock."""

    def __init__(self) -> None:
        self._observed_by_start: dict[str, _Observed] = {}
        self._curve = StepCurve()
        self._median = 1.0
        self._slowest: frozenset[str] = frozenset()
        self._are_uneven = False
        self._refreshed_at = float("-inf")

    @property
    def are_uneven(self) -> bool:
        """Return whether the measured speeds differ by more than their noise."""
        return self._are_uneven

    @property
    def usual_event_seconds(self) -> float:
        """Return the time of an event at the median engine with the usual answers."""
        return self._curve.mean_seconds

    def retain_only(self, start_ids: Container[str]) -> None:
        """Remove all other engines."""
        for start_id in list(self._observed_by_start):
            if start_id not in start_ids:
                del self._observed_by_start[start_id]

    def note_report(self, start_id: str, report: EngineReport, now: float) -> None:
        """Measure the progress of an engine's answers since an earlier report."""
        observed = self._observed_by_start.setdefault(start_id, _Observed())
        before, seconds = observed.report, now - observed.reported_at
        progress = _progress(before, report) if before is not None else None
        if progress == 0 and 0 <= seconds < NO_PROGRESS_SECONDS:
            return
        observed.report, observed.reported_at = report, now
        if progress is not None and seconds > 0:
            self._observe(
                observed, len(report.running), max(1.0, progress), seconds, now
            )
        if now - self._refreshed_at >= REFRESH_SECONDS or now < self._refreshed_at:
            self._refresh(now)

    def speed_of(self, start_id: str) -> EngineSpeed:
        """Return the measured speed of an engine."""
        observed = self._observed_by_start.get(start_id)
        if observed is None or not observed.measure.is_known:
            return UNKNOWN_SPEED
        factor = observed.measure.ratio / self._median
        return EngineSpeed(factor, observed.measure.measured_at)

    def expected_speed(self, start_id: str, answers: int, now: float) -> EngineSpeed:
        """Return the speed for the next answer; unknown for a try of a slow engine."""
        speed = self.speed_of(start_id)
        if self.is_slow(speed) and not answers and speed.age(now) >= TRY_AFTER_SECONDS:
            return UNKNOWN_SPEED
        return speed

    def event_seconds(self, speed: EngineSpeed, answers: int) -> float:
        """Return the time of an event at an engine of this speed; 0 while unknown."""
        if not self._curve.is_known:
            return 0.0
        return self._curve.seconds_with(answers) / speed.factor

    def is_slow(self, speed: EngineSpeed) -> bool:
        """Return whether an engine of this speed has turned slow."""
        return speed.factor < SLOW_FACTOR

    def may_be_left_out(self, start_id: str) -> bool:
        """Return whether the engine is among the few slowest ones."""
        return start_id in self._slowest

    def _observe(
        self,
        observed: _Observed,
        answers: int,
        events: float,
        seconds: float,
        now: float,
    ) -> None:
        event_seconds = seconds / events
        expected = self._curve.seconds_with(answers) or event_seconds
        measure = observed.measure
        if measure.observe(expected * events, seconds, now):
            factor = measure.ratio / self._median
            self._curve.observe(answers, event_seconds * factor)

    def _refresh(self, now: float) -> None:
        """Determine the median speed, the slowest engines, and whether they differ."""
        self._refreshed_at = now
        ratio_by_start = {
            start_id: observed.measure.ratio
            for start_id, observed in self._observed_by_start.items()
            if observed.measure.is_known
        }
        if not ratio_by_start or not self._curve.is_known:
            self._slowest, self._are_uneven = frozenset(), False
            return
        self._median = statistics.median(ratio_by_start.values())
        in_order = sorted(ratio_by_start, key=ratio_by_start.__getitem__)
        most = int(len(self._observed_by_start) * MAXIMUM_LEFT_OUT_SHARE)
        self._slowest = frozenset(in_order[:most])
        self._are_uneven = self._differ()

    def _differ(self) -> bool:
        """Return whether an engine differs from the median by more than noise."""
        factor = EVEN_AGAIN_FACTOR if self._are_uneven else EVEN_FACTOR
        return any(
            not self._median / factor <= observed.measure.ratio <= self._median * factor
            for observed in self._observed_by_start.values()
            if observed.measure.is_settled
        )


def _progress(before: EngineReport, after: EngineReport) -> float | None:
    """Return the events that an answer made between two reports, None if none shows it.

    The mean without the least and the most, so that no single answer decides it.
    Answers that have not begun or were begun again are left out.
    """
    events_before = {item.request_id: item.events for item in before.running}
    counts = sorted(
        item.events - events_before[item.request_id]
        for item in after.running
        if item.request_id and 0 < events_before.get(item.request_id, 0) <= item.events
    )
    if len(counts) > 2:
        counts = counts[1:-1]
    return statistics.fmean(counts) if counts else None
