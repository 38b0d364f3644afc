"""Contents that run at the same endpoints as a fatal content, in virtual time.

Hosts record runs with the classes of the forwarding path and exchange records, as they
do over the network.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.forwarding._crash_detector import CRASH_WINDOW_SECONDS
from jujubeslip.forwarding._models import Attempts
from jujubeslip.kernel import Deadline
from jujubeslip.quarantine import (
    CrashRegistry,
    to_crash_record,
    usable_histories,
)
from tests.fakes.clock import Clock
from tests.fakes.quarantine_hosts import Host, context_of, use_clock

FATAL = "f" * 16
STREAM, OTHER_STREAM, POLL = "0" * 16, "1" * 16, "2" * 16
ENDPOINTS = 3
# The time between two crashes, and from the first event of a stream to the crash of its
# endpoint, in seconds.
PAUSE_SECONDS = 0.6
ANSWERED_SECONDS = CRASH_WINDOW_SECONDS / 2


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return use_clock(monkeypatch)


@dataclass
class Run:
    """One request at an endpoint, sent by a host."""

    host: Host
    content: str
    start_id: str
    attempts: Attempts = field(default_factory=Attempts)

    def begin_answer(self) -> None:
        self.attempts.answer_started = Deadline.after(0)

    def receive_event(self) -> None:
        """Receive a further event or the end of the answer."""
        self.host.quarantine.note_harmless(context_of(self.content))

    def interrupt(self) -> None:
        endpoint: Any = SimpleNamespace(start_id=self.start_id, address="")
        self.host.crashes.record_cut_off(
            context_of(self.content), self.attempts, endpoint
        )


class Hosts:
    """Three entry hosts and a control host, all with empty registries at first."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.all = [Host() for _ in range(3)]
        self._control = CrashRegistry()
        self._starts = itertools.count()

    def restart(self, number: int) -> None:
        self.all[number] = Host()

    def crash_endpoint(
        self, answered: list[str], silent: list[str], first_host: int = 0
    ) -> None:
        """Crash an endpoint that answers some contents, but not yet the silent ones.

        Successive hosts send one content each, beginning with `first_host`.
        """
        start_id = f"start-{next(self._starts)}"
        runs = [
            Run(self.all[number % len(self.all)], content, start_id)
            for number, content in enumerate([*answered, *silent], first_host)
        ]
        for run in runs[: len(answered)]:
            run.begin_answer()
        self.clock.now += ANSWERED_SECONDS
        for run in runs:
            run.interrupt()
        self.report_all()
        self.clock.now += PAUSE_SECONDS
        self.report_all()

    def run_without_crash(self, content: str, number: int) -> None:
        """Let a host see a stream answered for longer than a crash can take."""
        run = Run(self.all[number], content, f"start-{next(self._starts)}")
        run.begin_answer()
        self.clock.now += 2 * CRASH_WINDOW_SECONDS
        run.receive_event()

    def report_all(self) -> None:
        for host in self.all:
            _report(host.registry, self._control, suspected_or_cleared_only=False)
        for host in self.all:
            _report(self._control, host.registry, suspected_or_cleared_only=True)

    def refusing(self, content: str) -> list[int]:
        return [n for n, host in enumerate(self.all) if host.refuses(content)]


def _report(
    sender: CrashRegistry, receiver: CrashRegistry, suspected_or_cleared_only: bool
) -> None:
    _, found = sender.changes_since(0, suspected_or_cleared_only)
    records = [to_crash_record(history) for history in found]
    receiver.merge(usable_histories("host", records))


@pytest.fixture
def hosts(clock: Clock) -> Hosts:
    return Hosts(clock)


