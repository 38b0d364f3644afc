"""The faults of a run with `--faults`, in its middle.

A decode engine is killed, then an entry host; then the link of a prefill engine is
cut, and heals before the end.
"""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from bench._scenarios import Scenario
from bench._system import lost_decode_engine, lost_link
from tests.fakes.cluster import Cluster

ENGINE_KILLED_AT = 0.35
ENTRY_KILLED_AT = 0.5
LINK_CUT_AT = 0.6
LINK_HEALED_AT = 0.8


@dataclass(frozen=True)
class Disturbance:
    """What happens at an instant of the machine's clock."""

    at: float
    name: str
    action: Callable[[], None]


class Disturbances:
    """Carries the faults out on time; `records` are those of the killed engine."""

    def __init__(self, scenario: Scenario, cluster: Cluster) -> None:
        self._scenario = scenario
        self._cluster = cluster
        self.records: list[dict] = []
        self.done: list[str] = []
        self.lost_entry = ""

    def start(self, starts_at: float, seconds: float) -> None:
        """Begin to wait for the faults' instants, in a thread."""
        planned = (
            (ENGINE_KILLED_AT, "decode engine killed", self._kill_engine),
            (ENTRY_KILLED_AT, "entry host killed", self._kill_entry),
            (LINK_CUT_AT, "link cut", self._cut_link),
            (LINK_HEALED_AT, "link healed", self._heal_link),
        )
        faults = [
            Disturbance(starts_at + share * seconds, name, action)
            for share, name, action in planned
        ]
        threading.Thread(target=self._run, args=(faults,), daemon=True).start()

    def _run(self, faults: list[Disturbance]) -> None:
        for fault in faults:
            time.sleep(max(0.0, fault.at - time.monotonic()))
            fault.action()
            self.done.append(fault.name)

    def _kill_engine(self) -> None:
        name = lost_decode_engine(self._scenario)
        process = self._cluster.process_by_name[name]
        self.records.append(self._cluster.endpoint_call(name, "GET", "/v1/records"))
        process.signal(signal.SIGKILL)

    def _kill_entry(self) -> None:
        name = self._cluster.entry_ids[-1]
        self.lost_entry = self._cluster.client_address(name)
        self._cluster.process_by_name[name].signal(signal.SIGKILL)

    def _cut_link(self) -> None:
        self._cluster.proxy_by_hop["*", lost_link(self._scenario)].cut()

    def _heal_link(self) -> None:
        self._cluster.proxy_by_hop["*", lost_link(self._scenario)].heal()
