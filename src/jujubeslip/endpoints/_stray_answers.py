"""Finds answers that stand within the body of another one.

An endpoint that answers a request twice may send the second answer while it is sending
the body of the next one, or after a body that ended early. A length then counts bytes
of both.
"""

from __future__ import annotations

import re
from collections.abc import Collection

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}[ \r]")
_INTERIM_STATUS_LINE = re.compile(rb"HTTP/1\.[01] 1")
_FIELD_START = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:")
_LONGEST_STATUS_START = len("HTTP/1.1 200 ")
_FIRST_BYTE = b"H"
_LINE_END = b"\r\n"
_END_OF_HEAD = b"\r\n\r\n"
# Maximum bytes of a head within a body that are searched for an id.
MAXIMUM_HEAD_BYTES = 8192
# Maximum number of status lines within a body that are followed up. A body that has
# more of them is a text about answers.
MAXIMUM_STATUS_LINES = 32


class StrayAnswerFinder:
    """Looks through the parts of one body for the head of another answer.

    A head counts if it is whole, and one of its headers has the id of a request that
    the connection has carried.
    """

    def __init__(self, request_ids: Collection[str]) -> None:
        """Create the finder of answers that name one of these requests."""
        self._request_ids = {item.encode("latin-1") for item in request_ids if item}
        self._kept = b""
        """The latest bytes, from a status line on if its head is not whole yet."""
        self._in_head = False
        self._status_lines_left = MAXIMUM_STATUS_LINES

    @property
    def may_have_begun(self) -> bool:
        """Return whether the bytes that follow the body may continue such a head."""
        return self._in_head or self._is_active and _FIRST_BYTE in self._kept

    def finds_one(self, part: bytes) -> bool:
        """Return whether such a head stands in the body so far."""
        if not self._is_active:
            return False
        seen = self._kept + part
        if self._in_head and not _may_end_head(seen, len(part)):
            self._kept = seen
            return False
        return self._search(seen)

    def is_continued_by(self, following: bytes) -> bool:
        """Return whether one that began within the body goes on in what follows it.

        One that begins after the body belongs to no request, and harms none.
        """
        within = len(self._kept)
        seen = self._kept + following
        match = _STATUS_LINE.search(seen)
        if match is None or match.start() >= within:
            return False
        begin, end = _head_at(seen, match.start())
        # The rest of its head may be on its way.
        return self._names_request(seen[begin : end if end >= 0 else None])

    def _search(self, seen: bytes) -> bool:
        begin = 0
        while self._is_active and (match := _STATUS_LINE.search(seen, begin)):
            begin, end = _head_at(seen, match.start())
            if end < 0 and len(seen) - match.start() < MAXIMUM_HEAD_BYTES:
                self._kept, self._in_head = seen[match.start() :], True
                return False
            self._status_lines_left -= 1
            if end >= 0 and self._names_request(seen[begin:end]):
                return True
            begin = match.end()
        self._kept, self._in_head = seen[-_LONGEST_STATUS_START:], False
        return False

    @property
    def _is_active(self) -> bool:
        return bool(self._request_ids) and self._status_lines_left > 0

    def _names_request(self, head: bytes) -> bool:
        """Return whether it is a head, as far as it goes, with one of the ids."""
        _, *fields = head.split(_LINE_END)
        # The last line may be cut off.
        if not all(map(_FIELD_START.match, fields[:-1])):
            return False
        return any(
            field.partition(b":")[2].strip() in self._request_ids for field in fields
        )


def _head_at(seen: bytes, begin: int) -> tuple[int, int]:
    """Return where the final head begins and ends of the answer that begins there.

    The end is -1 if it isn't there yet, or too far away.
    """
    end = seen.find(_END_OF_HEAD, begin, begin + MAXIMUM_HEAD_BYTES)
    while end >= 0 and _INTERIM_STATUS_LINE.match(seen, begin):
        begin = end + len(_END_OF_HEAD)
        end = seen.find(_END_OF_HEAD, begin, begin + MAXIMUM_HEAD_BYTES)
    return begin, end


def _may_end_head(seen: bytes, new_size: int) -> bool:
    """Return whether the latest bytes end a head, or make it too long for one."""
    latest = seen[-new_size - len(_END_OF_HEAD) + 1 :]
    return _END_OF_HEAD in latest or len(seen) >= MAXIMUM_HEAD_BYTES
