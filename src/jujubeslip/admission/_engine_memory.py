"""The answers of a decode engine, from its last report and the grants since then."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from jujubeslip.admission._answer_lengths import lengths_of
from jujubeslip.admission._engine_reachability import EngineReachability
from jujubeslip.admission._memory_forecast import (
    GrowingAnswer,
    MemoryProfile,
    profile_of,
)
from jujubeslip.admission._models import USABLE_SECONDS, GrantedRequest, GrantRequest
from jujubeslip.admission._own_prefills import OwnPrefills
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import steady_seconds
from jujubeslip.routes import EngineReport, RunningAnswer

# The age of the state in an engine's report: the initial estimate and its maximum, in
# seconds, and the weight of the latest report in the moving average.
INITIAL_LAG_SECONDS = 0.5
MAXIMUM_LAG_SECONDS = 2.0
LAG_WEIGHT = 0.1
# Only the first events of an answer are used to estimate the age, since the event rate
# is accurate enough for those only.
MAXIMUM_LAG_EVENTS = 15
# A request that was granted longer ago than this and is in no report has ended without
# notice from its host, in seconds. Prompts are prefilled within 1.5 seconds, and
# reports lag by one.
UNREPORTED_SECONDS = 4.0
# Reports may list an ended request for at most this long after its end, in seconds.
ENDED_KEPT_SECONDS = 4.0
# Minimum time for which a decode engine decodes between two prompts that it prefills
# itself while there are prefill engines, in seconds.
DECODE_SECONDS_BETWEEN_PREFILLS = 0.3
# Events that an engine adds to each answer in a second: the initial value, used until
# there are two reports (an engine with a dozen answers adds 15 to 18), and the weight
# of the latest two reports in the moving average.
INITIAL_EVENT_RATE = 15.0
EVENT_RATE_WEIGHT = 0.2


class _ProfileKey(NamedTuple):
    """What a forecast depends on besides the engine's own answers."""

    longest: int
    event_tokens: int


