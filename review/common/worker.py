"""A stand-in for a worker of the platform, as a process of its own.

It follows the platform's pages: it announces itself, echoes ids, refuses requests for
another instance, keeps channels, stops a run when its channel closes, and logs what it
ran. SIGUSR1 closes the listening socket (new channels are refused, open ones live on),
SIGUSR2 opens it again.
"""

from __future__ import annotations

import argparse
import http.client
import json
import os
import select
import signal
import socket
import threading
import time
from typing import Any

KEEP_ALIVE_SECONDS = 30
HEARTBEAT_SECONDS = 0.6
SWITCH_SECONDS = 6.0
# The share of its answers of which a faulty worker sends a second copy.
REPEATED_SHARE = 0.03


class Worker:
    """One worker: its address, its state and its log."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.id: str = options.id
        self.service: str = options.service
        self.stage: str = options.stage
        self.address: str = options.address
        self.zone: str = options.zone
        self.controls: list[str] = options.controls.split(",")
        self.events: int = options.events
        self.pause: float = options.pause
        self.unframed_file: str = options.unframed_file
        self.lapsed_file: str = options.lapsed_file
        self.repeats_refusals: bool = options.repeats_refusals
        self.answers = 0
        self.repeated = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.orders = 0
        self.is_busy = False
        self.running: dict[str, int] = {}
        self.handles = 0
        self.holds = 0
        self.lock = threading.Lock()
        self._log_file = os.open(
            options.log, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600
        )
        self._listener: socket.socket | None = None

    def log(self, what: str, **fields: Any) -> None:
        """Write one line in one write, which outlives a kill of this process."""
        line = {"at": time.monotonic(), "worker": self.id, "what": what, **fields}
        os.write(self._log_file, json.dumps(line).encode() + b"\n")

    # Announcements

    def announce(self) -> None:
        """Announce the worker as long as the process runs."""
        turn = 0
        while True:
            for _ in self.controls:
                if self._send_heartbeat(self.controls[turn % len(self.controls)]):
                    break
                turn += 1
            time.sleep(HEARTBEAT_SECONDS)

    def _send_heartbeat(self, control: str) -> bool:
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldLeftMs": 0,
            "born": self.born,
            "seq": self.sequence,
        }
        if self.stage:
            body["stage"] = self.stage
            body["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return self._call(control, "PUT", body)

    def _call(self, control: str, method: str, body: dict[str, Any]) -> bool:
        connection = http.client.HTTPConnection(control, timeout=1.0)
        try:
            connection.request(method, f"/instances/{self.id}", json.dumps(body))
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def switch(self, stage: str) -> None:
        """Complete an order to change the stage."""
        self.stage = stage
        self.is_busy = False

    # Channels

    def listen(self) -> None:
        """Open the listening socket and accept channels in a thread."""
        host, _, port = self.address.rpartition(":")
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(128)
        self._listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def refuse(self) -> None:
        """Close the listening socket; open channels live on."""
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                channel, _ = listener.accept()
            except OSError:
                return
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(channel,), daemon=True).start()

    def _serve(self, channel: socket.socket) -> None:
        try:
            late = b""
            with channel, channel.makefile("rb") as reader:
                while (call := Call(self, channel, reader, late)).serve():
                    late = call.late
        except OSError:
            pass


class Call:
    """One request on a channel, and its answer."""

    def __init__(
        self, worker: Worker, channel: socket.socket, reader: Any, late: bytes
    ) -> None:
        """Create the call; `late` is an extra response that goes before its own."""
        self._worker = worker
        self._channel = channel
        self._reader = reader
        self._earlier = late
        self.late = b""
        """An extra response, sent where the next response on the channel is due."""
        self._headers: dict[str, str] = {}

    def serve(self) -> bool:
        """Answer one request; return whether the channel is kept."""
        line = self._reader.readline(65536).decode("latin-1").split()
        if len(line) != 3:
            return False
        method, target, _ = line
        while (header := self._reader.readline(65536).strip()) != b"":
            name, _, value = header.decode("latin-1").partition(":")
            self._headers[name.strip().lower()] = value.strip()
        body = self._reader.read(int(self._headers.get("content-length", "0")))
        if self._earlier:
            self._channel.sendall(self._earlier)
            self._worker.log(
                "sent an extra response",
                before=f"{method} {target} {self._headers.get('request-id', '')}",
            )
        return self._answer(method, target, body)

    def _answer(self, method: str, target: str, body: bytes) -> bool:
        worker = self._worker
        expected = self._headers.get("expect-instance", worker.id)
        if expected != worker.id:
            return self._json(421, {}, {"Instance-Id": worker.id, "Not-Run": "1"})
        if target == "/report":
            return self._report()
        if target == "/hold-take":
            with worker.lock:
                worker.holds += 1
                return self._json(200, {"hold": f"{worker.id}-r{worker.holds}"})
        if target.startswith(("/hold-drop/", "/kv-handle/", "/kv-pin/")):
            return self._json(200, {})
        if target == "/order":
            return self._order(json.loads(body))
        if worker.is_busy:
            request_id = self._headers.get("request-id", "")
            return self._json(503, {}, {"Request-Id": request_id, "Not-Run": "1"})
        if self._headers.get("stage") == "prefill":
            return self._prefill()
        if worker.stage == "prefill":
            return self._json(421, {}, {"Instance-Id": worker.id, "Not-Run": "1"})
        return self._run(method, target, body)

    def _report(self) -> bool:
        worker = self._worker
        with worker.lock:
            runs = [[item, 5200, made, 1] for item, made in worker.running.items()]
        fields = {
            "born": worker.born,
            "stage": worker.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": worker.is_busy,
            "seq": worker.orders,
            "queued": 0,
            "running": len(runs),
            "kvUsed": 5200 * len(runs),
            "kvCapacity": 103755,
            "kvHandles": 0,
            "state": "ready",
            "runs": runs,
        }
        return self._json(200, fields)

    def _order(self, fields: dict[str, Any]) -> bool:
        """Change the stage, unless an order is in progress or `expect` differs."""
        worker = self._worker
        with worker.lock:
            expected = fields.get("expect", worker.orders)
            is_refused = worker.is_busy or expected != worker.orders
            if not is_refused:
                worker.orders += 1
                worker.is_busy = True
        worker.log("order", fields=fields, refused=is_refused)
        if is_refused:
            return self._json(409, {})
        threading.Timer(SWITCH_SECONDS, worker.switch, (fields["stage"],)).start()
        return self._json(202, {})

    def _prefill(self) -> bool:
        worker = self._worker
        time.sleep(0.05)
        with worker.lock:
            worker.handles += 1
            handle = f"{worker.id}-h{worker.handles}"
        request_id = self._headers.get("request-id", "")
        worker.log("prefilled", request=request_id)
        fields = {"kvHandle": handle, "tokens": 5200, "version": 1}
        return self._json(200, fields, {"Request-Id": request_id})

    def _run(self, method: str, target: str, body: bytes) -> bool:
        worker = self._worker
        request_id = self._headers.get("request-id", "")
        if os.path.exists(worker.lapsed_file):
            with worker.lock:
                worker.answers += 1
            if self._headers.get("kv-from"):
                return self._refuse(request_id)
        worker.log("run", request=request_id, method=method, target=target)
        if worker.stage:
            with worker.lock:
                worker.running[request_id] = 0
            try:
                return self._stream(request_id)
            finally:
                with worker.lock:
                    worker.running.pop(request_id, None)
        content = b"the whole answer of " + request_id.encode() + b" " * 760
        head = self._head(200, request_id, f"Content-Length: {len(content)}")
        time.sleep(worker.pause)
        self._channel.sendall(head + content)
        worker.log("answered", request=request_id)
        return True

    def _refuse(self, request_id: str) -> bool:
        """Refuse a request whose handle has lapsed; perhaps say so a second time."""
        worker = self._worker
        worker.log("refused", request=request_id)
        headers = {"Request-Id": request_id, "Not-Run": "1"}
        if worker.repeats_refusals:
            with worker.lock:
                is_due = worker.answers * REPEATED_SHARE >= worker.repeated + 1
                worker.repeated += is_due
            if is_due:
                self.late = self._encode(503, {}, headers)
        return self._json(503, {}, headers)

    def _stream(self, request_id: str) -> bool:
        worker = self._worker
        is_unframed = os.path.exists(worker.unframed_file)
        kind = "Content-Type: text/event-stream"
        framing = "Connection: close" if is_unframed else "Transfer-Encoding: chunked"
        self._channel.sendall(self._head(200, request_id, kind, framing))
        first = int(self._headers.get("last-event-id") or "0") + 1
        for number in range(first, worker.events + 1):
            if self._is_left():
                worker.log("left by caller", request=request_id, events=number - 1)
                return False
            event = (
                f"id: {number}\ndata: piece {number} of {worker.events}\n\n".encode()
            )
            chunk = b"%x\r\n%s\r\n" % (len(event), event)
            self._channel.sendall(event if is_unframed else chunk)
            with worker.lock:
                worker.running[request_id] = number
            worker.log("event", request=request_id, number=number)
            time.sleep(worker.pause)
        if not is_unframed:
            self._channel.sendall(b"0\r\n\r\n")
        worker.log("answered", request=request_id)
        return not is_unframed

    def _is_left(self) -> bool:
        readable, _, _ = select.select([self._channel], [], [], 0)
        return bool(readable) and not self._channel.recv(1, socket.MSG_PEEK)

    def _head(self, status: int, request_id: str, *lines: str) -> bytes:
        head = [
            f"HTTP/1.1 {status} Status",
            f"Request-Id: {request_id}",
            f"Server-Stamp: {self._worker.id}.{request_id}",
            f"Keep-Alive: timeout={KEEP_ALIVE_SECONDS}",
            *lines,
        ]
        return ("\r\n".join(head) + "\r\n\r\n").encode()

    def _json(
        self, status: int, fields: dict[str, Any], headers: dict[str, str] | None = None
    ) -> bool:
        self._channel.sendall(self._encode(status, fields, headers))
        return True

    def _encode(
        self, status: int, fields: dict[str, Any], headers: dict[str, str] | None
    ) -> bytes:
        content = json.dumps(fields).encode()
        lines = [
            f"HTTP/1.1 {status} Status",
            "Content-Type: application/json",
            f"Content-Length: {len(content)}",
            f"Keep-Alive: timeout={KEEP_ALIVE_SECONDS}",
            *[f"{name}: {value}" for name, value in (headers or {}).items()],
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + content


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--stage", default="")
    parser.add_argument("--zone", default="zone-a")
    parser.add_argument("--address", required=True)
    parser.add_argument("--controls", required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--events", type=int, default=70)
    parser.add_argument("--pause", type=float, default=0.03)
    parser.add_argument("--unframed-file", default="")
    parser.add_argument("--lapsed-file", default="")
    parser.add_argument("--repeats-refusals", type=int, default=0)
    worker = Worker(parser.parse_args())
    worker.listen()
    threading.Thread(target=worker.announce, daemon=True).start()
    wanted = {signal.SIGUSR1, signal.SIGUSR2}
    signal.pthread_sigmask(signal.SIG_BLOCK, wanted)
    while True:
        if signal.sigwait(wanted) == signal.SIGUSR1:
            worker.refuse()
        else:
            worker.listen()


if __name__ == "__main__":
    main()
