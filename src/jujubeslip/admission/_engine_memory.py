"""What an engine is making, from its last report and from the grants given since."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from jujubeslip.admission._contact import EngineContact
from jujubeslip.admission._lengths import lengths_of
from jujubeslip.admission._memory_forecast import (
    GrowingAnswer,
    MemoryProfile,
    profile_of,
)
from jujubeslip.admission._models import USABLE_SECONDS, Admitted, Applicant
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import steady_seconds
from jujubeslip.routes import EngineReport, RunningAnswer

# How old the state is that an engine's report tells, before answers have shown it, and
# at most, in seconds; and how much the latest report counts for it.
FIRST_LAG_SECONDS = 0.5
MAXIMUM_LAG_SECONDS = 2.0
LAG_WEIGHT = 0.1
# Answers show the age by their first events only, while the pace is known for sure.
LAG_EVENTS = 15
# A request that has had its grant for longer than this and is in no report has ended
# without its host's word, in seconds: prompts are read within 1.5, reports lag by one.
UNSEEN_SECONDS = 4.0
# Reports that still list a request that has ended are behind by no more than this.
ENDED_SECONDS = 4.0
# How long an engine makes answers between two prompts that it reads, in seconds: each
# of its answers has some events in it.
REST_SECONDS = 0.3
# Events that an engine adds to each answer in a second, before two reports showed it
# (with a dozen answers, 15 to 18 were measured), and how much the latest two count.
FIRST_PACE = 15.0
PACE_WEIGHT = 0.2


class _ProfileKey(NamedTuple):
    """What a forecast depends on beside the engine's own answers."""

    longest: int
    event_tokens: int


