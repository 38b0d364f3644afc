"""Measures the processor time that a log line costs the process that writes it.

Run it with `python -m bench.log_lines`. With `--blocked`, nothing reads the lines.
"""

from __future__ import annotations

import logging
import os
import sys
import threading
import time
from typing import TextIO

from jujubeslip.kernel import TelemetrySettings
from jujubeslip.telemetry import configure_logging

LINES = 20_000
# Lines per burst, and seconds between bursts: a host also spreads its lines over time.
BURST_LINES = 200
PAUSE_SECONDS = 0.02
READ_BYTES = 65_536
# The fields of the line that a host writes for each request.
FIELDS = {
    "request_id": "0123456789abcdef",
    "route": "summaries",
    "service": "model",
    "outcome": "200",
    "ran": "yes",
    "sends": ["1 ms engine-1: 200"],
    "duration_ms": 12,
    "version": 4,
    "version_age_s": 12.0,
}


def microseconds_per_line(is_read: bool) -> float:
    """Return the processor time per line, with a reader or with a full pipe."""
    read_end, write_end = os.pipe()
    os.dup2(write_end, sys.stdout.fileno())
    if is_read:
        threading.Thread(target=_read, args=(read_end,), daemon=True).start()
    configure_logging(TelemetrySettings(log_stream="stdout"))
    # Remove the limit of lines per second, so that each line is written or dropped
    # only for the state of the pipe.
    logging.getLogger().handlers[0].filters.clear()
    logger = logging.getLogger("bench")
    started = time.process_time()
    for number in range(LINES):
        logger.info("request ended", extra=FIELDS)
        if is_read and number % BURST_LINES == 0:
            time.sleep(PAUSE_SECONDS)
    return (time.process_time() - started) / LINES * 1e6


def _read(descriptor: int) -> None:
    while os.read(descriptor, READ_BYTES):
        pass


def main(results: TextIO) -> None:
    """Print the figure of one case; each case needs a separate process."""
    is_read = "--blocked" not in sys.argv
    cost = microseconds_per_line(is_read)
    case = "a reader" if is_read else "a reader that has stopped"
    results.write(f"{cost:.0f} us of processor time a line, with {case}\n")
    results.flush()
    # The thread that writes may be blocked permanently by the full pipe.
    os._exit(0)


if __name__ == "__main__":
    main(sys.stderr)
