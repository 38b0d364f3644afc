"""A core machine is gone for good, another loses its disk: no change is taken again."""

from __future__ import annotations

import http.client
import json
import shutil
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from system import FEED, CannotRunError, System, route, run_case  # noqa: E402

# Bounds of the site, in seconds, and how long the judged stretch is: acks are due after
# ACK in a stretch that is calm since CONTACT.
CATCH_UP, CONTACT, ACK = 4.0, 3.0, 4.0
JUDGED = 30.0
# Then all core processes are killed and come back; reads are judged after RECOVERY.
RESTART, RECOVERY, READ = 0.8, 12.0, 15.0
# How long after the first machine is gone the second one loses its disk, and for how
# long that one is down.
BETWEEN, DOWN = 1.1, 0.4
ROUTES = [route("board-chime", "/chime/", FEED)]
SUCCESSOR = 3


def case(system: System, with_trouble: bool) -> bool:
    """Return whether changes are never acknowledged again."""
    for number in range(3):
        system.start_role("control", number)
    system.put_until_acknowledged(system.configuration(1, ROUTES))
    system.start_role("control", SUCCESSOR, bootstrap=False)
    system.note("control-3 has started, to replace another core machine")
    time.sleep(CATCH_UP + 3.0)
    leader = find_leader(system)
    gone, wiped = [item for item in range(3) if item != leader][:2]
    system.note(f"control-{leader} leads")
    if with_trouble:
        system.kill(f"control-{gone}")
        system.note(f"trouble: control-{gone} is removed permanently, without SIGTERM")
        time.sleep(BETWEEN)
        lose_disk(system, wiped)
    running = [item for item in range(4) if item != gone or not with_trouble]
    time.sleep(CATCH_UP + CONTACT)
    if try_change(system, running):
        return False
    read_back(system, running, 0)
    for number in running:
        system.kill(f"control-{number}")
    time.sleep(RESTART)
    for number in running:
        system.start_role("control", number, bootstrap=False)
    system.note("trouble: all core processes are killed, and back within a second")
    time.sleep(RECOVERY)
    return not read_back(system, running, READ)


def find_leader(system: System) -> int:
    """Return the control host that began to lead last, by what the hosts log."""
    found: list[tuple[int, int]] = []
    for number in range(4):
        for line in system.log_of(f"control-{number}").splitlines():
            if '"message": "leading"' in line:
                found.append((json.loads(line)["term"], number))
    leader = max(found)[1]
    if leader == SUCCESSOR:
        raise CannotRunError("the successor leads already")
    return leader


def lose_disk(system: System, number: int) -> None:
    """Kill a control host, empty its data folder, and start it again."""
    name = f"control-{number}"
    system.kill(name)
    shutil.rmtree(system.folder / name)
    time.sleep(DOWN)
    system.start_role("control", number, bootstrap=False)
    system.note(f"trouble: {name} has lost its disk, and is back with an empty one")


def try_change(system: System, running: list[int]) -> bool:
    """Send a change as the operator does, to one host after another."""
    change = system.configuration(2, ROUTES)
    began = time.monotonic()
    statuses: dict[int, int] = {}
    turn = 0
    while time.monotonic() < began + JUDGED:
        status = system.put(change, running[turn % len(running)])
        statuses[status] = statuses.get(status, 0) + 1
        if status == 200:
            seconds = time.monotonic() - began
            system.note(f"version 2 is acknowledged after {seconds:.1f} s")
            return True
        turn += 1
        time.sleep(0.2)
    system.note(
        f"version 2 is never acknowledged in {JUDGED} s: {statuses} (0: silent)"
    )
    system.note(f"the limit is {ACK} s in a calm stretch; all of them run")
    return False


def read_back(system: System, running: list[int], seconds: float) -> bool:
    """Read the configuration at all hosts for so long; return whether it came."""
    end = time.monotonic() + seconds
    while True:
        answers = {number: read_at(system, number) for number in running}
        came = any(answer.startswith("200") for answer in answers.values())
        if came or time.monotonic() > end:
            break
        time.sleep(0.5)
    for number, answer in answers.items():
        system.note(f"control-{number} reads {answer}")
    if not came:
        system.note(f"the acknowledged version 1 did not come in {seconds} s of reads")
    return came


def read_at(system: System, number: int) -> str:
    """Return how one host answers to a read of the configuration."""
    connection = http.client.HTTPConnection(system.controls[number], timeout=2)
    try:
        connection.request("GET", "/config")
        response = connection.getresponse()
        body = response.read()
        if response.status != 200:
            return f"{response.status}: {body.decode()[:120]}"
        return f"200, version {json.loads(body)['version']}"
    except (OSError, http.client.HTTPException) as error:
        return f"nothing: {error!r}"
    finally:
        connection.close()


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER / "record.txt", controls=4, entries=1))
