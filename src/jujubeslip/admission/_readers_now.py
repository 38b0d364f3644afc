"""The engines that read prompts for others, and whose turn it is."""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass
from functools import cached_property
from typing import NamedTuple

from jujubeslip.admission._prompt_queue import PrefillQueue


@dataclass(frozen=True)
class PrefillCandidates:
    """The engines that read prompts for others, as they are when first asked for."""

    queues: tuple[PrefillQueue, ...]

    @cached_property
    def usable(self) -> tuple[PrefillQueue, ...]:
        """Return those that can be given prompts, be it later."""
        return tuple(item for item in self.queues if item.usable)

    @cached_property
    def ready(self) -> tuple[PrefillQueue, ...]:
        """Return those that should be given one, that with the least to read first."""
        ready = [
            _ReadyQueue(item.seconds_left, random.random(), item)
            for item in self.usable
            if item.accepts_more
        ]
        return tuple(item.queue for item in sorted(ready))

    def next_except(self, avoided: Collection[str]) -> PrefillQueue | None:
        """Return the reader whose turn it is, None if all have enough to read."""
        ready = (item for item in self.ready if item.endpoint.start_id not in avoided)
        return next(ready, None)

    def any_except(self, avoided: Collection[str]) -> bool:
        """Say whether any reader is there, be it with a prompt to read."""
        return any(item.endpoint.start_id not in avoided for item in self.usable)


class _ReadyQueue(NamedTuple):
    """A reader, ordered by what it has left to read, equal ones by lot."""

    seconds_left: float
    tie_breaker: float
    queue: PrefillQueue
