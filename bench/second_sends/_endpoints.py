"""Endpoints in virtual time, which are slow for some spans of it."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

SLOTS = 6
QUEUED = 6


@dataclass(frozen=True)
class SlowSpan:
    """A span in which an endpoint takes longer by a factor."""

    begins: float
    ends: float
    factor: float


def short_spans(
    draw: random.Random, seconds: float, share: float, length: float, factor: float
) -> list[SlowSpan]:
    """Return spans of this length at random times, which cover a share of the time."""
    count = round(seconds * share / length)
    begins = [draw.uniform(0, seconds - length) for _ in range(count)]
    return [SlowSpan(begin, begin + length, factor) for begin in begins]


@dataclass(eq=False)
class Job:
    """One send of a request, at an endpoint."""

    work_seconds: float
    on_end: Callable[[float], None]
    is_given_up: bool = False
    is_done: bool = False


@dataclass(eq=False)
class ReplayedEndpoint:
    """Runs some jobs at a time, queues a few more, and refuses the others."""

    number: int
    spans: list[SlowSpan]
    schedule: Callable[[float, Callable[[float], None]], None]
    running: set[Job] = field(default_factory=set)
    queue: deque[Job] = field(default_factory=deque)

    def accept(self, job: Job, now: float) -> bool:
        """Run or queue the job; return False if it is refused."""
        if len(self.running) < SLOTS:
            self._run(job, now)
            return True
        if len(self.queue) < QUEUED:
            self.queue.append(job)
            return True
        return False

    def give_up(self, job: Job, now: float) -> None:
        """Stop a job whose connection was closed."""
        if job.is_done:
            return
        job.is_done = job.is_given_up = True
        if job in self.running:
            self._leave(job, now)
        else:
            self.queue.remove(job)

    def _run(self, job: Job, now: float) -> None:
        self.running.add(job)
        factors = [item.factor for item in self.spans if item.begins <= now < item.ends]
        seconds = job.work_seconds * max(factors, default=1.0)
        self.schedule(now + seconds, lambda then: self._finish(job, then))

    def _finish(self, job: Job, now: float) -> None:
        if job.is_done:
            return
        job.is_done = True
        self._leave(job, now)
        job.on_end(now)

    def _leave(self, job: Job, now: float) -> None:
        self.running.discard(job)
        if self.queue and len(self.running) < SLOTS:
            self._run(self.queue.popleft(), now)
