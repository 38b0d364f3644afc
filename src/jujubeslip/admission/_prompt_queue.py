"""What an engine that reads prompts for others still has to read."""

from __future__ import annotations

from dataclasses import dataclass

from jujubeslip.admission._contact import EngineReachability
from jujubeslip.admission._models import USABLE_SECONDS, Applicant
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import steady_seconds
from jujubeslip.routes import EngineReport

# Tokens that an engine reads in a second before prompts have shown it.
INITIAL_TOKENS_PER_SECOND = 40_000.0
# What prompts count for in the speed once as many seconds of reading came after them.
# Sums are kept and not single speeds: of prompts that are read together, the last one
# seems to take no time.
SPEED_SECONDS = 2.0
# A prompt that was not told to be read after this long is forgotten, in seconds: its
# host asks no engine for longer.
LOST_PROMPT_SECONDS = 3.0
# An engine gets a further prompt when it has no more than this left to read, in
# seconds: enough to bridge the way to its next host, and little to wait for.
PREFILL_AHEAD_SECONDS = 0.1


@dataclass(frozen=True)
class _AssignedPrompt:
    """A prompt that the engine is to read."""

    attempt: int
    tokens: int
    assigned_at: float


class PrefillQueue:
    """One start of an engine that reads prompts; guarded by its pool's lock.

    Prompts wait at the home and not at the engine: there, the most urgent one goes
    first, and none holds another engine's memory while it waits.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.reachability = EngineReachability(endpoint)
        self._assigned_by_request: dict[str, _AssignedPrompt] = {}
        self._assigned_tokens = 0
        self._prefill_seconds = SPEED_SECONDS
        self._prefilled_tokens = INITIAL_TOKENS_PER_SECOND * SPEED_SECONDS
        self._idle_since = steady_seconds()
        self._last_contact_at = steady_seconds()
        self._has_reported = False
        self._accepts_prompts = True

    @property
    def endpoint(self) -> Endpoint:
        """Return the start, as it announced itself last."""
        return self.reachability.endpoint

    @property
    def usable(self) -> bool:
        """Say whether the engine reads prompts for others now, or is about to say so.

        One that has not reported yet is waited for: engines that answer would read the
        prompts meanwhile, and stop all their answers for that.
        """
        fresh = self.report_age < USABLE_SECONDS
        return fresh and self._accepts_prompts and not self.reachability.is_lost

    @property
    def report_age(self) -> float:
        """Return how long ago it reported, or was heard of, in seconds."""
        return steady_seconds() - self._last_contact_at

    @property
    def speed(self) -> float:
        """Return how many tokens the engine reads in a second."""
        return self._prefilled_tokens / self._prefill_seconds

    @property
    def seconds_left(self) -> float:
        """Return how long it will take to read what it was given."""
        if not self._assigned_by_request:
            return 0.0
        total = self._assigned_tokens / self.speed
        return max(0.0, total - (steady_seconds() - self._idle_since))

    def seconds_for(self, prompt_tokens: int) -> float:
        """Return how long it would take to read one more prompt."""
        return self.seconds_left + prompt_tokens / self.speed

    @property
    def accepts_more(self) -> bool:
        """Say whether it should be given a further prompt now."""
        return self._has_reported and self.seconds_left <= PREFILL_AHEAD_SECONDS

    def take_report(self, report: EngineReport) -> None:
        """Take over what the engine says."""
        self._last_contact_at = steady_seconds()
        self._has_reported = True
        self.reachability.note_report()
        self._accepts_prompts = report.reads_prompts and not report.busy
        self._remove_lost()

    def add(self, grant_request: Applicant) -> None:
        """Note a prompt that the engine is to read."""
        now = steady_seconds()
        if not self._assigned_by_request:
            self._idle_since = now
        self._remove(grant_request.request_id)
        self._assigned_by_request[grant_request.request_id] = _AssignedPrompt(
            grant_request.attempt, grant_request.prompt_tokens, now
        )
        self._assigned_tokens += grant_request.prompt_tokens

    def note_read(
        self, request_id: str, attempt: int, updates_speed: bool = True
    ) -> None:
        """Note that the prompt of this attempt was read, or won't be.

        Late news of an earlier attempt, whose reader was another start, would let a
        further prompt in beside the one that is still read.
        """
        assigned = self._assigned_by_request.get(request_id)
        if assigned is None or assigned.attempt != attempt:
            return
        self._remove(request_id)
        now = steady_seconds()
        seconds = now - max(assigned.assigned_at, self._idle_since)
        if updates_speed:
            self._update_speed(assigned.tokens, seconds)
        self._idle_since = now

    def _remove(self, request_id: str) -> None:
        assigned = self._assigned_by_request.pop(request_id, None)
        if assigned is not None:
            self._assigned_tokens -= assigned.tokens

    def _update_speed(self, tokens: int, seconds: float) -> None:
        decay = SPEED_SECONDS / (SPEED_SECONDS + seconds)
        self._prefill_seconds = decay * (self._prefill_seconds + seconds)
        self._prefilled_tokens = decay * (self._prefilled_tokens + tokens)

    def _remove_lost(self) -> None:
        oldest = steady_seconds() - LOST_PROMPT_SECONDS
        for request_id, assigned in list(self._assigned_by_request.items()):
            if assigned.assigned_at < oldest:
                self.note_read(request_id, assigned.attempt, updates_speed=False)
