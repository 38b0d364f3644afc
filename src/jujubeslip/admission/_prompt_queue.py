"""What an engine that reads prompts for others still has to read."""

from __future__ import annotations

from dataclasses import dataclass

from jujubeslip.admission._contact import EngineContact
from jujubeslip.admission._models import USABLE_SECONDS, Applicant
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import steady_seconds
from jujubeslip.routes import EngineReport

# Tokens that an engine reads in a second before prompts have shown it.
FIRST_TOKENS_PER_SECOND = 40_000.0
# What prompts count for in the speed once as many seconds of reading came after them.
# Sums are kept and not single speeds: of prompts that are read together, the last one
# seems to take no time.
SPEED_SECONDS = 2.0
# A prompt that was not told to be read after this long is forgotten, in seconds: its
# host asks no engine for longer.
LOST_SECONDS = 3.0
# An engine gets a further prompt when it has no more than this left to read, in
# seconds: enough to bridge the way to its next host, and little to wait for.
READ_AHEAD_SECONDS = 0.1


@dataclass(frozen=True)
class _GivenPrompt:
    """A prompt that the engine is to read."""

    attempt: int
    tokens: int
    given_at: float


class PromptQueue:
    """One start of an engine that reads prompts; guarded by its pool's lock.

    Prompts wait at the home and not at the engine: there, the most urgent one goes
    first, and none holds another engine's memory while it waits.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.contact = EngineContact(endpoint)
        self._given_by_request: dict[str, _GivenPrompt] = {}
        self._given_tokens = 0
        self._read_seconds = SPEED_SECONDS
        self._read_tokens = FIRST_TOKENS_PER_SECOND * SPEED_SECONDS
        self._free_since = steady_seconds()
        self._heard_at = steady_seconds()
        self._has_reported = False
        self._takes_prompts = True

    @property
    def endpoint(self) -> Endpoint:
        """Return the start, as it announced itself last."""
        return self.contact.endpoint

    @property
    def usable(self) -> bool:
        """Say whether the engine reads prompts for others now, or is about to say so.

        One that has not reported yet is waited for: engines that answer would read the
        prompts meanwhile, and stop all their answers for that.
        """
        fresh = self.report_age < USABLE_SECONDS
        return fresh and self._takes_prompts and not self.contact.is_lost

    @property
    def report_age(self) -> float:
        """Return how long ago it reported, or was heard of, in seconds."""
        return steady_seconds() - self._heard_at

    @property
    def speed(self) -> float:
        """Return how many tokens the engine reads in a second."""
        return self._read_tokens / self._read_seconds

    @property
    def seconds_left(self) -> float:
        """Return how long it will take to read what it was given."""
        if not self._given_by_request:
            return 0.0
        whole = self._given_tokens / self.speed
        return max(0.0, whole - (steady_seconds() - self._free_since))

    def seconds_for(self, prompt_tokens: int) -> float:
        """Return how long it would take to read one more prompt."""
        return self.seconds_left + prompt_tokens / self.speed

    @property
    def has_room(self) -> bool:
        """Say whether it should be given a further prompt now."""
        return self._has_reported and self.seconds_left <= READ_AHEAD_SECONDS

    def take_report(self, report: EngineReport) -> None:
        """Take over what the engine says."""
        self._heard_at = steady_seconds()
        self._has_reported = True
        self.contact.note_report()
        self._takes_prompts = report.reads_prompts and not report.busy
        self._forget_lost()

    def give(self, applicant: Applicant) -> None:
        """Note a prompt that the engine is to read."""
        now = steady_seconds()
        if not self._given_by_request:
            self._free_since = now
        self._take_out(applicant.request_id)
        self._given_by_request[applicant.request_id] = _GivenPrompt(
            applicant.attempt, applicant.prompt_tokens, now
        )
        self._given_tokens += applicant.prompt_tokens

    def note_read(self, request_id: str, attempt: int, learns: bool = True) -> None:
        """Note that the prompt of this attempt was read, or won't be.

        Late news of an earlier attempt, whose reader was another start, would let a
        further prompt in beside the one that is still read.
        """
        given = self._given_by_request.get(request_id)
        if given is None or given.attempt != attempt:
            return
        self._take_out(request_id)
        now = steady_seconds()
        seconds = now - max(given.given_at, self._free_since)
        if learns:
            self._learn(given.tokens, seconds)
        self._free_since = now

    def _take_out(self, request_id: str) -> None:
        given = self._given_by_request.pop(request_id, None)
        if given is not None:
            self._given_tokens -= given.tokens

    def _learn(self, tokens: int, seconds: float) -> None:
        kept = SPEED_SECONDS / (SPEED_SECONDS + seconds)
        self._read_seconds = kept * (self._read_seconds + seconds)
        self._read_tokens = kept * (self._read_tokens + tokens)

    def _forget_lost(self) -> None:
        oldest = steady_seconds() - LOST_SECONDS
        for request_id, given in list(self._given_by_request.items()):
            if given.given_at < oldest:
                self.note_read(request_id, given.attempt, learns=False)
