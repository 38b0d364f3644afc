"""Measure the grant queue in a burst: its CPU time and the latency of grants.

Many requests wait, all engines are full and report four times per second, and each
report has free capacity for one more answer. Prints one JSON line.
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
RUNNING_ANSWERS = 7
REPORTS_PER_SECOND = 4
ENGINES_PER_PREFILL_ENGINE = 4
TARGET_SECONDS = 60.0


def engine_endpoint(name: str, role: EndpointRole) -> Endpoint:
    """Return the endpoint of an engine with this name and role."""
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


def grant_request(request_id: str) -> GrantRequest:
    """Return a grant request whose deadline is later than the end of the burst."""
    return GrantRequest(
        request_id,
        1,
        PROMPT_TOKENS,
        EVENT_TOKENS,
        lengths_of(EVENTS),
        64,
        Deadline.after(TARGET_SECONDS),
        Deadline.after(TARGET_SECONDS),
        reads_itself=False,
        maximum_gap=0.3,
    )


def full_engine_report(name: str, answers: int) -> EngineReport:
    """Return the report of an engine that runs this number of answers."""
    running = tuple(
        RunningAnswer(PROMPT_TOKENS + EVENT_TOKENS * 60, 60, f"{name}-{number}")
        for number in range(answers)
    )
    used = sum(item.memory_tokens for item in running)
    return EngineReport(CAPACITY_TOKENS, used, 0, running)


class Burst:
    """Requests that wait while engines report free capacity."""

    def __init__(self, engines: int, waiting: int) -> None:
        self._engines = [f"engine-{number}" for number in range(engines)]
        prefill_engines = [
            f"reader-{n}" for n in range(max(1, engines // ENGINES_PER_PREFILL_ENGINE))
        ]
        self._prefill_engines = prefill_engines
        self.pool = EnginePool("model", MemoryOptions(0.05, 1.5))
        self.pool.set_engines(
            [engine_endpoint(name, EndpointRole.DECODE) for name in self._engines],
            [engine_endpoint(name, EndpointRole.PREFILL) for name in prefill_engines],
        )
        for name in self._engines:
            self.pool.take_report(name, full_engine_report(name, RUNNING_ANSWERS + 2))
        self.report_prefill_engines()
        self._threads = ThreadPoolExecutor(waiting)
        self._capacity_at = steady_seconds()
        self.delays: list[float] = []
        self._stopped = threading.Event()
        for number in range(waiting):
            self._threads.submit(self._request_grant, number)

    def report_prefill_engines(self) -> None:
        """Report the role of all prefill engines."""
        for name in self._prefill_engines:
            self.pool.take_report(
                name, EngineReport(1, 0, 0, (), is_prefill_engine=True)
            )

    def _request_grant(self, number: int) -> None:
        attempts = 0
        while not self._stopped.is_set():
            attempts += 1
            request_id = f"request-{number}-{attempts}"
            decision = self.pool.ask(grant_request(request_id), (), Deadline.after(0.2))
            while decision.grant is None and not self._stopped.is_set():
                request = grant_request(request_id)
                decision = self.pool.ask(request, (), Deadline.after(0.2))
            self.delays.append(steady_seconds() - self._capacity_at)
            self.pool.note_prefilled(request_id, 1)
            self.pool.end(request_id, 1)

    def run(self, seconds: float) -> None:
        """Report all engines in turn, each with capacity for one more answer."""
        end = Deadline.after(seconds)
        # In versions without it, each waiting request scans the queue itself.
        look_again = getattr(self.pool, "look_again", lambda: None)
        pause = 1 / (REPORTS_PER_SECOND * len(self._engines))
        while not end.expired:
            for name in self._engines:
                self._capacity_at = steady_seconds()
                self.pool.take_report(name, full_engine_report(name, RUNNING_ANSWERS))
                time.sleep(pause)
                self.pool.take_report(
                    name, full_engine_report(name, RUNNING_ANSWERS + 2)
                )
            self.report_prefill_engines()
            look_again()
        self._stopped.set()
        self._threads.shutdown()


@click.command()
@click.option("--engines", default=70, show_default=True)
@click.option("--waiting", default=200, show_default=True)
@click.option("--seconds", default=5.0, show_default=True)
def main(engines: int, waiting: int, seconds: float) -> None:
    """Generate a burst and print its cost."""
    burst = Burst(engines, waiting)
    began, cpu_seconds = steady_seconds(), time.process_time()
    burst.run(seconds)
    wall_seconds, cpu_seconds = (
        steady_seconds() - began,
        time.process_time() - cpu_seconds,
    )
    delays = sorted(burst.delays)
    last_index = len(delays) - 1
    row = {
        "engines": engines,
        "waiting": waiting,
        "cores": round(cpu_seconds / wall_seconds, 3),
        "grants_per_second": round(len(delays) / wall_seconds, 1),
        "core_ms_per_grant": round(1000 * cpu_seconds / max(1, len(delays)), 2),
        "grant_ms_p50": round(1000 * statistics.median(delays), 2),
        "grant_ms_p99": round(1000 * delays[int(0.99 * last_index)], 2),
    }
    click.echo(json.dumps(row))


if __name__ == "__main__":
    main()
