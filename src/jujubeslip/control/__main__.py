"""Run a control host: `python -m jujubeslip.control SETTINGS.toml`."""

from __future__ import annotations

import logging
import sys
from pathlib import Path

from returns.result import Failure

from jujubeslip.control import run_control
from jujubeslip.kernel import JujubeslipError, load_control_settings


def main(arguments: list[str]) -> int:
    """Run the control host with the given settings file; return an exit status."""
    loaded = load_control_settings(Path(arguments[0]))
    if isinstance(loaded, Failure):
        for problem in loaded.failure():
            print(problem, file=sys.stderr)
        return 2
    settings = loaded.unwrap()
    logging.basicConfig(
        level=settings.telemetry.log_level,
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
    )
    try:
        run_control(settings)
    except JujubeslipError as error:
        print(f"{error.error_id}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
