"""How many engines read prompts and how many answer: the decision alone.

The load that it answers: reading a prompt takes an engine a tenth of a second, and its
answer holds another engine's memory for seconds. Engines come in a fixed proportion of
the two roles, which fits some model and some length of prompts. Where it leaves readers
idle, answers wait for memory in each burst; where readers are lost, prompts wait.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass

from jujubeslip.admission import EngineNeed, EngineUse
from jujubeslip.control._spare_readers import (
    LEAST_READERS,
    EngineBalance,
    least_readers,
)
from jujubeslip.discovery import Endpoint
from jujubeslip.peers import EndpointRole, ServicePressure

# How long engines must be short of memory before one is ordered, in seconds: longer
# than a moment's queue, and short beside the change itself, which takes seconds.
SHORT_SECONDS = 1.5
# Share of the remaining readers' time that prompts may take after a change.
PROMPT_SHARE = 0.85
# Engines that answer, for each that reads prompts, before requests have shown it.
DECODE_PER_PREFILL = 3
# Prompts are watched for this long before a reader is taken for idle, in seconds: long
# enough to see the load go up and down, short enough to act before the next burst.
WATCHED_SECONDS = 4.0
# Readers are kept for about so many times the busiest moment that was watched: requests
# come twice as often in a burst, and a change back takes longer than a burst.
SPARE_TIMES = 2.0
# Readers are short while prompts took this share of their time for that long, in
# seconds: a change takes several seconds itself, and a burst may be over by then.
BUSY_SHARE = 0.9
BUSY_SECONDS = 3.0
# How long what engines did counts for the share of readers, in seconds: about three
# answers in a row.
SHARES_SECONDS = 8.0
# Engines that may be changing at once, as a share of a service's engines, and where
# there are few: one whose order got no answer serves in neither role for seconds, and
# callers can miss a tenth of the engines for that long.
CHANGING_SHARE = 0.1
LEAST_CHANGING = 2


@dataclass(frozen=True)
class Engines:
    """The engines of a service that were heard lately, by role."""

    prefill: tuple[Endpoint, ...]
    decode: tuple[Endpoint, ...]

    def where(self, test: Callable[[Endpoint], bool]) -> Engines:
        """Return the engines that pass the test."""
        return Engines(
            tuple(engine for engine in self.prefill if test(engine)),
            tuple(engine for engine in self.decode if test(engine)),
        )

    @property
    def count(self) -> int:
        """Return how many engines there are."""
        return len(self.prefill) + len(self.decode)


class PromptLoad:
    """How busy the readers of one service were lately."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque()
        self._begun_at: float | None = None
        self._noted_since: float | None = None
        self._continued = (-math.inf, 0.0)

    @classmethod
    def continued(cls, now: float, busiest: float) -> PromptLoad:
        """Return a load that was watched until now, with this busiest moment."""
        load = cls()
        load._begun_at = now - WATCHED_SECONDS
        load._continued = (now, busiest)
        return load

    def note(self, now: float, busy_readers: float) -> None:
        """Note how many readers' whole time prompts take at this moment."""
        if self._begun_at is None and busy_readers > 0:
            self._begun_at = now
        if self._noted_since is None:
            self._noted_since = now
        self._samples.append((now, busy_readers))
        while self._samples[0][0] < now - WATCHED_SECONDS:
            self._samples.popleft()

    def busiest(self, now: float) -> float | None:
        """Return the most readers that were busy, None before it was watched enough.

        Nothing asked for in all that time is no idle service: its hosts may not reach
        this one, and their prompts are back with them.
        """
        if self._begun_at is None or now - self._begun_at < WATCHED_SECONDS:
            return None
        told_at, told = self._continued
        known = [busy for _, busy in self._samples]
        if told_at >= now - WATCHED_SECONDS:
            known.append(told)
        return max(known, default=0.0) or None

    @property
    def busiest_noted(self) -> float | None:
        """Return the most readers that were noted, None where none was busy."""
        return max((busy for _, busy in self._samples), default=0.0) or None

    def least(self, now: float) -> float:
        """Return how many readers were busy all the time lately.

        None were where that was not noted for long enough: a moment says nothing.
        """
        if self._noted_since is None or now - self._noted_since < BUSY_SECONDS:
            return 0.0
        recent = [busy for at, busy in self._samples if at > now - BUSY_SECONDS]
        return min(recent, default=0.0)


