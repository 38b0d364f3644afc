"""A worker refuses a stream twice; its second refusal answers the next send of it."""

from __future__ import annotations

import sys
import threading
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from system import (  # noqa: E402
    LLM,
    Reply,
    System,
    prompt,
    run_case,
    stream_route,
    wait_until,
)

EVENTS = 20
PAUSE_SECONDS = 0.03
# Streams a second as on the sheet, and how long they come before and while there is
# trouble, in seconds: handles lapse, and workers answer twice, in the same spans.
RATE = 5
CALM_SECONDS = 2.5
LAPSED_SECONDS = 4.0
ROUNDS = 11


class Clients:
    """Sends streams at a steady rate, each on a channel of its own."""

    def __init__(self, system: System) -> None:
        self._system = system
        self._threads: list[threading.Thread] = []
        self.reply_by_id: dict[str, Reply] = {}

    def send_for(self, seconds: float) -> None:
        """Send streams for these seconds, and return without their answers."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            thread = threading.Thread(target=self._ask, daemon=True)
            thread.start()
            self._threads.append(thread)
            time.sleep(1 / RATE)

    def _ask(self) -> None:
        request_id = f"{time.monotonic_ns():016x}"
        self.reply_by_id[request_id] = self._system.ask(
            0, "/detour/x", headers=prompt(), request_id=request_id
        )

    def join(self) -> None:
        """Wait for all answers."""
        for thread in self._threads:
            thread.join()


def case(system: System, with_trouble: bool) -> bool:
    """Return whether a stream ran twice, or ran and was refused as not run."""
    for number in range(3):
        system.start_role("control", number)
    system.start_role("entry", 0)
    options = {"events": EVENTS, "pause": PAUSE_SECONDS}
    # As on the sheet, five workers: 0.6 of them are faulty, and handles lapse at 0.4.
    for _ in range(2):
        system.start_worker(LLM, "prefill", **options)
    repeats = {"repeats-refusals": int(with_trouble)}
    for _ in range(3):
        system.start_worker(LLM, "decode", **options, **repeats)
    routes = [stream_route("detour-summary", "/detour/")]
    system.put_until_acknowledged(system.configuration(1, routes))
    wait_until(lambda: system.is_ready(0), "entry host is ready")
    wait_until(
        lambda: system.ask(0, "/detour/warm", headers=prompt()).status == 200,
        "streams are served",
    )
    time.sleep(3)
    clients = Clients(system)
    for _ in range(ROUNDS):
        clients.send_for(CALM_SECONDS)
        if with_trouble:
            system.lapsed_file.touch()
            system.note("trouble: handles lapse, workers may answer twice")
        clients.send_for(LAPSED_SECONDS)
        system.lapsed_file.unlink(missing_ok=True)
    clients.send_for(1)
    clients.join()
    time.sleep(1)
    return judge(system, clients.reply_by_id)


def judge(system: System, reply_by_id: dict[str, Reply]) -> bool:
    """Record what was sent, answered and run; return whether a rule was broken."""
    log = system.worker_log()
    runs: dict[str, list[str]] = {}
    for item in log:
        if item["what"] == "run" and item["request"] in reply_by_id:
            runs.setdefault(item["request"], []).append(item["worker"])
    for request_id, reply in reply_by_id.items():
        workers = ", ".join(runs.get(request_id, ["none"]))
        line = f"{request_id}: answered {reply.status} after {reply.seconds:.2f} s"
        system.note(f"{line}, run by {workers}", is_printed=False)
    refusals = sum(item["what"] == "refused" for item in log)
    extra = [item for item in log if item["what"] == "sent an extra response"]
    statuses = Counter(reply.status for reply in reply_by_id.values())
    system.note(f"{len(reply_by_id)} streams sent, answered with {dict(statuses)}")
    system.note(f"workers refused {refusals}, and sent {len(extra)} extra responses")
    for item in extra:
        system.note(f"{item['worker']} sent one before its answer to {item['before']}")
    twice = {key: workers for key, workers in runs.items() if len(workers) > 1}
    for request_id, workers in twice.items():
        system.note(f"TWICE: {request_id} was run by {' and '.join(workers)}")
    refused = [
        request_id
        for request_id, reply in reply_by_id.items()
        if reply.status in (408, 421, 429, 503) and request_id in runs
    ]
    for request_id in refused:
        status = reply_by_id[request_id].status
        system.note(f"REFUSED: {request_id} was answered {status}, and ran")
    return bool(twice or refused)


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER / "record.txt"))
