"""The command line of the soak: `python -m soak --seed 1 --seconds 60`."""

from __future__ import annotations

import argparse
import logging
import os
import signal
import sys
from pathlib import Path
from types import FrameType

from soak import SoakOptions, read_regressions, run_soak

FOLDER = Path("build/soak")


def main() -> int:
    """Run the soak; return 0 if every guarantee held."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--folder", type=Path, help="where logs of a failed run stay")
    parser.add_argument("--regressions", action="store_true", help="run the list")
    arguments = parser.parse_args()
    # Calls to hosts that are down are retried often; thrift would log every failure.
    logging.getLogger("thrift").setLevel(logging.CRITICAL)
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _interrupt)
    if arguments.regressions:
        return _run_regressions()
    folder = arguments.folder or _default_folder(arguments.seed)
    found = run_soak(SoakOptions(arguments.seed, arguments.seconds, folder.resolve()))
    return 1 if found else 0


def _run_regressions() -> int:
    """Run each listed seed; return 0 if the guarantees held for all fixed ones."""
    broken = 0
    for item in read_regressions():
        folder = _default_folder(item.seed).resolve()
        found = run_soak(SoakOptions(item.seed, item.seconds, folder))
        broken += bool(found) and not item.open
        verdict = "broken" if found else "kept"
        state = "open" if item.open else "mended"
        print(f"REGRESSION seed {item.seed} ({state}): {verdict}; {item.cause}")
    return 1 if broken else 0


def _default_folder(seed: int) -> Path:
    """Return a folder of this run alone, also beside others of the same seed."""
    return FOLDER / f"seed-{seed}-{os.getpid()}"


def _interrupt(number: int, frame: FrameType | None) -> None:
    """Begin the shutdown; ignore further signals until all processes have ended."""
    for ignored in (signal.SIGINT, signal.SIGTERM):
        signal.signal(ignored, signal.SIG_IGN)
    raise KeyboardInterrupt


if __name__ == "__main__":
    sys.exit(main())
