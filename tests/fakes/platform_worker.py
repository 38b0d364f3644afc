"""A stand-in for a worker of the users' platform, served by threads of the test.

It speaks what the platform's workers speak: ids, refusals that say "not run", stages
with handles, reservations, reports, event streams. A test orders faults by setting the
attributes of `WorkerFaults`, and reads what ran from `runs`. `killed_and_back` gives
the next start of a worker, which knows nothing of the one before.
"""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Self

from tests.fakes._http import JsonHandler, StandInServer, listen

EVENT_PAUSE_SECONDS = 0.01
# How often the server looks whether it is to stop.
POLL_SECONDS = 0.05


@dataclass(frozen=True)
class WorkerRun:
    """A request that the worker began to work on."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class Arrival:
    """A call that reached the worker, and how it began to answer."""

    at: float
    """Seconds of the test's steady clock."""
    sender: str
    """The host that sent it, where its client told that in `X-Entry`."""
    target: str
    request_id: str
    """Empty for a reservation."""
    backoff: str
    """The seconds of backoff that its answer asks for, empty without one."""
    reported_leaving: bool


@dataclass
class WorkerFaults:
    """What the worker does wrong, each for so many of its next requests."""

    refuse: int = 0
    """Say "not run" with 503."""
    fail: int = 0
    """Run, and answer 500."""
    lose: int = 0
    """Run, or read a prompt for another worker, and close without an answer."""
    cut: int = 0
    """Run, and close in the middle of the answer."""
    answer_twice: int = 0
    """Send a second whole answer behind the first."""
    unframed: int = 0
    """Give no length: the answer ends with its connection."""
    hang: int = 0
    """Run, and answer nothing until the worker is closed."""
    lapse: int = 0
    """Have lost the memory of a prompt that was read elsewhere."""
    no_room: int = 0
    """Refuse reservations."""
    pause_stream_seconds: float = 0.0
    """Stand still so long after the second event of a stream, once."""
    cut_stream_after: int = 0
    """Close a stream after so many events, once."""

    def take(self, name: str) -> bool:
        """Count one of the named faults down; say whether there was one."""
        left = getattr(self, name)
        if left:
            setattr(self, name, left - 1)
        return bool(left)


