"""The prefill engines of a service, and which one gets the next prompt."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from functools import cached_property
from statistics import median
from typing import NamedTuple

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
        """Return the queues that accept a prompt now, the shortest one first."""
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

    def next_except(self, avoided: Collection[str]) -> PrefillQueue | None:
        """Return the queue for the next prompt, None if all engines are busy."""
        ready = (item for item in self.ready if item.endpoint.start_id not in avoided)
        return next(ready, None)

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