class EngineShares:
    """How many engines answer for each that reads, by what requests keep busy.

    Both are observed: the time that a prompt takes of a reader, and the memory and time
    that its answer takes of another engine. Before answers have run long enough to show
    that, it is what the first requests are expected to take: a change of role takes
    seconds, and the first burst may come before.
    """

    def __init__(self) -> None:
        self._reading = 0.0
        self._answering = 0.0
        self._usual_need: EngineNeed | None = None
        self._begun_at: float | None = None
        self._noted_at = 0.0

    @classmethod
    def continued(cls, now: float, use: EngineUse) -> EngineShares:
        """Return shares that were watched until now, with this mean use."""
        shares = cls()
        shares._begun_at, shares._noted_at = now - WATCHED_SECONDS, now
        shares._reading, shares._answering = use.reading, use.answering
        return shares

    @property
    def mean_use(self) -> EngineUse:
        """Return how many engines were busy in the mean of the last seconds."""
        return EngineUse(self._reading, self._answering)

    def note(self, now: float, use: EngineUse) -> None:
        """Note how many engines were busy at this moment."""
        self._usual_need = use.usual_need
        if self._begun_at is None:
            if use.reading <= 0:
                return
            self._begun_at = self._noted_at = now
        kept = math.exp((self._noted_at - now) / SHARES_SECONDS)
        self._reading = kept * self._reading + (1 - kept) * use.reading
        self._answering = kept * self._answering + (1 - kept) * use.answering
        self._noted_at = now

    def useful_readers(
        self, engines: Engines, now: float, least: int = LEAST_READERS
    ) -> int | None:
        """Return the most readers for whose prompts answers find memory.

        With more of them, answers would wait for memory sooner than prompts for a
        reader, whatever is asked for. None before enough was seen. `least` are kept
        whatever is useful: one that reads already is there if another is lost.
        """
        share = self.reading_share(now)
        if share is None:
            return None
        return max(least, round(engines.count * share))

    def least_readers(
        self, engines: Engines, load: PromptLoad, now: float, lacks_memory: bool
    ) -> int:
        """Return how many readers stay, whatever they do now."""
        share, busiest = self.reading_share(now), load.busiest(now)
        if not share or busiest is None:
            return LEAST_READERS
        balance = EngineBalance(engines.count, share)
        return least_readers(balance, busiest * SPARE_TIMES, lacks_memory)

    def reading_share(self, now: float) -> float | None:
        """Return the share of engines that reads while the others answer."""
        begun_at, need = self._begun_at, self._usual_need
        is_watched = begun_at is not None and now - begun_at >= WATCHED_SECONDS
        if is_watched and self._reading:
            return self._reading / (self._reading + self._answering)
        if need is None:
            return None
        return need.reading_seconds / (need.reading_seconds + need.answering_seconds)


def wanted_change(
    engines: Engines,
    pressure: ServicePressure,
    short_for: float,
    useful: int | None = None,
    steady: Engines | None = None,
) -> tuple[Endpoint, EndpointRole] | None:
    """Return the engine to order and its new role, None if all is well.

    `short_for` is for how long answers have lacked memory, in seconds. Once it is known
    how many readers are useful, those beyond them are ordered for that alone. Only
    engines of `steady` are ordered, the first ones before others: all that aren't
    carrying out an order.
    """
    steady = steady or engines
    if not engines.prefill and len(engines.decode) > 2:
        # Engines that answer read prompts at half the speed, and stall while they do.
        # The last one that answers now goes on until another one has changed.
        can_spare = len(steady.decode) > 1
        return (steady.decode[0], EndpointRole.PREFILL) if can_spare else None
    if useful is not None or short_for < SHORT_SECONDS or len(engines.prefill) < 2:
        return None
    if not steady.prefill:
        return None
    remaining = len(engines.prefill) - 1
    if len(engines.decode) + 1 > DECODE_PER_PREFILL * remaining:
        return None
    if pressure.prompt_ms_per_second > 1000 * remaining * PROMPT_SHARE:
        return None
    return steady.prefill[0], EndpointRole.DECODE


