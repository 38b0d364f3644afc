"""Logs and counts which endpoints this host considers slow or failing."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass

from jujubeslip.kernel import steady_seconds

logger = logging.getLogger(__name__)

# Shortest interval between two lines on one start, in seconds.
LOG_SECONDS = 1.0
# How long a start is remembered that is no longer a candidate, in seconds.
REMEMBERED_SECONDS = 10.0
# Maximum number of starts; lines on further ones are left out.
MAXIMUM_STARTS = 64


@dataclass(frozen=True)
class Observation:
    """What is known of one start when an endpoint is chosen."""

    start_id: str
    service_name: str
    is_slow: bool
    own_seconds: float
    """Answer time as measured by this host."""
    shared_seconds: float
    """Answer time by other hosts, 0 unless they find it slow."""
    usual_seconds: float
    excess_seconds: float
    """How much longer than usual it takes, 0 unless it is slow."""
    shared_failures: float
    """Share of failed answers by other hosts."""


@dataclass(frozen=True)
class _Slow:
    since: float
    seen_at: float
    logged_at: float


class SlowLog:
    """Starts that are considered slow; thread-safe."""

    def __init__(self, clock: Callable[[], float] = steady_seconds) -> None:
        self._clock = clock
        self._slow_by_start: dict[str, _Slow] = {}
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """Return how many starts are considered slow or failing."""
        with self._lock:
            self._forget_gone()
            return len(self._slow_by_start)

    def note(self, observation: Observation) -> None:
        """Log the start if it has become slow, or well again."""
        start_id = observation.start_id
        now = self._clock()
        with self._lock:
            slow = self._slow_by_start.get(start_id)
            if slow is None and not observation.is_slow:
                return
            if slow is None:
                self._forget_gone()
                if len(self._slow_by_start) >= MAXIMUM_STARTS:
                    return
                self._slow_by_start[start_id] = _Slow(now, now, now)
            elif observation.is_slow or now < slow.logged_at + LOG_SECONDS:
                self._slow_by_start[start_id] = _Slow(slow.since, now, slow.logged_at)
                return
            else:
                del self._slow_by_start[start_id]
        _log(observation, 0.0 if slow is None else now - slow.since)

    def _forget_gone(self) -> None:
        oldest = self._clock() - REMEMBERED_SECONDS
        for start_id, slow in list(self._slow_by_start.items()):
            if slow.seen_at < oldest:
                del self._slow_by_start[start_id]


def _log(observation: Observation, slow_seconds: float) -> None:
    extra = {
        "start_id": observation.start_id,
        "service": observation.service_name,
        "answer_ms": int(observation.own_seconds * 1000),
        "shared_answer_ms": int(observation.shared_seconds * 1000),
        "usual_ms": int(observation.usual_seconds * 1000),
        "shared_failure_share": round(observation.shared_failures, 2),
        "slow_s": round(slow_seconds, 1),
    }
    if observation.is_slow:
        logger.info("endpoint considered slow", extra=extra)
    else:
        logger.info("endpoint considered well again", extra=extra)
