"""Incremental parsers of HTTP/1.1 answers and of their event streams."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

END_OF_HEAD = b"\r\n\r\n"
END_OF_EVENT = b"\n\n"


class AnswerParser:
    """Parses one HTTP answer incrementally, with or without chunked encoding."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.complete = False
        self._raw = b""
        self._remaining = 0
        self._chunked = False
        self._until_close = False

    def feed(self, data: bytes) -> bytes:
        """Parse received bytes and return the bytes of the body among them."""
        self._raw += data
        if not self.status and not self._parse_head():
            return b""
        if self._chunked:
            return self._read_chunks()
        body, self._raw = self._raw, b""
        if not self._until_close:
            body = body[: self._remaining]
            self._remaining -= len(body)
            self.complete = self._remaining == 0
        return body

    def close(self) -> None:
        """Record the end of the connection, which ends a body without a length."""
        if self.status and self._until_close:
            self.complete = True

    def _parse_head(self) -> bool:
        head, separator, rest = self._raw.partition(END_OF_HEAD)
        if not separator:
            return False
        first, *lines = head.decode("latin-1").split("\r\n")
        self.status = int(first.split()[1])
        pairs = (line.partition(":") for line in lines)
        self.headers = {name.lower(): value.strip() for name, _, value in pairs}
        self._raw = rest
        self._chunked = self.headers.get("transfer-encoding", "").lower() == "chunked"
        length = self.headers.get("content-length")
        self._remaining = int(length or 0)
        self._until_close = length is None and not self._chunked
        return True

    def _read_chunks(self) -> bytes:
        body = []
        while not self.complete:
            line, separator, rest = self._raw.partition(b"\r\n")
            if not separator:
                break
            size = int(line.partition(b";")[0], 16)
            if len(rest) < size + 2:
                break
            body.append(rest[:size])
            self._raw = rest[size + 2 :]
            self.complete = size == 0
        return b"".join(body)


@dataclass
class AnswerReader:
    """The part of an answer that its caller received; times in seconds."""

    parser: AnswerParser = field(default_factory=AnswerParser)
    token_times: list[float] = field(default_factory=list)
    tokens: list[str] = field(default_factory=list)
    out_of_order: bool = False
    ended: bool = False
    error: dict | None = None
    _body: bytes = b""

    def feed(self, data: bytes, now: float) -> None:
        """Parse bytes that were received at `now`."""
        self._body += self.parser.feed(data)
        if not self.is_stream:
            return
        *events, self._body = self._body.split(END_OF_EVENT)
        for event in events:
            self._read_event(event, now)

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is an event stream."""
        content_type = self.parser.headers.get("content-type", "")
        return content_type.startswith("text/event-stream")

    @property
    def finished(self) -> bool:
        """Return whether the answer is at its end."""
        return self.ended or self.error is not None or self.parser.complete

    def body_as_json(self) -> dict:
        """Return a non-stream body as a JSON object, or an empty one if it is not."""
        try:
            value = json.loads(self._body)
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}

    def _read_event(self, event: bytes, now: float) -> None:
        fields = dict(
            line.split(": ", 1)
            for line in event.decode().splitlines()
            if ": " in line and not line.startswith(":")
        )
        data = json.loads(fields.get("data", "{}"))
        if fields.get("event") == "token":
            self.out_of_order |= data["index"] != len(self.tokens)
            self.tokens.append(data["token"])
            self.token_times.append(now)
        elif fields.get("event") == "end":
            self.ended = True
        elif fields.get("event") == "error":
            self.error = data