def needed_readers(
    load: PromptLoad, now: float, lacks_memory: bool, least: int = LEAST_READERS
) -> int | None:
    """Return how many readers are to stay, None before the load was watched enough.

    While answers lack memory, a reader that prompts leave idle some of the time serves
    more requests by answering, although prompts then wait for a moment in a burst.
    """
    busiest = load.busiest(now)
    if busiest is None:
        return None
    if lacks_memory:
        return max(least, math.ceil(busiest / PROMPT_SHARE))
    return max(least, round(busiest * SPARE_TIMES))


@dataclass(frozen=True)
class ReaderBounds:
    """How many readers are to stay, and why."""

    kept: int | None
    """None while nothing is known."""
    useful: int | None
    """The most for whose prompts answers find memory."""
    least: int
    """Those that stay whatever they do now."""
    lacks_memory: bool


def reader_bounds(
    engines: Engines,
    load: PromptLoad,
    shares: EngineShares,
    now: float,
    lacks_memory: bool,
) -> ReaderBounds:
    """Return how many readers are to stay, by the load and what answers need."""
    least = shares.least_readers(engines, load, now, lacks_memory)
    useful = shares.useful_readers(engines, now, least)
    needed = needed_readers(load, now, lacks_memory, least)
    return ReaderBounds(readers_to_keep(needed, useful), useful, least, lacks_memory)


def readers_to_keep(needed: int | None, useful: int | None) -> int | None:
    """Return how many readers stay, None while nothing is known.

    No more than are useful, also before the load was watched: whatever it is, answers
    would wait for memory sooner than prompts for a further reader.
    """
    known = [count for count in (needed, useful) if count is not None]
    return min(known, default=None)


def answers_lack_memory(
    engines: Engines, pressure: ServicePressure, short_for: float
) -> bool:
    """Say whether requests wait for engines that answer, and not for readers.

    Prompts that take more than the readers' whole time wait at them. Requests wait for
    readers then; with one reader less they would wait longer, which looks like a
    shortage of memory again, until hardly a reader is left.
    """
    readers_busy = pressure.prompt_ms_per_second / 1000
    return short_for >= SHORT_SECONDS and readers_busy < len(engines.prefill)


def idle_readers(engines: Engines, needed: int) -> tuple[Endpoint, ...]:
    """Return the readers beyond those needed, which are better ordered to answer.

    Those of the zones with most readers go first: a zone that is cut off needs one.
    """
    left = list(engines.prefill)
    idle: list[Endpoint] = []
    while len(left) > needed:
        readers_in = Counter(reader.availability_zone for reader in left)
        chosen = max(left, key=lambda item: readers_in[item.availability_zone])
        left.remove(chosen)
        idle.append(chosen)
    return tuple(idle)


def most_readers(engines: Engines, useful: int | None) -> int:
    """Return how many engines may read, so that enough others answer.

    As many as are useful; before that is known, by a usual proportion.
    """
    if useful is not None:
        return useful
    known = len(engines.prefill) + len(engines.decode)
    return math.ceil(known / (1 + DECODE_PER_PREFILL))


def lacks_reader(engines: Engines, least: float, useful: int | None = None) -> bool:
    """Say whether prompts have taken the readers' whole time for long.

    An engine that answers is then better ordered to read, if enough others answer.
    """
    readers = len(engines.prefill)
    enough_answer = readers < most_readers(engines, useful)
    return readers > 0 and enough_answer and least >= BUSY_SHARE * readers


def missing_readers(engines: Engines, least: float, useful: int | None = None) -> int:
    """Return how many engines that answer are better ordered to read.

    As many as prompts need that ask for more than the readers' whole time for long;
    enough others have to answer still.
    """
    if not lacks_reader(engines, least, useful):
        return 0
    needed = math.ceil(least / PROMPT_SHARE)
    return min(needed, most_readers(engines, useful)) - len(engines.prefill)


def allowed_changes(engines: Engines, changing: int) -> int:
    """Return how many engines may be ordered now, while others still change."""
    known = len(engines.prefill) + len(engines.decode)
    most = max(LEAST_CHANGING, int(known * CHANGING_SHARE))
    return max(0, most - changing)
