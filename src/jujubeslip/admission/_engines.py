"""The engines of one service: what they are given, and which one suits a request."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Iterator
from dataclasses import replace
from typing import NamedTuple, TypeVar

from jujubeslip.admission._engine_demand import EngineDemand
from jujubeslip.admission._engine_memory import EngineMemory
from jujubeslip.admission._memory_forecast import MemoryOptions, MemoryProfile
from jujubeslip.admission._models import (
    Admitted,
    Applicant,
    EngineUse,
    Grant,
    Lack,
)
from jujubeslip.admission._prompt_queue import PromptQueue
from jujubeslip.admission._readers_now import ReadersNow
from jujubeslip.admission._room_changes import RoomChanges
from jujubeslip.admission._room_search import RoomSearch
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import steady_seconds
from jujubeslip.routes import EngineReport

T = TypeVar("T", EngineMemory, PromptQueue)
MayRead = Callable[[EngineMemory, Applicant], bool]

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


class _GrantKey(NamedTuple):
    """One of the grants that a request was given."""

    request_id: str
    attempt: int


class ServiceEngines:
    """The engines that answer and those that read prompts; guarded by the pool's lock.

    Finds the best grant for one request. Which request is next is the pool's matter.
    """

    def __init__(self, options: MemoryOptions) -> None:
        self._options = options
        self._engine_by_start: dict[str, EngineMemory] = {}
        self._reader_by_start: dict[str, PromptQueue] = {}
        self._room_changes = RoomChanges()
        self._grant_by_key: dict[_GrantKey, Grant] = {}
        self._demand = EngineDemand(options)

    def keep_only(
        self, answering: Collection[Endpoint], reading: Collection[Endpoint]
    ) -> None:
        """Give grants at the first ones, and prompts to the second ones, only.

        What was given at a start that is gone goes with it.
        """
        _keep_only(self._engine_by_start, answering, EngineMemory)
        _keep_only(self._reader_by_start, reading, PromptQueue)
        self._room_changes.keep_only(self._engine_by_start)
        self._forget_grants()

    def _forget_grants(self) -> None:
        """Forget grants at starts that are gone or no longer know of them."""
        for key, grant in list(self._grant_by_key.items()):
            engine = self._engine_by_start.get(grant.endpoint.start_id)
            if engine is None or engine.find(key.request_id, key.attempt) is None:
                del self._grant_by_key[key]

    def take_report(self, start_id: str, report: EngineReport) -> None:
        """Take over what a start of an engine says of itself."""
        engine = self._engine_by_start.get(start_id)
        if engine is not None:
            engine.take_report(report)
            self._demand.note_report(engine)
            self._room_changes.note(start_id)
        reader = self._reader_by_start.get(start_id)
        if reader is not None:
            reader.take_report(report)
            self._demand.read_speed = reader.speed

    def reported_within(self, start_id: str, seconds: float) -> bool:
        """Say whether a start has reported lately and can be reached."""
        reader = self._reader_by_start.get(start_id)
        if reader is not None:
            return reader.report_age < seconds and not reader.contact.is_lost
        engine = self._engine_by_start.get(start_id)
        if engine is None or engine.contact.is_lost:
            return False
        return engine.report_age < seconds

    def answer_count(self, start_id: str) -> int:
        """Return how many answers an engine makes now, 0 if it isn't known."""
        engine = self._engine_by_start.get(start_id)
        return engine.answer_count if engine is not None else 0

    @property
    def busy_readers(self) -> float:
        """Return how many readers the prompts of the last seconds would keep busy."""
        return self._demand.busy_readers

    @property
    def use(self) -> EngineUse:
        """Return how many engines the requests granted lately keep busy."""
        return self._demand.use_of(self._engine_by_start.values())

    def note_asked(self, applicant: Applicant) -> None:
        """Note a request that asks for a grant."""
        self._demand.note_asked(applicant)

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
        now = steady_seconds()
        self._demand.note_granted(applicant, now)
        admitted = Admitted(applicant, grant, now)
        self._engine_by_start[grant.endpoint.start_id].admit(admitted)
        if grant.reader is not None:
            self._reader_by_start[grant.reader.start_id].give(applicant)
        self._grant_by_key[_GrantKey(applicant.request_id, applicant.attempt)] = grant

    def given_before(self, applicant: Applicant) -> Grant | None:
        """Return the grant of a request that asks again after a lost answer."""
        grant = self._grant_by_key.get(
            _GrantKey(applicant.request_id, applicant.attempt)
        )
        if grant is None:
            return None
        engine = self._engine_by_start.get(grant.endpoint.start_id)
        held = engine and engine.find(applicant.request_id, applicant.attempt)
        return grant if held else None

    def note_read(self, request_id: str, attempt: int) -> None:
        """Note that a request's prompt was read, or won't be where it was to be."""
        grant = self._grant_by_key.get(_GrantKey(request_id, attempt))
        if grant is None:
            return
        engine = self._engine_by_start.get(grant.endpoint.start_id)
        if engine is not None:
            engine.note_read(request_id, attempt)
        if grant.reader is None:
            return
        reader = self._reader_by_start.get(grant.reader.start_id)
        if reader is not None:
            reader.note_read(request_id, attempt)

    def end(self, request_id: str, attempt: int) -> None:
        """Note that a request has ended, or will not be sent."""
        self.note_read(request_id, attempt)
        grant = self._grant_by_key.pop(_GrantKey(request_id, attempt), None)
        if grant is None:
            return
        engine = self._engine_by_start.get(grant.endpoint.start_id)
        if engine is not None:
            engine.end(request_id, attempt)
            self._room_changes.note(grant.endpoint.start_id)

    def readers_now(self) -> ReadersNow:
        """Return the readers that may be given prompts, until the next grant."""
        return ReadersNow(tuple(self._reader_by_start.values()))

    def find_grant(
        self, search: RoomSearch, readers: ReadersNow, reads_beside: bool = False
    ) -> Grant | None:
        """Return the best grant, None if all engines are full.

        An engine that reads a prompt by itself stops all its answers meanwhile. That
        is done only while no engine reads for others, or with `reads_beside`, while
        those that do have enough to read.
        """
        search.lacks = Lack.MEMORY
        if search.tried_at == self._room_changes.latest:
            return None
        applicant = search.applicant
        reader, may_read = None, self._may_read
        if not applicant.reads_itself and readers.any_but(search.avoided):
            reader, may_read = readers.next_but(search.avoided), self._may_read_beside
            if reader is None and not reads_beside:
                search.lacks = Lack.READER
                return None
        found = self._cheapest(search, None if reader else may_read)
        if found is None or reader is None:
            return found
        return replace(
            found,
            reader=reader.endpoint,
            read_seconds=reader.seconds_for(applicant.prompt_tokens),
        )

    def _cheapest(
        self, search: RoomSearch, may_read: MayRead | None = None
    ) -> Grant | None:
        """Return the grant at the engine that costs least.

        Engines are looked at from the lowest bound of their cost on, until no further
        one can cost less than the best that was found. `may_read` says which of them
        may read the prompt, None where another engine does.
        """
        best: Grant | None = None
        best_cost = math.inf
        bounds = sorted(self._bounds(search, may_read))
        if not bounds and may_read is not None and any(self._bounds(search, None)):
            search.lacks = Lack.MAY_READ
        for bound in bounds:
            if bound.cost >= best_cost:
                break
            grant = self._grant_at(bound, search)
            if grant is None:
                continue
            cost = bound.zone_cost + grant.fill
            if cost < best_cost:
                best, best_cost = grant, cost
        # One that may not read now may do so before anything ends there.
        if best is None and may_read is None:
            search.note_no_room(self._room_changes.latest)
        return best

    def _bounds(self, search: RoomSearch, may_read: MayRead | None) -> Iterator[_Bound]:
        """Yield the engines that may have room, with the least that each can cost.

        Left out are those that had none when the request was last tried, and those
        that are full with its prompt: a peak is no less than what is in use now.
        """
        applicant = search.applicant
        for engine in self._changed_since(search):
            if may_read is not None and not may_read(engine, applicant):
                continue
            profile = engine.profile(applicant)
            capacity = max(1, engine.capacity_tokens)
            fill = (profile.used_now + applicant.prompt_tokens) / capacity
            if fill > 1 - self._options.margin or profile.answers >= applicant.slots:
                continue
            is_near = engine.endpoint.availability_zone == applicant.availability_zone
            zone_cost = 0.0 if is_near else OTHER_ZONE_FILL
            yield _Bound(fill + zone_cost, random.random(), zone_cost, engine, profile)

    def _changed_since(self, search: RoomSearch) -> Iterator[EngineMemory]:
        for start_id in self._room_changes.since(search.tried_at):
            engine = self._engine_by_start.get(start_id)
            if engine is None or start_id in search.avoided:
                continue
            if engine.usable:
                yield engine

    def _may_read_beside(self, engine: EngineMemory, applicant: Applicant) -> bool:
        """Say whether it may do so while other engines read, which others wait for."""
        return engine.has_rested and self._may_read(engine, applicant)

    def _may_read(self, engine: EngineMemory, applicant: Applicant) -> bool:
        """Say whether the engine may read the prompt beside its other answers.

        One prompt at a time, and none that takes too long: its answers, a dozen of
        them, would pause for longer than they may, and all be late.
        """
        if engine.reads_prompt:
            return False
        seconds = applicant.prompt_tokens / (self._demand.read_speed * OWN_SPEED_SHARE)
        longest = max(0.0, applicant.maximum_gap - EVENT_SECONDS)
        return seconds <= longest or not engine.profile(applicant).answers

    def _grant_at(self, bound: _Bound, search: RoomSearch) -> Grant | None:
        engine, profile = bound.engine, bound.profile
        capacity = max(1, engine.capacity_tokens)
        limit = (1 - self._options.margin) * capacity
        own = search.own_profile(profile.longest)
        peak = profile.peak_with(own, self._options.caution, limit)
        if peak is None:
            return None
        return Grant(engine.endpoint, peak / capacity, int(engine.report_age * 1000))


class _Bound(NamedTuple):
    """An engine, ordered by the least that it can cost, equal ones by lot."""

    cost: float
    lot: float
    zone_cost: float
    engine: EngineMemory
    profile: MemoryProfile


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
