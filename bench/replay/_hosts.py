"""Simulates entry hosts that lose their leader while engines are full.

Each host serves the clients of one availability zone, and a zone may have one host. The
requests of all hosts wait in the leader's queue; while none leads, in that of another
control host. While no control host answers, each host asks the engines by itself.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict
from dataclasses import dataclass, field, replace
from enum import Enum
from functools import partial

from bench.replay._engines import DecodeEngine
from bench.replay._patterns import (
    FEW_ENGINES,
    Pattern,
    Span,
    _leaves,
    random_pattern_with_any_losses,
)
from bench.replay._simulation import (
    Answer,
    DecisionOptions,
    Simulation,
    _Request,
)
from jujubeslip.admission import growth_of, urgency
from jujubeslip.admission._models import Grant, GrantRequest
from jujubeslip.forwarding._reservations import ENGINES_PER_ROUND, ROUND_PAUSE_SECONDS
from jujubeslip.peers import EndpointRole

# Time from a change of the control host that decides until hosts ask it, in seconds.
HEARD_SECONDS = 0.1
# When the first report of an engine reaches a control host that begins to decide.
FIRST_REPORT_SECONDS = 0.02


class Waiting(Enum):
    """Where requests wait once their host has found no leader."""

    AT_ENGINES = "each host asks the engines until its request ends"
    IN_ONE_QUEUE = "in the queue of any control host that answers"


@dataclass(frozen=True)
class Shift:
    """A span in which a share of the clients of all zones come to one zone."""

    begins: float
    ends: float
    share: float
    zone: str


@dataclass(frozen=True)
class HostsPattern:
    """A load pattern with the hosts that serve it."""

    pattern: Pattern
    zone_by_host: dict[str, str] = field(
        default_factory=lambda: {
            "host-1a": "zone-1",
            "host-1b": "zone-1",
            "host-2a": "zone-2",
            "host-2b": "zone-2",
            "host-3a": "zone-3",
            "host-3b": "zone-3",
            "host-4": "zone-4",
        }
    )
    no_control_host: tuple[Span, ...] = ()
    """Spans in which no control host answers."""
    shifts: tuple[Shift, ...] = ()


FULL_ENGINES = replace(
    FEW_ENGINES,
    losses=(_leaves(5.0, decode_engines=1), _leaves(15.0, prefill_engines=1)),
)
ONE_HOST_ZONE = "zone-4"
HOSTS_PATTERNS = (
    HostsPattern(
        replace(
            FULL_ENGINES,
            name="leaders lost while engines are full",
            leaders_lost=(Span(7.0, 12.0), Span(18.0, 21.0)),
        )
    ),
    HostsPattern(
        replace(FULL_ENGINES, name="takeovers beside hosts that wait by themselves"),
        no_control_host=(Span(8.0, 9.7), Span(18.0, 19.7), Span(28.0, 29.7)),
    ),
    HostsPattern(
        replace(FULL_ENGINES, name="clients move to the zone with one host"),
        no_control_host=(Span(18.0, 19.7),),
        shifts=(Shift(16.0, 24.0, 0.5, ONE_HOST_ZONE),),
    ),
)


def random_hosts_pattern(seed: int) -> HostsPattern:
    """Return a pattern with any losses, up to two spans without any control host.

    In half of the patterns clients move to a zone for some seconds.
    """
    draw = random.Random(f"hosts {seed}")
    spans = []
    for begins in sorted(draw.uniform(4.0, 34.0) for _ in range(draw.randint(1, 2))):
        spans.append(Span(begins, begins + draw.uniform(1.0, 2.5)))
    if len(spans) == 2 and spans[1].begins < spans[0].ends + 1.0:
        spans.pop()
    shifts = []
    if draw.random() < 0.5:
        begins = draw.uniform(4.0, 30.0)
        zone = draw.choice(["zone-1", ONE_HOST_ZONE])
        shifts.append(Shift(begins, begins + draw.uniform(4.0, 8.0), 0.5, zone))
    pattern = random_pattern_with_any_losses(seed)
    return HostsPattern(pattern, no_control_host=tuple(spans), shifts=tuple(shifts))


@dataclass
class ZoneOutcome:
    """What the clients of a zone asked for and received."""

    total_worth: float = 0.0
    earned_worth: float = 0.0

    @property
    def worth(self) -> float:
        """Return the earned share of the worth."""
        return self.earned_worth / max(1.0, self.total_worth)


class HostsSimulation(Simulation):
    """One simulation of several hosts; see `Simulation`."""

    def __init__(
        self,
        hosts: HostsPattern,
        options: DecisionOptions,
        seed: int,
        waiting: Waiting = Waiting.IN_ONE_QUEUE,
    ) -> None:
        super().__init__(hosts.pattern, options, seed)
        self.outcome_by_zone: defaultdict[str, ZoneOutcome] = defaultdict(ZoneOutcome)
        self._hosts = hosts
        self._waiting = waiting
        self._choice = random.Random(f"hosts {seed}")
        self._host_by_number: dict[int, str] = {}
        self._alone_by_host: dict[str, list[_Request]] = defaultdict(list)
        self._held_by_engine: defaultdict[str, dict[str, int]] = defaultdict(dict)
        """Memory reserved at each engine, by request."""
        self._refused_by_id: dict[str, str] = {}
        """The engine that refused the reservation for a request's latest grant."""
        self._home = ""

    @property
    def lowest_worth(self) -> float:
        """Return the lowest earned share of all zones."""
        return min(outcome.worth for outcome in self.outcome_by_zone.values())

    # The control host that decides

    def _announce(self) -> None:
        if not self._home:
            # The first call of a simulation.
            self._home = "leader"
            self._schedule_homes()
        super()._announce()

    def _schedule_homes(self) -> None:
        for span in self._pattern.leaders_lost:
            self._decide_from(span.begins, "interim")
            self._decide_from(span.ends + HEARD_SECONDS, "leader")
        for span in self._hosts.no_control_host:
            self._decide_from(span.begins, "")
            self._decide_from(span.ends + HEARD_SECONDS, "leader")
        for host in self._hosts.zone_by_host:
            phase = self._choice.uniform(0, ROUND_PAUSE_SECONDS)
            self._after(phase, partial(self._ask_round, host))

    def _decide_from(self, at: float, home: str) -> None:
        self._at(self._begun_at + at, partial(self._set_home, home))

    def _set_home(self, home: str) -> None:
        """Let another control host decide, which knows nothing but later reports."""
        self._home = home or "none"
        memory, waiting = self._options.memory, self._options.waiting
        self._pool = self._new_pool(memory, waiting)
        if self._roles is not None:
            self._roles.use_pool(self._pool)
        self._announce()
        self._after(FIRST_REPORT_SECONDS, self._report_once)

    def _report_once(self) -> None:
        now = self._clock.now
        for engine in self._decode_engines.values():
            if engine.lost_until <= now:
                self._pool.take_report(engine.name, engine.report(now))

    @property
    def _asks_home(self) -> bool:
        """Return whether a request that arrives now finds a control host to ask."""
        one_queue = self._waiting is Waiting.IN_ONE_QUEUE
        return self._home == "leader" or (one_queue and self._home == "interim")

    # Requests

    def _draw_request(self, number: int, at: float) -> _Request:
        drawn = super()._draw_request(number, at)
        host = self._draw_host(at - self._begun_at)
        self._host_by_number[number] = host
        zone = self._hosts.zone_by_host[host]
        self.outcome_by_zone[zone].total_worth += drawn.size
        return replace(drawn, availability_zone=zone)

    def _draw_host(self, at: float) -> str:
        zones = sorted(set(self._hosts.zone_by_host.values()))
        zone = self._choice.choice(zones)
        for shift in self._hosts.shifts:
            moves = self._choice.random() < shift.share
            if moves and shift.begins <= at < shift.ends:
                zone = shift.zone
        candidates = [
            host for host, of in self._hosts.zone_by_host.items() if of == zone
        ]
        return self._choice.choice(candidates)

    def _request_grant(self, request: _Request) -> None:
        if self._asks_home:
            super()._request_grant(request)
        else:
            self._alone_by_host[self._host_by_number[request.number]].append(request)

    def _grant_request(self, request: _Request) -> GrantRequest:
        refused = self._refused_by_id.pop(request.request_id, "")
        return replace(super()._grant_request(request), refused_start_id=refused)

    def _retry_grant(self, request: _Request, reads_itself: bool) -> None:
        for held in self._held_by_engine.values():
            held.pop(request.request_id, None)
        super()._retry_grant(request, reads_itself)

    def _start_prefill(self, request: _Request, grant: Grant) -> None:
        if self._home == "interim" and not self._reserve(
            request, grant.endpoint.start_id
        ):
            self._refused_by_id[request.request_id] = grant.endpoint.start_id
            again = replace(request, attempt=request.attempt + 1)
            self._request_grant(again)
            return
        super()._start_prefill(request, grant)

    def _start_answer(
        self, request: _Request, grant: Grant, reads_itself: bool
    ) -> None:
        self._held_by_engine[grant.endpoint.start_id].pop(request.request_id, None)
        super()._start_answer(request, grant, reads_itself)

    def _note_ended(self, answer: Answer, is_complete: bool) -> None:
        request = self._request_by_id[answer.request_id]
        before = self.outcome.earned_worth
        super()._note_ended(answer, is_complete)
        earned = self.outcome.earned_worth - before
        self.outcome_by_zone[request.availability_zone].earned_worth += earned

    # Hosts without a control host

    def _ask_round(self, host: str) -> None:
        """Ask the engines for the first request that waits at a host."""
        self._after(ROUND_PAUSE_SECONDS, partial(self._ask_round, host))
        now, alone = self._clock.now, self._alone_by_host[host]
        if self._waiting is Waiting.IN_ONE_QUEUE and self._asks_home:
            joining, self._alone_by_host[host] = alone, []
            for request in joining:
                self._request_grant(replace(request, attempt=request.attempt + 1))
            return
        for request in [item for item in alone if item.limit <= now]:
            alone.remove(request)
            self._refuse(request, 0.0)
        if not alone:
            return
        first = min(alone, key=lambda item: urgency(item.target_by, now, 0))
        running = [item for item in self._decode_engines.values() if self._is_up(item)]
        self._choice.shuffle(running)
        for engine in running[:ENGINES_PER_ROUND]:
            if self._reserve(first, engine.name):
                alone.remove(first)
                self._begin_alone(first, engine)
                return

    def _is_up(self, engine: DecodeEngine) -> bool:
        is_leaving = engine.leaves_at < math.inf
        return engine.lost_until <= self._clock.now and not is_leaving

    def _begin_alone(self, request: _Request, engine: DecodeEngine) -> None:
        prefill_engines = [
            item
            for item in self._prefill_engines.values()
            if item.lost_until <= self._clock.now
        ]
        now = self._clock.now
        grant = Grant(self._endpoint(engine.name, EndpointRole.DECODE, now), 0.0, 0)
        if prefill_engines:
            name = self._choice.choice(prefill_engines).name
            prefill_engine = self._endpoint(name, EndpointRole.PREFILL, now)
            grant = replace(grant, prefill_engine=prefill_engine)
        super()._start_prefill(request, grant)

    def _reserve(self, request: _Request, name: str) -> bool:
        """Reserve memory at an engine as a host does; return whether it has enough."""
        engine = self._decode_engines.get(name)
        if engine is None or engine.lost_until > self._clock.now:
            return False
        load = request.workload
        growth = growth_of(
            engine.report(self._clock.now),
            request.prompt_tokens,
            load.event_tokens,
            load.maximum_events,
            self._options.memory,
        )
        tokens = request.prompt_tokens + growth
        held = self._held_by_engine[name]
        if engine.used + sum(held.values()) + tokens > engine.capacity:
            return False
        held[request.request_id] = tokens
        return True
