"""Recent load of each service's engines, as measured on this host."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass, field

from jujubeslip.kernel import steady_seconds
from jujubeslip.peers import ServicePressure

# Period that a report covers, in seconds: long enough for a few requests of each host.
WINDOW_SECONDS = 2.0
# A request that got capacity sooner than this counts as not having waited, in seconds.
MINIMUM_WAIT_SECONDS = 0.15


@dataclass
class _Observations:
    waits: deque[float] = field(default_factory=deque)
    prompts: deque[tuple[float, float]] = field(default_factory=deque)


class Pressures:
    """Counts waits for capacity and the time of prefills, for the control hosts."""

    def __init__(self) -> None:
        self._observations_by_service: dict[str, _Observations] = {}
        self._lock = threading.Lock()

    def note_wait(self, service_name: str, seconds: float) -> None:
        """Record how long a request waited for capacity, whether it got any or not."""
        if seconds >= MINIMUM_WAIT_SECONDS:
            with self._lock:
                self._observations(service_name).waits.append(steady_seconds())

    def note_prompt(self, service_name: str, seconds: float) -> None:
        """Record how long an engine took to prefill a prompt."""
        with self._lock:
            self._observations(service_name).prompts.append((steady_seconds(), seconds))

    def report(self) -> list[ServicePressure]:
        """Return the report for the control hosts."""
        oldest = steady_seconds() - WINDOW_SECONDS
        with self._lock:
            return [
                _pressure(name, observations, oldest)
                for name, observations in self._observations_by_service.items()
            ]

    def _observations(self, service_name: str) -> _Observations:
        return self._observations_by_service.setdefault(service_name, _Observations())


def _pressure(
    service_name: str, observations: _Observations, oldest: float
) -> ServicePressure:
    while observations.waits and observations.waits[0] < oldest:
        observations.waits.popleft()
    while observations.prompts and observations.prompts[0][0] < oldest:
        observations.prompts.popleft()
    prompt_seconds = sum(seconds for _, seconds in observations.prompts)
    return ServicePressure(
        service_name,
        len(observations.waits),
        int(prompt_seconds * 1000 / WINDOW_SECONDS),
    )
