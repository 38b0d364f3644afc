"""SIGHUP to a process that is still importing its modules."""

from __future__ import annotations

import subprocess
import sys

import pytest

# Prints how SIGHUP is handled when the import of the first large library begins.
PROBE = """
import signal, sys

# Resets to the default, as in a terminal: the test run may ignore this signal.
signal.signal(signal.SIGHUP, signal.SIG_DFL)

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "pydantic":
            print("caught" if callable(signal.getsignal(signal.SIGHUP)) else "fatal")
            signal.raise_signal(signal.SIGHUP)
            from jujubeslip._reload_signal import reload_was_asked
            print("noted" if reload_was_asked() else "lost")
            sys.exit()

sys.meta_path.insert(0, Finder())
sys.argv = ["jujubeslip", *sys.argv[1:]]
import jujubeslip.cli
"""


def run_probe(command: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-c", PROBE, command],
        capture_output=True,
        text=True,
        timeout=60,
    )


class TestReloadDuringAStart:
    """Guards against a host that ends without a log line when its seeds change.

    Operators send SIGHUP to all hosts after a change of the seeds. The signal ends a
    process that has no handler. A handler that is installed only after the imports,
    which take half a second, is too late for a host that is starting: it "ends with
    status -1" and is started again.
    """

    @pytest.mark.parametrize("command", ["control", "entry", "forward"])
    def test_is_recorded_before_libraries_are_imported(self, command: str) -> None:
        assert run_probe(command).stdout.split() == ["caught", "noted"]

    def test_ends_commands_that_operators_run(self) -> None:
        """SIGHUP then means that the operator's terminal was closed."""
        assert run_probe("status").stdout.split() == ["fatal"]
