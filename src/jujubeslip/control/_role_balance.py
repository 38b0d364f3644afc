"""Decides how many engines run prefill and how many run decode.

This module only decides; it sends no orders. Prefill of a prompt takes an engine about
a tenth of a second, while its decode holds another engine's memory for seconds.
Engines start in a fixed proportion of the two roles, which suits only some models and
prompt lengths. With too many prefill engines, requests wait for decode memory in each
burst; when prefill engines fail, prompts queue.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass

from jujubeslip.admission import EngineNeed, EngineUse
from jujubeslip.control._spare_prefill_engines import (
    PREFILL_ENGINES_WITH_SPARE,
    CapacityModel,
    minimum_prefill_engines,
)
from jujubeslip.discovery import Endpoint
from jujubeslip.peers import EndpointRole, ServicePressure

# How long decode memory must be short before an engine is ordered, in seconds: longer
# than a momentary queue, and short compared with the role change, which takes seconds.
MINIMUM_SHORTAGE_SECONDS = 1.5
# Maximum share of the remaining prefill engines' time that prompts may take after a
# change.
MAXIMUM_PREFILL_TIME_SHARE = 0.85
# Assumed number of decode engines per prefill engine until requests have been observed.
DECODE_PER_PREFILL = 3
# Length of the observation window before a prefill engine counts as idle, in seconds:
# long enough to see the load rise and fall, short enough to act before the next burst.
OBSERVATION_SECONDS = 4.0
# Prefill capacity to keep, as a multiple of the observed peak load: the request rate
# doubles in a burst, and changing an engine back takes longer than a burst lasts.
BURST_HEADROOM = 2.0
# Prefill engines are saturated when prompts took this share of their time for this many
# seconds: a change takes several seconds itself, and a burst may be over by then.
SATURATED_SHARE = 0.9
SATURATED_SECONDS = 3.0
# Time constant of the average engine use that gives the prefill share, in seconds:
# about the length of three consecutive decodes.
SHARE_AVERAGING_SECONDS = 8.0
# Limits on engines that may change role at once: a share of a service's engines, and a
# minimum for services with few. An engine whose order got no response serves in neither
# role for seconds, and clients tolerate a tenth of the engines missing for that long.
MAXIMUM_CHANGING_SHARE = 0.1
MINIMUM_CHANGING = 2
# From this many decode engines on, one of them replaces lost prefill engines at once.
# With three, the change takes a third of what is left out of service for about ten
# seconds, while the decode engines prefill most prompts themselves.
DECODE_ENGINES_FOR_A_CHANGE = 4
# The same once prefill engines have been missing for long: two are left to decode.
DECODE_ENGINES_FOR_A_LATE_CHANGE = 3


@dataclass(frozen=True)
class EnginesByRole:
    """The engines of a service that reported recently, by role."""

    prefill: tuple[Endpoint, ...]
    decode: tuple[Endpoint, ...]

    def where(self, test: Callable[[Endpoint], bool]) -> EnginesByRole:
        """Return the engines that pass the test."""
        return EnginesByRole(
            tuple(engine for engine in self.prefill if test(engine)),
            tuple(engine for engine in self.decode if test(engine)),
        )

    @property
    def count(self) -> int:
        """Return the total number of engines."""
        return len(self.prefill) + len(self.decode)


class PrefillLoad:
    """The recent load of one service's prefill engines.

    Loads are in engines: the number of prefill engines that prompts keep fully busy.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque()
        self._first_load_at: float | None = None
        self._first_sample_at: float | None = None
        self._inherited_peak = (-math.inf, 0.0)

    @classmethod
    def inherited(cls, now: float, peak: float) -> PrefillLoad:
        """Return a load as if observed for a full window until now, with this peak."""
        load = cls()
        load._first_load_at = now - OBSERVATION_SECONDS
        load._inherited_peak = (now, peak)
        return load

    def record(self, now: float, busy_prefill_engines: float) -> None:
        """Record how many prefill engines prompts keep fully busy at this time."""
        if self._first_load_at is None and busy_prefill_engines > 0:
            self._first_load_at = now
        if self._first_sample_at is None:
            self._first_sample_at = now
        self._samples.append((now, busy_prefill_engines))
        while self._samples[0][0] < now - OBSERVATION_SECONDS:
            self._samples.popleft()

    def peak(self, now: float) -> float | None:
        """Return the peak load, None before a full observation window.

        A window without any load also returns None: the service need not be idle. Its
        entry hosts may be unable to reach this host, and their prompts resume once
        they can.
        """
        if (
            self._first_load_at is None
            or now - self._first_load_at < OBSERVATION_SECONDS
        ):
            return None
        inherited_at, inherited = self._inherited_peak
        loads = [busy for _, busy in self._samples]
        if inherited_at >= now - OBSERVATION_SECONDS:
            loads.append(inherited)
        return max(loads, default=0.0) or None

    @property
    def recorded_peak(self) -> float | None:
        """Return the peak of the recorded samples, None if all of them are zero."""
        return max((busy for _, busy in self._samples), default=0.0) or None

    def sustained(self, now: float) -> float:
        """Return the lowest load of the last `SATURATED_SECONDS`.

        Returns 0 until samples cover that time, since a brief load is not sustained.
        """
        if (
            self._first_sample_at is None
            or now - self._first_sample_at < SATURATED_SECONDS
        ):
            return 0.0
        recent = [busy for at, busy in self._samples if at > now - SATURATED_SECONDS]
        return min(recent, default=0.0)


