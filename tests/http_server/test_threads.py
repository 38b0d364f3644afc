"""How many threads serve requests, and how open requests are counted."""

from __future__ import annotations

import threading

import pytest

from jujubeslip.http_server._threads import CallThreads
from tests.fakes.processes import wait_until

MAXIMUM = 8


class BlockingCall:
    """A request that is served until the test releases it."""

    def __init__(self) -> None:
        self.begun = threading.Event()
        self.released = threading.Event()

    def service(self) -> None:
        self.begun.set()
        self.released.wait()

    def cancel(self) -> None:
        raise AssertionError("no call is cancelled here")


class FailingCall(BlockingCall):
    def service(self) -> None:
        raise RuntimeError("outside of the answer")


def http_threads() -> set[threading.Thread]:
    return {item for item in threading.enumerate() if item.name.startswith("http")}


class TestThreadsOfAnIdleHost:
    """Guards against hosts that hold threads for their peak load while idle.

    If each host starts the 112 threads of its peak load with its process, a system of
    200 hosts on one machine holds 27,600 threads, and nothing else can start there.
    Most of the time a host serves a few requests.
    """

    def test_are_only_started_by_requests(self) -> None:
        before = http_threads()
        threads = CallThreads(MAXIMUM)
        assert http_threads() == before
        for _ in range(3 * MAXIMUM):
            call = BlockingCall()
            call.released.set()
            threads.add_task(call)
            wait_until(lambda: threads.open_count == 0, "the call has ended")
        # A thread that has just served a request may not be idle when the next arrives.
        assert len(http_threads() - before) <= 2

    def test_are_as_many_as_open_requests(self) -> None:
        before = http_threads()
        threads = CallThreads(MAXIMUM)
        calls = [BlockingCall() for _ in range(MAXIMUM + 1)]
        for call in calls:
            threads.add_task(call)
        for call in calls[:MAXIMUM]:
            wait_until(call.begun.is_set, "the call is served")
        assert not calls[MAXIMUM].begun.is_set()
        assert threads.open_count == MAXIMUM + 1
        assert len(http_threads() - before) == MAXIMUM
        for call in calls:
            call.released.set()
        wait_until(lambda: threads.open_count == 0, "all calls have ended")
        assert calls[MAXIMUM].begun.is_set()


class TestCallThatFails:
    def test_is_logged_and_counts_as_ended(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        threads = CallThreads(MAXIMUM)
        threads.add_task(FailingCall())
        wait_until(lambda: threads.open_count == 0, "the call has ended")
        wait_until(lambda: "call failed outside" in caplog.text, "it is logged")
