"""Answers that are reset while their request is being sent, and statuses of none."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.fakes.platform_system import (
    ENGINE,
    PLAIN,
    PROMPT,
    PlatformSystem,
    Reply,
    configuration,
    route,
)
from tests.fakes.platform_worker import EarlyAnswer, PlatformWorker
from tests.fakes.processes import free_address, wait_until

SAFE, UNSAFE, STREAM, RESUMED = "/safe/x", "/unsafe/x", "/stream/x", "/resumed/x"
PATHS = (SAFE, UNSAFE, STREAM, RESUMED)
RELAYED, DIRECT = 0, 1
# One that fits into the buffers of a connection and one that doesn't, in bytes.
UPLOADS = (150_000, 3_000_000)
# A reset that comes with the answer, and one that comes once it was read, in seconds.
PAUSES = (0.0, 0.2)
NO_STATUSES = (b"000", b"600", b"20")

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: early.200.{id}\r\n"
PART = b"the first part of a body"
EVENTS = b"id: 1\ndata: token-1\n\nid: 2\ndata: token-2\n\n"
PREFILLED = b'{"kvHandle": "early", "tokens": 10, "version": 1}'
STREAM_TYPE = b"Content-Type: text/event-stream\r\n"


@dataclass(frozen=True)
class System:
    """A system of which one entry host reaches endpoints only through the other."""

    hosts: PlatformSystem
    plain: tuple[PlatformWorker, ...]
    prefill: PlatformWorker
    decode: tuple[PlatformWorker, ...]

    def ask(self, path: str, entry: int, upload: int = 0) -> Reply:
        """Send a request whose body has so many bytes."""
        body = bytes(upload)
        return self.hosts.ask(path, "POST", body, PROMPT, entry, deadline_ms=4000)

    def is_served(self, path: str, entry: int) -> bool:
        """Return whether one request is answered whole."""
        reply = self.ask(path, entry)
        return reply.status == 200 and reply.complete

    def wait_served(self, *paths: str) -> None:
        """Wait until requests on these paths are served by all ways."""
        for entry in (RELAYED, DIRECT):
            for path in paths:
                wait_until(lambda p=path, e=entry: self.is_served(p, e), path)  # type: ignore[misc]

    def wait_engines(self) -> None:
        """Wait until engines that have failed are used again."""
        self.wait_served(STREAM)

    @contextmanager
    def early(
        self, workers: tuple[PlatformWorker, ...], answer: EarlyAnswer
    ) -> Iterator[None]:
        """Return a context within which these endpoints answer early."""
        for worker in workers:
            worker.early = answer
        try:
            yield
        finally:
            for worker in workers:
                worker.early = None

    def prefilled_at(self) -> list[str]:
        """Return where decode engines were told to fetch a prefilled prompt."""
        runs = [run for worker in self.decode for run in worker.runs]
        return [run.headers.get("Kv-From", "") for run in runs]

    def answered_early(self, request_id: str) -> bool:
        workers = (*self.plain, self.prefill, *self.decode)
        return any(request_id in worker.answered_early for worker in workers)


def endpoints_of(system: System, path: str) -> tuple[PlatformWorker, ...]:
    return system.plain if path in (SAFE, UNSAFE) else system.decode


@pytest.fixture(scope="module", params=[0.0, 0.2], ids=["one send", "second sends"])
def system(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[System]:
    folder: Path = tmp_path_factory.mktemp("early")
    shape = {"kind": "stream", "timeoutMs": 8000, "sloMs": 900, "gapSloMs": 300}
    routes = [
        route("safe", "/safe/", "plain", timeoutMs=4000),
        route("unsafe", "/unsafe/", "plain", kind="unsafe", timeoutMs=4000),
        route("stream", "/stream/", "model", **shape, maxAttempts=1),
        route("resumed", "/resumed/", "model", **shape, resumable=True),
    ]
    entry = {
        "retry_allowance": 500,
        "retry_ratio": 0.2,
        "second_send_share": request.param,
    }
    hosts = PlatformSystem(folder, entries=2, **entry)
    plain = tuple(PlatformWorker(f"plain-{n}", "plain") for n in range(2))
    prefill = PlatformWorker("prefill", "model", "prefill")
    decode = tuple(PlatformWorker(f"decode-{n}", "model", "decode") for n in range(2))
    workers = (*plain, prefill, *decode)
    refusing = free_address()
    links = folder / "links.json"
    links.write_text(json.dumps({worker.address: refusing for worker in workers}))
    hosts.entries[RELAYED].route_by(links)
    with hosts:
        hosts.put_until_accepted(configuration(1, routes, [PLAIN, ENGINE]))
        for worker in workers:
            hosts.add(worker)
        hosts.wait_ready()
        started = System(hosts, plain, prefill, decode)
        started.wait_served(*PATHS)
        yield started


@pytest.mark.parametrize("entry", [DIRECT, RELAYED], ids=["direct", "relayed"])
class TestAnswerThatIsResetDuringTheUpload:
    """Guards against a part of an answer that passes for the whole one.

    The error of the reset may reach the sender alone; the reader then finds a regular
    end, which ends an answer without a length.
    """

    @pytest.mark.parametrize("path", [SAFE, UNSAFE])
    @pytest.mark.parametrize("upload", UPLOADS)
    @pytest.mark.parametrize("pause_seconds", PAUSES)
    def test_is_not_given_as_a_whole_answer(
        self, system: System, entry: int, path: str, upload: int, pause_seconds: float
    ) -> None:
        answer = EarlyAnswer(HEAD + b"\r\n" + PART, pause_seconds, upload // 3)
        with system.early(system.plain, answer):
            reply = system.ask(path, entry, upload)
        assert system.answered_early(system.hosts.last_request_id)
        assert reply.status in (502, 504)
        assert "server-stamp" not in reply.headers

    @pytest.mark.parametrize("path", [STREAM, RESUMED])
    @pytest.mark.parametrize("upload", UPLOADS)
    @pytest.mark.parametrize("pause_seconds", PAUSES)
    @pytest.mark.parametrize("events", [EVENTS, EVENTS[:-9]], ids=["whole", "part"])
    def test_is_not_given_as_a_whole_stream(
        self,
        system: System,
        entry: int,
        path: str,
        upload: int,
        pause_seconds: float,
        events: bytes,
    ) -> None:
        head = HEAD + STREAM_TYPE + b"\r\n"
        answer = EarlyAnswer(head + events, pause_seconds, upload // 3)
        with system.early(system.decode, answer):
            reply = system.ask(path, entry, upload)
        assert system.answered_early(system.hosts.last_request_id)
        assert reply.status in (502, 504) or not reply.complete
        system.wait_engines()

    @pytest.mark.parametrize("upload", UPLOADS)
    @pytest.mark.parametrize("pause_seconds", PAUSES)
    def test_is_no_proof_of_a_prefill(
        self, system: System, entry: int, upload: int, pause_seconds: float
    ) -> None:
        answer = EarlyAnswer(HEAD + b"\r\n" + PREFILLED, pause_seconds, upload // 3)
        with system.early((system.prefill,), answer):
            reply = system.ask(STREAM, entry, upload)
        assert reply.status == 200 and reply.complete
        assert not [place for place in system.prefilled_at() if "/early" in place]
        system.wait_engines()


@pytest.mark.parametrize("entry", [DIRECT, RELAYED], ids=["direct", "relayed"])
class TestStatusThatIsNone:
    """Guards against an answer of a status that no answer has."""

    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize("status", NO_STATUSES)
    def test_is_not_given_to_a_client(
        self, system: System, entry: int, path: str, status: bytes
    ) -> None:
        head = HEAD.replace(b"200", status)
        body = b"Content-Length: %d\r\n\r\n" % len(PART) + PART
        answer = EarlyAnswer(head + body, pause_seconds=0.3)
        with system.early(endpoints_of(system, path), answer):
            reply = system.ask(path, entry)
        assert system.answered_early(system.hosts.last_request_id)
        assert reply.status in (502, 504)
        assert "server-stamp" not in reply.headers
        system.wait_engines()

    @pytest.mark.parametrize("status", NO_STATUSES)
    def test_is_no_proof_of_a_prefill(
        self, system: System, entry: int, status: bytes
    ) -> None:
        head = HEAD.replace(b"200", status)
        body = b"Content-Length: %d\r\n\r\n" % len(PREFILLED) + PREFILLED
        answer = EarlyAnswer(head + body, pause_seconds=0.3)
        with system.early((system.prefill,), answer):
            reply = system.ask(STREAM, entry)
        assert reply.status == 200 and reply.complete
        assert not [place for place in system.prefilled_at() if "/early" in place]
        system.wait_engines()
