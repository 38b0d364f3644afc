"""One line for each log record, as JSON or as text."""

from __future__ import annotations

import json
import logging
import logging.handlers
import queue
import sys
import threading
import time
from datetime import UTC, datetime

from jujubeslip.kernel import Deadline, TelemetrySettings

# Lines that wait for a reader of the stream at most; further ones are left out and
# counted. A second's lines of a busy host, some 300 bytes each.
MAXIMUM_WAITING_LINES = 2000
# Lines of one kind that are written in a second at most; the next line of the kind
# says how many were left out. A host writes a line for each request.
MAXIMUM_LINES_A_SECOND = 100

# How long the end of a process waits for its last lines to be written, in seconds.
FLUSH_SECONDS = 0.3
FLUSH_LOOK_SECONDS = 0.01

_STANDARD_KEYS = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}


def configure_logging(settings: TelemetrySettings) -> None:
    """Write log records in the format of the settings, without waiting for a reader."""
    stream = sys.stdout if settings.log_stream == "stdout" else sys.stderr
    writer = logging.StreamHandler(stream)
    json_wanted = settings.log_format == "json"
    writer.setFormatter(JsonFormatter() if json_wanted else TextFormatter())
    waiting: queue.Queue[logging.LogRecord] = queue.Queue(MAXIMUM_WAITING_LINES)
    handler = DroppingHandler(waiting)
    handler.addFilter(RateFilter(MAXIMUM_LINES_A_SECOND))
    logging.basicConfig(level=settings.log_level, handlers=[handler], force=True)
    logging.handlers.QueueListener(waiting, writer).start()
    # A peer that can't be reached is reported by whoever called it, once.
    logging.getLogger("thrift").setLevel(logging.CRITICAL)


class DroppingHandler(logging.handlers.QueueHandler):
    """Hands records to the thread that writes them, and drops what it can't take.

    A reader that stops reading blocks whoever writes to it. That costs lines, which
    are counted, and no request.
    """

    def __init__(self, waiting: queue.Queue[logging.LogRecord]) -> None:
        super().__init__(waiting)
        self._dropped = 0
        self._count_lock = threading.Lock()

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leave the record as it is: it stays in this process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record with the count of those that were dropped before it."""
        with self._count_lock:
            if self._dropped:
                record.dropped_before = self._dropped
            try:
                self.queue.put_nowait(record)
                self._dropped = 0
            except queue.Full:
                self._dropped += 1

    def flush(self) -> None:
        """Wait until the lines are written, for a while: the process ends after it."""
        limit = Deadline.after(FLUSH_SECONDS)
        while not (self.queue.empty() or limit.expired):  # type: ignore[attr-defined]
            time.sleep(FLUSH_LOOK_SECONDS)


class RateFilter(logging.Filter):
    """Lets so many lines of each kind through in a second; warnings always pass."""

    def __init__(self, maximum: int) -> None:
        super().__init__()
        self._maximum = maximum
        self._counts_by_kind: dict[tuple[str, object], tuple[int, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Say whether the line is written; one that is tells what was left out."""
        kind = (record.name, record.msg)
        second = int(record.created)
        since, count = self._counts_by_kind.get(kind, (second, 0))
        if since != second:
            if count > self._maximum:
                record.left_out_before = count - self._maximum
            since, count = second, 0
        self._counts_by_kind[kind] = (since, count + 1)
        return record.levelno >= logging.WARNING or count < self._maximum


def extra_fields(record: logging.LogRecord) -> dict[str, object]:
    """Return what the caller gave as `extra`."""
    return {
        key: value
        for key, value in record.__dict__.items()
        if key not in _STANDARD_KEYS
    }


class JsonFormatter(logging.Formatter):
    """A JSON object on one line, with the fields of `extra` at the top level."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        fields: dict[str, object] = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        fields.update(extra_fields(record))
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields, default=str)


class TextFormatter(logging.Formatter):
    """A line of text with the fields of `extra` as key=value."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of text."""
        extra = " ".join(
            f"{key}={value}" for key, value in extra_fields(record).items()
        )
        moment = datetime.fromtimestamp(record.created, UTC).isoformat()
        line = f"{moment} {record.levelname} {record.name}: {record.getMessage()}"
        line = f"{line} {extra}" if extra else line
        if record.exc_info:
            line = f"{line} | {self.formatException(record.exc_info)}"
        return line.replace("\n", " | ")