class TestStreamWithFatalContentAfterRestart:
    """Guards against quarantining a stream because restarted hosts forgot its runs."""

    @pytest.mark.parametrize("answered_at", [1, 2, 3])
    def test_is_served_if_an_endpoint_answered_it(
        self, hosts: Hosts, answered_at: int
    ) -> None:
        for number in range(ENDPOINTS):
            is_answered = number < answered_at
            hosts.crash_endpoint(
                [STREAM] if is_answered else [],
                [FATAL] if is_answered else [FATAL, STREAM],
            )
        assert hosts.refusing(STREAM) == []

    def test_is_served_if_only_the_last_endpoint_answered_it(
        self, hosts: Hosts
    ) -> None:
        for _ in range(ENDPOINTS - 1):
            hosts.crash_endpoint([], [FATAL, STREAM])
        hosts.crash_endpoint([STREAM], [FATAL])
        assert hosts.refusing(STREAM) == []

    def test_two_concurrent_streams_are_served(self, hosts: Hosts) -> None:
        for _ in range(ENDPOINTS):
            hosts.crash_endpoint([STREAM, OTHER_STREAM], [FATAL])
        assert hosts.refusing(STREAM) == hosts.refusing(OTHER_STREAM) == []

    def test_two_streams_answered_in_turn_are_served(self, hosts: Hosts) -> None:
        for content, other in itertools.islice(
            itertools.cycle([(STREAM, OTHER_STREAM), (OTHER_STREAM, STREAM)]), ENDPOINTS
        ):
            hosts.crash_endpoint([content], [FATAL, other])
        assert hosts.refusing(STREAM) == hosts.refusing(OTHER_STREAM) == []


class TestContentSeenRunByAnotherHost:
    """Guards against a quarantine by a restarted host if another host saw it run."""

    def test_is_served_if_it_ran_before_the_first_crash(self, hosts: Hosts) -> None:
        for number in range(3):
            hosts.run_without_crash(POLL, number)
        hosts.report_all()
        hosts.restart(0)
        for _ in range(ENDPOINTS):
            hosts.crash_endpoint([], [POLL, FATAL])
        assert hosts.refusing(POLL) == []

    def test_is_served_by_the_host_that_knows(self, hosts: Hosts) -> None:
        hosts.run_without_crash(POLL, 2)
        for _ in range(ENDPOINTS):
            hosts.crash_endpoint([], [POLL, FATAL])
        assert 2 not in hosts.refusing(POLL)

    @pytest.mark.parametrize("crashes_before", [1, 2])
    def test_is_served_if_it_ran_between_crashes(
        self, hosts: Hosts, crashes_before: int
    ) -> None:
        for number in range(ENDPOINTS):
            if number == crashes_before:
                hosts.run_without_crash(POLL, 2)
                hosts.report_all()
            hosts.crash_endpoint([], [POLL, FATAL])
        # The host that saw it run is checked last, since its check clears the content.
        assert [host.refuses(POLL) for host in hosts.all] == [False] * 3

    def test_is_served_if_hosts_restart_in_turn(self, hosts: Hosts) -> None:
        for number in range(3):
            hosts.run_without_crash(POLL, number)
        for number in range(ENDPOINTS):
            hosts.restart(number)
            hosts.report_all()
            hosts.crash_endpoint([], [POLL, FATAL], first_host=number)
        assert hosts.refusing(POLL) == []


class TestFatalContent:
    """Guards against excusing a fatal content by contents that run concurrently."""

    @pytest.mark.parametrize("concurrent", [[], [STREAM], [STREAM, OTHER_STREAM]])
    def test_is_refused_after_three_endpoints(
        self, hosts: Hosts, concurrent: list[str]
    ) -> None:
        for _ in range(ENDPOINTS):
            hosts.crash_endpoint(concurrent, [FATAL])
        assert hosts.refusing(FATAL) == [0, 1, 2]

    def test_is_refused_if_another_content_waits_concurrently(
        self, hosts: Hosts
    ) -> None:
        for _ in range(ENDPOINTS):
            hosts.crash_endpoint([], [FATAL, STREAM])
        assert hosts.refusing(FATAL) == [0, 1, 2]

    def test_is_refused_if_it_is_answered_briefly(self, hosts: Hosts) -> None:
        for _ in range(ENDPOINTS):
            hosts.crash_endpoint([FATAL], [])
        assert hosts.refusing(FATAL) == [0, 1, 2]

    def test_is_refused_if_answered_while_others_wait_once_each(
        self, hosts: Hosts
    ) -> None:
        for number in range(ENDPOINTS):
            hosts.crash_endpoint([FATAL], [f"{number + 3:016x}"])
        assert hosts.refusing(FATAL) == [0, 1, 2]

    def test_is_refused_once_it_ran_without_the_other(self, hosts: Hosts) -> None:
        for _ in range(ENDPOINTS):
            hosts.crash_endpoint([FATAL], [STREAM])
        for _ in range(ENDPOINTS):
            hosts.crash_endpoint([FATAL], [])
        assert hosts.refusing(FATAL) == [0, 1, 2]
