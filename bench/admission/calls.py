"""Measure the leader's calls in a burst: how long each holds the queue for grants.

One thread plays the load, so that only the decisions are measured: requests come and
ask on, prompts are read, answers end, and all engines report four times a second.
Prints one JSON line.
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
    ANSWERS,
    READERS_SHARE,
    REPORTS_A_SECOND,
    applicant,
    engine,
    full,
)
from jujubeslip.admission._engine_pool import EnginePool
from jujubeslip.admission._memory_forecast import MemoryOptions
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRole
from jujubeslip.routes import EngineReport

# How often a host asks on for a request that waits, in seconds.
ASKS_EVERY_SECONDS = 0.2
# How often the leader looks whether something came free by time alone, in seconds.
LOOK_SECONDS = 0.05
# How long a request holds a grant, in seconds.
HELD_SECONDS = 0.5


@dataclass(frozen=True)
class _Held:
    request_id: str
    until: Deadline


class Load:
    """A burst at a pool of which all engines are nearly full."""

    def __init__(self, engines: int, waiting: int) -> None:
        self._names = [f"engine-{number}" for number in range(engines)]
        readers = [f"reader-{n}" for n in range(max(1, engines // READERS_SHARE))]
        self.pool = EnginePool("model", MemoryOptions(0.05, 1.5))
        self.pool.set_engines(
            [engine(name, EndpointRole.DECODE) for name in self._names],
            [engine(name, EndpointRole.PREFILL) for name in readers],
        )
        self._readers = readers
        self._report_turn = itertools.cycle(self._names)
        self._asking = deque(f"request-{number}" for number in range(waiting))
        self._number = waiting
        self._held: deque[_Held] = deque()
        self.seconds: list[float] = []
        self.grants = 0

    def run(self, seconds: float) -> None:
        """Play reports at their pace, and all that hosts tell between them."""
        end = Deadline.after(seconds)
        pause = 1 / (REPORTS_A_SECOND * len(self._names))
        reports_a_look = max(1, int(LOOK_SECONDS / pause))
        asks_a_report = max(1, int(len(self._asking) * pause / ASKS_EVERY_SECONDS))
        for number in itertools.count():
            if end.expired:
                return
            began = steady_seconds()
            if number % len(self._names) == 0:
                self._report_readers()
            name = next(self._report_turn)
            answers = ANSWERS - 1 + number // len(self._names) % 3
            self._timed(partial(self.pool.take_report, name, full(name, answers)))
            for request_id in list(itertools.islice(self._asking, asks_a_report)):
                self._ask(request_id)
            for ended in self._ended():
                self._timed(partial(self.pool.end, ended, 1))
            if number % reports_a_look == 0:
                self._timed(self.pool.look_again)
            time.sleep(max(0.0, began + pause - steady_seconds()))

    def _report_readers(self) -> None:
        reads = EngineReport(1, 0, 0, (), is_prefill_engine=True)
        for name in self._readers:
            self._timed(partial(self.pool.take_report, name, reads))

    def _ask(self, request_id: str) -> None:
        self._asking.popleft()
        began = steady_seconds()
        decision = self.pool.ask(applicant(request_id), (), Deadline.after(0))
        self.seconds.append(steady_seconds() - began)
        if decision.grant is None:
            self._asking.append(request_id)
            return
        self.grants += 1
        self._timed(partial(self.pool.note_prefilled, request_id, 1))
        self._held.append(_Held(request_id, Deadline.after(HELD_SECONDS)))
        self._number += 1
        self._asking.append(f"request-{self._number}")

    def _ended(self) -> Iterator[str]:
        while self._held and self._held[0].until.expired:
            yield self._held.popleft().request_id

    def _timed(self, call: Callable[[], object]) -> None:
        began = steady_seconds()
        call()
        self.seconds.append(steady_seconds() - began)


@click.command()
@click.option("--engines", default=70, show_default=True)
@click.option("--waiting", default=400, show_default=True)
@click.option("--seconds", default=5.0, show_default=True)
def main(engines: int, waiting: int, seconds: float) -> None:
    """Play a burst and print how long its calls took."""
    load = Load(engines, waiting)
    began = steady_seconds()
    load.run(seconds)
    wall = steady_seconds() - began
    taken = sorted(load.seconds)
    row = {
        "engines": engines,
        "waiting": waiting,
        "cores": round(sum(taken) / wall, 3),
        "calls_per_second": round(len(taken) / wall, 1),
        "grants_per_second": round(load.grants / wall, 1),
        "call_ms_p50": round(1000 * taken[len(taken) // 2], 3),
        "call_ms_p99": round(1000 * taken[int(0.99 * (len(taken) - 1))], 3),
    }
    click.echo(json.dumps(row))


if __name__ == "__main__":
    main()
