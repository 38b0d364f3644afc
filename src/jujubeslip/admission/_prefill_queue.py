"""The prompts that are assigned to a prefill engine and not prefilled yet."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from jujubeslip.admission._engine_reachability import EngineReachability
from jujubeslip.admission._models import USABLE_SECONDS, GrantRequest
from jujubeslip.admission._prefill_speed import PrefillSpeed
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import steady_seconds
from jujubeslip.routes import EngineReport

# Initial estimate of the tokens that a prefill engine prefills in a second.
INITIAL_TOKENS_PER_SECOND = 40_000.0
# Time constant of the moving average of the speed, in seconds of prefill.
SPEED_SECONDS = 2.0
# A prompt that was not reported as prefilled is dropped after this many seconds: its
# host's call to the engine lasts no longer.
LOST_PROMPT_SECONDS = 3.0
# A prefill engine gets a further prompt when its assigned prompts take no more than
# this, in seconds. It covers the network delay to the next prompt's host and adds
# little waiting time.
PREFILL_AHEAD_SECONDS = 0.1
# A prompt that is clearly overdue is expected to need as much time again, until it is
# overdue by this much, in seconds. Then its note is assumed to be lost.
MAXIMUM_OVERDUE_SECONDS = 0.5
# Time constant of the weight of an engine's work among that of others, in seconds.
# The weight does not fall below its minimum: old measurements count where there are no
# newer ones.
WORK_SECONDS, MINIMUM_WORK_WEIGHT = 5.0, 0.001


class PrefillWork(NamedTuple):
    """The tokens that an engine has prefilled, and the seconds that this took."""

    tokens: float
    seconds: float


@dataclass(frozen=True)
class _AssignedPrompt:
    """A prompt that is assigned to the engine."""

    attempt: int
    tokens: int
    assigned_at: float


class PrefillQueue:
    """The prompts of one start of a prefill engine; guarded by its pool's lock.

    Prompts wait at the home and not at the engine. At the home the most urgent prompt
    goes first, and none holds a decode engine's memory while it waits.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.reachability = EngineReachability(endpoint)
        self._assigned_by_request: dict[str, _AssignedPrompt] = {}
        self._assigned_tokens = 0
        self._speed = PrefillSpeed(INITIAL_TOKENS_PER_SECOND, SPEED_SECONDS)
        self._prefilling_since = steady_seconds()
        self._last_contact_at = steady_seconds()
        self._has_reported = False
        self._accepts_prompts = True

    @property
    def endpoint(self) -> Endpoint:
        """Return the start as last announced."""
        return self.reachability.endpoint

    @property
    def usable(self) -> bool:
        """Return whether the engine accepts prompts or has not sent a report yet.

        Requests wait for an engine that has not reported yet. Otherwise decode engines
        would prefill their prompts meanwhile and pause all their answers.
        """
        fresh = self.report_age < USABLE_SECONDS
        return fresh and self._accepts_prompts and not self.reachability.is_unreachable

    @property
    def report_age(self) -> float:
        """Return the time since its last report, or since it was added, in seconds."""
        return steady_seconds() - self._last_contact_at

    @property
    def speed(self) -> float:
        """Return how many tokens the engine prefills in a second."""
        return self._speed.tokens_per_second

    @property
    def measured_at(self) -> float | None:
        """Return when the speed was last measured; None if it is the initial one."""
        return self._speed.measured_at

    @property
    def seconds_since_measured(self) -> float:
        """Return the age of the measured speed; infinite if it is the initial one."""
        measured_at = self._speed.measured_at
        return math.inf if measured_at is None else steady_seconds() - measured_at

    @property
    def is_settled(self) -> bool:
        """Return whether the measured speed outweighs the initial one."""
        return self._speed.measured_seconds >= SPEED_SECONDS

    @property
    def work(self) -> PrefillWork:
        """Return what the engine has prefilled recently, none if that is long ago."""
        if self._speed.measured_at is None:
            return PrefillWork(0.0, 0.0)
        age = self.seconds_since_measured
        kept = max(MINIMUM_WORK_WEIGHT, math.exp(-age / WORK_SECONDS))
        return PrefillWork(kept * self._speed.tokens, kept * self._speed.seconds)

    @property
    def seconds_left(self) -> float:
        """Return how long the engine still needs for its assigned prompts.

        An engine whose prompts are overdue has turned slow rather than idle.
        """
        left = self._planned_seconds_left
        return -left if self._is_overdue(left) else max(0.0, left)

    @property
    def _planned_seconds_left(self) -> float:
        """Return the expected time left; negative while its prompts are overdue."""
        if not self._assigned_by_request:
            return 0.0
        total = self._assigned_tokens / self.speed
        return total - (steady_seconds() - self._prefilling_since)

    @staticmethod
    def _is_overdue(seconds_left: float) -> bool:
        return -MAXIMUM_OVERDUE_SECONDS <= seconds_left < -PREFILL_AHEAD_SECONDS

    def seconds_for(self, prompt_tokens: int) -> float:
        """Return how long it would take until one more prompt is prefilled."""
        return self.seconds_left + prompt_tokens / self.speed

    @property
    def accepts_more(self) -> bool:
        """Return whether a further prompt should be assigned now.

        One that is overdue may only lack its note, which its host is late to send. More
        than one further prompt would wait for long if the engine has turned slow.
        """
        left = self._planned_seconds_left
        if self._is_overdue(left) and len(self._assigned_by_request) > 1:
            return False
        return self._has_reported and left <= PREFILL_AHEAD_SECONDS

    def take_report(self, report: EngineReport) -> None:
        """Store the engine's report."""
        self._last_contact_at = steady_seconds()
        self._has_reported = True
        self.reachability.note_report()
        self._accepts_prompts = report.is_prefill_engine and not report.busy
        self._remove_lost()

    def add(self, grant_request: GrantRequest) -> None:
        """Add a prompt that is assigned to the engine."""
        now = steady_seconds()
        if not self._assigned_by_request:
            self._prefilling_since = now
        self._remove(grant_request.request_id)
        self._assigned_by_request[grant_request.request_id] = _AssignedPrompt(
            grant_request.attempt, grant_request.prompt_tokens, now
        )
        self._assigned_tokens += grant_request.prompt_tokens

    def note_prefilled(
        self, request_id: str, attempt: int, updates_speed: bool = True
    ) -> None:
        """Note that the prompt of this attempt was prefilled, or won't be.

        Late notes of an earlier attempt, which was assigned to another start, are
        ignored: they would admit a further prompt while this one is still prefilled.
        """
        assigned = self._assigned_by_request.get(request_id)
        if assigned is None or assigned.attempt != attempt:
            return
        self._remove(request_id)
        now = steady_seconds()
        seconds = now - max(assigned.assigned_at, self._prefilling_since)
        if updates_speed:
            had_engine_alone = assigned.assigned_at >= self._prefilling_since
            self._speed.measure(assigned.tokens, seconds, had_engine_alone, now)
        self._prefilling_since = now

    def _remove(self, request_id: str) -> None:
        assigned = self._assigned_by_request.pop(request_id, None)
        if assigned is not None:
            self._assigned_tokens -= assigned.tokens

    def _remove_lost(self) -> None:
        oldest = steady_seconds() - LOST_PROMPT_SECONDS
        for request_id, assigned in list(self._assigned_by_request.items()):
            if assigned.assigned_at < oldest:
                self.note_prefilled(request_id, assigned.attempt, updates_speed=False)
