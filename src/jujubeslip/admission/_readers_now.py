"""The engines that read prompts for others, and whose turn it is."""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass
from functools import cached_property
from typing import NamedTuple

from jujubeslip.admission._prompt_queue import PromptQueue


@dataclass(frozen=True)
class ReadersNow:
    """The engines that read prompts for others, as they are when first asked for."""

    known: tuple[PromptQueue, ...]

    @cached_property
    def usable(self) -> tuple[PromptQueue, ...]:
        """Return those that can be given prompts, be it later."""
        return tuple(item for item in self.known if item.usable)

    @cached_property
    def ready(self) -> tuple[PromptQueue, ...]:
        """Return those that should be given one, that with the least to read first."""
        turns = [
            _ReaderTurn(item.seconds_left, random.random(), item)
            for item in self.usable
            if item.has_room
        ]
        return tuple(turn.reader for turn in sorted(turns))

    def next_but(self, avoided: Collection[str]) -> PromptQueue | None:
        """Return the reader whose turn it is, None if all have enough to read."""
        turns = (item for item in self.ready if item.endpoint.start_id not in avoided)
        return next(turns, None)

    def any_but(self, avoided: Collection[str]) -> bool:
        """Say whether any reader is there, be it with a prompt to read."""
        return any(item.endpoint.start_id not in avoided for item in self.usable)


class _ReaderTurn(NamedTuple):
    """A reader, ordered by what it has left to read, equal ones by lot."""

    seconds_left: float
    lot: float
    reader: PromptQueue
