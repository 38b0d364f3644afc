"""A stand-in for a worker of the users' platform, served by threads of the test.

It implements the protocol of the platform's workers: ids, refusals that say "not run",
stages with handles, reservations, reports, event streams. A test sets faults through
the attributes of `WorkerFaults`, and reads the requests that ran from `runs`.
`kill_and_restart` returns the next start of a worker, without the previous state.
"""

from __future__ import annotations

import contextlib
import json
import os
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Self

from tests.fakes._http import JsonHandler, StandInServer, listen
from tests.fakes._spoiled_answers import AnswerEndedError, AnswerSpoiler, AnswerWriter
from tests.fakes.fault_proxy import RESET_ON_CLOSE

EVENT_PAUSE_SECONDS = 0.01
# How often the server checks whether it should stop.
POLL_SECONDS = 0.05


def stamp(worker_id: str, request_id: str, status: int) -> str:
    """Return the stamp that the worker gives its answer to a request."""
    return f"{worker_id}.{status}.{request_id}"


@dataclass(frozen=True)
class WorkerRun:
    """A request that the worker began to run."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class Arrival:
    """A call that reached the worker, and the notices in its response."""

    at: float
    """The time on the steady clock, in seconds."""
    sender: str
    """The host that sent it, if the client named it in `X-Entry`."""
    target: str
    request_id: str
    """Empty for a reservation."""
    backoff: str
    """The seconds of backoff that the response asks for, empty without one."""
    reported_leaving: bool


@dataclass
class WorkerFaults:
    """Faults of the worker, each with the number of next requests it affects."""

    refuse: int = 0
    """Refuse with 503 and "not run"."""
    refuse_twice: int = 0
    """Refuse, and send the refusal again where the next response is expected."""
    fail: int = 0
    """Run, and respond with 500."""
    busy: int = 0
    """Run, and respond with `busy_status`, without "not run"."""
    busy_status: int = 503
    lose: int = 0
    """Run, or prefill for another worker, and close without a response."""
    cut: int = 0
    """Run, and close in the middle of the response."""
    answer_twice: int = 0
    """Send a second complete response after the first."""
    unframed: int = 0
    """Send neither a length nor chunks: the response ends with its connection."""
    hang: int = 0
    """Run, and send no response until the worker is closed."""
    lapse: int = 0
    """Refuse since the KV cache of the prefill has expired."""
    no_room: int = 0
    """Refuse reservations."""
    pause_stream_seconds: float = 0.0
    """Stall for so long after the second event of a stream, once."""
    cut_stream_after: int = 0
    """Close a stream after this many events, once."""

    def take(self, name: str) -> bool:
        """Decrement the named fault; return whether it was set."""
        left = getattr(self, name)
        if left:
            setattr(self, name, left - 1)
        return bool(left)


@dataclass(frozen=True)
class EndlessAnswer:
    """An answer that repeats some bytes until the caller closes the connection."""

    beginning: bytes
    """What is sent first; `{id}` stands for the id of the request."""
    repeated: bytes
    pause_seconds: float = 0.0


@dataclass(frozen=True)
class EarlyAnswer:
    """Bytes that are sent before the request is read whole.

    The connection is reset after them.
    """

    content: bytes
    """What is sent; `{id}` stands for the id of the request."""
    pause_seconds: float = 0.0
    """How long the connection stays open after it."""
    reads_bytes: int = 0
    """How much of the request's body is read before."""


