"""Injects the faults of a run with `--faults`.

A decode engine is killed, then an entry host. Then the link of a prefill engine is
cut, and restored before the end of the run.
"""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from bench._scenarios import Scenario
from bench._system import isolated_prefill_engine, killed_decode_engine
from tests.fakes.cluster import Cluster

# The times of the faults, as shares of the measured period.
ENGINE_KILLED_AT = 0.35
ENTRY_KILLED_AT = 0.5
LINK_CUT_AT = 0.6
LINK_HEALED_AT = 0.8


@dataclass(frozen=True)
class ScheduledFault:
    """A fault and its time on the monotonic clock."""

    at: float
    name: str
    action: Callable[[], None]


class FaultInjector:
    """Injects the faults on time; `records` holds those of the killed engine."""

    def __init__(self, scenario: Scenario, cluster: Cluster) -> None:
        self._scenario = scenario
        self._cluster = cluster
        self.records: list[dict] = []
        self.injected: list[str] = []
        self.lost_entry = ""

    def start(self, starts_at: float, seconds: float) -> None:
        """Start a thread that injects each fault at its time."""
        planned = (
            (ENGINE_KILLED_AT, "decode engine killed", self._kill_engine),
            (ENTRY_KILLED_AT, "entry host killed", self._kill_entry),
            (LINK_CUT_AT, "link cut", self._cut_link),
            (LINK_HEALED_AT, "link healed", self._heal_link),
        )
        faults = [
            ScheduledFault(starts_at + share * seconds, name, action)
            for share, name, action in planned
        ]
        threading.Thread(target=self._run, args=(faults,), daemon=True).start()

    def _run(self, faults: list[ScheduledFault]) -> None:
        for fault in faults:
            time.sleep(max(0.0, fault.at - time.monotonic()))
            fault.action()
            self.injected.append(fault.name)

    def _kill_engine(self) -> None:
        name = killed_decode_engine(self._scenario)
        process = self._cluster.process_by_name[name]
        self.records.append(self._cluster.endpoint_call(name, "GET", "/v1/records"))
        process.signal(signal.SIGKILL)

    def _kill_entry(self) -> None:
        name = self._cluster.entry_ids[-1]
        self.lost_entry = self._cluster.client_address(name)
        self._cluster.process_by_name[name].signal(signal.SIGKILL)

    def _cut_link(self) -> None:
        self._cluster.proxy_by_hop["*", isolated_prefill_engine(self._scenario)].cut()

    def _heal_link(self) -> None:
        self._cluster.proxy_by_hop["*", isolated_prefill_engine(self._scenario)].heal()
