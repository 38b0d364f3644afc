"""Measures the time that the router adds to direct calls of the stand-ins.

`python -m bench.overhead` prints one JSON line for each number of concurrent streams
and each repeat. It holds the medians of the time to the first token and of the time
between tokens, through an entry host and directly, in milliseconds, and their ratios.
"""

from __future__ import annotations

import argparse
import json
import statistics
import tempfile
import time
import uuid
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from jujubeslip.endpoints import EngineAdapter, RequestRef
from jujubeslip.kernel import Deadline
from tests.fakes.client import OpenCall
from tests.fakes.cluster import Cluster
from tests.fakes.scenarios import model_endpoints, small_system

PROMPT_WORDS = 64
TOKENS = 50
DECODE_MS = 20
OPTIONS = {
    "decode-ms-per-token": DECODE_MS,
    "slots": 64,
    "prefill-tokens-per-second": 20_000,
}
SERVICE = "summaries"
TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True)
class StreamTimes:
    """One stream's time to the first token and mean gap, in milliseconds."""

    first_token_ms: float
    between_tokens_ms: float


def _measure(tokens: Iterator[object], started: float) -> StreamTimes:
    token_times = [time.monotonic() for _ in tokens]
    gap = (token_times[-1] - token_times[0]) / (len(token_times) - 1)
    return StreamTimes((token_times[0] - started) * 1000, gap * 1000)


def _prompt() -> str:
    return " ".join(uuid.uuid4().hex[:8] for _ in range(PROMPT_WORDS))


def through_router(cluster: Cluster, number: int) -> StreamTimes:
    """Time one stream through an entry host."""
    host_id = cluster.entry_ids[number % len(cluster.entry_ids)]
    started = time.monotonic()
    call = OpenCall(
        cluster.client_address(host_id),
        SERVICE,
        {"prompt": _prompt(), "max_tokens": TOKENS},
    )
    tokens = (event for event in call.events() if event.name == "token")
    return _measure(tokens, started)


def directly(cluster: Cluster, number: int) -> StreamTimes:
    """Time one stream with the calls that an entry host makes for it."""
    deadline = Deadline.after(TIMEOUT_SECONDS)
    prefill = cluster.endpoint_address_by_id[f"prefill-{number % 2 + 1}"]
    decode = cluster.endpoint_address_by_id[f"decode-{number % 2 + 1}"]
    ref = RequestRef(uuid.uuid4().hex, 1, "bench/1")
    started = time.monotonic()
    result = EngineAdapter(prefill).prefill(ref, "model", _prompt(), 1, deadline)
    engine = EngineAdapter(decode)
    kv_id = engine.import_kv(ref, prefill, result.kv_id, 1, deadline)
    tokens = engine.decode(ref, kv_id, 0, TOKENS, deadline, TIMEOUT_SECONDS)
    return _measure(tokens, started)


def _run(
    cluster: Cluster,
    measure: Callable[[Cluster, int], StreamTimes],
    streams: int,
    rounds: int,
) -> StreamTimes:
    with ThreadPoolExecutor(streams) as executor:
        times = list(
            executor.map(
                lambda number: measure(cluster, number), range(streams * rounds)
            )
        )
    return StreamTimes(
        statistics.median(item.first_token_ms for item in times),
        statistics.median(item.between_tokens_ms for item in times),
    )


def main() -> None:
    """Measure each number of streams several times, directly and routed in turn."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, nargs="+", default=[1, 20, 100])
    parser.add_argument("--repeats", type=int, default=3)
    options = parser.parse_args()
    endpoints = model_endpoints(prefills=2, decodes=2, options=OPTIONS)
    spec = small_system(endpoints=endpoints, entries=3)
    with (
        tempfile.TemporaryDirectory() as folder,
        Cluster(spec, Path(folder)) as cluster,
    ):
        _run(cluster, through_router, 1, 3)
        for streams in options.streams:
            rounds = max(2, 10 // streams)
            for repeat in range(options.repeats):
                direct = _run(cluster, directly, streams, rounds)
                routed = _run(cluster, through_router, streams, rounds)
                print(json.dumps(_line(streams, repeat, direct, routed)), flush=True)


def _line(
    streams: int, repeat: int, direct: StreamTimes, routed: StreamTimes
) -> dict[str, float]:
    return {
        "streams": streams,
        "repeat": repeat,
        "direct_first_token_ms": round(direct.first_token_ms, 2),
        "routed_first_token_ms": round(routed.first_token_ms, 2),
        "first_token_ratio": round(routed.first_token_ms / direct.first_token_ms, 3),
        "direct_between_tokens_ms": round(direct.between_tokens_ms, 3),
        "routed_between_tokens_ms": round(routed.between_tokens_ms, 3),
        "between_tokens_ratio": round(
            routed.between_tokens_ms / direct.between_tokens_ms, 4
        ),
    }


if __name__ == "__main__":
    main()
