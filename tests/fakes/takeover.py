"""Helpers for tests that suspend the leading control host and wait for the next."""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator
from contextlib import contextmanager

from tests.fakes.platform_system import PlatformSystem
from tests.fakes.processes import wait_until


def leader_of(system: PlatformSystem) -> int:
    """Return the control host with the latest leadership, by the log lines."""
    terms = [_latest_term(host.output()) for host in system.controls]
    return terms.index(max(terms))


def _latest_term(output: str) -> int:
    """Return the last term in which a control host was the leader, 0 if none."""
    lines = [json.loads(line) for line in output.splitlines() if '"leading"' in line]
    led = [line["term"] for line in lines if line["message"] == "leading"]
    return max(led, default=0)


@contextmanager
def suspended_leader(system: PlatformSystem) -> Iterator[int]:
    """Suspend the leading control host, and resume it at the end."""
    leader = leader_of(system)
    system.controls[leader].signal(signal.SIGSTOP)
    try:
        yield leader
    finally:
        system.controls[leader].signal(signal.SIGCONT)


def wait_for_next_leader(system: PlatformSystem, before: int) -> int:
    """Wait until another control host is the leader; return it."""
    wait_until(lambda: leader_of(system) != before, "the next one leads")
    return leader_of(system)


def wait_until_followed(system: PlatformSystem, host: int) -> None:
    """Wait until a control host logs that it follows the leader, or is the leader."""

    def follows() -> bool:
        leader = leader_of(system)
        lines = system.controls[host].output().splitlines()
        found = [json.loads(line) for line in lines if '"following"' in line]
        name = system.controls[leader].name
        follows_it = bool(found) and found[-1]["leader"].startswith(f"{name}/")
        return host == leader or follows_it

    wait_until(follows, f"{system.controls[host].name} follows the leader")
