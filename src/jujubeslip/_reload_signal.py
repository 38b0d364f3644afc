"""Notes SIGHUP from the first moment of a host's process on.

Without a handler the signal ends the process, and loading the libraries takes half a
second of a small machine: a host that starts while its settings change would end. This
module loads nothing itself, and is imported before all others.
"""

from __future__ import annotations

import signal
import sys

# The commands that run until they are stopped. Others end when their terminal closes.
HOST_COMMANDS = frozenset({"control", "entry", "forward"})

_asked = False


def reload_was_asked() -> bool:
    """Return whether SIGHUP came before the process could act on it."""
    return _asked


def _note(*_: object) -> None:
    global _asked
    _asked = True


if HOST_COMMANDS.intersection(sys.argv[1:2]):
    signal.signal(signal.SIGHUP, _note)
