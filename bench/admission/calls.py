"""Measure how long each call to the leader occupies the grant queue in a burst.

One thread generates the load, so that only the decisions are measured. Requests arrive
and are retried, prompts are prefilled, answers finish, and all engines report four
times per second. Prints one JSON line.
"""

from __future__ import annotations

import itertools
import json
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial

import click

from bench.admission.measure import (
    ENGINES_PER_PREFILL_ENGINE,
    REPORTS_PER_SECOND,
    RUNNING_ANSWERS,
    engine_endpoint,
    full_engine_report,
    grant_request,
)
from jujubeslip.admission._engine_pool import EnginePool
from jujubeslip.admission._memory_forecast import MemoryOptions
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRole
from jujubeslip.routes import EngineReport

# Interval at which a host retries the grant of a waiting request, in seconds.
GRANT_RETRY_SECONDS = 0.2
# Interval at which the leader scans for capacity that became free by time alone.
SCAN_SECONDS = 0.05
# How long a request holds its grant, in seconds.
GRANT_HELD_SECONDS = 0.5


@dataclass(frozen=True)
class _HeldGrant:
    request_id: str
    until: Deadline


class Load:
    """A burst of requests at a pool whose engines are all nearly full."""

    def __init__(self, engines: int, waiting: int) -> None:
        self._names = [f"engine-{number}" for number in range(engines)]
        prefill_engines = [
            f"reader-{n}" for n in range(max(1, engines // ENGINES_PER_PREFILL_ENGINE))
        ]
        self.pool = EnginePool("model", MemoryOptions(0.05, 1.5))
        self.pool.set_engines(
            [engine_endpoint(name, EndpointRole.DECODE) for name in self._names],
            [engine_endpoint(name, EndpointRole.PREFILL) for name in prefill_engines],
        )
        self._prefill_engines = prefill_engines
        self._next_reporters = itertools.cycle(self._names)
        self._waiting = deque(f"request-{number}" for number in range(waiting))
        self._number = waiting
        self._held_grants: deque[_HeldGrant] = deque()
        self.seconds: list[float] = []
        self.grants = 0

    def run(self, seconds: float) -> None:
        """Send reports at their interval, and the calls of hosts between them."""
        end = Deadline.after(seconds)
        pause = 1 / (REPORTS_PER_SECOND * len(self._names))
        reports_per_scan = max(1, int(SCAN_SECONDS / pause))
        retries_per_report = max(
            1, int(len(self._waiting) * pause / GRANT_RETRY_SECONDS)
        )
        for number in itertools.count():
            if end.expired:
                return
            began = steady_seconds()
            if number % len(self._names) == 0:
                self._report_prefill_engines()
            name = next(self._next_reporters)
            answers = RUNNING_ANSWERS - 1 + number // len(self._names) % 3
            self._timed(
                partial(self.pool.take_report, name, full_engine_report(name, answers))
            )
            for request_id in list(itertools.islice(self._waiting, retries_per_report)):
                self._request_grant(request_id)
            for finished in self._finished():
                self._timed(partial(self.pool.end, finished, 1))
            if number % reports_per_scan == 0:
                self._timed(self.pool.look_again)
            time.sleep(max(0.0, began + pause - steady_seconds()))

    def _report_prefill_engines(self) -> None:
        prefill_report = EngineReport(1, 0, 0, (), is_prefill_engine=True)
        for name in self._prefill_engines:
            self._timed(partial(self.pool.take_report, name, prefill_report))

    def _request_grant(self, request_id: str) -> None:
        self._waiting.popleft()
        began = steady_seconds()
        decision = self.pool.ask(grant_request(request_id), (), Deadline.after(0))
        self.seconds.append(steady_seconds() - began)
        if decision.grant is None:
            self._waiting.append(request_id)
            return
        self.grants += 1
        self._timed(partial(self.pool.note_prefilled, request_id, 1))
        self._held_grants.append(
            _HeldGrant(request_id, Deadline.after(GRANT_HELD_SECONDS))
        )
        self._number += 1
        self._waiting.append(f"request-{self._number}")

    def _finished(self) -> Iterator[str]:
        while self._held_grants and self._held_grants[0].until.expired:
            yield self._held_grants.popleft().request_id

    def _timed(self, call: Callable[[], object]) -> None:
        began = steady_seconds()
        call()
        self.seconds.append(steady_seconds() - began)


@click.command()
@click.option("--engines", default=70, show_default=True)
@click.option("--waiting", default=400, show_default=True)
@click.option("--seconds", default=5.0, show_default=True)
def main(engines: int, waiting: int, seconds: float) -> None:
    """Generate a burst and print how long its calls took."""
    load = Load(engines, waiting)
    began = steady_seconds()
    load.run(seconds)
    wall_seconds = steady_seconds() - began
    call_seconds = sorted(load.seconds)
    row = {
        "engines": engines,
        "waiting": waiting,
        "cores": round(sum(call_seconds) / wall_seconds, 3),
        "calls_per_second": round(len(call_seconds) / wall_seconds, 1),
        "grants_per_second": round(load.grants / wall_seconds, 1),
        "call_ms_p50": round(1000 * call_seconds[len(call_seconds) // 2], 3),
        "call_ms_p99": round(
            1000 * call_seconds[int(0.99 * (len(call_seconds) - 1))], 3
        ),
    }
    click.echo(json.dumps(row))


if __name__ == "__main__":
    main()
