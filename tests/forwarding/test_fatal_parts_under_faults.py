"""Fatal parts of prompts while engines or links are few, or crashes are far apart."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.fakes.fatal_parts import (
    CONTACT_SECONDS,
    ENTRIES,
    FATAL_CRASHES,
    LEAST_SERVED_SHARE,
    MAXIMUM_LATE_REQUESTS,
    SYSTEM_PART,
    FatalSystem,
    fatal_system,
)
from tests.fakes.processes import wait_until

FATAL_PART = "fa7a10"
SLOW_PAUSE_SECONDS = 2.0
SLOW_REQUESTS = 9
# How often a single engine is killed, and the pause between, in seconds. It is longer
# than the engine is down.
KILLS = 8
KILL_PAUSE_SECONDS = 0.8
RELAYING = 0


def check_late_requests(fatal: FatalSystem) -> None:
    """Check that the part is refused once it is known, and sound requests are not."""
    fatal.send_until_known(SYSTEM_PART, FATAL_PART)
    sound, late = [], []
    for _ in range(30):
        sound.append(fatal.clients.send([SYSTEM_PART]))
        late.append(fatal.clients.send([SYSTEM_PART, FATAL_PART]))
        time.sleep(0.05)
    assert len(fatal.reached(late)) <= MAXIMUM_LATE_REQUESTS
    served = [item for item in sound if item.reply.complete]
    assert len(served) >= LEAST_SERVED_SHARE * len(sound)


def check_that_it_relays(fatal: FatalSystem) -> None:
    relaying = fatal.system.entries[RELAYING]
    wait_until(
        lambda: "request sent through another host" in relaying.output(),
        "the host sends requests through another one",
    )


class TestSlowSeries:
    """Guards against forgetting a part whose crashes are seconds apart."""

    def test_is_known_after_the_fifth_crash(self, tmp_path: Path) -> None:
        with fatal_system(tmp_path) as fatal:
            sent = []
            for _ in range(SLOW_REQUESTS):
                wait_until(lambda: fatal.is_served([SYSTEM_PART]), "sound ones run")
                sent.append(fatal.clients.send([SYSTEM_PART, FATAL_PART]))
                time.sleep(SLOW_PAUSE_SECONDS)
            assert len(fatal.crash_times(sent)) <= FATAL_CRASHES
            time.sleep(CONTACT_SECONDS)
            late = [
                fatal.clients.send([SYSTEM_PART, FATAL_PART])
                for _ in range(2 * MAXIMUM_LATE_REQUESTS)
            ]
            assert fatal.reached(late) == []


class TestSingleEngine:
    """Guards against blaming what all requests share for the only engine's crashes."""

    def test_is_killed_from_outside(self, tmp_path: Path) -> None:
        with fatal_system(tmp_path, engines_count=1) as fatal:
            seconds = KILLS * KILL_PAUSE_SECONDS
            with ThreadPoolExecutor(ENTRIES) as pool:
                clients = [
                    pool.submit(fatal.send_for, seconds, SYSTEM_PART)
                    for _ in range(ENTRIES)
                ]
                fatal.kill_engines(KILLS, KILL_PAUSE_SECONDS)
                sent = [item for client in clients for item in client.result()]
            assert not any(b"request_quarantined" in item.reply.body for item in sent)
            wait_until(lambda: fatal.is_served([SYSTEM_PART]), "they are served")

    def test_runs_sound_requests_once_the_fatal_part_is_known(
        self, tmp_path: Path
    ) -> None:
        with fatal_system(tmp_path, engines_count=1) as fatal:
            check_late_requests(fatal)


class TestRelayingHost:
    """Guards against crashes that go unnoticed where another host has the links."""

    def test_refuses_it_as_the_others_do(self, tmp_path: Path) -> None:
        with fatal_system(tmp_path, relaying_entry=RELAYING) as fatal:
            check_that_it_relays(fatal)
            check_late_requests(fatal)

    def test_learns_from_its_own_requests(self, tmp_path: Path) -> None:
        with fatal_system(tmp_path, relaying_entry=RELAYING) as fatal:
            check_that_it_relays(fatal)
            shared = [SYSTEM_PART, FATAL_PART]
            reached = []

            def is_known() -> bool:
                fatal.is_served([SYSTEM_PART])
                sent = fatal.clients.send(shared, entry=RELAYING)
                reached.extend(fatal.reached([sent]))
                return b"request_quarantined" in sent.reply.body

            wait_until(is_known, "it is refused")
            assert len(reached) <= FATAL_CRASHES + MAXIMUM_LATE_REQUESTS
            for entry in range(ENTRIES):
                wait_until(
                    lambda entry=entry: fatal.is_quarantined(shared, entry),  # type: ignore[misc]
                    f"entry host {entry} refuses it",
                    CONTACT_SECONDS,
                )
