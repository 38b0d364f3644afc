"""A stand-in for a plain service, run as a separate process, that counts its runs."""

from __future__ import annotations

import argparse
import json
import threading
import time
from collections import Counter
from dataclasses import asdict, dataclass

from tests.fakes._announce import Announcer, new_incarnation, serve_until_stopped
from tests.fakes._faults import Faults
from tests.fakes._http import JsonHandler, apply_reply_faults, listen, print_ready
from tests.fakes._records import HeldMemory, RefusalError, now_ms


@dataclass(frozen=True)
class PlainRun:
    """One run of a call that the service did not refuse."""

    request_id: str
    attempt: int
    idempotency_key: str
    started_ms: int
    body: str


class PlainService:
    """Responds to every POST with its body and the number of the run."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.incarnation = new_incarnation()
        self.address = ""
        self.leaving = False
        self.leaving_ms = 0
        self.faults = Faults()
        self._lock = threading.Lock()
        self._runs: list[PlainRun] = []
        self._running: dict[int, tuple[str, int, float]] = {}
        self.announcer = Announcer(
            [entry for entry in options.entry.split(",") if entry],
            options.endpoint_secret,
            self.announcement,
        )

    def start(self, address: str) -> None:
        """Start announcing the address."""
        self.address = self.options.announced_address or address
        self.announcer.start()

    def announcement(self) -> dict:
        """Return the announcement of the service."""
        return {
            "endpoint_id": self.options.endpoint_id,
            "incarnation": self.incarnation,
            "address": self.address,
            "availability_zone": self.options.zone,
            "service": self.options.service,
            "role": "plain",
            "model": "",
            "slots": self.options.slots,
            "leaving": self.leaving,
        }

    def leave(self) -> None:
        """Announce that this incarnation leaves."""
        self.leaving = True
        self.leaving_ms = now_ms()
        self.announcer.announce_now()

    def is_idle(self) -> bool:
        """Return whether no call is running."""
        return not self._running

    def run(self, request_id: str, attempt: int, key: str, body: str) -> dict:
        """Run one call between the gates `before` and `after`."""
        with self._lock:
            number = time.monotonic_ns()
            self._running[number] = (request_id, attempt, time.monotonic())
        try:
            self.faults.wait_at_gate("before", lambda: True)
            record = PlainRun(request_id, attempt, key, now_ms(), body)
            with self._lock:
                self._runs.append(record)
                run = len(self._runs)
            time.sleep(self.options.run_ms * self.faults.value("slow_factor") / 1000)
            self.faults.wait_at_gate("after", lambda: True)
        finally:
            with self._lock:
                del self._running[number]
        return {"request_id": request_id, "run": run, "body": body}

    def status(self) -> dict:
        """Return `/v1/status` in the format of engines."""
        now = time.monotonic()
        with self._lock:
            running = tuple(self._running.values())
        held = [
            HeldMemory(request_id, attempt, "", "run", 0, int((now - since) * 1000))
            for request_id, attempt, since in running
        ]
        return {
            "endpoint_id": self.options.endpoint_id,
            "incarnation": self.incarnation,
            "role": "plain",
            "model": "",
            "service": self.options.service,
            "leaving": self.leaving,
            "slots": self.options.slots,
            "held": [asdict(item) for item in held],
            "load": {
                "queued": 0,
                "running": len(held),
                "held_tokens": 0,
                "reported_ms_ago": 0,
            },
        }

    def records(self) -> dict:
        """Return every run, and the number of runs of each request and key."""
        with self._lock:
            runs = tuple(self._runs)
        return {
            "runs": [asdict(run) for run in runs],
            "runs_by_request_id": Counter(run.request_id for run in runs),
            "runs_by_key": Counter(
                run.idempotency_key for run in runs if run.idempotency_key
            ),
            "leaving_ms": self.leaving_ms,
        }


class PlainHandler(JsonHandler):
    """The calls of a plain service: any POST, and paths for status and tests."""

    service: PlainService
    routes = {
        "GET /v1/status": "status",
        "GET /v1/records": "records",
        "GET /v1/admin/faults": "read_faults",
        "POST /v1/admin/faults": "change_faults",
    }

    def route(self, method: str, path: str) -> str | None:
        """Serve any other POST as a call."""
        return "call" if method == "POST" else None

    def call(self) -> None:
        """Run one call and echo its headers."""
        body = self.read_body().decode("utf-8", "replace")
        request_id = self.headers.get("X-Request-Id") or ""
        attempt = self.headers.get("X-Attempt") or "0"
        if self.service.faults.take("refuse_next"):
            headers = {"X-Ran": "no", **self._echo(request_id, attempt)}
            self.reply(503, {"reason": "refused"}, headers)
            return
        key = self.headers.get("Idempotency-Key") or ""
        answer = self.service.run(request_id, int(attempt), key, body)
        echo = apply_reply_faults(
            self.service.faults, {"request_id": request_id, "attempt": attempt}
        )
        headers = self._echo(str(echo["request_id"]), attempt)
        content = json.dumps(answer).encode()
        self.reply_bytes(200, content, "application/json", headers)

    @staticmethod
    def _echo(request_id: str, attempt: str) -> dict[str, str]:
        return {"X-Request-Id": request_id, "X-Attempt": attempt}

    def status(self) -> None:
        """Report the running calls."""
        self.reply(200, self.service.status())

    def records(self) -> None:
        """Report every run."""
        self.reply(200, self.service.records())

    def read_faults(self) -> None:
        """Report the active faults."""
        self.reply(200, self.service.faults.as_json())

    def change_faults(self) -> None:
        """Set faults."""
        try:
            self.service.faults.change(self.read_json())
        except ValueError as error:
            raise RefusalError(400, f"no fault {error}") from error
        self.reply(200, self.service.faults.as_json())


def parse_options(arguments: list[str] | None = None) -> argparse.Namespace:
    """Read the command line of the plain service."""
    parser = argparse.ArgumentParser(description=__doc__)
    add = parser.add_argument
    add("--endpoint-id", required=True)
    add("--address", default="127.0.0.1:0")
    add("--service", required=True)
    add("--zone", default="zone-1")
    add("--slots", type=int, default=64)
    add("--run-ms", type=float, default=1)
    add("--entry", default="")
    add("--endpoint-secret", default="")
    add("--announced-address", default="")
    return parser.parse_args(arguments)


def main() -> None:
    """Serve until SIGTERM, then leave, finish running calls and exit with 0."""
    service = PlainService(parse_options())
    handler = type("BoundHandler", (PlainHandler,), {"service": service})
    server = listen(service.options.address, handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    host, port = server.server_address[:2]
    service.start(f"{host!s}:{port}")
    print_ready(server)
    serve_until_stopped(service.leave, service.is_idle)


if __name__ == "__main__":
    main()
