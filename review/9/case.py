"""A route that a later config adds is never served: a stream of a plain service."""

from __future__ import annotations

import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from stand_ins import (  # noqa: E402
    CONFIG_APPLY_SECONDS,
    STAMP,
    CaseNotRunError,
    Message,
    Record,
    System,
    Worker,
    answer_at_once,
    ask,
    plain_config,
    route,
    run_case,
)

CORE_MACHINES = 3
FRONT_MACHINES = 7
WORKERS = 3
REQUESTS = 42
EVENTS = 5
# Workers have announced themselves several times by then.
STEADY_SECONDS = 10.0


def case(record: Record, with_trouble: bool) -> bool:
    """Return whether routes that were added later are served like the first ones."""
    system = System(record, CORE_MACHINES, FRONT_MACHINES)
    try:
        system.start()
        return play(system, with_trouble)
    finally:
        system.close()


def play(system: System, with_trouble: bool) -> bool:
    """Serve the first route, add one by a config, and count what is served."""
    system.put_config(plain_config(1, ["/kept/"]))
    for _ in range(WORKERS):
        Worker(system, "rota-desk", answer)
    system.wait_until_ready()
    time.sleep(STEADY_SECONDS)
    if with_trouble:
        system.put_config(later_config())
        time.sleep(CONFIG_APPLY_SECONDS + STEADY_SECONDS)
    first = count_served(system, "/kept/x")
    if first < REQUESTS:
        raise CaseNotRunError(f"only {first} requests on the first route were served")
    later = count_served(system, "/events/x") if with_trouble else first
    system.record.note(f"served of {REQUESTS}: first {first}, later {later}")
    return later >= first / 4


def later_config() -> dict[str, object]:
    """Return the first config with one more route to the same service."""
    config = plain_config(2, ["/kept/"])
    stream = route("r-events", "/events/", "rota-desk", "stream")
    stream |= {"timeoutMs": 14000, "sloMs": 900, "gapSloMs": 300}
    config["routes"].append(stream)
    return config


def answer(worker: Worker, connection: socket.socket, request: Message) -> bool:
    """Answer at once, on the added route with a series of events."""
    if " /events/" not in request.first_line:
        return answer_at_once(worker, connection, request)
    request_id = request.header("Request-Id")
    worker.note_run(request_id, request)
    head = (
        "HTTP/1.1 200 OK",
        f"Request-Id: {request_id}",
        f"Server-Stamp: {STAMP}",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    )
    connection.sendall(("\r\n".join(head) + "\r\n\r\n").encode())
    for number in range(EVENTS):
        event = f"id: {number + 1}\ndata: arrival\n\n".encode()
        connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        time.sleep(0.02)
    connection.sendall(b"0\r\n\r\n")
    return True


def count_served(system: System, path: str) -> int:
    """Send requests to all front machines in turn; return how many succeed."""
    served = 0
    for number in range(REQUESTS):
        served += ask(system, number % FRONT_MACHINES, path) == 200
        time.sleep(0.1)
    return served


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
