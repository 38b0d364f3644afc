"""The command line of the soak: `python -m soak --seed 1 --seconds 60`."""

from __future__ import annotations

import argparse
import logging
import signal
import sys
from pathlib import Path
from types import FrameType

from soak import SoakOptions, run_soak

FOLDER = Path("build/soak")


def main() -> int:
    """Run the soak; return 0 if every promise was kept."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--folder", type=Path, help="where logs of a failed run stay")
    arguments = parser.parse_args()
    folder = arguments.folder or FOLDER / f"seed-{arguments.seed}"
    # Hosts that are down are asked again and again; that is no news for a reader.
    logging.getLogger("thrift").setLevel(logging.CRITICAL)
    signal.signal(signal.SIGTERM, _interrupt)
    found = run_soak(SoakOptions(arguments.seed, arguments.seconds, folder.resolve()))
    return 1 if found else 0


def _interrupt(number: int, frame: FrameType | None) -> None:
    """End as after Ctrl-C: every process that was started is ended first."""
    raise KeyboardInterrupt


if __name__ == "__main__":
    sys.exit(main())
