"""Accepts only requests that every reader of the connection reads alike.

What stands before a host, a balancer for example, may decide otherwise than the HTTP
library where a request ends. One client's bytes would then run as another's request.
"""

from __future__ import annotations

import enum
import logging
from collections import Counter
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from typing import Any

from opentelemetry import metrics
from waitress.parser import HTTPRequestParser, ParsingError

logger = logging.getLogger(__name__)

CONTENT_LENGTH = "content-length"
TRANSFER_ENCODING = "transfer-encoding"
FRAMING = (CONTENT_LENGTH, TRANSFER_ENCODING)
CHUNKED = b"chunked"
VERSION_WITH_CHUNKS = b"HTTP/1.1"
LINE_END = b"\r\n"
# A line that begins with one of these continues the one before.
FOLDED = (b" ", b"\t")

_requests = metrics.get_meter("jujubeslip.http_server").create_counter(
    "jujubeslip.http.ambiguous_requests",
    description="Requests refused since they can be read in two ways, by reason.",
)


class Ambiguity(enum.Enum):
    """Why a request can be read in two ways."""

    TWO_FRAMINGS = "two framings"
    """It has a length and a transfer coding, or one of them twice."""
    CODING = "transfer coding"
    """It is coded more than once, or its version of HTTP knows no codings."""
    FOLDED = "folded header"
    """A header that decides something goes on in a second line."""
    REPEATED = "repeated header"
    """It repeats a header of which one value decides."""


class RequestParser(HTTPRequestParser):
    """The parser of the HTTP library, for requests that can be read in one way only.

    The library takes the chunks where a length stands beside them, ignores codings in
    versions other than 1.1, and joins the values of repeated headers.
    """

    def __init__(self, adjustments: Any, single_headers: Collection[str]) -> None:
        """Create a parser; a request has each of `single_headers` once at most."""
        super().__init__(adjustments)
        self._single_headers = single_headers

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the first line and the headers; raise ParsingError if ambiguous."""
        first_line, _, rest = header_plus.partition(LINE_END)
        found = find_ambiguity(first_line, rest, self._single_headers)
        if found is not None:
            reason, detail = found
            _requests.add(1, {"reason": reason.value})
            extra = {"reason": reason.value, "detail": detail}
            logger.info("ambiguous request refused", extra=extra)
            raise ParsingError(f"{detail}.")
        super().parse_header(header_plus)


@dataclass(frozen=True)
class _Field:
    """One header of a request."""

    name: str
    """In lower case."""
    value: bytes
    is_folded: bool
    """Whether its value goes on in a second line."""


def find_ambiguity(
    first_line: bytes, headers: bytes, single_headers: Collection[str]
) -> tuple[Ambiguity, str] | None:
    """Return why a request can be read in two ways, and a sentence on it, or None."""
    deciding = list(_deciding_fields(headers, single_headers))
    count_by_name = Counter(item.name for item in deciding)
    framings = [name for name in FRAMING if count_by_name[name]]
    if sum(count_by_name[name] for name in framings) > 1:
        names = " and ".join(framings)
        return Ambiguity.TWO_FRAMINGS, f"More than one header ends the body: {names}"
    for item in deciding:
        if count_by_name[item.name] > 1:
            return Ambiguity.REPEATED, f"{item.name} is sent more than once"
        if item.is_folded:
            return Ambiguity.FOLDED, f"{item.name} stands on more than one line"
        if item.name == TRANSFER_ENCODING and not _is_coded_once(first_line, item):
            return Ambiguity.CODING, f"{item.name} is not a coding of HTTP/1.1, once"
    return None


def _deciding_fields(
    headers: bytes, single_headers: Collection[str]
) -> Iterator[_Field]:
    """Yield the headers that end the body or of which one value decides."""
    lines = headers.split(LINE_END)
    for line, next_line in zip(lines, [*lines[1:], b""], strict=True):
        if line.startswith(FOLDED):
            continue
        received_name, _, value = line.partition(b":")
        name = received_name.lower().decode("latin-1")
        if name in FRAMING or name in single_headers:
            yield _Field(name, value.strip(b" \t"), next_line.startswith(FOLDED))


def _is_coded_once(first_line: bytes, coding: _Field) -> bool:
    """Return whether a transfer coding is named once, in a version that has codings.

    The HTTP library refuses the codings that it doesn't know.
    """
    codings = [item.strip(b" \t").lower() for item in coding.value.split(b",")]
    is_once = codings.count(CHUNKED) <= 1 and b"" not in codings
    return is_once and first_line.rstrip().endswith(VERSION_WITH_CHUNKS)
