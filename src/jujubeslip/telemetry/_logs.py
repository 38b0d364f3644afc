"""Log handlers, filters and formatters: one line per record, as JSON or as text."""

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

# Maximum number of records that wait until the output stream accepts them; further
# records are dropped and counted. A busy host writes about this many lines in a second,
# some 300 bytes each.
MAXIMUM_QUEUED_RECORDS = 2000
# Maximum number of lines of one kind that are written in a second; the next line of the
# kind contains the number of suppressed ones. A host writes a line for each request.
MAXIMUM_LINES_PER_SECOND = 100

# How long a process that ends waits for its last lines to be written, and how often it
# checks, in seconds.
FLUSH_SECONDS = 0.3
FLUSH_POLL_SECONDS = 0.01

_STANDARD_KEYS = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}


def configure_logging(settings: TelemetrySettings) -> None:
    """Configure the root logger by the settings, with a handler that never blocks."""
    stream = sys.stdout if settings.log_stream == "stdout" else sys.stderr
    stream_handler = logging.StreamHandler(stream)
    is_json = settings.log_format == "json"
    stream_handler.setFormatter(JsonFormatter() if is_json else TextFormatter())
    queued_records: queue.Queue[logging.LogRecord] = queue.Queue(MAXIMUM_QUEUED_RECORDS)
    handler = DroppingHandler(queued_records)
    handler.addFilter(RateFilter(MAXIMUM_LINES_PER_SECOND))
    logging.basicConfig(level=settings.log_level, handlers=[handler], force=True)
    logging.handlers.QueueListener(queued_records, stream_handler).start()
    # The caller of an unreachable peer logs the failure; thrift would log it a second
    # time.
    logging.getLogger("thrift").setLevel(logging.CRITICAL)


class DroppingHandler(logging.handlers.QueueHandler):
    """Queues records for the writer thread, and drops them while the queue is full.

    If the process that reads the output stream stops reading, writes to the stream
    block. This handler then loses lines, which it counts, but delays no request.
    """

    def __init__(self, queued_records: queue.Queue[logging.LogRecord]) -> None:
        super().__init__(queued_records)
        self._dropped = 0
        self._count_lock = threading.Lock()

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged: it needs no pickling within this process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record with the number of records that were dropped before it."""
        with self._count_lock:
            if self._dropped:
                record.dropped_before = self._dropped
            try:
                self.queue.put_nowait(record)
                self._dropped = 0
            except queue.Full:
                self._dropped += 1

    def flush(self) -> None:
        """Wait up to FLUSH_SECONDS for an empty queue, before the process ends."""
        deadline = Deadline.after(FLUSH_SECONDS)
        while not (self.queue.empty() or deadline.expired):  # type: ignore[attr-defined]
            time.sleep(FLUSH_POLL_SECONDS)


class RateFilter(logging.Filter):
    """Limits the lines of each kind per second; warnings and errors always pass.

    A kind is a logger's name with an unformatted message.
    """

    def __init__(self, maximum: int) -> None:
        super().__init__()
        self._maximum = maximum
        self._counts_by_kind: dict[tuple[str, object], tuple[int, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write the record.

        The first record of a kind in a new second gets the number of records that were
        suppressed before it.
        """
        kind = (record.name, record.msg)
        second = int(record.created)
        counted_second, count = self._counts_by_kind.get(kind, (second, 0))
        if counted_second != second:
            if count > self._maximum:
                record.left_out_before = count - self._maximum
            counted_second, count = second, 0
        self._counts_by_kind[kind] = (counted_second, count + 1)
        return record.levelno >= logging.WARNING or count < self._maximum


def extra_fields(record: logging.LogRecord) -> dict[str, object]:
    """Return the fields that the caller passed as `extra`."""
    return {
        key: value
        for key, value in record.__dict__.items()
        if key not in _STANDARD_KEYS
    }


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON with the `extra` fields at the top level."""

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
    """Formats a record as one line of text with the `extra` fields as key=value."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of text."""
        extra = " ".join(
            f"{key}={value}" for key, value in extra_fields(record).items()
        )
        timestamp = datetime.fromtimestamp(record.created, UTC).isoformat()
        line = f"{timestamp} {record.levelname} {record.name}: {record.getMessage()}"
        line = f"{line} {extra}" if extra else line
        if record.exc_info:
            line = f"{line} | {self.formatException(record.exc_info)}"
        return line.replace("\n", " | ")
