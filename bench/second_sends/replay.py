"""Replays a load on slow endpoints: `python -m bench.second_sends.replay`.

The decisions are those of `jujubeslip.hedging`, one set of them for each host; clients,
endpoints and links are simulated in virtual time.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial

from bench.second_sends._endpoints import Job, ReplayedEndpoint, SlowSpan, short_spans
from jujubeslip.hedging import (
    AnswerTimes,
    KeptBack,
    RecentSends,
    SecondSendBudget,
    SecondSendOptions,
    ServiceRefusals,
    Situation,
    reason_to_keep_back,
    wait_before_second_send,
)

WINDOW_SECONDS = 10.0
RATIO, ALLOWANCE, SAFETY_SHARE = 0.2, 194.0, 0.8
LINK_SECONDS, ZONE_LINK_SECONDS = 0.0005, 0.0014
WORK_SECONDS, WORK_DEVIATION = 0.0225, 0.35
TARGET_SECONDS, TIMEOUT_SECONDS = 0.156, 0.648
# How long the endpoint of a send that was given up still works on it at most.
GIVEN_UP_SECONDS = 0.2
OTHER_ZONE_COST = 2.0
SERVICE = "service"
OFF = SecondSendOptions(0.0, 95.0, 0.02)
ON = SecondSendOptions(0.05, 95.0, 0.02)


@dataclass(frozen=True)
class Load:
    """Requests a second of both kinds, and when which endpoint is slow."""

    repeatable_rate: float
    unsafe_rate: float
    hosts: int = 77
    endpoints: int = 4
    seconds: float = 120.0
    spans_by_endpoint: tuple[tuple[SlowSpan, ...], ...] = ()


@dataclass
class Outcome:
    """What callers and endpoints saw."""

    repeatable_seconds: list[float] = field(default_factory=list)
    unsafe_seconds: list[float] = field(default_factory=list)
    refused: int = 0
    second_sends: int = 0
    won: int = 0
    requests: int = 0
    kept_back: dict[KeptBack, int] = field(default_factory=dict)
    repeats_at: list[float] = field(default_factory=list)

    @property
    def extra_share(self) -> float:
        """Return second sends per request of the service."""
        return self.second_sends / self.requests

    def in_time(self, is_repeatable: bool = True) -> float:
        """Return the share of requests answered within the target."""
        times = self.repeatable_seconds if is_repeatable else self.unsafe_seconds
        return sum(item <= TARGET_SECONDS for item in times) / len(times)

    def percentile_ms(self, share: float) -> float:
        """Return a percentile of the times of repeatable requests."""
        ordered = sorted(self.repeatable_seconds)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000


@dataclass
class _Host:
    number: int
    zone: int
    budget: SecondSendBudget
    times: AnswerTimes = field(default_factory=AnswerTimes)
    refusals: ServiceRefusals = field(default_factory=ServiceRefusals)
    open_by_endpoint: dict[int, int] = field(default_factory=dict)
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


@dataclass(eq=False)
class _Request:
    host: _Host
    is_repeatable: bool
    arrived: float
    first: ReplayedEndpoint | None = None
    first_sent_at: float = 0.0
    jobs: list[tuple[ReplayedEndpoint, Job]] = field(default_factory=list)
    is_ended: bool = False


class Replay:
    """One run of a load."""

    def __init__(self, load: Load, options: SecondSendOptions, seed: int) -> None:
        self._load = load
        self._options = options
        self._draw = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._hosts = [
            _Host(number, number % load.endpoints, SecondSendBudget(options.share))
            for number in range(load.hosts)
        ]
        spans = load.spans_by_endpoint or ((),) * load.endpoints
        self._endpoints = [
            ReplayedEndpoint(number, list(spans[number]), self._at)
            for number in range(load.endpoints)
        ]
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Return the outcome of all requests."""
        arrivals = random.Random(self._draw.random())
        for rate, is_repeatable in (
            (self._load.repeatable_rate, True),
            (self._load.unsafe_rate, False),
        ):
            now = 0.0
            while rate and (now := now + arrivals.expovariate(rate)) < (
                self._load.seconds
            ):
                host = arrivals.choice(self._hosts)
                request = _Request(host, is_repeatable, now)
                self._at(now, partial(self._arrive, request))
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self.outcome

    def _at(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    # Requests

    def _arrive(self, request: _Request, now: float) -> None:
        host = request.host
        self.outcome.requests += 1
        host.requests.append(now)
        host.budget.note_request(SERVICE, self._recent(host, now))
        request.first_sent_at = now
        request.first = self._choose(host, set())
        if not self._send(request, request.first, now):
            self._retry(request, now)
            return
        if not request.is_repeatable:
            return
        slow = host.times.percentile(SERVICE, self._options.percentile / 100, now)
        wait = wait_before_second_send(self._options, slow)
        if wait is not None:
            self._at(now + wait, lambda then: self._consider(request, then))

    def _retry(self, request: _Request, now: float) -> None:
        assert request.first is not None
        host = request.host
        recent = self._recent(host, now)
        other = self._choose(host, {request.first.number})
        if recent.repeats + 1 > recent.maximum_repeats:
            self.outcome.refused += 1
            return
        host.repeats.append(now)
        self.outcome.repeats_at.append(now)
        self.outcome.refused += not self._send(request, other, now)

    def _send(self, request: _Request, endpoint: ReplayedEndpoint, now: float) -> bool:
        host = request.host
        work = self._draw.lognormvariate(math.log(WORK_SECONDS), WORK_DEVIATION)
        is_near = endpoint.number == host.zone
        link = 2 * (LINK_SECONDS if is_near else ZONE_LINK_SECONDS)
        job = Job(work, lambda then: self._answer(request, endpoint, job, then + link))
        if not endpoint.accept(job, now):
            host.refusals.note(SERVICE, now)
            return False
        request.jobs.append((endpoint, job))
        host.open_by_endpoint[endpoint.number] = self._open(host, endpoint) + 1
        return True

    def _answer(
        self, request: _Request, endpoint: ReplayedEndpoint, job: Job, now: float
    ) -> None:
        host = request.host
        self._end_send(host, endpoint)
        if request.is_ended:
            return
        request.is_ended = True
        for other, running in request.jobs:
            if running is not job:
                self._at(
                    now + GIVEN_UP_SECONDS,
                    partial(self._give_up, host, other, running),
                )
        self.outcome.won += len(request.jobs) > 1 and job is request.jobs[1][1]
        elapsed = now - request.arrived
        if request.is_repeatable:
            host.times.note(SERVICE, elapsed, now)
            self.outcome.repeatable_seconds.append(elapsed)
        else:
            self.outcome.unsafe_seconds.append(elapsed)

    def _give_up(
        self, host: _Host, endpoint: ReplayedEndpoint, job: Job, now: float
    ) -> None:
        if not job.is_done:
            endpoint.give_up(job, now)
            self._end_send(host, endpoint)

    # Second sends

    def _consider(self, request: _Request, now: float) -> None:
        if request.is_ended:
            return
        assert request.first is not None
        host = request.host
        reason = reason_to_keep_back(self._situation(request, now))
        other = self._choose(host, {request.first.number})
        if reason is None and self._open(host, other) >= self._open(
            host, request.first
        ):
            reason = KeptBack.NO_ENDPOINT
        if reason is None and not host.budget.spend(SERVICE, self._recent(host, now)):
            reason = KeptBack.SHARE
        if reason is not None:
            self.outcome.kept_back[reason] = self.outcome.kept_back.get(reason, 0) + 1
            return
        self.outcome.second_sends += 1
        host.repeats.append(now)
        self.outcome.repeats_at.append(now)
        self._send(request, other, now)

    def _situation(self, request: _Request, now: float) -> Situation:
        host = request.host
        waited = now - request.first_sent_at
        return Situation(
            has_attempts_left=True,
            seconds_to_target=TARGET_SECONDS - waited,
            seconds_to_end=TIMEOUT_SECONDS - waited,
            usual_seconds=host.times.median(SERVICE, now) or 0.0,
            uses_own_links=True,
            is_suspected=False,
            account_has_room=True,
            refused_lately=host.refusals.is_recent(SERVICE, now),
            has_holds=False,
        )

    # Hosts

    def _choose(self, host: _Host, excluded: set[int]) -> ReplayedEndpoint:
        def cost(endpoint: ReplayedEndpoint) -> tuple[float, float]:
            is_near = endpoint.number == host.zone
            penalty = 0.0 if is_near else OTHER_ZONE_COST
            return self._open(host, endpoint) + penalty, self._draw.random()

        usable = [item for item in self._endpoints if item.number not in excluded]
        return min(usable, key=cost)

    def _open(self, host: _Host, endpoint: ReplayedEndpoint) -> int:
        return host.open_by_endpoint.get(endpoint.number, 0)

    def _end_send(self, host: _Host, endpoint: ReplayedEndpoint) -> None:
        host.open_by_endpoint[endpoint.number] = self._open(host, endpoint) - 1

    def _recent(self, host: _Host, now: float) -> RecentSends:
        for times in (host.requests, host.repeats):
            while times and times[0] < now - WINDOW_SECONDS:
                times.popleft()
        bound = SAFETY_SHARE * (
            RATIO * len(host.requests) + ALLOWANCE / self._load.hosts
        )
        return RecentSends(len(host.requests), len(host.repeats), bound)


def slow_endpoints(seed: int, load: Load) -> Load:
    """Return the load with endpoints slow for 15 % of the time, one for six seconds."""
    draw = random.Random(seed)
    spans = [
        short_spans(draw, load.seconds, 0.15, 0.6, 2.5) for _ in range(load.endpoints)
    ]
    begins = draw.uniform(40, load.seconds - 10)
    spans[0].append(SlowSpan(begins, begins + 6.0, 5.0))
    return replace(load, spans_by_endpoint=tuple(map(tuple, spans)))


def at_capacity(share: float) -> Load:
    """Return a load of this share of what the endpoints can answer."""
    total = share * 4 * 6 / (WORK_SECONDS * math.exp(WORK_DEVIATION**2 / 2))
    return Load(total * 0.3, total * 0.7, seconds=60.0)


def _row(name: str, outcomes: Sequence[Outcome]) -> str:
    def mean(values: Sequence[float]) -> float:
        return sum(values) / len(values)

    kept: dict[str, int] = {}
    for outcome in outcomes:
        for reason, count in outcome.kept_back.items():
            kept[reason.value] = kept.get(reason.value, 0) + count
    cells = [
        f"{mean([item.percentile_ms(0.5) for item in outcomes]):.1f}",
        f"{mean([item.percentile_ms(0.99) for item in outcomes]):.1f}",
        f"{mean([item.percentile_ms(0.999) for item in outcomes]):.1f}",
        f"{mean([item.in_time() for item in outcomes]):.4f}",
        f"{mean([item.in_time(False) for item in outcomes]):.4f}",
        f"{mean([item.refused for item in outcomes]):.1f}",
        f"{mean([item.extra_share for item in outcomes]):.4f}",
        f"{sum(item.won for item in outcomes)}/"
        f"{sum(item.second_sends for item in outcomes)}",
        str(kept),
    ]
    return f"| {name} | " + " | ".join(cells) + " |"


def main() -> None:
    """Print a row for each load, without and with second sends."""
    print(
        "| load | p50 | p99 | p99.9 | in time | unsafe in time | refused | extra |"
        " won | kept back |"
    )
    seeds = range(8)
    loads: list[tuple[str, Callable[[int], Load]]] = [
        ("as on the sheet", lambda seed: slow_endpoints(seed, Load(30.1, 75.0))),
        (
            "half of capacity",
            lambda seed: slow_endpoints(seed, replace(at_capacity(0.5), seconds=60)),
        ),
        ("1.2 of capacity", lambda _: at_capacity(1.2)),
    ]
    for name, load_of in loads:
        for options in (OFF, ON):
            outcomes = [Replay(load_of(seed), options, seed).run() for seed in seeds]
            label = f"{name}, {'on' if options.is_enabled else 'off'}"
            print(_row(label, outcomes), flush=True)


if __name__ == "__main__":
    main()
