"""Control hosts that are replaced for good, and a disk that is lost right after."""

from __future__ import annotations

import shutil
import signal
from pathlib import Path

from tests.control.test_seeds import ROUTES, join, voters
from tests.fakes.platform_system import PLAIN, PlatformSystem, configuration
from tests.fakes.processes import wait_until

SUCCESSOR = "control-9"
STAYING = {"control-1", "control-2", SUCCESSOR}
# Within this many seconds the replicas have to be those that are there: operators count
# on another loss being borne 4 s after a successor has started. The rest is slack for a
# busy machine; election timeouts of these hosts are 0.4 s.
REPLACED_SECONDS = 6.0


def replace_first(system: PlatformSystem) -> None:
    """Let a successor join and vote while all hosts are there."""
    system.put_until_accepted(configuration(1, ROUTES, [PLAIN]))
    join(system, SUCCESSOR)
    wait_until(
        lambda: SUCCESSOR in voters(system.seeds[0]), "the successor votes beside all"
    )


def lose_disk(system: PlatformSystem, number: int) -> None:
    """Kill a control host, empty its data folder, and start it again."""
    host, name = system.controls[number], f"control-{number}"
    host.kill()
    shutil.rmtree(system.folder / name)
    host.settings_path.write_text(
        system.control_settings(
            name, system.seeds[number], system.control_http[number], may_found=False
        )
    )
    host.start()


def accepts_changes(system: PlatformSystem) -> bool:
    """Say whether a host that was there all the while accepts a change."""
    return system.put(configuration(2, ROUTES, [PLAIN]), control=2) == 200


class TestDiskLostAfterAReplacement:
    """No change is accepted any more, and after a restart of all nothing is served.

    A successor had joined before its predecessor counted as gone, so four replicas
    voted, one of them switched off for good. It was removed 8 s after a leader had last
    begun, and until then each majority needed all of the other three. When one of those
    lost its disk, two of four were left for good: the newest accepted change was the
    last one, "version 79 sent; acked 20.024 s by core-saskatoon-hall-1", though changes
    were sent until 87 s. Entry hosts kept the configuration until they were restarted.
    """

    def test_is_borne_once_the_predecessor_is_gone(self, tmp_path: Path) -> None:
        with PlatformSystem(tmp_path, 3, 0) as system:
            replace_first(system)
            system.controls[0].kill()
            wait_until(
                lambda: voters(system.seeds[1]) == STAYING,
                "the replica that is gone counts for no majority",
                REPLACED_SECONDS,
            )
            lose_disk(system, 1)
            wait_until(lambda: accepts_changes(system), "a change is accepted")

    def test_is_borne_right_after_a_planned_stop(self, tmp_path: Path) -> None:
        """The predecessor stops by SIGTERM, and counts no more from its exit on."""
        with PlatformSystem(tmp_path, 3, 0) as system:
            replace_first(system)
            predecessor = system.controls[0]
            predecessor.signal(signal.SIGTERM)
            assert predecessor.process is not None
            predecessor.process.wait()
            lose_disk(system, 1)
            wait_until(lambda: accepts_changes(system), "a change is accepted")
