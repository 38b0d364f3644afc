"""SIGHUP to a process that is still starting."""

from __future__ import annotations

import subprocess
import sys

import pytest

# Prints how SIGHUP is handled when the first large library is asked for.
PROBE = """
import signal, sys

# As a terminal starts it: whoever runs the tests may have told them to ignore this.
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


def handling(command: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-c", PROBE, command],
        capture_output=True,
        text=True,
        timeout=60,
    )


class TestReloadDuringAStart:
    """A host that starts while its settings are changed ends without a word.

    Operators tell all hosts by SIGHUP that the seeds are others. The signal ends a
    process that has no handler, and ours came after half a second of loading
    libraries: the host "ends with status -1" and is started again.
    """

    @pytest.mark.parametrize("command", ["control", "entry", "forward"])
    def test_is_noted_before_libraries_are_loaded(self, command: str) -> None:
        assert handling(command).stdout.split() == ["caught", "noted"]

    def test_ends_commands_that_operators_run(self) -> None:
        """Their terminal is closed."""
        assert handling("status").stdout.split() == ["fatal"]