class EngineMemory:
    """The answers of one start of an engine; guarded by its pool's lock."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.reachability = EngineReachability(endpoint)
        self._report: EngineReport | None = None
        self._reported_at = float("-inf")
        self.capacity_tokens = 0
        """Tokens that fit, without the memory that is used by anything but answers."""
        self._event_rate = INITIAL_EVENT_RATE
        self._lag = INITIAL_LAG_SECONDS
        self._decode_start_by_id: dict[str, float] = {}
        self._granted_by_id: dict[str, GrantedRequest] = {}
        self._ended_at_by_id: dict[str, float] = {}
        self._prefilling: set[str] = set()
        self._own_prefills = OwnPrefills()
        self._profile_by_key: dict[_ProfileKey, MemoryProfile] = {}

    @property
    def endpoint(self) -> Endpoint:
        """Return the start as last announced."""
        return self.reachability.endpoint

    @property
    def report_age(self) -> float:
        """Return how long ago the last report was received, in seconds."""
        return steady_seconds() - self._reported_at

    @property
    def usable(self) -> bool:
        """Return whether the engine may be granted requests.

        An engine that carries out an order to change its role refuses all requests,
        and the prefill of each of their prompts would be wasted.
        """
        report = self._report
        if report is None or self.reachability.is_unreachable:
            return False
        if self.report_age >= USABLE_SECONDS:
            return False
        return not report.busy and not report.is_prefill_engine

    @property
    def event_rate(self) -> float:
        """Return the events that the engine adds to each answer in a second."""
        return self._event_rate

    @property
    def report_lag(self) -> float:
        """Return the estimated age of the state in the engine's reports, in seconds."""
        return self._lag

    @property
    def is_prefilling(self) -> bool:
        """Return whether the engine prefills a prompt, which pauses its answers."""
        return bool(self._prefilling)

    @property
    def has_decoded_since_prefill(self) -> bool:
        """Return whether it has decoded for a while since its last own prefill."""
        seconds = self._own_prefills.seconds_since(steady_seconds())
        return seconds >= DECODE_SECONDS_BETWEEN_PREFILLS

    @property
    def own_prefills(self) -> OwnPrefills:
        """Return the prompts that it prefilled itself."""
        return self._own_prefills

    def take_report(self, report: EngineReport) -> None:
        """Store the engine's report."""
        now = steady_seconds()
        if self._report is not None:
            self._update_event_rate(self._report, report, now - self._reported_at)
        self._update_lag(report, now)
        self._report = report
        self._reported_at = now
        listed = sum(item.memory_tokens for item in report.running)
        self.capacity_tokens = report.capacity_tokens - max(
            0, report.used_tokens - listed
        )
        self.reachability.note_report()
        self._profile_by_key.clear()
        for item in report.running:
            if item.events:
                self._end_prefill(item.request_id)
        self._remove_ended(now)

    def admit(self, granted_request: GrantedRequest) -> None:
        """Note a request that was given a grant."""
        request_id = granted_request.grant_request.request_id
        self._ended_at_by_id.pop(request_id, None)
        self._decode_start_by_id.pop(request_id, None)
        self._granted_by_id[request_id] = granted_request
        self._profile_by_key.clear()
        if granted_request.grant.prefill_engine is None:
            if not self._prefilling:
                self._own_prefills.begin(granted_request.since)
            self._prefilling.add(request_id)

    def note_prefilled(self, request_id: str, attempt: int) -> None:
        """Note that the prompt of this attempt of a request has been prefilled."""
        granted_request = self.find(request_id, attempt)
        if granted_request is None:
            return
        self._decode_start_by_id.setdefault(request_id, steady_seconds())
        if self._prefilling == {request_id}:
            tokens = granted_request.grant_request.prompt_tokens
            self._own_prefills.measure(tokens, steady_seconds())
        self._end_prefill(request_id)

    def _end_prefill(self, request_id: str) -> None:
        if request_id in self._prefilling:
            self._prefilling.discard(request_id)
            self._own_prefills.end(steady_seconds())

    def find(self, request_id: str, attempt: int) -> GrantedRequest | None:
        """Return the request granted here for this attempt, None if there is none."""
        granted_request = self._granted_by_id.get(request_id)
        if granted_request is None or granted_request.grant_request.attempt != attempt:
            return None
        return granted_request

    def end(self, request_id: str, attempt: int) -> None:
        """Note that a request has ended, if it was granted here."""
        if self.find(request_id, attempt) is None:
            return
        del self._granted_by_id[request_id]
        self._decode_start_by_id.pop(request_id, None)
        self._end_prefill(request_id)
        self._ended_at_by_id[request_id] = steady_seconds()
        self._profile_by_key.clear()

    def profile(self, new_request: GrantRequest) -> MemoryProfile:
        """Return how the memory of its answers grows, without the new request.

        The profile is cached until an answer begins or ends here or the engine reports:
        in a burst, every request is tried at every engine.
        """
        key = _ProfileKey(new_request.lengths.maximum, new_request.event_tokens)
        profile = self._profile_by_key.get(key)
        if profile is None:
            profile = profile_of(self.answers(new_request), new_request.lengths.maximum)
            self._profile_by_key[key] = profile
        return profile

    @property
    def answer_count(self) -> int:
        """Return how many answers it is decoding or about to decode."""
        running = _request_ids(self._report.running if self._report else ())
        return len((running | self._granted_by_id.keys()) - self._ended_at_by_id.keys())

    def answers(self, new_request: GrantRequest) -> list[GrowingAnswer]:
        """Return the answers that the engine decodes or is about to decode.

        A request that another host granted is assumed to be like the new request.
        """
        now = steady_seconds()
        running = self._report.running if self._report else ()
        reported = {item.request_id: item for item in running}
        since_state = now - self._reported_at + self._lag
        answers = [
            self._reported_answer(item, since_state, new_request)
            for item in running
            if item.request_id not in self._ended_at_by_id
        ]
        unreported = [
            self._unreported_answer(granted_request, since_state, now)
            for request_id, granted_request in self._granted_by_id.items()
            if request_id not in reported
        ]
        return answers + unreported

    def _reported_answer(
        self, item: RunningAnswer, since_state: float, new_request: GrantRequest
    ) -> GrowingAnswer:
        granted_request = self._granted_by_id.get(item.request_id)
        if granted_request is None:
            lengths = lengths_of(new_request.lengths.maximum)
            event_tokens = new_request.event_tokens
        else:
            lengths = granted_request.grant_request.lengths
            event_tokens = granted_request.grant_request.event_tokens
        events = min(
            item.events + int(self._event_rate * since_state), lengths.maximum - 1
        )
        grown = max(0, events - item.events) * event_tokens
        return GrowingAnswer(item.memory_tokens + grown, events, event_tokens, lengths)

    def _unreported_answer(
        self, granted_request: GrantedRequest, since_state: float, now: float
    ) -> GrowingAnswer:
        """Return a granted request's answer that no report lists yet."""
        grant_request = granted_request.grant_request
        decode_start = self._decode_start_by_id.get(grant_request.request_id, now)
        events = int(self._event_rate * min(since_state, now - decode_start))
        events = min(events, grant_request.lengths.maximum - 1)
        memory = grant_request.prompt_tokens + events * grant_request.event_tokens
        return GrowingAnswer(
            memory, events, grant_request.event_tokens, grant_request.lengths
        )

    def _update_event_rate(
        self, before: EngineReport, after: EngineReport, seconds: float
    ) -> None:
        events_before = {item.request_id: item.events for item in before.running}
        event_counts = [
            item.events - events_before[item.request_id]
            for item in after.running
            if item.request_id in events_before
        ]
        if event_counts and seconds > 0:
            latest = sum(event_counts) / len(event_counts) / seconds
            self._event_rate += EVENT_RATE_WEIGHT * (latest - self._event_rate)

    def _update_lag(self, report: EngineReport, now: float) -> None:
        """Compare how long answers have run with their events in the report."""
        lags = [
            now
            - self._decode_start_by_id[item.request_id]
            - item.events / self._event_rate
            for item in report.running
            if item.request_id in self._decode_start_by_id
            and 0 < item.events <= MAXIMUM_LAG_EVENTS
        ]
        if lags:
            latest = min(MAXIMUM_LAG_SECONDS, max(0.0, sum(lags) / len(lags)))
            self._lag += LAG_WEIGHT * (latest - self._lag)

    def _remove_ended(self, now: float) -> None:
        self._ended_at_by_id = {
            request_id: ended_at
            for request_id, ended_at in self._ended_at_by_id.items()
            if now - ended_at < ENDED_KEPT_SECONDS
        }
        listed = _request_ids(self._report.running if self._report else ())
        for request_id, granted_request in list(self._granted_by_id.items()):
            if (
                request_id not in listed
                and now - granted_request.since > UNREPORTED_SECONDS
            ):
                del self._granted_by_id[request_id]
                self._decode_start_by_id.pop(request_id, None)
                self._prefilling.discard(request_id)


def _request_ids(running: Iterable[RunningAnswer]) -> set[str]:
    return {item.request_id for item in running}
