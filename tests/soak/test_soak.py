"""Short runs of the soak, as its command line makes them."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from soak import read_regressions
from tests.fakes.processes import ROOT, wait_until

# Between them they have most faults, a replaced control host among them; a lost disk
# and all hosts killed at once come in longer runs.
FIXED = [(8, 12.0), (23, 12.0)]
SHORT = [(item.seed, item.seconds) for item in read_regressions() if item.ci]
LIMIT_SECONDS = 400.0


def start(folder: Path, seed: int, seconds: float) -> subprocess.Popen[str]:
    arguments = ["--seed", str(seed), "--seconds", str(seconds)]
    return subprocess.Popen(
        [sys.executable, "-m", "soak", *arguments, "--folder", str(folder)],
        cwd=ROOT,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def children(pid: int) -> set[int]:
    """Return the ids of the processes that a process has started."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return {
        int(child)
        for task in tasks
        for child in (task / "children").read_text().split()
    }


class TestSeed:
    @pytest.mark.parametrize(("seed", "seconds"), [*FIXED, *SHORT])
    def test_keeps_every_promise(
        self, tmp_path: Path, seed: int, seconds: float
    ) -> None:
        process = start(tmp_path / "soak", seed, seconds)
        output, _ = process.communicate(timeout=LIMIT_SECONDS)
        assert process.returncode == 0, output


class TestInterruptedRun:
    """Someone stops a run that has paused some of its hosts."""

    @pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
    def test_leaves_no_process_behind(
        self, tmp_path: Path, number: signal.Signals
    ) -> None:
        process = start(tmp_path / "soak", 1, 60.0)
        try:
            started = wait_until(
                lambda: len(found := children(process.pid)) >= 6 and found,
                "six hosts run",
            )
            process.send_signal(number)
            process.communicate(timeout=LIMIT_SECONDS)
        finally:
            process.kill()
            process.wait()
        assert started
        assert not [pid for pid in started if Path(f"/proc/{pid}").exists()]
