"""Measure the queue for grants in a burst: processor time, and how long a grant takes.

Many hosts wait, all engines are full and report four times a second, and each report
has room for one more answer. Prints one JSON line.
"""

from __future__ import annotations

import json
import statistics
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import click

from jujubeslip.admission._answer_lengths import lengths_of
from jujubeslip.admission._engine_pool import EnginePool
from jujubeslip.admission._memory_forecast import MemoryOptions
from jujubeslip.admission._models import GrantRequest
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRole
from jujubeslip.routes import EngineReport, RunningAnswer

CAPACITY_TOKENS = 34_000
PROMPT_TOKENS, EVENT_TOKENS, EVENTS = 3_200, 13, 130
ANSWERS = 7
REPORTS_A_SECOND = 4
READERS_SHARE = 4
SAFE_TARGET_SECONDS = 60.0


def engine(name: str, role: EndpointRole) -> Endpoint:
    """Return a start of an engine."""
    return Endpoint(
        endpoint_id=name,
        service_name="model",
        address="127.0.0.1:1",
        availability_zone="zone-1",
        role=role,
        slots=64,
        sequence=1,
        leaving=False,
        heard_at=steady_seconds(),
        slow_until=Deadline.after(0),
    )


def applicant(request_id: str) -> GrantRequest:
    """Return a request that waits for as long as the burst lasts."""
    return GrantRequest(
        request_id,
        1,
        PROMPT_TOKENS,
        EVENT_TOKENS,
        lengths_of(EVENTS),
        64,
        Deadline.after(SAFE_TARGET_SECONDS),
        Deadline.after(SAFE_TARGET_SECONDS),
        reads_itself=False,
        maximum_gap=0.3,
    )


def full(name: str, answers: int) -> EngineReport:
    """Return the report of an engine that makes so many answers."""
    running = tuple(
        RunningAnswer(PROMPT_TOKENS + EVENT_TOKENS * 60, 60, f"{name}-{number}")
        for number in range(answers)
    )
    used = sum(item.memory_tokens for item in running)
    return EngineReport(CAPACITY_TOKENS, used, 0, running)


class Burst:
    """Requests that wait while engines report that they have room."""

    def __init__(self, engines: int, waiting: int) -> None:
        self._engines = [f"engine-{number}" for number in range(engines)]
        readers = [f"reader-{n}" for n in range(max(1, engines // READERS_SHARE))]
        self._readers = readers
        self.pool = EnginePool("model", MemoryOptions(0.05, 1.5))
        self.pool.set_engines(
            [engine(name, EndpointRole.DECODE) for name in self._engines],
            [engine(name, EndpointRole.PREFILL) for name in readers],
        )
        for name in self._engines:
            self.pool.take_report(name, full(name, ANSWERS + 2))
        self.report_readers()
        self._threads = ThreadPoolExecutor(waiting)
        self._room_at = steady_seconds()
        self.delays: list[float] = []
        self._stopped = threading.Event()
        for number in range(waiting):
            self._threads.submit(self._ask, number)

    def report_readers(self) -> None:
        """Let the engines that read prompts say that they do."""
        for name in self._readers:
            self.pool.take_report(
                name, EngineReport(1, 0, 0, (), is_prefill_engine=True)
            )

    def _ask(self, number: int) -> None:
        tries = 0
        while not self._stopped.is_set():
            tries += 1
            request_id = f"request-{number}-{tries}"
            decision = self.pool.ask(applicant(request_id), (), Deadline.after(0.2))
            while decision.grant is None and not self._stopped.is_set():
                asking = applicant(request_id)
                decision = self.pool.ask(asking, (), Deadline.after(0.2))
            self.delays.append(steady_seconds() - self._room_at)
            self.pool.note_prefilled(request_id, 1)
            self.pool.end(request_id, 1)

    def run(self, seconds: float) -> None:
        """Let all engines report in turn, each with room for one more answer."""
        end = Deadline.after(seconds)
        # Versions without it let each request that waits look by itself.
        look_again = getattr(self.pool, "look_again", lambda: None)
        pause = 1 / (REPORTS_A_SECOND * len(self._engines))
        while not end.expired:
            for name in self._engines:
                self._room_at = steady_seconds()
                self.pool.take_report(name, full(name, ANSWERS))
                time.sleep(pause)
                self.pool.take_report(name, full(name, ANSWERS + 2))
            self.report_readers()
            look_again()
        self._stopped.set()
        self._threads.shutdown()


@click.command()
@click.option("--engines", default=70, show_default=True)
@click.option("--waiting", default=200, show_default=True)
@click.option("--seconds", default=5.0, show_default=True)
def main(engines: int, waiting: int, seconds: float) -> None:
    """Play a burst and print what it cost."""
    burst = Burst(engines, waiting)
    began, spent = steady_seconds(), time.process_time()
    burst.run(seconds)
    wall, spent = steady_seconds() - began, time.process_time() - spent
    delays = sorted(burst.delays)
    last = len(delays) - 1
    row = {
        "engines": engines,
        "waiting": waiting,
        "cores": round(spent / wall, 3),
        "grants_per_second": round(len(delays) / wall, 1),
        "core_ms_per_grant": round(1000 * spent / max(1, len(delays)), 2),
        "grant_ms_p50": round(1000 * statistics.median(delays), 2),
        "grant_ms_p99": round(1000 * delays[int(0.99 * last)], 2),
    }
    click.echo(json.dumps(row))


if __name__ == "__main__":
    main()