@dataclass
class PlatformWorker:
    """A worker with its own port; `stage` is empty for a plain service."""

    worker_id: str
    service: str
    stage: str = ""
    zone: str = "zone-1"
    answer: bytes = b"answer"
    events: int = 5
    run_seconds: float = 0.0
    prefill_seconds: float = 0.0
    """The duration of a prefill for another worker."""
    capacity: int = 100_000
    started_at_ms: int | None = None
    """The start time that it reports, None if it reports none."""
    switch_seconds: float = 0.5
    """The duration of an ordered change of its stage."""
    listens_at: str = "127.0.0.1:0"
    limit: str = ""
    """The limit that it reports, in requests per second, empty without one."""
    backoff: str = ""
    """The seconds of backoff that it asks for; while set, it refuses all requests."""
    leaves: bool = False
    """Whether all its responses report that it leaves."""
    crashes_on: bytes = b""
    """A request whose body contains this crashes the worker; none if it is empty."""
    crashes_on_parts: frozenset[str] = frozenset()
    """Parts of prompts on which the worker crashes when it begins to answer."""
    crashes_after_events: int | None = None
    """The events that it sends before such a crash, None if not even the head."""
    crashes_unframed: bool = False
    """Whether these events come without chunks."""
    endless: EndlessAnswer | None = None
    """Sent instead of each answer."""
    early: EarlyAnswer | None = None
    """Sent instead of each answer to a client's request, or to a prefill."""
    on_crash: Callable[[], bool] = lambda: True
    """Called before the crash; if it returns false, only the request is lost."""
    spoiler: AnswerSpoiler | None = None
    """Spoils a share of all answers, also of those to calls by the system."""
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    runs: list[WorkerRun] = field(default_factory=list)
    answered_early: list[str] = field(default_factory=list)
    prefilled_requests: list[str] = field(default_factory=list)
    prefill_headers: list[dict[str, str]] = field(default_factory=list)
    """The headers of the prefill calls, in order."""
    system_calls: list[str] = field(default_factory=list)
    disconnected_clients: list[str] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    """All reservations and requests, including those that it refused."""

    def __post_init__(self) -> None:
        self.closed = threading.Event()
        self.killed = threading.Event()
        self.sequence = 0
        self.orders = 0
        self.is_switching = False
        self.sockets: set[socket.socket] = set()
        self.reservations: dict[str, int] = {}
        self.handles: set[str] = set()
        handler = type("BoundHandler", (WorkerHandler,), {"worker": self})
        self._server: StandInServer = listen(self.listens_at, handler)
        host, port = self._server.server_address[:2]
        self.address = f"{host!s}:{port}"
        threading.Thread(
            target=self._server.serve_forever, args=(POLL_SECONDS,), daemon=True
        ).start()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def switch_after(self, seconds: float, stage: str) -> None:
        """Change the stage after this time, as an order requests."""

        def switch() -> None:
            if not self.closed.wait(seconds):
                self.stage = stage
                self.is_switching = False

        threading.Thread(target=switch, daemon=True).start()

    def close(self) -> None:
        """Stop serving."""
        self.closed.set()
        self._server.shutdown()
        self._server.server_close()

    def kill(self) -> None:
        """Stop serving, and close all connections as a killed process does."""
        self.close()
        for sock in list(self.sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.killed.set()

    def kill_and_restart(
        self,
        started_at_ms: int,
        same_address: bool = True,
        stage: str | None = None,
    ) -> PlatformWorker:
        """Kill this start, and return the next one under the same id."""
        self.kill()
        return PlatformWorker(
            self.worker_id,
            self.service,
            self.stage if stage is None else stage,
            events=self.events,
            started_at_ms=started_at_ms,
            listens_at=self.address if same_address else "127.0.0.1:0",
        )

    def heartbeat(self, state: str = "ready") -> dict[str, Any]:
        """Return the next announcement."""
        self.sequence += 1
        models = [{"name": "m", "version": 1, "adapters": []}]
        engine = {"stage": self.stage, "models": models} if self.stage else {}
        return {
            **self.start_fields(),
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldLeftMs": 0,
            **engine,
            "seq": self.sequence,
        }

    def start_fields(self) -> dict[str, Any]:
        """Return the start time field, which announcements and reports include."""
        return {} if self.started_at_ms is None else {"born": self.started_at_ms}

    def run_ids(self) -> list[str]:
        """Return the ids of the requests that ran, in order."""
        return [run.request_id for run in self.runs]


class WorkerHandler(JsonHandler):
    """The calls of a worker."""

    worker: PlatformWorker

    def setup(self) -> None:
        """Register the connection, which is closed with the worker."""
        super().setup()
        self.worker.sockets.add(self.connection)
        self.wfile = self._answers = AnswerWriter(self.connection)

    def finish(self) -> None:
        """Unregister the connection."""
        self.worker.sockets.discard(self.connection)
        super().finish()

    def _dispatch(self, method: str) -> None:
        spoiler = self.worker.spoiler
        spoiling = None if spoiler is None else spoiler.draw()
        try:
            if self.worker.early is not None and "Request-Id" in self.headers:
                self._answer_early(self.worker.early)
                return
            body = self.read_body()
            with self._answers.answering(spoiling, self.worker.events):
                self._serve(method, body)
        except (OSError, AnswerEndedError):
            self.close_connection = True

    def _answer_early(self, early: EarlyAnswer) -> None:
        request_id = self.headers["Request-Id"]
        self.rfile.read(early.reads_bytes)
        self.worker.answered_early.append(request_id)
        self.connection.sendall(early.content.replace(b"{id}", request_id.encode()))
        time.sleep(early.pause_seconds)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        # At once: the server would shut the connection down first, a regular end.
        os.close(self.connection.detach())
        self.close_connection = True

    def _serve(self, method: str, body: bytes) -> None:
        expected = self.headers.get("Expect-Instance", self.worker.worker_id)
        if expected != self.worker.worker_id:
            headers = {"Instance-Id": self.worker.worker_id}
            self.reply(421, {}, headers)
        elif self.path == "/hold-take":
            self._record_arrival()
            self._reserve(json.loads(body))
        elif self.path.startswith("/hold-drop/"):
            self.worker.reservations.pop(self.path.rpartition("/")[2], None)
            self.reply(200, {})
        elif self.path == "/report":
            self._report()
        elif self.path == "/order":
            self._order(json.loads(body))
        else:
            self._request(method, body)

    def _reserve(self, fields: dict[str, Any]) -> None:
        self.worker.system_calls.append("reserve")
        if self.worker.backoff or self.worker.faults.take("no_room"):
            self.reply(503, {}, self._notice_headers(is_refusal=True))
            return
        name = f"r{len(self.worker.system_calls)}"
        self.worker.reservations[name] = fields["tokens"]
        self.reply(200, {"hold": name}, self._notice_headers())

    def _report(self) -> None:
        self.worker.system_calls.append("report")
        used = sum(self.worker.reservations.values())
        self.reply(
            200,
            {
                **self.worker.start_fields(),
                "stage": self.worker.stage,
                "busy": self.worker.is_switching,
                "seq": self.worker.orders,
                "queued": 0,
                "running": 0,
                "kvUsed": used,
                "kvCapacity": self.worker.capacity,
                "runs": [],
            },
            self._notice_headers(),
        )

    def _order(self, fields: dict[str, Any]) -> None:
        """Change the stage, unless one is in progress or `expect` does not match."""
        worker = self.worker
        worker.system_calls.append("order")
        if worker.is_switching or fields.get("expect", worker.orders) != worker.orders:
            self.reply(409, {})
            return
        worker.orders += 1
        worker.is_switching = True
        worker.switch_after(worker.switch_seconds, fields["stage"])
        self.reply(202, {})

    def _record_arrival(self) -> None:
        """Record a call before the response; a spoiled one brings no notices."""
        notifies = not self._answers.is_spoiled
        arrival = Arrival(
            time.monotonic(),
            self.headers.get("X-Entry", ""),
            self.path,
            self.headers.get("Request-Id", ""),
            self.worker.backoff if notifies else "",
            notifies and self.worker.leaves,
        )
        self.worker.arrivals.append(arrival)

    def _request(self, method: str, body: bytes) -> None:
        faults = self.worker.faults
        self._record_arrival()
        refuses = bool(self.worker.backoff) or self.worker.is_switching
        if refuses or faults.take("refuse"):
            self._refuse(self._notice_headers(is_refusal=True))
            return
        if faults.take("refuse_twice"):
            self._refuse_twice()
            return
        if self.headers.get("Stage") == "prefill":
            self._prefill()
            return
        if self.headers.get("Kv-From") and faults.take("lapse"):
            self._refuse({})
            return
        request_id = self.headers.get("Request-Id", "")
        # A reservation can be used only once.
        self.worker.reservations.pop(self.headers.get("Kv-Hold", ""), None)
        self.worker.runs.append(
            WorkerRun(request_id, method, self.path, dict(self.headers.items()), body)
        )
        if self.worker.crashes_on and self.worker.crashes_on in body:
            self._crash()
        elif self.worker.endless is not None:
            self._repeat(request_id, self.worker.endless)
        elif self._has_fatal_part():
            self._begin_answer(request_id)
            self._crash()
        elif self.worker.stage:
            self._answer_as_engine(request_id)
        else:
            self._answer(request_id)

    def _answer_as_engine(self, request_id: str) -> None:
        if self.worker.faults.take("lose"):
            self.close_connection = True
        elif not self._fail(request_id):
            self._stream_until_disconnect(request_id)

    def _repeat(self, request_id: str, endless: EndlessAnswer) -> None:
        self.close_connection = True
        try:
            self.wfile.write(endless.beginning.replace(b"{id}", request_id.encode()))
            while not self.worker.closed.wait(endless.pause_seconds):
                self.wfile.write(endless.repeated)
        except OSError:
            self.worker.disconnected_clients.append(request_id)

    def _has_fatal_part(self) -> bool:
        """Return whether the worker crashes on a part of the prompt."""
        items = self.headers.get("Prompt-Prefix", "").split(",")
        parts = {item.partition(":")[0] for item in items}
        return not parts.isdisjoint(self.worker.crashes_on_parts)

    def _begin_answer(self, request_id: str) -> None:
        """Send the head and the first events, as many as the worker sends."""
        count = self.worker.crashes_after_events
        if count is None:
            return
        self._begin_stream(request_id, self.worker.crashes_unframed)
        for number in range(1, count + 1):
            event = f"id: {number}\ndata: token-{number}\n\n".encode()
            self._write_event(event, self.worker.crashes_unframed)
            time.sleep(EVENT_PAUSE_SECONDS)

    def _crash(self) -> None:
        """End the worker as a killed process ends, unless a test prevents it."""
        self.close_connection = True
        if not self.worker.on_crash():
            return
        # In a separate thread, since closing the server waits for this one.
        threading.Thread(target=self.worker.kill).start()
        self.worker.killed.wait()

    def _refuse(self, notices: dict[str, str]) -> None:
        request_id = self.headers.get("Request-Id", "")
        self.reply(503, {}, {"Not-Run": "1", "Request-Id": request_id, **notices})

    def _refuse_twice(self) -> None:
        lines = [
            "HTTP/1.1 503 Status",
            f"Request-Id: {self.headers.get('Request-Id', '')}",
            "Not-Run: 1",
            "Keep-Alive: timeout=5",
            "Content-Length: 0",
        ]
        refusal = ("\r\n".join(lines) + "\r\n\r\n").encode()
        self.wfile.write(refusal)
        self._answers.before_next += refusal

    def _prefill(self) -> None:
        request_id = self.headers.get("Request-Id", "")
        self.worker.prefilled_requests.append(request_id)
        self.worker.prefill_headers.append(dict(self.headers.items()))
        if self.worker.faults.take("lose"):
            self.close_connection = True
            return
        if self.worker.faults.take("hang"):
            self._hang(request_id)
            return
        time.sleep(self.worker.prefill_seconds)
        self.reply(
            200,
            {"kvHandle": f"h-{request_id}", "tokens": 10, "version": 1},
            {"Request-Id": request_id, **self._notice_headers()},
        )

    def _notice_headers(self, is_refusal: bool = False) -> dict[str, str]:
        """Return the headers with the worker's limit, departure and backoff."""
        worker = self.worker
        headers = {
            "Server-Limit": worker.limit,
            "Server-Leaving": "1" if worker.leaves else "",
            "Retry-After": worker.backoff if is_refusal else "",
        }
        return {name: value for name, value in headers.items() if value}

    def _hang(self, request_id: str) -> None:
        """Send no response until the client disconnects or the worker is closed."""
        while not self.worker.closed.wait(0.02):
            if not self.peer_is_open():
                self.worker.disconnected_clients.append(request_id)
                break
        self.close_connection = True

    def _answer(self, request_id: str) -> None:
        faults = self.worker.faults
        if faults.take("hang"):
            self._hang(request_id)
            return
        time.sleep(self.worker.run_seconds)
        if faults.take("lose"):
            self.close_connection = True
            return
        if self._fail(request_id):
            return
        content = self.worker.answer
        if faults.take("cut"):
            self.close_connection = True
            self.wfile.write(self._head(200, request_id, len(content)) + content[:2])
            return
        if faults.take("unframed"):
            self.close_connection = True
            self.wfile.write(self._head(200, request_id, None) + content)
            return
        whole = self._head(200, request_id, len(content)) + content
        twice = faults.take("answer_twice")
        self.wfile.write(whole * 2 if twice else whole)

    def _fail(self, request_id: str) -> bool:
        """Respond with a failure if a fault says so; return whether one did."""
        faults, content = self.worker.faults, self.worker.answer
        status = 500 if faults.take("fail") else 0
        if not status and faults.take("busy"):
            status = faults.busy_status
        if status:
            self.wfile.write(self._head(status, request_id, len(content)) + content)
        return bool(status)

    def _head(self, status: int, request_id: str, length: int | None) -> bytes:
        lines = [
            f"HTTP/1.1 {status} Status",
            f"Request-Id: {request_id}",
            f"Server-Stamp: {stamp(self.worker.worker_id, request_id, status)}",
            "Keep-Alive: timeout=5",
        ]
        lines += [f"{name}: {value}" for name, value in self._notice_headers().items()]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _stream_until_disconnect(self, request_id: str) -> None:
        """Stream the events; a failed write also shows that the client disconnected."""
        try:
            self._stream(request_id)
        except OSError:
            if not self.worker.closed.is_set():
                self.worker.disconnected_clients.append(request_id)
            raise

    def _stream(self, request_id: str) -> None:
        """Stream events 1 to `events`, or those after Last-Event-Id."""
        time.sleep(self.worker.run_seconds)
        worker = self.worker
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        is_unframed = worker.faults.take("unframed")
        self._begin_stream(request_id, is_unframed)
        cut_after = worker.faults.cut_stream_after
        worker.faults.cut_stream_after = 0
        due_at = time.monotonic()
        for number in range(first, worker.events + 1):
            event = f"id: {number}\ndata: token-{number}\n\n".encode()
            if cut_after and number > cut_after:
                size = b"" if is_unframed else b"%x\r\n" % len(event)
                self.wfile.write(size + event[:6])
                self.close_connection = True
                return
            self._write_event(event, is_unframed)
            if number == first + 1 and worker.faults.pause_stream_seconds:
                time.sleep(worker.faults.pause_stream_seconds)
                due_at += worker.faults.pause_stream_seconds
                worker.faults.pause_stream_seconds = 0.0
            if not self.peer_is_open():
                worker.disconnected_clients.append(request_id)
                self.close_connection = True
                return
            # Scheduled by absolute times, so that a thread that wakes late catches up.
            due_at += EVENT_PAUSE_SECONDS
            time.sleep(max(0.0, due_at - time.monotonic()))
        self._end_stream(is_unframed)

    def _begin_stream(self, request_id: str, is_unframed: bool) -> None:
        head = self._head(200, request_id, None).removesuffix(b"\r\n")
        head += b"Content-Type: text/event-stream\r\n"
        if not is_unframed:
            head += b"Transfer-Encoding: chunked\r\n"
        self.wfile.write(head + b"\r\n")

    def _write_event(self, event: bytes, is_unframed: bool) -> None:
        chunk = b"%x\r\n" % len(event) + event + b"\r\n"
        self.wfile.write(event if is_unframed else chunk)

    def _end_stream(self, is_unframed: bool) -> None:
        if is_unframed:
            self.close_connection = True
        else:
            self.wfile.write(b"0\r\n\r\n")
