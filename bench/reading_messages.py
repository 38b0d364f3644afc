"""Measures the cost of parsing the periodic messages of endpoints and hosts.

    python -m bench.reading_messages

Prints the processor time for one message of each kind, in microseconds. It is the
minimum of several rounds, because other load on the machine can only add to it.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable

from jujubeslip.discovery import to_record, usable_endpoints
from jujubeslip.platform._announcements import read_announcement, read_endpoint_id
from jujubeslip.platform._endpoint_answers import read_report

ROUNDS = 15
READS_PER_ROUND = 2000
RUNS = 12
ANNOUNCEMENT = {
    "service": "model",
    "address": "10.128.0.9:8080",
    "zone": "zone-1",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 0,
    "stage": "decode",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq": 4,
}
REPORT = {
    "stage": "decode",
    "busy": False,
    "seq": 2,
    "queued": 1,
    "running": RUNS,
    "kvUsed": 41_000,
    "kvCapacity": 90_000,
    "runs": [[f"{number:016x}", 1500, number, 5] for number in range(RUNS)],
}


def minimum_microseconds(read: Callable[[], object]) -> float:
    """Return the processor time per read in the fastest round."""
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(READS_PER_ROUND):
            read()
        best = min(best, time.process_time() - started)
    return best / READS_PER_ROUND * 1_000_000


def main() -> None:
    """Print the figure of each kind of message."""
    announcement = json.dumps(ANNOUNCEMENT).encode()
    report = json.dumps(REPORT).encode()
    record = to_record(read_announcement("e-1", announcement).unwrap())
    reads: dict[str, Callable[[], object]] = {
        "announcement": lambda: (
            read_endpoint_id("e-1"),
            read_announcement("e-1", announcement),
        ),
        f"report of {RUNS} runs": lambda: read_report(report),
        "record between hosts": lambda: list(usable_endpoints("host", [record])),
    }
    for name, read in reads.items():
        print(f"{name}: {minimum_microseconds(read):.1f} µs")


if __name__ == "__main__":
    main()