class RoleShares:
    """The shares of engines that requests need for prefill and for decode.

    Both are observed: the time that a prompt takes on a prefill engine, and the memory
    and time that its decode takes on another engine. Until decodes have run long enough
    to show this, the shares come from the expected needs of the first requests: a role
    change takes seconds, and the first burst may come sooner.
    """

    def __init__(self) -> None:
        self._prefill_use = 0.0
        self._decode_use = 0.0
        self._expected_need: EngineNeed | None = None
        self._first_load_at: float | None = None
        self._last_sample_at = 0.0

    @classmethod
    def inherited(cls, now: float, use: EngineUse) -> RoleShares:
        """Return shares as if observed for a full window until now, with this use."""
        shares = cls()
        shares._first_load_at, shares._last_sample_at = now - OBSERVATION_SECONDS, now
        shares._prefill_use, shares._decode_use = use.reading, use.answering
        return shares

    @property
    def mean_use(self) -> EngineUse:
        """Return the moving average of the number of busy engines."""
        return EngineUse(self._prefill_use, self._decode_use)

    def record(self, now: float, use: EngineUse) -> None:
        """Record how many engines are busy at this time."""
        self._expected_need = use.mean_need
        if self._first_load_at is None:
            if use.reading <= 0:
                return
            self._first_load_at = self._last_sample_at = now
        kept = math.exp((self._last_sample_at - now) / SHARE_AVERAGING_SECONDS)
        self._prefill_use = kept * self._prefill_use + (1 - kept) * use.reading
        self._decode_use = kept * self._decode_use + (1 - kept) * use.answering
        self._last_sample_at = now

    def useful_prefill_engines(
        self,
        engines: EnginesByRole,
        now: float,
        minimum: int = PREFILL_ENGINES_WITH_SPARE,
    ) -> int | None:
        """Return the most prefill engines whose output the others can decode.

        With more of them, requests would run out of decode memory before they queue
        for prefill, at any load. Returns None before enough was observed. The result is
        at least `minimum`, so that another prefill engine is ready if one fails.
        """
        share = self.prefill_share(now)
        if share is None:
            return None
        return max(minimum, round(engines.count * share))

    def minimum_prefill_engines(
        self, engines: EnginesByRole, load: PrefillLoad, now: float, lacks_memory: bool
    ) -> int:
        """Return how many prefill engines to keep at any load."""
        share, peak = self.prefill_share(now), load.peak(now)
        if not share or peak is None:
            return PREFILL_ENGINES_WITH_SPARE
        model = CapacityModel(engines.count, share)
        return minimum_prefill_engines(model, peak * BURST_HEADROOM, lacks_memory)

    def prefill_share(self, now: float) -> float | None:
        """Return the share of engines needed for prefill, None while unknown."""
        begun_at, need = self._first_load_at, self._expected_need
        is_observed = begun_at is not None and now - begun_at >= OBSERVATION_SECONDS
        if is_observed and self._prefill_use:
            return self._prefill_use / (self._prefill_use + self._decode_use)
        if need is None:
            return None
        return need.prefill_seconds / (need.prefill_seconds + need.decode_seconds)


def choose_role_change(
    engines: EnginesByRole,
    pressure: ServicePressure,
    shortage_seconds: float,
    useful: int | None = None,
    orderable: EnginesByRole | None = None,
    lacks_prefill_for_long: bool = False,
) -> tuple[Endpoint, EndpointRole] | None:
    """Return the engine to order and its new role, None if no change is needed.

    `shortage_seconds` is how long decodes have lacked memory. Once the `useful` number
    of prefill engines is known, a shortage orders none of them, since those beyond that
    number are ordered anyway. Only engines in `orderable`, which are not carrying out
    an order, are chosen, the first ones before others. `lacks_prefill_for_long` says
    that lost prefill engines have not been replaced meanwhile.
    """
    orderable = orderable or engines
    enough = (
        DECODE_ENGINES_FOR_A_LATE_CHANGE
        if lacks_prefill_for_long
        else DECODE_ENGINES_FOR_A_CHANGE
    )
    if not engines.prefill and len(engines.decode) >= enough:
        # A decode engine runs prefill at half the speed, and its decodes stall
        # meanwhile. The last decode engine without an order stays until another one has
        # changed.
        can_spare = len(orderable.decode) > 1
        return (orderable.decode[0], EndpointRole.PREFILL) if can_spare else None
    if (
        useful is not None
        or shortage_seconds < MINIMUM_SHORTAGE_SECONDS
        or len(engines.prefill) < 2
    ):
        return None
    if not orderable.prefill:
        return None
    remaining = len(engines.prefill) - 1
    if len(engines.decode) + 1 > DECODE_PER_PREFILL * remaining:
        return None
    if pressure.prompt_ms_per_second > 1000 * remaining * MAXIMUM_PREFILL_TIME_SHARE:
        return None
    return orderable.prefill[0], EndpointRole.DECODE


