"""Simulates uneven load on the limit of one account, with two policies and an ideal.

Run as `python -m bench.limits.measure`. It uses the product's limits with a simulated
clock. Reports reach the manager once per second, or early in a demand spike, and are
answered immediately. The ideal is a single token bucket that receives every request. A
refusal is wrong if the ideal admits the request. The overshoot is the excess over the
limit and its burst that is admitted in any 5 s.
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
WINDOW_SECONDS = 5.0
CLIENT = Client("account", ("0" * 64,), requests_per_second=LIMIT)

# The load at a time as a share of the limit, and the share of each host in it.
Load = Callable[[float], float]
HostShares = Callable[[float], list[float]]


class Clock:
    """A clock that the simulation advances."""

    def __init__(self) -> None:
        self.now = 0.0

    def read(self) -> float:
        """Return the current time, in seconds."""
        return self.now


@dataclass(frozen=True)
class Scenario:
    """A load over time and its distribution over the hosts."""

    name: str
    load: Load
    host_shares: HostShares


def mostly_one_host(at: float) -> list[float]:
    """Return a distribution with 90 % at one host, which changes every 40 s."""
    busiest_host = int(at // 40) % HOSTS
    other_share = 0.1 / (HOSTS - 1)
    return [0.9 if host == busiest_host else other_share for host in range(HOSTS)]


def equal_shares(at: float) -> list[float]:
    """Return the same share for each host."""
    return [1 / HOSTS] * HOSTS


def bursts(at: float) -> float:
    """Return 0.2 of the limit, and 3 times the limit for 2 s in every 20 s."""
    return 3.0 if at % 20 < 2 else 0.2


def large_bursts(at: float) -> float:
    """Return 0.2 of the limit, and 10 times the limit for 2 s in every 20 s."""
    return 10.0 if at % 20 < 2 else 0.2


SCENARIOS = (
    Scenario("90 % at one host, load 0.6", lambda at: 0.6, mostly_one_host),
    Scenario("90 % at one host, load 0.95", lambda at: 0.95, mostly_one_host),
    Scenario("90 % at one host, load 1.5", lambda at: 1.5, mostly_one_host),
    Scenario("bursts of 3.0 at one host", bursts, mostly_one_host),
    Scenario("bursts of 3.0 at all hosts", bursts, equal_shares),
    Scenario("bursts of 10.0 at all hosts", large_bursts, equal_shares),
    Scenario("even, load 0.95", lambda at: 0.95, equal_shares),
    Scenario("even, load 1.5", lambda at: 1.5, equal_shares),
)


def arrivals(scenario: Scenario, seed: int) -> Iterator[tuple[float, int]]:
    """Yield the time and the host of each request of a Poisson process."""
    randomness = random.Random(seed)
    at = 0.0
    while at < SECONDS:
        at += randomness.expovariate(LIMIT * scenario.load(at))
        yield at, randomness.choices(range(HOSTS), scenario.host_shares(at))[0]


def replay(scenario: Scenario, seed: int, shared: bool) -> dict[str, float]:
    """Return the wrong refusals, the overshoot and the report rate of one policy."""
    clock = Clock()
    limits = [ClientLimits(lambda: HOSTS, clock.read) for _ in range(HOSTS)]
    quota_manager = QuotaManager(clock.read)
    ideal = TokenBucket(clock.read)
    next_report = [REPORT_SECONDS * host / HOSTS for host in range(HOSTS)]
    offered = wrong = reports = 0
    admitted: list[float] = []
    for at, host in arrivals(scenario, seed):
        for other in range(HOSTS):
            while shared and next_report[other] <= at:
                clock.now = next_report[other]
                next_report[other] += REPORT_SECONDS
                _report(quota_manager, other, limits[other])
                reports += 1
        clock.now = at
        if shared and limits[host].wait_for_demand_spike(0):
            next_report[host] = at + REPORT_SECONDS
            _report(quota_manager, host, limits[host])
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


def _report(quota_manager: QuotaManager, host: int, limits: ClientLimits) -> None:
    limits.apply_shares(quota_manager.report(str(host), limits.usages(), HOSTS))


def _admits(limits: ClientLimits) -> bool:
    try:
        limits.admit(CLIENT, 0)
    except RequestRefusedError:
        return False
    return True


def _overshoot(admitted: list[float]) -> float:
    """Return the maximum excess in any window, as a share of the allowed requests."""
    allowed = LIMIT * (WINDOW_SECONDS + BURST_SECONDS)
    maximum, first = 0, 0
    for last, at in enumerate(admitted):
        while at - admitted[first] > WINDOW_SECONDS:
            first += 1
        maximum = max(maximum, last - first + 1)
    return max(0.0, maximum / allowed - 1)


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
