"""A steady clock that the simulation advances."""

from __future__ import annotations

import time
from types import SimpleNamespace

from jujubeslip.kernel import _clock

STARTS_AT_SECONDS = 1000.0


class VirtualClock:
    """Replaces the steady clock of all modules while the context is open."""

    def __init__(self) -> None:
        self.now = STARTS_AT_SECONDS

    def __enter__(self) -> VirtualClock:
        self._replaced = _clock.time
        stand_in = SimpleNamespace(
            CLOCK_BOOTTIME=time.CLOCK_BOOTTIME, clock_gettime=lambda _: self.now
        )
        _clock.time = stand_in  # type: ignore[assignment]
        return self

    def __exit__(self, *error: object) -> None:
        _clock.time = self._replaced
