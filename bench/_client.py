"""A load client process, which sends its share of the planned requests.

One thread serves all connections through a selector, so that a slow answer never
delays the next request. The load tool starts the process as
`python -m bench._client TASK_FILE`.
"""

from __future__ import annotations

import errno
import heapq
import itertools
import json
import selectors
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path

from bench._answers import AnswerReader
from bench._outcomes import Outcome, RequestOutcome, write_outcomes
from bench._plan import PlannedRequest, make_prompt
from bench._scenarios import SCENARIOS, RequestClass

READ_BYTES = 65_536
HTTP_OK = 200


@dataclass(frozen=True)
class ClientTask:
    """The task of one client; `starts_at` is a time of the monotonic clock.

    The share `probe_share` of the requests that are refused with a Retry-After is
    sent again at that time.
    """

    scenario: str
    addresses: tuple[str, ...]
    key_by_class: dict[str, str]
    starts_at: float
    ends_after: float
    probe_share: float
    output: str
    requests: tuple[PlannedRequest, ...]

    def write(self, path: Path) -> None:
        """Write the task to the file that the client process reads."""
        path.write_text(json.dumps(asdict(self)))

    @classmethod
    def read(cls, path: Path) -> ClientTask:
        """Read a task from a file that `write` wrote."""
        values = json.loads(path.read_text())
        values["requests"] = tuple(
            PlannedRequest(**item) for item in values["requests"]
        )
        values["addresses"] = tuple(values["addresses"])
        return cls(**values)


class Exchange:
    """The state of one request and its connection until its outcome is known."""

    def __init__(
        self, request: PlannedRequest, content: bytes, due: float, probe: bool
    ) -> None:
        self.request = request
        self.content = content
        self.due = due
        self.probe = probe
        self.sent_late = 0.0
        self.connect_attempts = 0
        self.address = ""
        self.pending = content
        self.reader = AnswerReader()
        self.socket: socket.socket | None = None
        self.done = False


class LoadClient:
    """Sends the requests of a `ClientTask` and records their outcomes."""

    def __init__(self, task: ClientTask) -> None:
        self._task = task
        self._class_by_name = SCENARIOS[task.scenario]().class_by_name
        self._selector = selectors.DefaultSelector()
        self._timer_numbers = itertools.count()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._open_exchanges: set[Exchange] = set()
        self._addresses = itertools.cycle(task.addresses)
        self.outcomes: list[RequestOutcome] = []

    def run(self) -> None:
        """Send each request at its intended start and wait for the answers."""
        for request in self._task.requests:
            self._plan(request, self._task.starts_at + request.at, probe=False)
        end = self._task.starts_at + self._task.ends_after
        while (self._timers or self._open_exchanges) and time.monotonic() < end:
            self._run_cycle(end)
        for exchange in tuple(self._open_exchanges):
            self._finish(exchange, Outcome.ABANDONED)

    def _plan(self, request: PlannedRequest, due: float, *, probe: bool) -> None:
        content = self._content(request, probe)
        exchange = Exchange(request, content, due, probe)
        self._schedule(due, lambda: self._start(exchange))

    def _content(self, request: PlannedRequest, probe: bool) -> bytes:
        item = self._class_by_name[request.class_name]
        body = json.dumps(_body(request, item)).encode()
        request_id = f"{request.request_id}-again" if probe else request.request_id
        headers = [
            f"POST /v1/services/{item.service}/requests HTTP/1.1",
            "Host: bench",
            f"Authorization: Bearer {self._task.key_by_class[item.name]}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            f"X-Request-Id: {request_id}",
            "Connection: close",
        ]
        if not item.repeatable:
            headers.append(f"Idempotency-Key: {request.request_id}")
        return "\r\n".join([*headers, "", ""]).encode() + body

    def _schedule(self, due: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._timers, (due, next(self._timer_numbers), action))

    def _run_cycle(self, end: float) -> None:
        due = min(self._timers[0][0], end) if self._timers else end
        wait = max(0.0, due - time.monotonic())
        for key, _ in self._selector.select(wait):
            self._serve(key.data)
        while self._timers and self._timers[0][0] <= time.monotonic():
            heapq.heappop(self._timers)[2]()

    def _start(self, exchange: Exchange) -> None:
        now = time.monotonic()
        exchange.sent_late = now - exchange.due
        item = self._class_by_name[exchange.request.class_name]
        abandon_at = exchange.due + item.client_timeout_ms / 1000
        self._schedule(abandon_at, lambda: self._abandon_without_first_token(exchange))
        self._open_exchanges.add(exchange)
        self._connect(exchange)

    def _connect(self, exchange: Exchange) -> None:
        """Connect to the next entry host, as the platform's load balancer does."""
        exchange.connect_attempts += 1
        exchange.pending = exchange.content
        exchange.address = next(self._addresses)
        host, port = exchange.address.split(":")
        sock = exchange.socket = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.connect_ex((host, int(port)))
        events = selectors.EVENT_READ | selectors.EVENT_WRITE
        self._selector.register(sock, events, exchange)

    def _serve(self, exchange: Exchange) -> None:
        sock = exchange.socket
        if exchange.done or sock is None:
            return
        try:
            if exchange.pending:
                self._send(exchange, sock)
            self._receive(exchange, sock)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(exchange, error)

    def _send(self, exchange: Exchange, sock: socket.socket) -> None:
        failure = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failure:
            raise OSError(failure, "connect")
        sent = sock.send(exchange.pending)
        exchange.pending = exchange.pending[sent:]
        if not exchange.pending:
            self._selector.modify(sock, selectors.EVENT_READ, exchange)

    def _receive(self, exchange: Exchange, sock: socket.socket) -> None:
        data = sock.recv(READ_BYTES)
        if data:
            exchange.reader.feed(data, time.monotonic() - exchange.due)
        else:
            exchange.reader.parser.close()
        if not data or exchange.reader.finished:
            self._finish(exchange, _outcome_of(exchange.reader))

    def _fail(self, exchange: Exchange, error: OSError) -> None:
        refused = error.errno == errno.ECONNREFUSED
        if refused and exchange.connect_attempts < len(self._task.addresses):
            self._close(exchange)
            self._connect(exchange)
            return
        unreachable = refused or not exchange.reader.parser.status
        outcome = Outcome.UNREACHABLE if unreachable else Outcome.INTERRUPTED
        self._finish(exchange, outcome)

    def _abandon_without_first_token(self, exchange: Exchange) -> None:
        if not exchange.done and not exchange.reader.tokens:
            self._finish(exchange, Outcome.ABANDONED)

    def _close(self, exchange: Exchange) -> None:
        if exchange.socket is not None:
            self._selector.unregister(exchange.socket)
            exchange.socket.close()
            exchange.socket = None

    def _finish(self, exchange: Exchange, outcome: Outcome) -> None:
        exchange.done = True
        self._open_exchanges.discard(exchange)
        self._close(exchange)
        outcome_record = _describe(exchange, outcome)
        self.outcomes.append(outcome_record)
        self._probe(exchange, outcome_record)

    def _probe(self, exchange: Exchange, outcome_record: RequestOutcome) -> None:
        """Retry a share of the refused requests to check their Retry-After."""
        if (
            outcome_record.outcome is not Outcome.REFUSED
            or outcome_record.retry_after is None
        ):
            return
        number = int(exchange.request.request_id.rpartition("-")[2])
        if exchange.probe or (number * 0.618) % 1 >= self._task.probe_share:
            return
        due = exchange.due + outcome_record.finished + outcome_record.retry_after
        last = self._task.starts_at + self._task.requests[-1].at
        if due <= last:
            self._plan(exchange.request, due, probe=True)


