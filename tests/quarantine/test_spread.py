"""How far one content gets among many hosts, zones and a partition, in virtual time."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from jujubeslip.quarantine import Crash, CrashBook, to_crash_record, usable_histories
from jujubeslip.quarantine import _book as book_module
from tests.fakes.clock import Clock

FATAL, POLL = "f" * 16, "0" * 16
ENTRIES, CONTROLS, ZONES = 76, 6, 3
# How often a host hears from a control host without news, and what may reach endpoints
# after three crashes and the time in which hosts are in touch, in seconds.
WATCH_SECONDS = 0.7
CONTACT_SECONDS = 3.0
FURTHER_RUNS = 3
STEP_SECONDS = 0.05


@dataclass
class Host:
    zone: int
    book: CrashBook = field(default_factory=CrashBook)
    next_watch_at: float = 0.0


class Hosts:
    """Entry hosts that watch control hosts, which watch each other."""

    def __init__(self, clock: Clock, seed: int) -> None:
        self.clock = clock
        self.chance = random.Random(seed)
        self.entries = [Host(number % ZONES) for number in range(ENTRIES)]
        self.controls = [Host(number % ZONES) for number in range(CONTROLS)]
        self.cut_zone: int | None = None
        self.crashed_at: list[float] = []
        self.sent_at: list[float] = []
        self._starts = 0
        for host in (*self.entries, *self.controls):
            host.next_watch_at = clock.now + self.chance.uniform(0, WATCH_SECONDS)

    def reaches(self, one: Host, other: Host) -> bool:
        is_cut = self.cut_zone is not None and one.zone != other.zone
        return not (is_cut and self.cut_zone in (one.zone, other.zone))

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
        """Send the content to a host by lot; an endpoint ends with it, if it runs."""
        hosts = [host for host in self.entries if zone in (None, host.zone)]
        host = self.chance.choice(hosts)
        if host.book.held_back():
            return
        self._starts += 1
        sent_at = self.clock.now
        self.sent_at.append(sent_at)
        crash = Crash(f"start-{self._starts}", sent_at, sent_at + STEP_SECONDS)
        host.book.note_crash(FATAL, crash)
        # A poll that runs there, from another host, as often as the content itself.
        beside = self.chance.choice(self.entries)
        beside.book.note_crash(POLL, crash)

    def poll(self) -> None:
        """Let a poll be answered whole at a host by lot."""
        self.chance.choice(self.entries).book.clear(POLL)

    def late_sends(self) -> int:
        known_from = self.sent_at[2] + CONTACT_SECONDS
        return sum(at > known_from for at in self.sent_at)

    def _watch(self, host: Host) -> None:
        for control in self.controls:
            if control is not host and self.reaches(host, control):
                self._tell(host, control, suspects_only=False)
                self._tell(control, host, suspects_only=host in self.entries)

    def _tell(self, teller: Host, hearer: Host, suspects_only: bool) -> None:
        _, found = teller.book.changes_since(0, suspects_only)
        records = [to_crash_record(history) for history in found]
        hearer.book.take(usable_histories("host", records))


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for name in (
        book_module.__name__,
        "jujubeslip.kernel._deadlines",
        "jujubeslip.quarantine._records",
    ):
        monkeypatch.setattr(f"{name}.steady_seconds", clock.steady_seconds)
    return clock


class TestSeventySixHosts:
    """Guards against a content that reaches endpoints once for each host."""

    @pytest.mark.parametrize("seed", range(5))
    def test_few_more_reach_endpoints(self, clock: Clock, seed: int) -> None:
        hosts = Hosts(clock, seed)
        for _ in range(100):
            hosts.send()
            hosts.run(hosts.chance.uniform(0.05, 0.5))
            hosts.poll()
        assert hosts.late_sends() <= FURTHER_RUNS
        assert all(
            [history.fingerprint for history in host.book.held_back()] == [FATAL]
            for host in hosts.entries
        )

    def test_a_zone_that_is_cut_off_learns_it_by_itself(self, clock: Clock) -> None:
        hosts = Hosts(clock, 7)
        hosts.cut_zone = 0
        for _ in range(40):
            hosts.send(zone=0)
            hosts.run(0.3)
            hosts.poll()
        assert hosts.late_sends() <= FURTHER_RUNS

    def test_zones_know_it_once_the_partition_is_over(self, clock: Clock) -> None:
        hosts = Hosts(clock, 8)
        hosts.cut_zone = 0
        for _ in range(10):
            hosts.send(zone=1)
            hosts.run(0.3)
        hosts.cut_zone = None
        hosts.run(2 * WATCH_SECONDS)
        assert all(host.book.held_back() for host in hosts.entries)

    def test_control_hosts_that_lost_their_memory_are_told(self, clock: Clock) -> None:
        hosts = Hosts(clock, 9)
        for _ in range(10):
            hosts.send()
            hosts.run(0.3)
        for host in (*hosts.controls, *hosts.entries[1:]):
            host.book = CrashBook()
        hosts.run(3 * WATCH_SECONDS)
        assert all(host.book.held_back() for host in hosts.entries)