@dataclass
class PlatformWorker:
    """A worker on a port of its own; `stage` is empty for a plain service."""

    worker_id: str
    service: str
    stage: str = ""
    zone: str = "zone-1"
    answer: bytes = b"answer"
    events: int = 5
    run_seconds: float = 0.0
    read_seconds: float = 0.0
    """How long it needs to read a prompt for another worker."""
    capacity: int = 100_000
    started_at_ms: int | None = None
    """The start that it tells of itself, None if it doesn't tell."""
    switch_seconds: float = 0.5
    """How long it needs to change its stage when it is ordered to."""
    listens_at: str = "127.0.0.1:0"
    limit: str = ""
    """Requests a second that it says it takes, empty without a limit."""
    backoff: str = ""
    """The seconds of backoff that it asks for; it refuses all requests meanwhile."""
    leaves: bool = False
    """Whether all its answers say that it leaves."""
    crashes_on: bytes = b""
    """A request whose body holds this ends the worker; none does if it is empty."""
    on_crash: Callable[[], bool] = lambda: True
    """Called before that; where it returns false, only the request is lost."""
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    runs: list[WorkerRun] = field(default_factory=list)
    prompts_read: list[str] = field(default_factory=list)
    prompt_headers: list[dict[str, str]] = field(default_factory=list)
    """Headers of the calls that had a prompt read, in order."""
    questions: list[str] = field(default_factory=list)
    gone_clients: list[str] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    """All calls but those for a report, also those that it refused."""

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
        """Have another stage after this time, as an order asks for."""

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
        """Stop serving, and break off all connections as a killed process does."""
        self.close()
        for sock in list(self.sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.killed.set()

    def killed_and_back(
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

    def beat(self, state: str = "ready") -> dict[str, Any]:
        """Return the next announcement."""
        self.sequence += 1
        models = [{"name": "m", "version": 1, "adapters": []}]
        engine = {"stage": self.stage, "models": models} if self.stage else {}
        return {
            **self.told_start(),
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

    def told_start(self) -> dict[str, Any]:
        """Return what all that it says of itself says of its start."""
        return {} if self.started_at_ms is None else {"born": self.started_at_ms}

    def run_ids(self) -> list[str]:
        """Return the ids of the requests that ran, in order."""
        return [run.request_id for run in self.runs]


class WorkerHandler(JsonHandler):
    """The calls of a worker."""

    worker: PlatformWorker

    def setup(self) -> None:
        """Note the connection, which ends with the worker."""
        super().setup()
        self.worker.sockets.add(self.connection)

    def finish(self) -> None:
        """Forget the connection."""
        self.worker.sockets.discard(self.connection)
        super().finish()

    def _dispatch(self, method: str) -> None:
        expected = self.headers.get("Expect-Instance", self.worker.worker_id)
        try:
            body = self.read_body()
            if expected != self.worker.worker_id:
                headers = {"Instance-Id": self.worker.worker_id}
                self.reply(421, {}, headers)
            elif self.path == "/hold-take":
                self._arrive()
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
        except OSError:
            self.close_connection = True

    def _reserve(self, fields: dict[str, Any]) -> None:
        self.worker.questions.append("reserve")
        if self.worker.backoff or self.worker.faults.take("no_room"):
            self.reply(503, {}, self._said_of_itself(is_refusal=True))
            return
        name = f"r{len(self.worker.questions)}"
        self.worker.reservations[name] = fields["tokens"]
        self.reply(200, {"hold": name}, self._said_of_itself())

    def _report(self) -> None:
        self.worker.questions.append("report")
        used = sum(self.worker.reservations.values())
        self.reply(
            200,
            {
                **self.worker.told_start(),
                "stage": self.worker.stage,
                "busy": self.worker.is_switching,
                "seq": self.worker.orders,
                "queued": 0,
                "running": 0,
                "kvUsed": used,
                "kvCapacity": self.worker.capacity,
                "runs": [],
            },
            self._said_of_itself(),
        )

    def _order(self, fields: dict[str, Any]) -> None:
        """Change the stage, unless another order is expected to have come before."""
        worker = self.worker
        worker.questions.append("order")
        if worker.is_switching or fields.get("expect", worker.orders) != worker.orders:
            self.reply(409, {})
            return
        worker.orders += 1
        worker.is_switching = True
        worker.switch_after(worker.switch_seconds, fields["stage"])
        self.reply(202, {})

    def _arrive(self) -> None:
        """Note a call, before it is answered."""
        arrival = Arrival(
            time.monotonic(),
            self.headers.get("X-Entry", ""),
            self.path,
            self.headers.get("Request-Id", ""),
            self.worker.backoff,
            self.worker.leaves,
        )
        self.worker.arrivals.append(arrival)

    def _request(self, method: str, body: bytes) -> None:
        faults = self.worker.faults
        self._arrive()
        refuses = bool(self.worker.backoff) or self.worker.is_switching
        if refuses or faults.take("refuse"):
            said = self._said_of_itself(is_refusal=True)
            self.reply(503, {}, {"Not-Run": "1", **said})
            return
        if self.headers.get("Stage") == "prefill":
            self._read_prompt()
            return
        if self.headers.get("Kv-From") and faults.take("lapse"):
            self.reply(503, {}, {"Not-Run": "1"})
            return
        request_id = self.headers.get("Request-Id", "")
        # A reservation can be used once.
        self.worker.reservations.pop(self.headers.get("Kv-Hold", ""), None)
        self.worker.runs.append(
            WorkerRun(request_id, method, self.path, dict(self.headers.items()), body)
        )
        if self.worker.crashes_on and self.worker.crashes_on in body:
            self.close_connection = True
            if not self.worker.on_crash():
                return
            # A thread of its own: the server waits for this one when it is closed.
            threading.Thread(target=self.worker.kill).start()
            self.worker.killed.wait()
        elif self.worker.stage and faults.take("lose"):
            self.close_connection = True
        elif self.worker.stage:
            self._stream_until_gone(request_id)
        else:
            self._answer(request_id)

    def _read_prompt(self) -> None:
        request_id = self.headers.get("Request-Id", "")
        self.worker.prompts_read.append(request_id)
        self.worker.prompt_headers.append(dict(self.headers.items()))
        if self.worker.faults.take("lose"):
            self.close_connection = True
            return
        if self.worker.faults.take("hang"):
            self._wait_for_the_end(request_id)
            return
        time.sleep(self.worker.read_seconds)
        self.reply(
            200,
            {"kvHandle": f"h-{request_id}", "tokens": 10, "version": 1},
            {"Request-Id": request_id, **self._said_of_itself()},
        )

    def _said_of_itself(self, is_refusal: bool = False) -> dict[str, str]:
        """Return the headers in which the worker speaks of itself."""
        worker = self.worker
        said = {
            "Server-Limit": worker.limit,
            "Server-Leaving": "1" if worker.leaves else "",
            "Retry-After": worker.backoff if is_refusal else "",
        }
        return {name: value for name, value in said.items() if value}

    def _wait_for_the_end(self, request_id: str) -> None:
        """Answer nothing until the client or the worker is closed."""
        while not self.worker.closed.wait(0.02):
            if not self.peer_is_open():
                self.worker.gone_clients.append(request_id)
                break
        self.close_connection = True

    def _answer(self, request_id: str) -> None:
        faults = self.worker.faults
        if faults.take("hang"):
            self._wait_for_the_end(request_id)
            return
        time.sleep(self.worker.run_seconds)
        if faults.take("lose"):
            self.close_connection = True
            return
        status = 500 if faults.take("fail") else 200
        content = self.worker.answer
        if faults.take("cut"):
            self.close_connection = True
            self.wfile.write(self._head(status, request_id, len(content)) + content[:2])
            return
        if faults.take("unframed"):
            self.close_connection = True
            self.wfile.write(self._head(status, request_id, None) + content)
            return
        whole = self._head(status, request_id, len(content)) + content
        twice = faults.take("answer_twice")
        self.wfile.write(whole * 2 if twice else whole)

    def _head(self, status: int, request_id: str, length: int | None) -> bytes:
        lines = [
            f"HTTP/1.1 {status} Status",
            f"Request-Id: {request_id}",
            f"Server-Stamp: {self.worker.worker_id}.{request_id}",
            "Keep-Alive: timeout=5",
        ]
        lines += [f"{name}: {value}" for name, value in self._said_of_itself().items()]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _stream_until_gone(self, request_id: str) -> None:
        """Stream; a write that fails tells that the caller has gone, too."""
        try:
            self._stream(request_id)
        except OSError:
            if not self.worker.closed.is_set():
                self.worker.gone_clients.append(request_id)
            raise

    def _stream(self, request_id: str) -> None:
        """Stream events 1 to `events`, or go on behind Last-Event-Id."""
        time.sleep(self.worker.run_seconds)
        worker = self.worker
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        head = self._head(200, request_id, None).removesuffix(b"\r\n")
        self.wfile.write(
            head
            + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        cut_after = worker.faults.cut_stream_after
        worker.faults.cut_stream_after = 0
        due_at = time.monotonic()
        for number in range(first, worker.events + 1):
            event = f"id: {number}\ndata: token-{number}\n\n".encode()
            if cut_after and number > cut_after:
                self.wfile.write(b"%x\r\n" % len(event) + event[:6])
                self.close_connection = True
                return
            self.wfile.write(b"%x\r\n" % len(event) + event + b"\r\n")
            if number == first + 1 and worker.faults.pause_stream_seconds:
                time.sleep(worker.faults.pause_stream_seconds)
                due_at += worker.faults.pause_stream_seconds
                worker.faults.pause_stream_seconds = 0.0
            if not self.peer_is_open():
                worker.gone_clients.append(request_id)
                self.close_connection = True
                return
            # By instants, so that a thread that is woken late catches up.
            due_at += EVENT_PAUSE_SECONDS
            time.sleep(max(0.0, due_at - time.monotonic()))
        self.wfile.write(b"0\r\n\r\n")
