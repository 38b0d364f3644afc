"""A worker that has signed off is taken up again from a machine that is cut off."""

from __future__ import annotations

import json
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from stand_ins import (  # noqa: E402
    BEAT_SECONDS,
    CONTACT_SECONDS,
    CaseNotRunError,
    Message,
    Record,
    System,
    Worker,
    answer_at_once,
    call,
    client_headers,
    plain_config,
    run_case,
)

CORE_MACHINES = 3
FRONT_MACHINES = 7
# One worker of four crashes, a share of 0.25.
WORKERS = 4
ORDERS_PER_SECOND = 23.0
WORK_SECONDS = 0.09
DRAIN_SECONDS = 2.0
# All times are in seconds after the cut.
CUT_SECONDS = 6.08
CRASHES_AT = 0.6
STARTS_AGAIN_AT = 2.5
LEAVES_AT = CONTACT_SECONDS + 0.1
LATEST_ACK_AT = CUT_SECONDS - DRAIN_SECONDS - 0.3
EXITS_AT = 6.0


def work(worker: Worker, connection: socket.socket, request: Message) -> bool:
    """Work on a request for a moment and answer it."""
    time.sleep(WORK_SECONDS)
    return answer_at_once(worker, connection, request)


class Case:
    """One worker that starts again and leaves, beside three that stay."""

    def __init__(self, system: System, with_trouble: bool) -> None:
        self._system = system
        self._with_trouble = with_trouble
        self._leaves = threading.Event()
        self._cut_at = 0.0
        self._acked_at = 0.0
        self._born = int(time.time() * 1000)

    def play(self) -> bool:
        """Play the case; return whether no request came too late."""
        self._start()
        orders = threading.Thread(target=self._place_orders, daemon=True)
        worker = Worker(
            self._system, "rota-desk", work, "i-leaves", self._born, beats=False
        )
        self._beat(worker)
        time.sleep(3.0)
        self._cut_at = self._system.record.now + 1.0
        orders.start()
        if self._with_trouble:
            worker = self._start_again(worker)
        self._wait_until(LEAVES_AT)
        self._sign_off(worker)
        self._wait_until(EXITS_AT)
        worker.end()
        self._system.record.note("worker i-leaves exits")
        self._heal()
        orders.join()
        return self._check(worker)

    def _start(self) -> None:
        self._system.start()
        config = plain_config(1, ["/kept/"])
        order = {"name": "r-order", "pathPrefix": "/order/", "kind": "unsafe"}
        config["routes"].append({**config["routes"][0], **order, "maxAttempts": 1})
        self._system.put_config(config)
        for _ in range(WORKERS - 1):
            Worker(self._system, "rota-desk", work)
        self._system.wait_until_ready()

    def _wait_until(self, seconds: float) -> None:
        time.sleep(max(self._cut_at + seconds - self._system.record.now, 0.0))

    def _beat(self, worker: Worker) -> None:
        """Let a worker send its heartbeats until it crashes or leaves."""

        def send() -> None:
            while not self._leaves.is_set():
                body = worker.next_entry()
                for number in range(CORE_MACHINES):
                    if worker.send_heartbeat(number, body):
                        break
                self._leaves.wait(BEAT_SECONDS)

        threading.Thread(target=send, daemon=True).start()

    def _start_again(self, worker: Worker) -> Worker:
        """Cut core-2 off, crash the worker, and start it again under its id."""
        record = self._system.record
        self._wait_until(0.0)
        first, second, third = self._system.links
        first.cut = second.cut = {"core-2"}
        third.cut = {"core-0", "core-1"}
        record.note("core-2 is cut off from core-0 and core-1")
        self._wait_until(CRASHES_AT)
        self._leaves.set()
        worker.end()
        record.note("worker i-leaves crashes")
        self._wait_until(STARTS_AGAIN_AT)
        self._born = int(time.time() * 1000)
        again = Worker(
            self._system, "rota-desk", work, "i-leaves", self._born, beats=False
        )
        record.note("worker i-leaves starts again, sends its heartbeat to core-2")
        if not again.send_heartbeat(2, again.next_entry()):
            raise CaseNotRunError("the heartbeat was not acknowledged")
        return again

    def _sign_off(self, worker: Worker) -> None:
        """Sign off at a control machine, the next one after a second without ack."""
        self._leaves.set()
        record = self._system.record
        body = json.dumps({"born": self._born}).encode()
        for number in (0, 1, 0, 1):
            record.note(f"worker i-leaves signs off at core-{number}")
            address = self._system.control_addresses[number]
            path = f"/instances/{worker.worker_id}"
            try:
                answer = call(address, "DELETE", path, body, seconds=1.0)
            except OSError:
                answer = None
            if answer is not None and answer.status == 200:
                break
        else:
            raise CaseNotRunError("the sign-off was not acknowledged")
        self._acked_at = record.now
        record.note("sign-off acknowledged")
        if self._acked_at - self._cut_at > LATEST_ACK_AT:
            raise CaseNotRunError("the sign-off was acknowledged too late")

    def _heal(self) -> None:
        self._wait_until(CUT_SECONDS)
        for link in self._system.links:
            link.cut = set()
        self._system.record.note("the cut is over")

    def _place_orders(self) -> None:
        """Place orders, one machine after the other, until the worker has left."""
        until = self._cut_at + EXITS_AT
        number = 0
        while self._system.record.now < until:
            number += 1
            threading.Thread(target=self._place, args=(number,), daemon=True).start()
            time.sleep(1 / ORDERS_PER_SECOND)
        time.sleep(2.0)

    def _place(self, number: int) -> None:
        headers = client_headers()
        request_id = headers[1][1]
        record, front = self._system.record, number % FRONT_MACHINES
        record.note(f"client sends {request_id} POST /order/{number} to front-{front}")
        address = self._system.front_addresses[front]
        path = f"/order/{number}"
        try:
            answer = call(address, "POST", path, b"order", headers, 3.0)
        except OSError:
            answer = None
        status = 0 if answer is None else answer.status
        record.note(f"client gets {request_id} {status}")

    def _check(self, worker: Worker) -> bool:
        """Record which requests came too late; return whether none did.

        Runs are recorded after the work on them.
        """
        late_from = self._acked_at + DRAIN_SECONDS
        late = [
            f"{request_id} {at - WORK_SECONDS - self._acked_at:.2f} s after the ack"
            for request_id, at in zip(worker.runs, worker.run_times, strict=True)
            if at - WORK_SECONDS > late_from
        ]
        for line in late:
            self._system.record.note(f"too late: {line}")
        self._system.record.note(f"requests too late: {len(late)}")
        return not late


def case(record: Record, with_trouble: bool) -> bool:
    """Return whether no request reached the worker later than `drainMs`."""
    system = System(record, CORE_MACHINES, FRONT_MACHINES)
    try:
        return Case(system, with_trouble).play()
    finally:
        system.close()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
