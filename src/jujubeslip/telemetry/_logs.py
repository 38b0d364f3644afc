"""One line for each log record, as JSON or as text."""

from __future__ import annotations

import json
import logging
import sys
from datetime import UTC, datetime

from jujubeslip.kernel import TelemetrySettings

_STANDARD_KEYS = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}


def configure_logging(settings: TelemetrySettings) -> None:
    """Write log records to standard error in the format of the settings."""
    handler = logging.StreamHandler(sys.stderr)
    json_wanted = settings.log_format == "json"
    handler.setFormatter(JsonFormatter() if json_wanted else TextFormatter())
    logging.basicConfig(level=settings.log_level, handlers=[handler], force=True)
    # A peer that can't be reached is reported by whoever called it, once.
    logging.getLogger("thrift").setLevel(logging.CRITICAL)


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
