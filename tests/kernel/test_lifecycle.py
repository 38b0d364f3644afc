"""Tasks of a process: failures and waits are logged."""

from __future__ import annotations

import logging
import threading
from dataclasses import replace

import pytest

from jujubeslip.kernel import Process, _lifecycle

BOUND_SECONDS = 20.0


def messages(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.message for record in caplog.records]


class TestTasks:
    def test_an_error_is_logged(self, caplog: pytest.LogCaptureFixture) -> None:
        def fail() -> None:
            raise ValueError("as planned")

        future = Process("test").start_task(fail)
        # Callbacks run in order, so the one that logs has run before this one.
        logged = threading.Event()
        future.add_done_callback(lambda _: logged.set())
        assert logged.wait(BOUND_SECONDS)
        assert "task failed" in messages(caplog)

    def test_waiting_tasks_are_logged_once(
        self, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a process that runs out of tasks without a log line.

        A home of 600 endpoints can use up its tasks. Then it no longer polls endpoints,
        which expire one by one, and accepts connections without ever answering.
        """
        monkeypatch.setattr(_lifecycle, "MAXIMUM_TASKS", 2)
        process = Process("test")
        gate = threading.Event()
        with caplog.at_level(logging.ERROR):
            futures = [process.start_task(lambda: _wait(gate)) for _ in range(2)]
            assert messages(caplog) == []
            futures += [process.start_task(lambda: _wait(gate)) for _ in range(3)]
            gate.set()
            for future in futures:
                future.result(BOUND_SECONDS)
        assert messages(caplog) == ["new tasks wait: all are in use"]


class TestPeriodicTasks:
    def test_failed_step_runs_again(self, caplog: pytest.LogCaptureFixture) -> None:
        """One invalid message must not end a host's gossip permanently."""
        process = Process("test")
        ran = threading.Semaphore(0)

        def step() -> None:
            ran.release()
            raise ValueError("as planned")

        process.repeat(0.001, step)
        for _ in range(3):
            assert ran.acquire(timeout=BOUND_SECONDS)
        process.stopped.set()
        assert "periodic task failed" in messages(caplog)


def _wait(gate: threading.Event) -> None:
    gate.wait(BOUND_SECONDS)


class TestProcessThatIsHeldUp:
    """Guards against late answers of a process whose log doesn't give the cause."""

    @pytest.mark.parametrize(("late", "is_logged"), [(0.1, False), (0.4, True)])
    def test_logs_a_late_check_for_signals(
        self, late: float, is_logged: bool, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level(logging.INFO)
        before = _lifecycle._SignalCheck.now()
        due = before.at - _lifecycle.SIGNAL_CHECK_INTERVAL_SECONDS
        Process("test")._log_delay(replace(before, at=due - late))
        assert ("process held up" in messages(caplog)) is is_logged
