"""How long each endpoint start takes to answer, as measured by this host.

Answers the load of a service with three or four endpoints and dozens of entry hosts,
of which each sends one or two requests a second. An endpoint that turns several times
slower for some seconds shows itself to one host by a handful of answers, among which
one in a hundred is slow at any endpoint.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from jujubeslip.kernel import steady_seconds

# Latest answers that are kept of each start, and those of which the second slowest
# counts: a single slow one is no evidence.
KEPT_ANSWERS = 8
COMPARED_ANSWERS = 3
# Half-life of a single slow answer, and of a call that is still open, in seconds.
PEAK_HALF_LIFE_SECONDS = 0.25
# Half-life of the measured time while no further answer arrives, in seconds. Without
# the decay an endpoint that was slow would get no request that shows its recovery.
HALF_LIFE_SECONDS = 2.0
# Latest answers of a service by which its usual times are known.
USUAL_ANSWERS = 128
# Share of them that take as long as the high time or longer. It is only known once all
# are there: among fewer, the answers of one slow endpoint would be that share.
HIGH_SHARE = 0.1
# An answer is slow from this many times the median of its service on, and from the time
# that one answer in ten exceeds: answers of one service may differ by their requests.
SLOW_RATIO = 2.0
# Shortest time that counts, in seconds: shorter ones are errors of measurement.
MINIMUM_SECONDS = 0.001
# Age up to which answers are reported to other hosts, in seconds.
REPORT_SECONDS = 2.0
# Maximum number of starts; the one that was used longest ago is forgotten first.
MAXIMUM_STARTS = 512


@dataclass
class MeasuredCall:
    """A call whose time is measured; the caller says if it brought no answer."""

    is_answered: bool = True


@dataclass(frozen=True)
class RecentAnswers:
    """What a host has seen of one start within the latest seconds."""

    start_id: str
    seconds: float
    """Median time of its answers."""
    answers: int
    failures: int
    """How many of the answers failed."""


@dataclass(frozen=True)
class UsualTimes:
    """How long the answers of a service usually take, in seconds."""

    median: float
    high: float
    """What one answer in ten exceeds, 0 as long as it is unknown."""

    @property
    def slow_from(self) -> float:
        """Return from which time on an answer is slow."""
        return max(SLOW_RATIO * self.median, self.high)


NOT_MEASURED = UsualTimes(0.0, 0.0)


@dataclass
class _Start:
    service_name: str = ""
    used_at: float = float("-inf")
    answers: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=KEPT_ANSWERS)
    )
    """When each answer ended, and the seconds that it took."""
    failed_at: deque[float] = field(default_factory=lambda: deque(maxlen=KEPT_ANSWERS))
    open_since: dict[int, float] = field(default_factory=dict)


class AnswerTimes:
    """Answer times by endpoint start; thread-safe, and bounded in memory."""

    def __init__(self, clock: Callable[[], float] = steady_seconds) -> None:
        self._clock = clock
        self._start_by_id: dict[str, _Start] = {}
        self._answers_by_service: dict[str, deque[float]] = {}
        self._usual_by_service: dict[str, UsualTimes] = {}
        self._next_call = 0
        self._lock = threading.Lock()

    def note_service(self, start_id: str, service_name: str) -> None:
        """Record which service the start belongs to; only such starts are measured."""
        with self._lock:
            start = self._start_by_id.setdefault(start_id, _Start())
            start.service_name = service_name
            start.used_at = self._clock()
            if len(self._start_by_id) > MAXIMUM_STARTS:
                self._forget_oldest()

    @contextmanager
    def measure(self, start_id: str) -> Iterator[MeasuredCall]:
        """Return a context that measures one call of the start.

        A call without an answer counts if it took as long as the answers before: its
        own would have taken longer still. A refusal, which takes no time, doesn't.
        """
        call = MeasuredCall()
        call_id = self._begin(start_id)
        try:
            yield call
        except BaseException:
            call.is_answered = False
            raise
        finally:
            self._end(start_id, call_id, call.is_answered)

    def note_failure(self, start_id: str) -> None:
        """Record that an answer of the start failed."""
        with self._lock:
            start = self._start_by_id.get(start_id)
            if start is not None:
                start.failed_at.append(self._clock())

    def forget(self) -> None:
        """Forget all answers and failures, whose cause was not the endpoints."""
        with self._lock:
            for start in self._start_by_id.values():
                start.answers.clear()
                start.failed_at.clear()

    def expected_seconds(self, start_id: str) -> float | None:
        """Return the time that the next answer is expected to take, None if unknown."""
        with self._lock:
            start = self._start_by_id.get(start_id)
            return None if start is None else _expected(start, self._clock())

    def usual_times(self, service_name: str) -> UsualTimes:
        """Return how long the answers of the service usually take at this host."""
        with self._lock:
            return self._usual_by_service.get(service_name, NOT_MEASURED)

    def usual_times_of_start(self, start_id: str) -> UsualTimes:
        """Return the usual times of the start's service."""
        with self._lock:
            start = self._start_by_id.get(start_id)
            name = start.service_name if start is not None else ""
            return self._usual_by_service.get(name, NOT_MEASURED)

    def recent(self) -> list[RecentAnswers]:
        """Return what was seen of each start within the latest seconds."""
        with self._lock:
            oldest = self._clock() - REPORT_SECONDS
            seen = (
                _recent(start_id, start, oldest)
                for start_id, start in self._start_by_id.items()
            )
            return [recent for recent in seen if recent is not None]

    def _begin(self, start_id: str) -> int:
        with self._lock:
            self._next_call += 1
            start = self._start_by_id.get(start_id)
            if start is not None:
                start.open_since[self._next_call] = self._clock()
            return self._next_call

    def _end(self, start_id: str, call_id: int, is_answered: bool) -> None:
        with self._lock:
            start = self._start_by_id.get(start_id)
            if start is None:
                return
            now = self._clock()
            began = start.open_since.pop(call_id, None)
            if began is None or now < began:
                return
            seconds = max(MINIMUM_SECONDS, now - began)
            if not is_answered and seconds < _median_of_latest(start):
                return
            start.answers.append((now, seconds))
            self._update_usual(start.service_name, seconds)

    def _update_usual(self, service_name: str, seconds: float) -> None:
        answers = self._answers_by_service.setdefault(
            service_name, deque(maxlen=USUAL_ANSWERS)
        )
        answers.append(seconds)
        self._usual_by_service[service_name] = _usual_times(answers)

    def _forget_oldest(self) -> None:
        oldest = min(self._start_by_id, key=lambda key: self._start_by_id[key].used_at)
        forgotten = self._start_by_id.pop(oldest)
        names = {start.service_name for start in self._start_by_id.values()}
        if forgotten.service_name not in names:
            self._usual_by_service.pop(forgotten.service_name, None)
            self._answers_by_service.pop(forgotten.service_name, None)


