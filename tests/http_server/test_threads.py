"""How many threads serve calls, and what is known of those that are open."""

from __future__ import annotations

import threading

import pytest

from jujubeslip.http_server._threads import CallThreads
from tests.fakes.processes import wait_until

MAXIMUM = 8


class Call:
    """A call that is served until the test lets it go."""

    def __init__(self) -> None:
        self.begun = threading.Event()
        self.go_on = threading.Event()

    def service(self) -> None:
        self.begun.set()
        self.go_on.wait()

    def cancel(self) -> None:
        raise AssertionError("no call is cancelled here")


class FailingCall(Call):
    def service(self) -> None:
        raise RuntimeError("outside of the answer")


def http_threads() -> set[threading.Thread]:
    return {item for item in threading.enumerate() if item.name.startswith("http")}


class TestThreadsOfAnIdleHost:
    """Two hundred hosts of one system hold most threads that a machine can run.

    Each host started all threads that its worst moment may need, 112, with its process:
    a system of 200 hosts held 27,600 threads, and nothing else could be started beside
    it. At most moments a host serves a handful of calls.
    """

    def test_are_started_by_calls_alone(self) -> None:
        before = http_threads()
        threads = CallThreads(MAXIMUM)
        assert http_threads() == before
        for _ in range(3 * MAXIMUM):
            call = Call()
            call.go_on.set()
            threads.add_task(call)
            wait_until(lambda: threads.open_count == 0, "the call has ended")
        # A thread that has just ended a call may not be idle yet when the next comes.
        assert len(http_threads() - before) <= 2

    def test_are_as_many_as_calls_are_open(self) -> None:
        before = http_threads()
        threads = CallThreads(MAXIMUM)
        calls = [Call() for _ in range(MAXIMUM + 1)]
        for call in calls:
            threads.add_task(call)
        for call in calls[:MAXIMUM]:
            wait_until(call.begun.is_set, "the call is served")
        assert not calls[MAXIMUM].begun.is_set()
        assert threads.open_count == MAXIMUM + 1
        assert len(http_threads() - before) == MAXIMUM
        for call in calls:
            call.go_on.set()
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
