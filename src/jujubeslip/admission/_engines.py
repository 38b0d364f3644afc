"""The engines of one service: what they are given, and which one suits a request."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from dataclasses import replace
from typing import TypeVar

from jujubeslip.admission._engine_memory import EngineMemory
from jujubeslip.admission._memory_forecast import (
    GrowingAnswer,
    MemoryOptions,
    MemoryProfile,
    profile_of,
)
from jujubeslip.admission._models import Admitted, Applicant, Grant
from jujubeslip.admission._prompt_demand import PromptDemand
from jujubeslip.admission._prompt_queue import FIRST_TOKENS_PER_SECOND, PromptQueue
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import steady_seconds
from jujubeslip.routes import EngineReport

T = TypeVar("T", EngineMemory, PromptQueue)

# How much fuller an engine in the entry host's own availability zone may be than one
# in another zone, as a share of its memory. When a zone is cut off, the answers that
# cross its border are lost. With this and the bound on prompts that an engine reads
# beside its answers, 49 to 61 of 100 streams were in time meanwhile, 39 to 54 without.
OTHER_ZONE_FILL = 0.25
# How fast an engine that answers reads prompts, as a share of the speed of one that
# only does that, as engines are specified.
OWN_SPEED_SHARE = 0.5
# How long a full engine takes for an event, in seconds, as measured: a pause lasts for
# that, too.
EVENT_SECONDS = 0.08


class ServiceEngines:
    """The engines that answer and those that read prompts; guarded by the pool's lock.

    Finds the best grant for one request. Which request is next is the pool's matter.
    """

    def __init__(self, options: MemoryOptions) -> None:
        self._options = options
        self._engine_by_start: dict[str, EngineMemory] = {}
        self._reader_by_start: dict[str, PromptQueue] = {}
        self._read_speed = FIRST_TOKENS_PER_SECOND
        self._demand = PromptDemand()

    def keep_only(
        self, answering: Collection[Endpoint], reading: Collection[Endpoint]
    ) -> None:
        """Give grants at the first ones, and prompts to the second ones, only.

        What was given at a start that is gone goes with it.
        """
        _keep_only(self._engine_by_start, answering, EngineMemory)
        _keep_only(self._reader_by_start, reading, PromptQueue)

    def take_report(self, start_id: str, report: EngineReport) -> None:
        """Take over what a start of an engine says of itself."""
        engine = self._engine_by_start.get(start_id)
        if engine is not None:
            engine.take_report(report)
        reader = self._reader_by_start.get(start_id)
        if reader is not None:
            reader.take_report(report)
            self._read_speed = reader.speed

    @property
    def busy_readers(self) -> float:
        """Return how many readers the prompts of the last seconds would keep busy.

        By what requests ask for and the speed that readers showed. How long prompts
        took would count the time that they waited at a reader, and make the load of a
        burst look twice as high.
        """
        return self._demand.tokens_per_second(steady_seconds()) / self._read_speed

    def note_asked(self, applicant: Applicant) -> None:
        """Note a request that asks for a grant."""
        if not applicant.reads_itself:
            tokens = applicant.prompt_tokens
            self._demand.note(applicant.request_id, tokens, steady_seconds())

    def note_lost(self, start_id: str) -> None:
        """Give a start of an engine that can't be reached nothing until it is back."""
        engine = self._engine_by_start.get(start_id)
        if engine is not None:
            engine.contact.note_lost()
        reader = self._reader_by_start.get(start_id)
        if reader is not None:
            reader.contact.note_lost()

    @property
    def usable(self) -> bool:
        """Say whether any engine is known well enough to be given requests."""
        return any(engine.usable for engine in self._engine_by_start.values())

    def admit(self, applicant: Applicant, grant: Grant) -> None:
        """Note that a request was given a grant."""
        admitted = Admitted(applicant, grant, steady_seconds())
        self._engine_by_start[grant.endpoint.start_id].admit(admitted)
        if grant.reader is not None:
            self._reader_by_start[grant.reader.start_id].give(applicant)

    def given_before(self, applicant: Applicant) -> Grant | None:
        """Return the grant of a request that asks again after a lost answer."""
        for engine in self._engine_by_start.values():
            admitted = engine.find(applicant.request_id, applicant.attempt)
            if admitted is not None:
                return admitted.grant
        return None

    def note_read(self, request_id: str, attempt: int) -> None:
        """Note that a request's prompt was read, or won't be where it was to be."""
        for reader in self._reader_by_start.values():
            reader.note_read(request_id, attempt)
        for engine in self._engine_by_start.values():
            engine.note_read(request_id, attempt)

    def end(self, request_id: str, attempt: int) -> None:
        """Note that a request has ended, or will not be sent."""
        self.note_read(request_id, attempt)
        for engine in self._engine_by_start.values():
            engine.end(request_id, attempt)

    def find_grant(
        self, applicant: Applicant, avoided: Collection[str]
    ) -> Grant | None:
        """Return the best grant, None if all engines are full.

        An engine that reads a prompt by itself stops all its answers meanwhile. That
        is done only while no engine reads for others.
        """
        reader = None
        if not applicant.reads_itself:
            readers = self._readers(avoided)
            ready = [item for item in readers if item.has_room]
            if readers and not ready:
                return None
            reader = min(
                ready,
                key=lambda item: (item.seconds_left, random.random()),
                default=None,
            )
        own = _OwnProfiles(applicant)
        grants = [
            grant
            for engine in self._engine_by_start.values()
            if engine.usable and engine.endpoint.start_id not in avoided
            if reader is not None or self._may_read(engine, applicant)
            if (grant := self._grant_at(engine, applicant, own)) is not None
        ]
        own_zone = applicant.availability_zone
        found = min(
            grants,
            key=lambda item: (self._cost(item, own_zone), random.random()),
            default=None,
        )
        if found is None or reader is None:
            return found
        return replace(
            found,
            reader=reader.endpoint,
            read_seconds=reader.seconds_for(applicant.prompt_tokens),
        )

    def _cost(self, grant: Grant, own_zone: str) -> float:
        is_near = grant.endpoint.availability_zone == own_zone
        return grant.fill + (0.0 if is_near else OTHER_ZONE_FILL)

    def _readers(self, avoided: Collection[str]) -> list[PromptQueue]:
        return [
            reader
            for reader in self._reader_by_start.values()
            if reader.usable and reader.endpoint.start_id not in avoided
        ]

    def _may_read(self, engine: EngineMemory, applicant: Applicant) -> bool:
        """Say whether the engine may read the prompt beside its other answers.

        One prompt at a time, and none that takes too long: its answers, a dozen of
        them, would pause for longer than they may, and all be late.
        """
        if engine.reads_prompt:
            return False
        seconds = applicant.prompt_tokens / (self._read_speed * OWN_SPEED_SHARE)
        longest = max(0.0, applicant.maximum_gap - EVENT_SECONDS)
        return seconds <= longest or not engine.profile(applicant).answers

    def _grant_at(
        self, engine: EngineMemory, applicant: Applicant, own: _OwnProfiles
    ) -> Grant | None:
        profile = engine.profile(applicant)
        if profile.answers >= applicant.slots:
            return None
        capacity = max(1, engine.capacity_tokens)
        own_profile = own.over(profile.longest)
        fill = profile.peak_with(own_profile, self._options.caution) / capacity
        if fill > 1 - self._options.margin:
            return None
        return Grant(engine.endpoint, fill, int(engine.report_age * 1000))


class _OwnProfiles:
    """How the memory of one request's answer will grow, computed once for all engines.

    Engines whose longest answers differ look at different instants.
    """

    def __init__(self, applicant: Applicant) -> None:
        self._answer = GrowingAnswer(
            applicant.prompt_tokens, 0, applicant.event_tokens, applicant.lengths
        )
        self._profile_by_longest: dict[int, MemoryProfile] = {}

    def over(self, longest: int) -> MemoryProfile:
        """Return the profile at the instants of an engine with this longest answer."""
        found = self._profile_by_longest.get(longest)
        if found is None:
            found = profile_of([self._answer], longest)
            self._profile_by_longest[longest] = found
        return found


def _keep_only(
    by_start: dict[str, T],
    wanted: Collection[Endpoint],
    create: Callable[[Endpoint], T],
) -> None:
    for start_id in by_start.keys() - {endpoint.start_id for endpoint in wanted}:
        del by_start[start_id]
    for endpoint in wanted:
        known = by_start.get(endpoint.start_id)
        if known is None:
            by_start[endpoint.start_id] = create(endpoint)
        else:
            known.contact.endpoint = endpoint
