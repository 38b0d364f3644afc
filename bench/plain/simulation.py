"""Replays entry hosts and plain endpoints in virtual time, with the product's classes.

79 entry hosts in three availability zones send requests to one endpoint in each zone,
with six places and a queue of 24. The product's choice, pauses, answer times, reports
and Retry-After are the ones that run; endpoints, clients and links are modelled.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import Any
from unittest import mock

from jujubeslip.discovery import AnswerReport, Endpoint, slow_endpoints
from jujubeslip.forwarding import _answer_times, _health
from jujubeslip.forwarding._busy_retries import busy_retry_seconds
from jujubeslip.forwarding._choice import policies
from jujubeslip.forwarding._expected_time import ExpectedTime
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.forwarding._retry_budgets import BudgetOptions, RetryBudgets
from jujubeslip.kernel import Deadline, _deadlines
from jujubeslip.peers import EndpointRole

ZONES = ("zone-1", "zone-2", "zone-3")
HOSTS = 79
PLACES = 6
QUEUE = 24
# Median and spread of the work, whose mean is 22.5 ms, and the share that takes longer.
WORK_SECONDS = 0.019
WORK_SPREAD = 0.5
TAIL_SHARE = 0.01
TAIL_FACTOR = 5.0
CAPACITY = len(ZONES) * PLACES / 0.0225
"""Requests a second that the endpoints serve."""
TARGET_SECONDS = 0.155
CLIENT_SECONDS = 1.6
# One way, in seconds: within a zone, and between zones.
IN_ZONE_SECONDS = 0.0002
CROSS_ZONE_SECONDS = 0.0014
REPORT_INTERVAL_SECONDS = 0.7
FIXED_RETRY_SECONDS = 0.3
# From a refusal to the client's next try, at least, in seconds.
RETURN_SECONDS = 0.005
MAXIMUM_SENDS = 4


@dataclass(frozen=True)
class Load:
    """What happens to the service, by the time since the beginning."""

    rate: Callable[[str, float], float]
    """Requests a second of a zone's clients."""
    slowness: Callable[[str, float], float] = lambda zone, now: 1.0
    """Factor of the work at a zone's endpoint."""
    failures: Callable[[str, float], float] = lambda zone, now: 0.0
    """Share of requests that a zone's endpoint fails."""
    seconds: float = 20.0
    client_seconds: float = CLIENT_SECONDS
    abusive_share: float = 0.0
    """Share of clients that return at once, and three times."""


@dataclass(frozen=True)
class Variant:
    """A way to choose endpoints and to tell refused clients when to return."""

    policy: str
    is_shared: bool = False
    spreads_retries: bool = False


@dataclass
class Outcome:
    """What callers got."""

    sent: int = 0
    in_time: int = 0
    answered: int = 0
    refused: int = 0
    """Requests refused for good, after the client's last try."""
    crossings: int = 0
    sends: int = 0
    reports: int = 0
    by_zone: dict[str, list[int]] = field(default_factory=dict)
    by_second: dict[int, list[int]] = field(default_factory=dict)

    def record(self, zone: str, arrived: float, in_time: bool) -> None:
        """Count a request of a client that has ended."""
        self.sent += 1
        self.in_time += in_time
        for counts in (
            self.by_zone.setdefault(zone, [0, 0]),
            self.by_second.setdefault(int(arrived), [0, 0]),
        ):
            counts[0] += in_time
            counts[1] += 1

    def add(self, other: Outcome) -> None:
        """Add the counts of another play."""
        for name in COUNTS:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        for mine, theirs in (
            (self.by_zone, other.by_zone),
            (self.by_second, other.by_second),
        ):
            _add_counts(mine, theirs)

    @property
    def worst_zone(self) -> float:
        """Return the share in time of the zone that was served worst."""
        return min(good / count for good, count in self.by_zone.values())

    def second(self, second: int) -> float:
        """Return the share in time of the requests that came in this second."""
        in_time, sent = self.by_second[second]
        return in_time / sent

    def row(self) -> list[float]:
        """Return the shares of the table's columns."""
        return [
            self.in_time / self.sent,
            self.answered / self.sent,
            self.worst_zone,
            min(good / count for good, count in self.by_second.values()),
            self.refused / self.sent,
            self.crossings / self.sends,
        ]