def needed_prefill_engines(
    load: PrefillLoad,
    now: float,
    lacks_memory: bool,
    minimum: int = PREFILL_ENGINES_WITH_SPARE,
) -> int | None:
    """Return how many prefill engines the load needs, None before it was observed.

    While decodes lack memory, a prefill engine that is idle part of the time serves
    more requests as a decode engine, although prompts then queue briefly in a burst.
    """
    peak = load.peak(now)
    if peak is None:
        return None
    if lacks_memory:
        return max(minimum, math.ceil(peak / MAXIMUM_PREFILL_TIME_SHARE))
    return max(minimum, round(peak * BURST_HEADROOM))


@dataclass(frozen=True)
class PrefillBounds:
    """How many prefill engines to keep, and the figures that this follows from."""

    kept: int | None
    """How many to keep, None while unknown."""
    useful: int | None
    """The most whose output the other engines have memory to decode."""
    minimum: int
    """How many to keep at any load."""
    lacks_memory: bool


def prefill_bounds(
    engines: EnginesByRole,
    load: PrefillLoad,
    shares: RoleShares,
    now: float,
    lacks_memory: bool,
) -> PrefillBounds:
    """Return how many prefill engines to keep, by the load and the decode memory."""
    minimum = shares.minimum_prefill_engines(engines, load, now, lacks_memory)
    useful = shares.useful_prefill_engines(engines, now, minimum)
    needed = needed_prefill_engines(load, now, lacks_memory, minimum)
    return PrefillBounds(
        prefill_engines_to_keep(needed, useful), useful, minimum, lacks_memory
    )


def prefill_engines_to_keep(needed: int | None, useful: int | None) -> int | None:
    """Return how many prefill engines to keep, None while nothing is known.

    The useful number also applies before the load was observed: at any load, requests
    would run out of decode memory before they need a further prefill engine.
    """
    known = [count for count in (needed, useful) if count is not None]
    return min(known, default=None)


def decode_lacks_memory(
    engines: EnginesByRole, pressure: ServicePressure, shortage_seconds: float
) -> bool:
    """Return whether requests wait for decode memory rather than for prefill.

    When prompts exceed the capacity of the prefill engines, requests wait for prefill.
    One prefill engine less would make them wait longer, which looks like a shortage of
    memory again, until hardly any prefill engine is left.
    """
    busy_prefill_engines = pressure.prompt_ms_per_second / 1000
    return shortage_seconds >= MINIMUM_SHORTAGE_SECONDS and busy_prefill_engines < len(
        engines.prefill
    )


def idle_prefill_engines(engines: EnginesByRole, needed: int) -> tuple[Endpoint, ...]:
    """Return the prefill engines beyond those needed, which should change to decode.

    Engines of the availability zones with most prefill engines come first, since a zone
    that is cut off needs one of its own.
    """
    left = list(engines.prefill)
    idle: list[Endpoint] = []
    while len(left) > needed:
        count_by_zone = Counter(engine.availability_zone for engine in left)
        chosen = max(left, key=lambda item: count_by_zone[item.availability_zone])
        left.remove(chosen)
        idle.append(chosen)
    return tuple(idle)


def maximum_prefill_engines(engines: EnginesByRole, useful: int | None) -> int:
    """Return the most engines that may run prefill so that enough others decode.

    This is the useful number, or the assumed proportion before that is known.
    """
    if useful is not None:
        return useful
    engine_count = len(engines.prefill) + len(engines.decode)
    return math.ceil(engine_count / (1 + DECODE_PER_PREFILL))


def lacks_prefill_engine(
    engines: EnginesByRole, sustained: float, useful: int | None = None
) -> bool:
    """Return whether prompts have saturated the prefill engines for long enough.

    A decode engine should then change to prefill, if enough decode engines remain.
    """
    prefill_count = len(engines.prefill)
    enough_decode = prefill_count < maximum_prefill_engines(engines, useful)
    return (
        prefill_count > 0
        and enough_decode
        and sustained >= SATURATED_SHARE * prefill_count
    )


def missing_prefill_engines(
    engines: EnginesByRole, sustained: float, useful: int | None = None
) -> int:
    """Return how many decode engines should change to prefill.

    As many as the sustained load of prompts needs while it saturates the prefill
    engines, as long as enough decode engines remain.
    """
    if not lacks_prefill_engine(engines, sustained, useful):
        return 0
    needed = math.ceil(sustained / MAXIMUM_PREFILL_TIME_SHARE)
    return min(needed, maximum_prefill_engines(engines, useful)) - len(engines.prefill)


def allowed_changes(engines: EnginesByRole, changing: int) -> int:
    """Return how many engines may be ordered now, given those still changing."""
    engine_count = len(engines.prefill) + len(engines.decode)
    most = max(MINIMUM_CHANGING, int(engine_count * MAXIMUM_CHANGING_SHARE))
    return max(0, most - changing)
