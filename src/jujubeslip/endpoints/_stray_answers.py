"""Finds answers that stand within the body of another one.

An endpoint that answers a request twice may send the second answer while it is sending
the body of the next one. A length then counts bytes of both.
"""

from __future__ import annotations

import re
from collections.abc import Collection

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}[ \r]")
_LONGEST_STATUS_START = len("HTTP/1.1 200 ")
_END_OF_HEAD = b"\r\n\r\n"
# Maximum bytes of a head within a body that are searched for an id.
MAXIMUM_HEAD_BYTES = 8192


class StrayAnswerFinder:
    """Looks through the parts of one body for the head of another answer."""

    def __init__(self, request_ids: Collection[str]) -> None:
        """Create the finder of answers that name one of these requests."""
        self._request_ids = [item.encode("latin-1") for item in request_ids if item]
        self._kept = b""

    def finds_one(self, part: bytes) -> bool:
        """Return whether an answer to one of the requests stands in the body so far."""
        if not self._request_ids:
            return False
        seen = self._kept + part
        begin = 0
        while (match := _STATUS_LINE.search(seen, begin)) is not None:
            begin = match.start()
            end = seen.find(_END_OF_HEAD, begin)
            head = seen[begin : end if end >= 0 else None]
            if any(request_id in head for request_id in self._request_ids):
                return True
            if end < 0 and len(head) < MAXIMUM_HEAD_BYTES:
                self._kept = head
                return False
            begin = match.end()
        self._kept = seen[-_LONGEST_STATUS_START:]
        return False
