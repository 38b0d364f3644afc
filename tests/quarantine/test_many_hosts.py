"""How often a fatal content runs in a system of many hosts, in virtual time."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from jujubeslip.quarantine import (
    Crash,
    CrashRegistry,
    to_crash_record,
    usable_histories,
)
from jujubeslip.quarantine import _registry as registry_module
from tests.fakes.clock import Clock

FATAL, POLL = "f" * 16, "0" * 16
ENTRIES, CONTROLS, ZONES = 76, 6, 3
# The interval at which a host polls the control hosts, and the time within which all
# hosts know of three crashes, in seconds. After that, few further runs are allowed.
WATCH_SECONDS = 0.7
CONTACT_SECONDS = 3.0
FURTHER_RUNS = 3
STEP_SECONDS = 0.05


@dataclass
class Host:
    zone: int
    registry: CrashRegistry = field(default_factory=CrashRegistry)
    next_watch_at: float = 0.0


class Hosts:
    """Entry hosts that watch the control hosts, which also watch each other."""

    def __init__(self, clock: Clock, seed: int) -> None:
        self.clock = clock
        self.rng = random.Random(seed)
        self.entries = [Host(number % ZONES) for number in range(ENTRIES)]
        self.controls = [Host(number % ZONES) for number in range(CONTROLS)]
        self.partitioned_zone: int | None = None
        self.crashed_at: list[float] = []
        self.sent_at: list[float] = []
        self._starts = 0
        for host in (*self.entries, *self.controls):
            host.next_watch_at = clock.now + self.rng.uniform(0, WATCH_SECONDS)

    def reaches(self, one: Host, other: Host) -> bool:
        is_cut = self.partitioned_zone is not None and one.zone != other.zone
        return not (is_cut and self.partitioned_zone in (one.zone, other.zone))

    def step(self) -> None:
        self.clock.now += STEP_SECONDS
        for host in (*self.entries, *self.controls):
            if host.next_watch_at <= self.clock.now:
                host.next_watch_at = self.clock.now + WATCH_SECONDS
                self._watch(host)

    def run(self, seconds: float) -> None:
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.step()

    def send(self, zone: int | None = None) -> None:
        """Send the fatal content to a random host; if it runs, an endpoint crashes."""
        hosts = [host for host in self.entries if zone in (None, host.zone)]
        host = self.rng.choice(hosts)
        if host.registry.quarantined_contents():
            return
        self._starts += 1
        sent_at = self.clock.now
        self.sent_at.append(sent_at)
        crash = Crash(f"start-{self._starts}", sent_at, sent_at + STEP_SECONDS)
        host.registry.record_crash(FATAL, crash)
        # A poll from another host runs at the same endpoint at each crash.
        other_host = self.rng.choice(self.entries)
        other_host.registry.record_crash(POLL, crash)

    def poll(self) -> None:
        """Let a random host get a complete answer to a poll."""
        self.rng.choice(self.entries).registry.clear(POLL)

    def late_sends(self) -> int:
        known_from = self.sent_at[2] + CONTACT_SECONDS
        return sum(at > known_from for at in self.sent_at)

    def _watch(self, host: Host) -> None:
        for control in self.controls:
            if control is not host and self.reaches(host, control):
                self._report(host, control, suspected_or_cleared_only=False)
                self._report(
                    control, host, suspected_or_cleared_only=host in self.entries
                )

    def _report(
        self, sender: Host, receiver: Host, suspected_or_cleared_only: bool
    ) -> None:
        _, found = sender.registry.changes_since(0, suspected_or_cleared_only)
        records = [to_crash_record(history) for history in found]
        receiver.registry.merge(usable_histories("host", records))


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for name in (
        registry_module.__name__,
        "jujubeslip.kernel._deadlines",
        "jujubeslip.quarantine._records",
    ):
        monkeypatch.setattr(f"{name}.steady_seconds", clock.steady_seconds)
    return clock


class TestManyHosts:
    """Guards against a content that crashes an endpoint once for each host."""

    @pytest.mark.parametrize("seed", range(5))
    def test_few_further_requests_reach_endpoints(
        self, clock: Clock, seed: int
    ) -> None:
        hosts = Hosts(clock, seed)
        for _ in range(100):
            hosts.send()
            hosts.run(hosts.rng.uniform(0.05, 0.5))
            hosts.poll()
        assert hosts.late_sends() <= FURTHER_RUNS
        assert all(
            [history.fingerprint for history in host.registry.quarantined_contents()]
            == [FATAL]
            for host in hosts.entries
        )

    def test_a_partitioned_zone_detects_it_by_itself(self, clock: Clock) -> None:
        hosts = Hosts(clock, 7)
        hosts.partitioned_zone = 0
        for _ in range(40):
            hosts.send(zone=0)
            hosts.run(0.3)
            hosts.poll()
        assert hosts.late_sends() <= FURTHER_RUNS

    def test_zones_know_it_after_the_partition(self, clock: Clock) -> None:
        hosts = Hosts(clock, 8)
        hosts.partitioned_zone = 0
        for _ in range(10):
            hosts.send(zone=1)
            hosts.run(0.3)
        hosts.partitioned_zone = None
        hosts.run(2 * WATCH_SECONDS)
        assert all(host.registry.quarantined_contents() for host in hosts.entries)

    def test_restarted_control_hosts_get_reports(self, clock: Clock) -> None:
        hosts = Hosts(clock, 9)
        for _ in range(10):
            hosts.send()
            hosts.run(0.3)
        for host in (*hosts.controls, *hosts.entries[1:]):
            host.registry = CrashRegistry()
        hosts.run(3 * WATCH_SECONDS)
        assert all(host.registry.quarantined_contents() for host in hosts.entries)
