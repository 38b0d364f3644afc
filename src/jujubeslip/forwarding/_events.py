"""Events of a stream: whole ones only, each with its id."""

from __future__ import annotations

import re

END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)


class EventSplitter:
    """Cuts a stream's bytes into events.

    Only whole events are passed on: an endpoint may stop in the middle of one, and
    what another endpoint sends from there would not fit to it.
    """

    def __init__(self) -> None:
        self._pending = b""
        self.last_event_id = ""

    def take(self, part: bytes) -> bytes:
        """Return the whole events that the part completes, in one piece."""
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
    def has_rest(self) -> bool:
        """Say whether an event has begun and not ended."""
        return bool(self._pending)

    def drop_rest(self) -> None:
        """Forget an event that was cut."""
        self._pending = b""
