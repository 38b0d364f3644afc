"""Simulated engines: many answers at a time, and one prompt."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from jujubeslip.routes import EngineReport, RunningAnswer

# Events a second of an answer, less this for each that the engine makes.
PACE_ALONE, PACE_LESS_BY = 25.8, 0.65
# An engine that answers reads at half the speed, and its answers wait meanwhile.
OWN_SPEED_SHARE = 0.5
# How old the state is that a report tells, in seconds.
REPORT_LAG_SECONDS = 0.9


@dataclass
class Answer:
    """An answer that an engine makes."""

    request_id: str
    prompt_tokens: int
    events: int
    event_tokens: int
    made: float = 0.0
    longest_gap: float = 0.0
    latest_event_at: float = 0.0
    first_event_at: float | None = None
    was_pushed_out: bool = False

    @property
    def memory(self) -> int:
        """Return the tokens that it holds."""
        return self.prompt_tokens + int(self.made) * self.event_tokens


@dataclass
class AnsweringEngine:
    """Makes all of its answers at once; stands still while it reads a prompt."""

    name: str
    capacity: int
    read_tokens_a_second: float
    lost_until: float = 0.0
    heard_at: float = math.inf
    """When it announced itself last, if it crashed; infinite while it runs."""
    leaves_at: float = math.inf
    """When it ends what it makes still, after it said that it leaves."""
    running: list[Answer] = field(default_factory=list)
    pushed_out: deque[Answer] = field(default_factory=deque)
    stands_still_until: float = 0.0
    history: deque[tuple[float, EngineReport]] = field(default_factory=deque)

    def begin(self, answer: Answer, now: float, reads_itself: bool) -> bool:
        """Begin an answer, unless there is no memory for its prompt."""
        if self.used + answer.prompt_tokens > self.capacity:
            return False
        if reads_itself:
            self._read(answer, now)
        answer.latest_event_at = now
        self.running.append(answer)
        return True

    @property
    def used(self) -> int:
        """Return the tokens in use."""
        return sum(answer.memory for answer in self.running)

    def step(self, now: float, seconds: float) -> list[Answer]:
        """Go on for a moment; return the answers that have ended."""
        if now >= self.stands_still_until:
            self._make(now, seconds)
        while self.used > self.capacity:
            newest = self.running.pop()
            newest.was_pushed_out = True
            self.pushed_out.append(newest)
        if self.pushed_out and self.used + self.pushed_out[0].memory < self.capacity:
            back = self.pushed_out.popleft()
            self._read(back, now)
            self.running.append(back)
        ended = [answer for answer in self.running if answer.made >= answer.events]
        self.running = [item for item in self.running if item.made < item.events]
        return ended

    def report(self, now: float) -> EngineReport:
        """Return its state of a moment ago."""
        running = tuple(
            RunningAnswer(answer.memory, int(answer.made), answer.request_id)
            for answer in self.running
        )
        self.history.append((now, EngineReport(self.capacity, self.used, 0, running)))
        while len(self.history) > 1 and self.history[1][0] <= now - REPORT_LAG_SECONDS:
            self.history.popleft()
        return self.history[0][1]

    def lose(self, until: float) -> list[Answer]:
        """End all answers."""
        ended = [*self.running, *self.pushed_out]
        self.running, self.lost_until = [], until
        self.pushed_out.clear()
        self.history.clear()
        return ended

    def _make(self, now: float, seconds: float) -> None:
        pace = PACE_ALONE - PACE_LESS_BY * len(self.running)
        for answer in self.running:
            before = int(answer.made)
            answer.made += pace * seconds
            if int(answer.made) == before and answer.first_event_at is not None:
                continue
            if answer.first_event_at is None:
                answer.first_event_at = now
            else:
                gap = now - answer.latest_event_at
                answer.longest_gap = max(answer.longest_gap, gap)
            answer.latest_event_at = now

    def _read(self, answer: Answer, now: float) -> None:
        begins = max(now, self.stands_still_until)
        own_speed = self.read_tokens_a_second * OWN_SPEED_SHARE
        self.stands_still_until = begins + answer.memory / own_speed


@dataclass
class ReadingEngine:
    """Reads one prompt after the other."""

    name: str
    read_tokens_a_second: float
    lost_until: float = 0.0
    heard_at: float = math.inf
    """When it announced itself last, if it crashed; infinite while it runs."""
    free_at: float = 0.0

    def read(self, tokens: int, now: float) -> float:
        """Return when a prompt will have been read."""
        self.free_at = max(now, self.free_at) + tokens / self.read_tokens_a_second
        return self.free_at
