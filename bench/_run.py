"""Runs the load tool once: starts the system, offers load and measures it."""

from __future__ import annotations

import logging
import os
import signal
import sys
import tempfile
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path

from bench._capacity import classes_of, pool_capacity
from bench._client import ClientTask
from bench._fault_injection import FaultInjector
from bench._measure import RunMeasure, as_json
from bench._outcomes import RequestOutcome, read_outcomes
from bench._plan import PlannedRequest, plan_requests
from bench._scenarios import SCENARIOS, Scenario
from bench._system import build_cluster, client_key_of
from tests.fakes.cluster import Cluster
from tests.fakes.processes import ManagedProcess, wait_until

CLIENT_COUNT = 2
START_DELAY_SECONDS = 2.0
# Endpoints announce themselves each second, and a home grants capacity of an endpoint
# only after its first report.
SETTLE_SECONDS = 2.5
RELEASE_TIMEOUT_SECONDS = 15.0
CLIENT_STOP_SECONDS = 30.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class RunOptions:
    """The options of a run.

    Load is offered for `warm_up` seconds before and `cool_down` seconds after the
    `seconds` whose requests are counted. Otherwise the first requests would find an
    empty system, and the last ones a system without new arrivals, which serves twice
    its capacity until its queue is empty.
    """

    scenario: str
    policy: str = "home"
    load: float = 1.0
    seed: int = 1
    seconds: float = 30.0
    warm_up: float = 5.0
    cool_down: float = 10.0
    faults: bool = False
    probe_share: float = 0.1
    logs: Path | None = None
    label: str = ""
    entry_options: dict[str, str | int | float | bool] = field(default_factory=dict)

    @property
    def offered_seconds(self) -> float:
        """Return the number of seconds during which load is offered."""
        return self.warm_up + self.seconds + self.cool_down

    def counts(self, request: PlannedRequest) -> bool:
        """Return whether the request belongs to the measured period."""
        return 0 <= request.at - self.warm_up < self.seconds


def end_runs_on_sigterm() -> None:
    """Make SIGTERM raise SystemExit, so that a run ends the processes it started."""
    signal.signal(signal.SIGTERM, lambda number, _: sys.exit(128 + number))


def run_once(options: RunOptions) -> dict:
    """Run once and return the figures as one JSON object."""
    # The thrift library logs each attempt to connect to a host that is still starting.
    logging.getLogger("thrift").setLevel(logging.CRITICAL)
    if options.logs is not None:
        options.logs.mkdir(parents=True, exist_ok=True)
        return _run_in(options, options.logs)
    with tempfile.TemporaryDirectory(prefix="bench-") as folder:
        return _run_in(options, Path(folder))


def _run_in(options: RunOptions, folder: Path) -> dict:
    scenario = SCENARIOS[options.scenario]()
    planned = plan_requests(
        scenario, options.load, options.offered_seconds, options.seed
    )
    cluster = build_cluster(
        scenario,
        options.policy,
        folder,
        faults=options.faults,
        entry_options=options.entry_options,
    )
    with cluster:
        time.sleep(SETTLE_SECONDS)
        return _offer(options, scenario, planned, cluster, folder)


def _offer(
    options: RunOptions,
    scenario: Scenario,
    planned: tuple[PlannedRequest, ...],
    cluster: Cluster,
    folder: Path,
) -> dict:
    starts_at = time.monotonic() + START_DELAY_SECONDS
    fault_injector = FaultInjector(scenario, cluster)
    if options.faults:
        fault_injector.start(starts_at + options.warm_up, options.seconds)
    clients = _start_clients(options, scenario, planned, cluster, folder, starts_at)
    limit = _drain_seconds(scenario) + options.offered_seconds + CLIENT_STOP_SECONDS
    outcomes = _wait_for_outcomes(clients, limit)
    attempts_held = _attempts_held_after_end(cluster)
    records = fault_injector.records + [
        cluster.endpoint_call(name, "GET", "/v1/records")
        for name in _running_endpoints(cluster)
    ]
    measure = RunMeasure(
        scenario,
        planned,
        outcomes,
        records,
        counted=frozenset(item.request_id for item in planned if options.counts(item)),
        lost_entry=fault_injector.lost_entry,
    )
    figures = measure.figures()
    return {
        **as_json(figures),
        "scenario": options.scenario,
        "policy": options.label or options.policy,
        "load": options.load,
        "seed": options.seed,
        "seconds": options.seconds,
        "warm_up": options.warm_up,
        "cool_down": options.cool_down,
        "faults": fault_injector.injected,
        "held_after_end": attempts_held,
        "capacity_rps": _capacities(scenario),
        "cpu_share": _cpu_shares(cluster, options.offered_seconds),
    }


