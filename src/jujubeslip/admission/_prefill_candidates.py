"""The prefill engines of a service, and which one gets the next prompt."""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass
from functools import cached_property
from typing import NamedTuple

from jujubeslip.admission._prefill_queue import PrefillQueue


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