COUNTS = ("sent", "in_time", "answered", "refused", "crossings", "sends", "reports")


def _add_counts(mine: dict[Any, list[int]], theirs: dict[Any, list[int]]) -> None:
    for key, (good, sent) in theirs.items():
        counts = mine.setdefault(key, [0, 0])
        counts[0] += good
        counts[1] += sent


class _Host:
    def __init__(self, zone: str, variant: Variant, seed: random.Random) -> None:
        self.zone = zone
        self.health = EndpointHealth()
        self.policy = (
            ExpectedTime(self.health, zone, random.Random(seed.random()))
            if variant.policy == "expected-time"
            else policies.get(variant.policy)(self.health, zone)
        )
        self.budget = RetryBudgets(BudgetOptions(0.2, 10, 198), lambda: HOSTS)


@dataclass
class _Request:
    host: _Host
    arrived: float
    leaves_at: float
    is_abusive: bool
    tries: int = 0
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    is_repeatable: bool = False


class _Server:
    def __init__(self, zone: str, load: Load, seed: random.Random) -> None:
        self.zone = zone
        self.load = load
        self.random = seed
        self.running = 0
        self.queue: deque[Callable[[], None]] = deque()

    def work(self, now: float) -> float:
        seconds = WORK_SECONDS * math.exp(self.random.gauss(0, WORK_SPREAD))
        if self.random.random() < TAIL_SHARE:
            seconds *= TAIL_FACTOR
        return seconds * self.load.slowness(self.zone, now)


