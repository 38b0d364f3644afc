"""Measures the cost of a request and of a token for an entry host.

`python -m bench.capacity.requests [--tokens 1,32,128,256] [--requests 120]`

A few requests run at a time. The figures are the processor time of the entry host,
split into a constant part per request and a part per token.
"""

from __future__ import annotations

import argparse
import tempfile
import time
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from bench.capacity.fleet import (
    RUNS,
    CountedCluster,
    print_figures,
    slope,
    spread_of,
)
from tests.fakes.client import ask
from tests.fakes.cluster import Setting
from tests.fakes.scenarios import model_endpoints, small_system

CALLERS = 6
SETTLE_SECONDS = 1.0
SNAPSHOT_WAIT_SECONDS = 0.5
ENGINE: Mapping[str, Setting] = {"decode-ms-per-token": 1, "slots": 16}


def main() -> None:
    """Measure each answer length and print the split."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tokens", default="1,32,128,256")
    parser.add_argument("--requests", type=int, default=120)
    parser.add_argument("--prompt-tokens", type=int, default=64)
    options = parser.parse_args()
    endpoints = model_endpoints(prefills=2, decodes=4, options=ENGINE)
    spec = small_system(endpoints=endpoints, entries=2, controls=1)
    points = []
    with (
        tempfile.TemporaryDirectory() as folder,
        CountedCluster(spec, Path(folder)) as cluster,
    ):
        home = cluster.home_id(endpoints[0])
        other = next(name for name in cluster.entry_ids if name != home)
        for tokens in map(int, options.tokens.split(",")):
            points += _measure(cluster, home, other, tokens, options)
    per_token, per_request = slope(points)
    print_figures(
        "processor time of the entry host that serves (not the home), in ms",
        per_token=round(per_token, 4),
        per_request=round(per_request, 3),
    )


def _measure(
    cluster: CountedCluster,
    home: str,
    other: str,
    tokens: int,
    options: argparse.Namespace,
) -> list[tuple[float, float]]:
    """Return (tokens, milliseconds for each request) of each run at `other`."""
    prompt = "word " * options.prompt_tokens
    message = {"prompt": prompt, "max_tokens": tokens}
    address = cluster.client_address(other)
    served, home_ms, sent = [], [], []
    _ask_many(address, message, CALLERS)
    for _ in range(RUNS):
        time.sleep(SETTLE_SECONDS)
        idle = cluster.rates((home, other), SETTLE_SECONDS)
        started = {name: cluster.snapshot(name) for name in (home, other)}
        _ask_many(address, message, options.requests)
        time.sleep(SNAPSHOT_WAIT_SECONDS)
        after = {name: cluster.snapshot(name) for name in (home, other)}
        spent = {}
        for name in (home, other):
            seconds = after[name]["instant"] - started[name]["instant"]
            busy = after[name]["cpu_seconds"] - started[name]["cpu_seconds"]
            idle_seconds = idle[name].core_percent / 100 * seconds
            spent[name] = (busy - idle_seconds) / options.requests * 1000
        served.append(spent[other])
        home_ms.append(spent[home])
        bytes_sent = after[other]["sent_bytes"] - started[other]["sent_bytes"]
        sent.append(bytes_sent / options.requests)
    print_figures(
        "processor time for each request, in ms",
        tokens=tokens,
        serving_host=spread_of(served),
        home=spread_of(home_ms),
        bytes_sent=spread_of(sent),
        rss_mb=round(after[other]["rss_bytes"] / 1e6, 1),
    )
    return [(tokens, value) for value in served]


def _ask_many(address: str, message: Mapping[str, object], count: int) -> None:
    with ThreadPoolExecutor(CALLERS) as callers:
        answers = callers.map(
            lambda _: ask(address, "summaries", message), range(count)
        )
        assert all(answer.complete for answer in answers)


if __name__ == "__main__":
    main()
