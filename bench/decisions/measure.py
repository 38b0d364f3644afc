"""Measures the CPU time of a grant at a home, by the number of endpoints.

`python -m bench.decisions.measure` prints one JSON line for each size and seed: the
median and the 95th percentile of the CPU time of the reserve call, and the median of
all four calls of a grant, in microseconds.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
import time

from jujubeslip.endpoints import EndpointStatus
from jujubeslip.homes import Pool, SchedulerOptions
from jujubeslip.peers import (
    Announcement,
    EndpointRole,
    GrantProgress,
    ReserveReply,
    ReserveRequest,
)

SLOTS = 8
# Share of the decode slots that is in use during the measurement.
SLOT_USE_SHARE = 0.5


def build_pool(endpoints: int) -> Pool:
    """Return a pool of half prefill and half decode endpoints, all available."""
    pool = Pool("service", "region", SchedulerOptions())
    for number in range(endpoints):
        role = EndpointRole.PREFILL if number % 2 else EndpointRole.DECODE
        name = f"endpoint-{number}"
        pool.announce(
            Announcement(
                name, 1, "127.0.0.1:1", "zone", "service", role, "m", SLOTS, False
            )
        )
        status = EndpointStatus(name, 1, role, False, SLOTS, (), 0, 0)
        pool.observe(name, status, time.monotonic() + 3600)
    return pool


def make_request(number: int, randomness: random.Random) -> ReserveRequest:
    """Return a request of a random typical size."""
    prefix = randomness.randrange(50)
    return ReserveRequest(
        request_id=f"request-{number}",
        attempt=1,
        owner="host/1",
        service_name="service",
        priority=randomness.choice([0, 1, 2]),
        first_token_remaining_ms=60_000,
        wait_remaining_ms=60_000,
        prompt_tokens=randomness.randrange(20, 4000),
        output_tokens=200,
        prefix_hashes=[f"{prefix}-{power}" for power in range(5)],
        avoid_endpoint_ids=[],
        prefill_endpoint_id="",
    )


def measure(endpoints: int, rounds: int, seed: int) -> dict[str, float]:
    """Return the CPU time of a reserve call and of all calls of a grant."""
    randomness = random.Random(seed)
    pool = build_pool(endpoints)
    capacity = int(endpoints / 2 * SLOTS * SLOT_USE_SHARE)
    open_grants: list[str] = []
    reserve_times: list[float] = []
    total_times: list[float] = []
    for number in range(rounds + capacity):
        started = time.process_time_ns()
        reply: ReserveReply = pool.reserve(make_request(number, randomness))
        reserved = time.process_time_ns()
        assert reply.grant is not None, reply
        grant_id = reply.grant.grant_id
        pool.progress(GrantProgress(grant_id, True, False, False, 1000, 0, ""))
        pool.progress(GrantProgress(grant_id, True, True, False, 0, 0, ""))
        open_grants.append(grant_id)
        if len(open_grants) <= capacity:
            continue
        oldest = open_grants.pop(0)
        pool.progress(GrantProgress(oldest, True, True, True, 0, 200, ""))
        ended = time.process_time_ns()
        reserve_times.append((reserved - started) / 1000)
        total_times.append((ended - started) / 1000)
    return {
        "endpoints": endpoints,
        "seed": seed,
        "reserve_us_p50": round(statistics.median(reserve_times), 1),
        "reserve_us_p95": round(statistics.quantiles(reserve_times, n=20)[-1], 1),
        "grant_us_p50": round(statistics.median(total_times), 1),
    }


def main() -> None:
    """Measure each size with each seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--endpoints", type=int, nargs="+", default=[8, 64, 600])
    parser.add_argument("--rounds", type=int, default=2000)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    options = parser.parse_args()
    for endpoints in options.endpoints:
        for seed in options.seeds:
            print(json.dumps(measure(endpoints, options.rounds, seed)), flush=True)


if __name__ == "__main__":
    main()