def _start_clients(
    options: RunOptions,
    scenario: Scenario,
    planned: tuple[PlannedRequest, ...],
    cluster: Cluster,
    folder: Path,
    starts_at: float,
) -> list[tuple[ManagedProcess, Path]]:
    clients = []
    addresses = [cluster.client_address(host) for host in cluster.entry_ids]
    for number in range(CLIENT_COUNT):
        first_index = number % len(addresses)
        output = folder / f"client-{number}.jsonl"
        task = ClientTask(
            scenario=options.scenario,
            addresses=tuple(addresses[first_index:] + addresses[:first_index]),
            key_by_class={item.name: client_key_of(item) for item in scenario.classes},
            starts_at=starts_at,
            ends_after=options.offered_seconds + _drain_seconds(scenario),
            probe_share=options.probe_share,
            output=str(output),
            requests=planned[number::CLIENT_COUNT],
        )
        path = folder / f"client-{number}.json"
        task.write(path)
        name = f"client-{number}"
        process = ManagedProcess(name, "bench._client", [str(path)], folder)
        clients.append((process, output))
    return clients


def _drain_seconds(scenario: Scenario) -> float:
    """Return the longest time that an answer may take after its request is sent."""
    return max(
        (item.client_timeout_ms + item.output.high * item.between_tokens_ms) / 1000
        for item in scenario.classes
    )


def _wait_for_outcomes(
    clients: list[tuple[ManagedProcess, Path]], limit: float
) -> list[RequestOutcome]:
    try:
        return [
            outcome
            for process, output in clients
            for outcome in _outcomes_of(process, output, limit)
        ]
    finally:
        for process, _ in clients:
            process.kill()


def _outcomes_of(
    process: ManagedProcess, output: Path, limit: float
) -> list[RequestOutcome]:
    status = process.wait(limit)
    if status != 0:
        raise RuntimeError(f"{process.name} failed: {process.output()}")
    return read_outcomes(output)


def _running_endpoints(cluster: Cluster) -> list[str]:
    names = [item.endpoint_id for item in cluster.spec.endpoints]
    return [name for name in names if cluster.process_by_name[name].running]


def _attempts_held_after_end(cluster: Cluster) -> int:
    """Return how many attempts still hold memory after the release timeout."""
    names = _running_endpoints(cluster)

    def attempts_held() -> int:
        return sum(len(cluster.held(name)) for name in names)

    try:
        wait_until(
            lambda: attempts_held() == 0,
            "no attempt holds memory",
            RELEASE_TIMEOUT_SECONDS,
        )
    except TimeoutError:
        return attempts_held()
    return 0


def _capacities(scenario: Scenario) -> dict[str, dict[str, float]]:
    return {
        pool.service: {
            name: round(value, 2)
            for name, value in asdict(
                pool_capacity(pool, classes_of(scenario, pool.service))
            ).items()
        }
        for pool in scenario.engine_pools
    }


def _cpu_shares(cluster: Cluster, seconds: float) -> dict[str, float]:
    """Return each running process's processor time as a share of the run's length.

    It includes the start of the process. A share near 1.0 shows that Python is the
    bottleneck of that process.
    """
    return {
        name: round(_cpu_seconds(process.pid) / seconds, 2)
        for name, process in cluster.process_by_name.items()
        if process.running
    }


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
