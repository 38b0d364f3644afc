"""Splits an event stream into whole events and tracks the last event id."""

from __future__ import annotations

import re

from jujubeslip.endpoints import EndpointAnswerError

MAXIMUM_EVENT_BYTES = 1024 * 1024
END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
# How far before a new part the end of an event may begin, in bytes.
END_OVERLAP_BYTES = 3
EVENT_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)


class EventSplitter:
    """Splits the bytes of a stream into events.

    Only whole events are relayed: an endpoint may stop in the middle of one, and what
    another endpoint sends after a resume would not continue that event.
    """

    def __init__(self) -> None:
        self._pending = bytearray()
        self.last_event_id = ""

    def take(self, part: bytes) -> bytes:
        """Return the events that the part completes, as one byte string.

        Raises EndpointAnswerError if an event is too long.
        """
        pending = self._pending
        searched = max(0, len(pending) - END_OVERLAP_BYTES)
        pending += part
        end = 0
        for found in END_OF_EVENT.finditer(pending, searched):
            end = found.end()
        whole = bytes(pending[:end])
        del pending[:end]
        if len(pending) > MAXIMUM_EVENT_BYTES:
            raise EndpointAnswerError("An event of the endpoint's stream is too long.")
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
        self._pending.clear()