class Simulation:
    """One play of a load with one variant and one seed."""

    def __init__(self, load: Load, variant: Variant, seed: int) -> None:
        self.now = 0.0
        self.load = load
        self.variant = variant
        self.outcome = Outcome()
        self.random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def run(self) -> Outcome:
        """Play the load and return what callers got."""
        # The state of random numbers that the product draws follows from the seed.
        random.seed(self.random.random())
        with self._virtual_clock():
            self._prepare()
            while self._events:
                self.now, _, action = heapq.heappop(self._events)
                action()
        return self.outcome

    @contextmanager
    def _virtual_clock(self) -> Iterator[None]:
        def clock() -> float:
            return 1000.0 + self.now

        modules = (_deadlines, _health, _answer_times)
        patches = [mock.patch.object(item, "steady_seconds", clock) for item in modules]
        budgets = "jujubeslip.forwarding._retry_budgets.steady_seconds"
        times = mock.patch.object(
            _answer_times.AnswerTimes.__init__, "__defaults__", (clock,)
        )
        shared = mock.patch.object(
            _health.SharedAnswerTimes.__init__, "__defaults__", (clock,)
        )
        with patches[0], patches[1], patches[2], mock.patch(budgets, clock):
            with times, shared:
                yield

    def _prepare(self) -> None:
        self.endpoints = [_endpoint(zone) for zone in ZONES]
        self.servers = {
            zone: _Server(zone, self.load, random.Random(self.random.random()))
            for zone in ZONES
        }
        self.hosts = [
            _Host(ZONES[number % len(ZONES)], self.variant, self.random)
            for number in range(HOSTS)
        ]
        for zone in ZONES:
            self._schedule_arrival(zone)
        if self.variant.is_shared:
            self._latest: dict[int, list[AnswerReport]] = {}
            for number, host in enumerate(self.hosts):
                phase = self.random.uniform(0, REPORT_INTERVAL_SECONDS)
                self._at(phase, partial(self._report, number, host))

    def _at(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + seconds, next(self._order), action))

    def _schedule_arrival(self, zone: str) -> None:
        highest = 2.5 * CAPACITY / len(ZONES)
        self._at(self.random.expovariate(highest), lambda: self._arrive(zone, highest))

    def _arrive(self, zone: str, highest: float) -> None:
        if self.now >= self.load.seconds:
            return
        self._schedule_arrival(zone)
        if self.random.random() * highest >= self.load.rate(zone, self.now):
            return
        hosts = [host for host in self.hosts if host.zone == zone]
        is_abusive = self.random.random() < self.load.abusive_share
        leaves_at = self.now + self.load.client_seconds
        request = _Request(self.random.choice(hosts), self.now, leaves_at, is_abusive)
        request.is_repeatable = self.random.random() < 0.41
        request.host.budget.note_request("service")
        self._send(request)

    def _send(self, request: _Request) -> None:
        host = request.host
        usable = [item for item in self.endpoints if item.start_id not in request.tried]
        if not usable or request.sends >= MAXIMUM_SENDS:
            self._refuse(request)
            return
        if request.sends and not host.budget.spend("service"):
            self._refuse(request)
            return
        chosen = host.policy.choose(usable, TARGET_SECONDS)
        request.sends += 1
        self.outcome.sends += 1
        is_crossing = chosen.availability_zone != host.zone
        self.outcome.crossings += is_crossing
        delay = CROSS_ZONE_SECONDS if is_crossing else IN_ZONE_SECONDS
        call = host.health.track_request(chosen.start_id)
        call.__enter__()
        self._at(delay, lambda: self._reach(request, chosen, call, delay))

    def _reach(self, request: _Request, chosen, call, delay: float) -> None:  # type: ignore[no-untyped-def]
        server = self.servers[chosen.availability_zone]

        def end() -> None:
            failed = self.random.random() < self.load.failures(server.zone, self.now)
            self._at(delay, partial(self._answer, request, chosen, call, failed))
            server.running -= 1
            if server.queue:
                server.queue.popleft()()

        def begin() -> None:
            server.running += 1
            self._at(server.work(self.now), end)

        if server.running < PLACES:
            begin()
        elif len(server.queue) < QUEUE:
            server.queue.append(begin)
        else:
            self._at(delay, lambda: self._note_full(request, chosen, call))

    def _answer(self, request: _Request, chosen, call, failed: bool) -> None:  # type: ignore[no-untyped-def]
        call.__exit__(None, None, None)
        health = request.host.health
        if not failed:
            health.note_success(chosen.start_id)
            self.outcome.answered += 1
            in_time = self.now - request.arrived <= TARGET_SECONDS
            self.outcome.record(request.host.zone, request.arrived, in_time)
            return
        health.note_failure(chosen.start_id)
        request.tried.add(chosen.start_id)
        if request.is_repeatable and request.host.budget.spend("service"):
            self._send(request)
        else:
            self.outcome.record(request.host.zone, request.arrived, False)

    def _note_full(self, request: _Request, chosen, call) -> None:  # type: ignore[no-untyped-def]
        error = RuntimeError("refused")
        try:
            call.__exit__(RuntimeError, error, None)
        except RuntimeError:
            pass
        request.tried.add(chosen.start_id)
        self._send(request)

    def _refuse(self, request: _Request) -> None:
        request.tries += 1
        left = request.leaves_at - self.now
        allowed = 3 if request.is_abusive else 1
        if left <= 0.02 or request.tries > allowed:
            self.outcome.refused += 1
            self.outcome.record(request.host.zone, request.arrived, False)
            return
        wait = max(RETURN_SECONDS, self._retry_after(request, left))
        in_zone = [host for host in self.hosts if host.zone == request.host.zone]
        request.host = self.random.choice(in_zone)
        request.tried, request.sends = set(), 0
        request.host.budget.note_request("service")
        self._at(wait, lambda: self._send(request))

    def _retry_after(self, request: _Request, left: float) -> float:
        if request.is_abusive:
            return 0.0
        if not self.variant.spreads_retries:
            return min(FIXED_RETRY_SECONDS, left / 3)
        times = request.host.health.answer_times
        known = map(times.expected_seconds, request.tried)
        answer = min((seconds for seconds in known if seconds), default=None)
        target = request.arrived + TARGET_SECONDS - self.now
        return busy_retry_seconds(answer, target, left, self.random.random())

    def _report(self, number: int, host: _Host) -> None:
        if self.now >= self.load.seconds:
            return
        self._latest[number] = host.health.shared_times.reports()
        self.outcome.reports += bool(self._latest[number])
        listed = slow_endpoints(self._latest.values())
        host.health.shared_times.apply("control", listed)
        self._at(REPORT_INTERVAL_SECONDS, lambda: self._report(number, host))


def _endpoint(zone: str) -> Endpoint:
    return Endpoint(
        endpoint_id=f"endpoint-{zone}",
        service_name="service",
        address="127.0.0.1:1",
        availability_zone=zone,
        role=EndpointRole.PLAIN,
        slots=PLACES,
        sequence=1,
        leaving=False,
        heard_at=1000.0,
        slow_until=Deadline(0.0),
    )
