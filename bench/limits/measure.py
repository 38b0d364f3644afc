"""Replays uneven load on one account's limit, with two policies and an ideal.

Run as `python -m bench.limits.measure`. It uses the product's limits on a clock that
is stepped; reports reach the keeper once a second, or early when demand surges, and are
answered at once. The ideal is one token bucket that sees every request. A refusal is
wrong if the ideal admits the request; the overshoot is what is admitted in any 5 s
beyond the limit and its burst.
"""

from __future__ import annotations

import json
import random
import statistics
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from jujubeslip.declaration import Client
from jujubeslip.kernel import RequestRefusedError
from jujubeslip.routing._client_limits import REPORT_SECONDS, ClientLimits
from jujubeslip.routing._quota_manager import QuotaManager
from jujubeslip.routing._token_buckets import BURST_SECONDS, TokenBucket

HOSTS = 7
LIMIT = 100.0
SECONDS = 120
SEEDS = (1, 2, 3, 4, 5)
WINDOW = 5.0
CLIENT = Client("account", ("0" * 64,), requests_per_second=LIMIT)

# The load in parts of the limit at a time, and each host's part of it.
Load = Callable[[float], float]
Spread = Callable[[float], list[float]]


class Clock:
    """An instant that the replay steps."""

    def __init__(self) -> None:
        self.now = 0.0

    def read(self) -> float:
        """Return the present instant, in seconds."""
        return self.now


@dataclass(frozen=True)
class Scenario:
    """A load over time and its spread over the hosts."""

    name: str
    load: Load
    spread: Spread


def one_host_90(at: float) -> list[float]:
    """Return a spread with nine tenths at one host, another one each 40 s."""
    busy = int(at // 40) % HOSTS
    rest = 0.1 / (HOSTS - 1)
    return [0.9 if host == busy else rest for host in range(HOSTS)]


def even(at: float) -> list[float]:
    """Return the same part for each host."""
    return [1 / HOSTS] * HOSTS


def bursts(at: float) -> float:
    """Return a fifth of the limit, and three times the limit for 2 s in each 20 s."""
    return 3.0 if at % 20 < 2 else 0.2


def great_bursts(at: float) -> float:
    """Return a fifth of the limit, and ten times the limit for 2 s in each 20 s."""
    return 10.0 if at % 20 < 2 else 0.2


SCENARIOS = (
    Scenario("90 % at one host, load 0.6", lambda at: 0.6, one_host_90),
    Scenario("90 % at one host, load 0.95", lambda at: 0.95, one_host_90),
    Scenario("90 % at one host, load 1.5", lambda at: 1.5, one_host_90),
    Scenario("bursts of 3.0 at one host", bursts, one_host_90),
    Scenario("bursts of 3.0 at all hosts", bursts, even),
    Scenario("bursts of 10.0 at all hosts", great_bursts, even),
    Scenario("even, load 0.95", lambda at: 0.95, even),
    Scenario("even, load 1.5", lambda at: 1.5, even),
)


def arrivals(scenario: Scenario, seed: int) -> Iterator[tuple[float, int]]:
    """Yield the instant and the host of each request, as a Poisson process."""
    source = random.Random(seed)
    at = 0.0
    while at < SECONDS:
        at += source.expovariate(LIMIT * scenario.load(at))
        yield at, source.choices(range(HOSTS), scenario.spread(at))[0]


def replay(scenario: Scenario, seed: int, shared: bool) -> dict[str, float]:
    """Return the wrong refusals and the overshoot of one policy."""
    clock = Clock()
    limits = [ClientLimits(lambda: HOSTS, clock.read) for _ in range(HOSTS)]
    keeper = QuotaManager(clock.read)
    ideal = TokenBucket(clock.read)
    next_report = [REPORT_SECONDS * host / HOSTS for host in range(HOSTS)]
    offered = wrong = reports = 0
    admitted: list[float] = []
    for at, host in arrivals(scenario, seed):
        for other in range(HOSTS):
            while shared and next_report[other] <= at:
                clock.now = next_report[other]
                next_report[other] += REPORT_SECONDS
                _report(keeper, other, limits[other])
                reports += 1
        clock.now = at
        if shared and limits[host].wait_for_demand_spike(0):
            next_report[host] = at + REPORT_SECONDS
            _report(keeper, host, limits[host])
            reports += 1
        offered += 1
        ideal_admits = ideal.take(1, LIMIT) == 0
        if _admits(limits[host]):
            admitted.append(at)
        elif ideal_admits:
            wrong += 1
    return {
        "wrong": wrong / offered,
        "overshoot": _overshoot(admitted),
        "reports": reports / HOSTS / SECONDS,
    }


def _report(keeper: QuotaManager, host: int, limits: ClientLimits) -> None:
    limits.apply_shares(keeper.report(str(host), limits.usages(), HOSTS))


def _admits(limits: ClientLimits) -> bool:
    try:
        limits.admit(CLIENT, 0)
    except RequestRefusedError:
        return False
    return True


def _overshoot(admitted: list[float]) -> float:
    """Return the greatest excess in any window, as a part of what is allowed there."""
    allowed = LIMIT * (WINDOW + BURST_SECONDS)
    greatest, first = 0, 0
    for last, at in enumerate(admitted):
        while at - admitted[first] > WINDOW:
            first += 1
        greatest = max(greatest, last - first + 1)
    return max(0.0, greatest / allowed - 1)


def main() -> None:
    """Print one JSON line for each scenario and policy."""
    for scenario in SCENARIOS:
        for shared in (False, True):
            runs = [replay(scenario, seed, shared) for seed in SEEDS]
            line: dict[str, object] = {
                "scenario": scenario.name,
                "policy": "shared quota" if shared else "fixed shares",
            }
            for key in ("wrong", "overshoot"):
                values = [100 * run[key] for run in runs]
                line[f"{key}_percent_mean"] = round(statistics.mean(values), 2)
                line[f"{key}_percent_min"] = round(min(values), 2)
                line[f"{key}_percent_max"] = round(max(values), 2)
            reports = statistics.mean(run["reports"] for run in runs)
            line["reports_per_host_and_second"] = round(reports, 2)
            sys.stdout.write(json.dumps(line) + "\n")


if __name__ == "__main__":
    main()
