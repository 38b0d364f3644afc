"""Simulated engines: a decode engine runs many answers, a prefill engine one prompt."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from jujubeslip.routes import EngineReport, RunningAnswer

# Events per second of an answer, and the loss for each answer that the engine runs.
SINGLE_ANSWER_EVENT_RATE, EVENT_RATE_LOSS_PER_ANSWER = 25.8, 0.65
# A decode engine prefills at half the speed, and its answers stall meanwhile.
DECODE_ENGINE_PREFILL_SPEED_SHARE = 0.5
# Age of the state in a report, in seconds.
REPORT_LAG_SECONDS = 0.9

# Speed of an engine by time, as a multiple of the specified one.
SpeedAt = Callable[[float], float]


@dataclass
class Answer:
    """An answer that a decode engine produces."""

    request_id: str
    prompt_tokens: int
    events: int
    event_tokens: int
    produced_events: float = 0.0
    longest_gap: float = 0.0
    latest_event_at: float = 0.0
    first_event_at: float | None = None
    was_evicted: bool = False

    @property
    def memory_tokens(self) -> int:
        """Return the number of tokens that it holds in memory."""
        return self.prompt_tokens + int(self.produced_events) * self.event_tokens


@dataclass
class DecodeEngine:
    """Produces all of its answers concurrently; stalls while it prefills a prompt."""

    name: str
    capacity: int
    prefill_tokens_per_second: float
    lost_until: float = 0.0
    heard_at: float = math.inf
    """Time of its last announcement before a crash; infinite while it runs."""
    leaves_at: float = math.inf
    """When its remaining answers end, after it announced that it is leaving."""
    running: list[Answer] = field(default_factory=list)
    evicted: deque[Answer] = field(default_factory=deque)
    stalled_until: float = 0.0
    speed_at: SpeedAt = lambda _: 1.0
    history: deque[tuple[float, EngineReport]] = field(default_factory=deque)

    def start_answer(self, answer: Answer, now: float, reads_itself: bool) -> bool:
        """Start an answer; return whether there is memory for its prompt."""
        if self.used + answer.prompt_tokens > self.capacity:
            return False
        if reads_itself:
            self._prefill(answer, now)
        answer.latest_event_at = now
        self.running.append(answer)
        return True

    @property
    def used(self) -> int:
        """Return the number of tokens in use."""
        return sum(answer.memory_tokens for answer in self.running)

    def step(self, now: float, seconds: float) -> list[Answer]:
        """Advance by `seconds`; return the answers that have finished."""
        if now >= self.stalled_until:
            self._produce_events(now, seconds)
        while self.used > self.capacity:
            newest = self.running.pop()
            newest.was_evicted = True
            self.evicted.append(newest)
        if self.evicted and self.used + self.evicted[0].memory_tokens < self.capacity:
            evicted_answer = self.evicted.popleft()
            self._prefill(evicted_answer, now)
            self.running.append(evicted_answer)
        finished = [
            answer for answer in self.running if answer.produced_events >= answer.events
        ]
        self.running = [
            item for item in self.running if item.produced_events < item.events
        ]
        return finished

    def report(self, now: float) -> EngineReport:
        """Return the state of `REPORT_LAG_SECONDS` ago."""
        running = tuple(
            RunningAnswer(
                answer.memory_tokens, int(answer.produced_events), answer.request_id
            )
            for answer in self.running
        )
        self.history.append((now, EngineReport(self.capacity, self.used, 0, running)))
        while len(self.history) > 1 and self.history[1][0] <= now - REPORT_LAG_SECONDS:
            self.history.popleft()
        return self.history[0][1]

    def lose(self, until: float) -> list[Answer]:
        """Lose the engine until the given time; return its interrupted answers."""
        finished = [*self.running, *self.evicted]
        self.running, self.lost_until = [], until
        self.evicted.clear()
        self.history.clear()
        return finished

    def _produce_events(self, now: float, seconds: float) -> None:
        answers = len(self.running)
        event_rate = SINGLE_ANSWER_EVENT_RATE - EVENT_RATE_LOSS_PER_ANSWER * answers
        event_rate *= self.speed_at(now)
        for answer in self.running:
            before = int(answer.produced_events)
            answer.produced_events += event_rate * seconds
            if (
                int(answer.produced_events) == before
                and answer.first_event_at is not None
            ):
                continue
            if answer.first_event_at is None:
                answer.first_event_at = now
            else:
                gap = now - answer.latest_event_at
                answer.longest_gap = max(answer.longest_gap, gap)
            answer.latest_event_at = now

    def _prefill(self, answer: Answer, now: float) -> None:
        stall_begins = max(now, self.stalled_until)
        prefill_speed = (
            self.prefill_tokens_per_second
            * DECODE_ENGINE_PREFILL_SPEED_SHARE
            * self.speed_at(now)
        )
        self.stalled_until = stall_begins + answer.memory_tokens / prefill_speed


@dataclass
class PrefillEngine:
    """Prefills one prompt after the other."""

    name: str
    prefill_tokens_per_second: float
    lost_until: float = 0.0
    heard_at: float = math.inf
    """Time of its last announcement before a crash; infinite while it runs."""
    free_at: float = 0.0
    speed_at: SpeedAt = lambda _: 1.0

    def prefill(self, tokens: int, now: float) -> float:
        """Return when the prefill of a prompt will be complete."""
        speed = self.prefill_tokens_per_second * self.speed_at(now)
        self.free_at = max(now, self.free_at) + tokens / speed
        return self.free_at
