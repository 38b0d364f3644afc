"""How soon a host hears of control hosts that were all lost and come back."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from jujubeslip.discovery import ControlFollowers, EndpointRegistry
from jujubeslip.discovery._control_followers import (
    MAXIMUM_RETRY_SECONDS,
    RETRY_CHECK_SECONDS,
    RETRY_SECONDS,
)
from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import PeerIdentity, WatchReply
from tests.fakes.processes import wait_until

FIRST, SECOND = "10.0.0.1:7000", "10.0.0.2:7000"
# Tolerance for tasks that run late on a busy machine, in seconds.
TOLERANCE_SECONDS = 0.2
# After this time the delay between two attempts has reached its maximum.
LOST_SECONDS = 3 * MAXIMUM_RETRY_SECONDS


class Process:
    """Runs each task in a thread of its own."""

    def __init__(self) -> None:
        self.stopped = threading.Event()
        self._threads: list[threading.Thread] = []

    def start_task(self, task: Callable[[], None]) -> None:
        self._threads.append(threading.Thread(target=task))
        self._threads[-1].start()

    def stop(self) -> None:
        self.stopped.set()
        for thread in self._threads:
            thread.join()


class Control:
    """A control host that replies to watch requests while it is available."""

    def __init__(self) -> None:
        self.is_available = False

    def call(self, rpc: object, timeout: float) -> WatchReply:
        if not self.is_available:
            raise PeerUnavailableError("refused")
        time.sleep(RETRY_CHECK_SECONDS)
        return WatchReply()


class Followers(ControlFollowers):
    """Follows stand-ins of control hosts."""

    def __init__(self, process: Any) -> None:
        self.control_by_address = {FIRST: Control(), SECOND: Control()}
        identity = PeerIdentity("entry-1", 1, "secret")
        super().__init__(process, identity, EndpointRegistry(), lambda update: None)

    def client_of(self, address: str) -> Any:
        return self.control_by_address[address]


@pytest.fixture
def followers() -> Iterator[Followers]:
    process = Process()
    yield Followers(process)
    process.stop()


def seconds_until_reached(followers: Followers, address: str) -> float:
    began = time.monotonic()
    wait_until(lambda: followers.reaches(address), f"{address} is reached")
    return time.monotonic() - began


class TestHostWithoutAnyControlHost:
    """Guards against requests that wait outside the leader's queue for a second more.

    The delay between two attempts had grown while all control hosts were gone.
    """

    def test_reaches_the_first_that_returns_soon(self, followers: Followers) -> None:
        followers.learn([FIRST])
        time.sleep(LOST_SECONDS)
        followers.control_by_address[FIRST].is_available = True
        seconds = seconds_until_reached(followers, FIRST)
        assert seconds < RETRY_SECONDS + TOLERANCE_SECONDS


class TestControlHostsThatReturnTogether:
    """Guards against a leader that only some of its followers' hosts have reached."""

    def test_are_all_reached_with_the_first(self, followers: Followers) -> None:
        followers.learn([FIRST])
        followers.control_by_address[FIRST].is_available = True
        seconds_until_reached(followers, FIRST)
        followers.learn([SECOND])
        time.sleep(LOST_SECONDS)
        followers.control_by_address[FIRST].is_available = False
        wait_until(lambda: not followers.reaches(FIRST), "none is reached")
        for control in followers.control_by_address.values():
            control.is_available = True
        seconds_until_reached(followers, FIRST)
        assert seconds_until_reached(followers, SECOND) < TOLERANCE_SECONDS
