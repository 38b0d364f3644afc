"""Answers of models that end with their first event."""

from __future__ import annotations

import json
import threading
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any, cast

from jujubeslip.entry._client_call import CallServices, ClientCall
from jujubeslip.requests import ClientRequest, OpenRequests, RequestService
from jujubeslip.telemetry import Meters

RULE = "everything-else"


class EmptyService:
    """Answers without a token."""

    def decide(self, *_: object) -> SimpleNamespace:
        return SimpleNamespace(rule_name=RULE)

    def answer_parts(self, _: object) -> Iterator[str]:
        yield from ()


def body_of_empty_answer(stream: bool) -> bytes:
    service = cast(RequestService, EmptyService())
    slots, abandoning = threading.Semaphore(1), threading.Event()
    services = CallServices(service, OpenRequests(), Meters(), slots, abandoning)
    named = SimpleNamespace(name="x")
    fields: dict[str, Any] = {"client": named, "service": named, "stream": stream}
    request = SimpleNamespace(request_id="request-1", **fields)
    call = ClientCall(services, {}, cast(ClientRequest, request))
    return b"".join(call.answer(lambda *_: None))


class TestAnswerWithoutTokens:
    """Guards against text in an answer that no engine made."""

    def test_has_no_text(self) -> None:
        answer = json.loads(body_of_empty_answer(stream=False))
        assert (answer["text"], answer["tokens"]) == ("", 0)

    def test_is_a_stream_of_its_end(self) -> None:
        assert body_of_empty_answer(stream=True).startswith(b"event: end\n")
