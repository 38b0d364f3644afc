"""What this host met at the engines of each service in the last seconds."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass, field

from jujubeslip.kernel import steady_seconds
from jujubeslip.peers import ServicePressure

# Span that is told of, in seconds: long enough for a few requests of each host.
WINDOW_SECONDS = 2.0
# A request that found room after less than this did not wait for it, in seconds.
WAITED_SECONDS = 0.15


@dataclass
class _Seen:
    waits: deque[float] = field(default_factory=deque)
    prompts: deque[tuple[float, float]] = field(default_factory=deque)


class Pressures:
    """Counts waits for room and the time that prompts take, for the control hosts."""

    def __init__(self) -> None:
        self._seen_by_service: dict[str, _Seen] = {}
        self._lock = threading.Lock()

    def note_wait(self, service_name: str, seconds: float) -> None:
        """Note how long a request waited for room, found or not."""
        if seconds >= WAITED_SECONDS:
            with self._lock:
                self._seen(service_name).waits.append(steady_seconds())

    def note_prompt(self, service_name: str, seconds: float) -> None:
        """Note how long an engine took to read a prompt."""
        with self._lock:
            self._seen(service_name).prompts.append((steady_seconds(), seconds))

    def told(self) -> list[ServicePressure]:
        """Return what the control hosts are told."""
        oldest = steady_seconds() - WINDOW_SECONDS
        with self._lock:
            return [
                _pressure(name, seen, oldest)
                for name, seen in self._seen_by_service.items()
            ]

    def _seen(self, service_name: str) -> _Seen:
        return self._seen_by_service.setdefault(service_name, _Seen())


def _pressure(service_name: str, seen: _Seen, oldest: float) -> ServicePressure:
    while seen.waits and seen.waits[0] < oldest:
        seen.waits.popleft()
    while seen.prompts and seen.prompts[0][0] < oldest:
        seen.prompts.popleft()
    prompt_seconds = sum(seconds for _, seconds in seen.prompts)
    return ServicePressure(
        service_name, len(seen.waits), int(prompt_seconds * 1000 / WINDOW_SECONDS)
    )