class EngineMemory:
    """The answers of one start of an engine; guarded by its pool's lock."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.contact = EngineContact(endpoint)
        self._report: EngineReport | None = None
        self._reported_at = float("-inf")
        self.capacity_tokens = 0
        """Tokens that fit, less what something other than answers takes."""
        self._pace = FIRST_PACE
        self._lag = FIRST_LAG_SECONDS
        self._begun_at_by_id: dict[str, float] = {}
        self._admitted_by_id: dict[str, Admitted] = {}
        self._ended_at_by_id: dict[str, float] = {}
        self._reading: set[str] = set()
        self._read_at = float("-inf")
        self._profile_by_key: dict[_ProfileKey, MemoryProfile] = {}

    @property
    def endpoint(self) -> Endpoint:
        """Return the start, as it announced itself last."""
        return self.contact.endpoint

    @property
    def report_age(self) -> float:
        """Return how long ago the last report came, in seconds."""
        return steady_seconds() - self._reported_at

    @property
    def usable(self) -> bool:
        """Say whether enough is known of the engine to give it requests.

        While an engine carries out an order to change its role it refuses all of them,
        and each would have its prompt read in vain.
        """
        report = self._report
        if report is None or self.contact.is_lost:
            return False
        if self.report_age >= USABLE_SECONDS:
            return False
        return not report.busy and not report.reads_prompts

    @property
    def pace(self) -> float:
        """Return the events that it adds to each answer in a second."""
        return self._pace

    @property
    def report_lag(self) -> float:
        """Return how old the state is that its reports tell, in seconds."""
        return self._lag

    @property
    def reads_prompt(self) -> bool:
        """Say whether it reads a prompt by itself, while its answers stand still."""
        return bool(self._reading)

    @property
    def has_rested(self) -> bool:
        """Say whether its answers have gone on since the last prompt that it read.

        Two prompts in a row are one pause, for which all of its answers are late.
        """
        return steady_seconds() - self._read_at >= REST_SECONDS

    def take_report(self, report: EngineReport) -> None:
        """Take over what the engine says."""
        now = steady_seconds()
        if self._report is not None:
            self._learn_pace(self._report, report, now - self._reported_at)
        self._learn_lag(report, now)
        self._report = report
        self._reported_at = now
        listed = sum(item.memory_tokens for item in report.running)
        self.capacity_tokens = report.capacity_tokens - max(
            0, report.used_tokens - listed
        )
        self.contact.note_report()
        self._profile_by_key.clear()
        for item in report.running:
            if item.events:
                self._end_reading(item.request_id)
        self._forget_ended(now)

    def admit(self, admitted: Admitted) -> None:
        """Note a request that was given a grant."""
        request_id = admitted.applicant.request_id
        self._ended_at_by_id.pop(request_id, None)
        self._begun_at_by_id.pop(request_id, None)
        self._admitted_by_id[request_id] = admitted
        self._profile_by_key.clear()
        if admitted.grant.reader is None:
            self._reading.add(request_id)

    def note_read(self, request_id: str, attempt: int) -> None:
        """Note that the prompt of this attempt of a request has been read."""
        if self.find(request_id, attempt) is not None:
            self._begun_at_by_id.setdefault(request_id, steady_seconds())
            self._end_reading(request_id)

    def _end_reading(self, request_id: str) -> None:
        if request_id in self._reading:
            self._reading.discard(request_id)
            self._read_at = steady_seconds()

    def find(self, request_id: str, attempt: int) -> Admitted | None:
        """Return the grant that was given here for this attempt of a request."""
        admitted = self._admitted_by_id.get(request_id)
        if admitted is None or admitted.applicant.attempt != attempt:
            return None
        return admitted

    def end(self, request_id: str, attempt: int) -> None:
        """Note that a request has ended, if it had its grant here."""
        if self.find(request_id, attempt) is None:
            return
        del self._admitted_by_id[request_id]
        self._begun_at_by_id.pop(request_id, None)
        self._end_reading(request_id)
        self._ended_at_by_id[request_id] = steady_seconds()
        self._profile_by_key.clear()

    def profile(self, asking: Applicant) -> MemoryProfile:
        """Return how the memory of its answers grows, without the one who asks.

        Kept until something begins or ends here, or the engine reports: in a burst,
        every request looks at every engine.
        """
        key = _ProfileKey(asking.lengths.maximum, asking.event_tokens)
        known = self._profile_by_key.get(key)
        if known is None:
            known = profile_of(self.answers(asking), asking.lengths.maximum)
            self._profile_by_key[key] = known
        return known

    @property
    def answer_count(self) -> int:
        """Return how many answers it makes now, or is about to make."""
        running = _request_ids(self._report.running if self._report else ())
        return len(
            (running | self._admitted_by_id.keys()) - self._ended_at_by_id.keys()
        )

    def answers(self, asking: Applicant) -> list[GrowingAnswer]:
        """Return what the engine makes now, and is about to make beside one who asks.

        What another host let in is taken to be of the kind of the one who asks.
        """
        now = steady_seconds()
        running = self._report.running if self._report else ()
        reported = {item.request_id: item for item in running}
        since_state = now - self._reported_at + self._lag
        answers = [
            self._reported(item, since_state, asking)
            for item in running
            if item.request_id not in self._ended_at_by_id
        ]
        unseen = [
            self._unseen(admitted, since_state, now)
            for request_id, admitted in self._admitted_by_id.items()
            if request_id not in reported
        ]
        return answers + unseen

    def _reported(
        self, item: RunningAnswer, since_state: float, asking: Applicant
    ) -> GrowingAnswer:
        admitted = self._admitted_by_id.get(item.request_id)
        if admitted is None:
            lengths = lengths_of(asking.lengths.maximum)
            event_tokens = asking.event_tokens
        else:
            lengths = admitted.applicant.lengths
            event_tokens = admitted.applicant.event_tokens
        events = min(item.events + int(self._pace * since_state), lengths.maximum - 1)
        grown = max(0, events - item.events) * event_tokens
        return GrowingAnswer(item.memory_tokens + grown, events, event_tokens, lengths)

    def _unseen(
        self, admitted: Admitted, since_state: float, now: float
    ) -> GrowingAnswer:
        """Return an answer that no report shows yet."""
        applicant = admitted.applicant
        begun_at = self._begun_at_by_id.get(applicant.request_id, now)
        events = int(self._pace * min(since_state, now - begun_at))
        events = min(events, applicant.lengths.maximum - 1)
        memory = applicant.prompt_tokens + events * applicant.event_tokens
        return GrowingAnswer(memory, events, applicant.event_tokens, applicant.lengths)

    def _learn_pace(
        self, before: EngineReport, after: EngineReport, seconds: float
    ) -> None:
        events_before = {item.request_id: item.events for item in before.running}
        made = [
            item.events - events_before[item.request_id]
            for item in after.running
            if item.request_id in events_before
        ]
        if made and seconds > 0:
            latest = sum(made) / len(made) / seconds
            self._pace += PACE_WEIGHT * (latest - self._pace)

    def _learn_lag(self, report: EngineReport, now: float) -> None:
        """Compare how long answers have run with the events that the report tells."""
        lags = [
            now - self._begun_at_by_id[item.request_id] - item.events / self._pace
            for item in report.running
            if item.request_id in self._begun_at_by_id and 0 < item.events <= LAG_EVENTS
        ]
        if lags:
            latest = min(MAXIMUM_LAG_SECONDS, max(0.0, sum(lags) / len(lags)))
            self._lag += LAG_WEIGHT * (latest - self._lag)

    def _forget_ended(self, now: float) -> None:
        self._ended_at_by_id = {
            request_id: ended_at
            for request_id, ended_at in self._ended_at_by_id.items()
            if now - ended_at < ENDED_SECONDS
        }
        listed = _request_ids(self._report.running if self._report else ())
        for request_id, admitted in list(self._admitted_by_id.items()):
            if request_id not in listed and now - admitted.since > UNSEEN_SECONDS:
                del self._admitted_by_id[request_id]
                self._begun_at_by_id.pop(request_id, None)
                self._reading.discard(request_id)


def _request_ids(running: Iterable[RunningAnswer]) -> set[str]:
    return {item.request_id for item in running}
