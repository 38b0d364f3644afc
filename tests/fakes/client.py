"""A client of the HTTP interface, for tests and the demo only."""

from __future__ import annotations

import http.client
import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from tests.fakes.cluster import CLIENT_KEY

TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True)
class StreamEvent:
    """One event of a response stream."""

    name: str
    fields: dict[str, Any]


@dataclass(frozen=True)
class ClientAnswer:
    """A response as a client receives it; `complete` only with its end event."""

    status: int
    headers: dict[str, str]
    text: str
    tokens: int
    complete: bool
    rule: str
    error: dict[str, Any]
    body: bytes

    @property
    def ran(self) -> str:
        """Return the `ran` field of a refusal, or an empty string."""
        return str(self.error.get("ran", ""))


class OpenCall:
    """A call whose response is read step by step; `close` disconnects the client."""

    def __init__(
        self,
        address: str,
        service: str,
        message: Mapping[str, Any],
        headers: Mapping[str, str] | None = None,
        key: str = CLIENT_KEY,
    ) -> None:
        self._connection = http.client.HTTPConnection(address, timeout=TIMEOUT_SECONDS)
        self._connection.request(
            "POST",
            f"/v1/services/{service}/requests",
            json.dumps(message),
            {
                "Authorization": f"Bearer {key}",
                "Content-Type": "application/json",
                **(headers or {}),
            },
        )

    def events(self) -> Iterator[StreamEvent]:
        """Yield the stream's events as they arrive."""
        response = self._connection.getresponse()
        yield from read_events(response)

    def answer(self) -> ClientAnswer:
        """Read the response to its end."""
        try:
            return _read_answer(self._connection.getresponse())
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection, also in the middle of the response."""
        self._connection.close()


def ask(
    address: str,
    service: str,
    message: Mapping[str, Any],
    headers: Mapping[str, str] | None = None,
    key: str = CLIENT_KEY,
) -> ClientAnswer:
    """Send a request and read the complete response."""
    return OpenCall(address, service, message, headers, key).answer()


def read_events(response: http.client.HTTPResponse) -> Iterator[StreamEvent]:
    """Yield the server-sent events of a response."""
    name = ""
    for raw in response:
        line = raw.decode().rstrip("\n")
        if line.startswith("event: "):
            name = line.removeprefix("event: ")
        elif line.startswith("data: "):
            yield StreamEvent(name, json.loads(line.removeprefix("data: ")))


def _read_answer(response: http.client.HTTPResponse) -> ClientAnswer:
    headers = {name.lower(): value for name, value in response.getheaders()}
    if headers.get("content-type") != "text/event-stream":
        return _read_body(response, headers)
    tokens: list[str] = []
    end: dict[str, Any] | None = None
    error: dict[str, Any] = {}
    try:
        for event in read_events(response):
            if event.name == "token":
                assert event.fields["index"] == len(tokens), "token index out of order"
                tokens.append(event.fields["token"])
            elif event.name == "end":
                end = event.fields
            else:
                error = event.fields
    except (OSError, http.client.HTTPException):
        end = None
    complete = end is not None and end["tokens"] == len(tokens)
    return ClientAnswer(
        response.status,
        headers,
        "".join(tokens),
        len(tokens),
        complete,
        end["rule"] if end else "",
        error,
        b"",
    )


def _read_body(
    response: http.client.HTTPResponse, headers: dict[str, str]
) -> ClientAnswer:
    body = response.read()
    is_json = headers.get("content-type", "").startswith("application/json")
    fields = json.loads(body) if is_json else {}
    refused = response.status != 200
    return ClientAnswer(
        response.status,
        headers,
        str(fields.get("text", "")) if isinstance(fields, dict) else "",
        0,
        not refused and "content-length" in headers,
        "",
        fields.get("error", {}) if refused and isinstance(fields, dict) else {},
        body,
    )
