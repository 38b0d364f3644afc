"""Splits an event stream into whole events and tracks the last event id."""

from __future__ import annotations

import re

END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)


class EventSplitter:
    """Splits the bytes of a stream into events.

    Only whole events are relayed: an endpoint may stop in the middle of one, and what
    another endpoint sends after a resume would not continue that event.
    """

    def __init__(self) -> None:
        self._pending = b""
        self.last_event_id = ""

    def take(self, part: bytes) -> bytes:
        """Return the events that the part completes, as one byte string."""
        pending = self._pending + part
        end = 0
        for found in END_OF_EVENT.finditer(pending):
            end = found.end()
        whole, self._pending = pending[:end], pending[end:]
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_event_id = ids[-1].decode("latin-1")
        return whole

    @property
    def has_partial_event(self) -> bool:
        """Return whether an event has begun and not ended."""
        return bool(self._pending)

    def drop_partial_event(self) -> None:
        """Discard an incomplete event."""
        self._pending = b""
