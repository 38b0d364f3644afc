"""A worker's own 503 after a run reaches the client as a promise of no run."""

from __future__ import annotations

import random
import socket
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from stand_ins import (  # noqa: E402
    STAMP,
    Message,
    Record,
    System,
    Worker,
    answer_at_once,
    call,
    client_headers,
    encode,
    plain_config,
    run_case,
)

CORE_MACHINES = 4
FRONT_MACHINES = 7
# One worker of eight is grey, a share of 0.125, and fails 0.4 of its requests.
WORKERS = 8
FAILED_SHARE = 0.4
TROUBLE_SECONDS = 6.0
DEADLINE_MS = 1500
ORDERS_PER_SECOND = 23.0
FULL_STATUSES = (408, 421, 429, 503)


class GreyAnswer:
    """Runs each request, and answers a part of them with a failure of its own."""

    def __init__(self) -> None:
        self._drawn = random.Random(1)
        self.is_on = False

    def __call__(
        self, worker: Worker, connection: socket.socket, request: Message
    ) -> bool:
        """Answer one request; return that the connection is kept."""
        if not self.is_on or self._drawn.random() >= FAILED_SHARE:
            return answer_at_once(worker, connection, request)
        request_id = request.header("Request-Id")
        worker.note_run(request_id, request)
        headers = [("Request-Id", request_id), ("Server-Stamp", STAMP)]
        line = "HTTP/1.1 503 Service Unavailable"
        connection.sendall(encode(line, headers, b"its database is away"))
        worker_line = f"worker {worker.worker_id} answers {request_id} 503, no Not-Run"
        worker.note(worker_line)
        return True


@dataclass
class Orders:
    """The attempts at each order, with the status that its client got."""

    system: System
    attempts_by_order: dict[int, list[tuple[str, int]]] = field(default_factory=dict)

    def place(self, number: int) -> None:
        """Place an order; send it once more, to another machine, after a promise."""
        attempts = self.attempts_by_order[number] = []
        front = number % FRONT_MACHINES
        for turn in range(2):
            request_id, status = self._send(number, (front + turn) % FRONT_MACHINES)
            attempts.append((request_id, status))
            if status not in FULL_STATUSES:
                return

    def _send(self, number: int, front: int) -> tuple[str, int]:
        headers = client_headers(DEADLINE_MS)
        request_id = headers[1][1]
        record = self.system.record
        record.note(f"order {number}: client sends {request_id} to front-{front}")
        address = self.system.front_addresses[front]
        path = f"/order/{number}"
        try:
            answer = call(address, "POST", path, b"order", headers, 3.0)
        except OSError:
            answer = None
        status = 0 if answer is None else answer.status
        record.note(f"order {number}: client gets {request_id} {status}")
        return request_id, status


def case(record: Record, with_trouble: bool) -> bool:
    """Return whether no request that ran was answered with a promise of no run."""
    system = System(record, CORE_MACHINES, FRONT_MACHINES)
    try:
        system.start()
        return play(system, with_trouble)
    finally:
        system.close()


def play(system: System, with_trouble: bool) -> bool:
    """Place orders for some seconds, while one worker is grey, and check them."""
    config = plain_config(1, ["/kept/"])
    order = {"name": "r-order", "pathPrefix": "/order/", "kind": "unsafe"}
    config["routes"].append({**config["routes"][0], **order, "maxAttempts": 1})
    system.put_config(config)
    grey = GreyAnswer()
    workers = [Worker(system, "rota-desk", grey)]
    workers += [Worker(system, "rota-desk") for _ in range(WORKERS - 1)]
    system.wait_until_ready()
    time.sleep(2.0)
    grey.is_on = with_trouble
    orders = Orders(system)
    place_orders(orders)
    ran = {request_id for worker in workers for request_id in worker.runs}
    return check(system, orders, ran)


def place_orders(orders: Orders) -> None:
    """Place orders at the usual rate until the trouble is over."""
    threads = []
    for number in range(int(TROUBLE_SECONDS * ORDERS_PER_SECOND)):
        threads.append(threading.Thread(target=orders.place, args=(number,)))
        threads[-1].start()
        time.sleep(1 / ORDERS_PER_SECOND)
    for thread in threads:
        thread.join()


def check(system: System, orders: Orders, ran: set[str]) -> bool:
    """Record what broke the rule; return whether nothing did."""
    refused, twice = 0, 0
    for number, attempts in sorted(orders.attempts_by_order.items()):
        runs = [request_id for request_id, _ in attempts if request_id in ran]
        for request_id, status in attempts:
            if status in FULL_STATUSES and request_id in ran:
                refused += 1
                system.record.note(f"order {number}: {request_id} ran, got {status}")
        if len(runs) > 1:
            twice += 1
            system.record.note(f"order {number} was carried out {len(runs)} times")
    placed = len(orders.attempts_by_order)
    system.record.note(f"orders {placed}, ran and got a promise: {refused}")
    system.record.note(f"orders carried out twice: {twice}")
    return refused == 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
