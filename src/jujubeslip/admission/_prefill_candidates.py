"""The prefill engines of a service, and which one gets the next prompt."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from functools import cached_property
from statistics import median
from typing import NamedTuple

from jujubeslip.admission._engine_speed import (
    EVEN_FACTOR,
    MAXIMUM_LEFT_OUT_SHARE,
    SLOW_FACTOR,
    TRY_AFTER_SECONDS,
)
from jujubeslip.admission._prefill_queue import INITIAL_TOKENS_PER_SECOND, PrefillQueue
from jujubeslip.admission._speed_measure import UNKNOWN_SPEED, EngineSpeed


@dataclass(frozen=True)
class PrefillCandidates:
    """The prefill engines' queues; their state is evaluated once, at first use."""

    queues: tuple[PrefillQueue, ...]

    @cached_property
    def usable(self) -> tuple[PrefillQueue, ...]:
        """Return the queues that accept prompts now or later."""
        return tuple(item for item in self.queues if item.usable)

    @cached_property
    def ready(self) -> tuple[PrefillQueue, ...]:
        """Return the queues that accept a prompt now, the shortest one first.

        Ties are broken at random.
        """
        ready = [
            _ReadyQueue(item.seconds_left, random.random(), item)
            for item in self.usable
            if item.accepts_more
        ]
        return tuple(item.queue for item in sorted(ready))

    @cached_property
    def median_speed(self) -> float:
        """Return the median of the measured speeds, in tokens a second."""
        measured = [item.speed for item in self.queues if item.measured_at is not None]
        return median(measured or [INITIAL_TOKENS_PER_SECOND])

    def relative_speed(self, queue: PrefillQueue) -> EngineSpeed:
        """Return the speed of one of these engines as a multiple of the median's."""
        if queue.measured_at is None:
            return UNKNOWN_SPEED
        return EngineSpeed(queue.speed / self.median_speed, queue.measured_at)

    @cached_property
    def are_uneven(self) -> bool:
        """Return whether the measured speeds differ by more than their noise."""
        settled = [item.speed for item in self.queues if item.is_settled]
        return any(
            not self.median_speed / EVEN_FACTOR
            <= speed
            <= self.median_speed * EVEN_FACTOR
            for speed in settled
        )

    def next_except(
        self, avoided: Collection[str], prompt_tokens: int
    ) -> PrefillQueue | None:
        """Return the queue for the next prompt, None if all engines are busy.

        Where engines differ in speed, this is the one that prefills it first.
        """
        ready = (item for item in self.ready if item.endpoint.start_id not in avoided)
        if not self.are_uneven:
            return next(ready, None)
        return min(
            (item for item in ready if not self._is_left_out(item)),
            key=lambda item: item.seconds_left + prompt_tokens / self._expected(item),
            default=None,
        )

    def _expected(self, queue: PrefillQueue) -> float:
        """Return the speed to expect, in tokens a second.

        An idle engine that was slow counts as the median one once the measurement is
        old: the prompt that it then gets shows whether it has recovered.
        """
        is_due = queue.seconds_since_measured >= TRY_AFTER_SECONDS
        if queue.measured_at is None or (is_due and not queue.seconds_left):
            return max(queue.speed, self.median_speed)
        return queue.speed

    def _is_left_out(self, queue: PrefillQueue) -> bool:
        """Return whether the engine is one of the few that are far too slow."""
        if self._expected(queue) >= SLOW_FACTOR * self.median_speed:
            return False
        most = int(len(self.queues) * MAXIMUM_LEFT_OUT_SHARE)
        slowest = sorted(self.queues, key=lambda item: item.speed)[:most]
        return queue in slowest

    def any_except(self, avoided: Collection[str]) -> bool:
        """Return whether any prefill engine is usable, even if it is busy."""
        return any(item.endpoint.start_id not in avoided for item in self.usable)


class _ReadyQueue(NamedTuple):
    """A queue, ordered by its remaining prefill time; ties are broken at random."""

    seconds_left: float
    tie_breaker: float
    queue: PrefillQueue


def mean_speed(queues: Iterable[PrefillQueue], unknown: float) -> float:
    """Return the tokens that a prefill engine prefills in a second, by their work.

    The speed of whichever engine reported last would make the expected load of the
    service, and the number of prefill engines, change with each report where engines
    differ. `unknown` is returned if none of them has prefilled a prompt.
    """
    works = [queue.work for queue in queues]
    seconds = sum(work.seconds for work in works)
    return sum(work.tokens for work in works) / seconds if seconds > 0 else unknown