def _body(request: PlannedRequest, item: RequestClass) -> dict:
    return {
        "prompt": make_prompt(request, item),
        "max_tokens": request.output_tokens,
        "priority": item.priority,
        "repeatable": item.repeatable,
    }


def _outcome_of(reader: AnswerReader) -> Outcome:
    parser = reader.parser
    if reader.error is not None:
        return Outcome.ERROR
    if parser.status == 0:
        return Outcome.UNREACHABLE
    if parser.status != HTTP_OK:
        return Outcome.REFUSED if parser.complete else Outcome.INTERRUPTED
    complete = reader.ended if reader.is_stream else parser.complete
    return Outcome.COMPLETE if complete else Outcome.INTERRUPTED


def _describe(exchange: Exchange, outcome: Outcome) -> RequestOutcome:
    reader = exchange.reader
    finished = time.monotonic() - exchange.due
    times = reader.token_times
    first = times[0] if times else None
    if outcome is Outcome.COMPLETE and not reader.is_stream:
        first = finished
    error = reader.error or {}
    if outcome is Outcome.REFUSED:
        error = reader.body_as_json().get("error", {})
    gaps = (later - earlier for earlier, later in itertools.pairwise(times))
    planned_id = exchange.request.request_id
    reported_id = reader.parser.headers.get("x-request-id") or error.get("request_id")
    return RequestOutcome(
        planned_id=planned_id,
        request_id=str(reported_id or planned_id),
        entry_address=exchange.address,
        class_name=exchange.request.class_name,
        outcome=outcome,
        status=reader.parser.status,
        sent_late=exchange.sent_late,
        finished=finished,
        first_token=first,
        gaps_ms=tuple(round(gap * 1000, 1) for gap in gaps),
        tokens=len(reader.tokens),
        text="".join(reader.tokens),
        error_id=str(error.get("error_id", "")),
        ran=str(error.get("ran", "")),
        retry_after=error.get("retry_after"),
        out_of_order=reader.out_of_order,
        probe=exchange.probe,
    )


def main() -> None:
    """Run the task in the file that is given on the command line."""
    task = ClientTask.read(Path(sys.argv[1]))
    client = LoadClient(task)
    client.run()
    write_outcomes(Path(task.output), client.outcomes)


if __name__ == "__main__":
    main()