def _usual_times(answers: deque[float]) -> UsualTimes:
    ordered = sorted(answers)
    median = ordered[(len(ordered) - 1) // 2]
    if len(ordered) < USUAL_ANSWERS:
        return UsualTimes(median, 0.0)
    return UsualTimes(median, ordered[int(len(ordered) * (1 - HIGH_SHARE))])


def _median_of_latest(start: _Start) -> float:
    latest = sorted(seconds for _, seconds in list(start.answers)[-COMPARED_ANSWERS:])
    return latest[len(latest) // 2] if latest else 0.0


def _expected(start: _Start, now: float) -> float | None:
    open_for = [now - began for began in start.open_since.values() if began <= now]
    if not start.answers:
        return max(open_for, default=None)
    latest = list(start.answers)[-COMPARED_ANSWERS:]
    latest_at = latest[-1][0]
    compared = [seconds for _, seconds in latest]
    overdue = [seconds for seconds in open_for if seconds > min(compared)]
    slowest_first = sorted(compared + overdue, reverse=True)
    confirmed = slowest_first[1] if len(slowest_first) > 1 else 0.0
    confirmed *= 0.5 ** (max(0.0, now - latest_at) / HALF_LIFE_SECONDS)
    peaks = [
        seconds * 0.5 ** (max(0.0, now - ended) / PEAK_HALF_LIFE_SECONDS)
        for ended, seconds in latest
    ]
    return max(confirmed, *peaks, *overdue)


def _recent(start_id: str, start: _Start, oldest: float) -> RecentAnswers | None:
    seconds = sorted(taken for ended, taken in start.answers if ended >= oldest)
    failures = sum(failed_at >= oldest for failed_at in start.failed_at)
    answers = max(len(seconds), failures)
    if not answers:
        return None
    median = seconds[(len(seconds) - 1) // 2] if seconds else 0.0
    return RecentAnswers(start_id, median, answers, failures)
