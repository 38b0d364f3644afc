"""Control hosts whose settings name some seeds only, and no number of hosts."""

from __future__ import annotations

import shutil
from pathlib import Path

from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import (
    ControlPeer,
    ControlStatus,
    PeerClient,
    PeerIdentity,
    PeerRefusal,
)
from tests.fakes.platform_system import (
    PLAIN,
    SECRET,
    Host,
    PlatformSystem,
    configuration,
    route,
)
from tests.fakes.processes import free_address, wait_until

ROUTES = [route("a", "/a/", "plain")]


def status(peer: str) -> ControlStatus | None:
    client = PeerClient(ControlPeer.Client, peer, PeerIdentity("test", 1, SECRET))
    try:
        return client.call(lambda asked: asked.status(), 1.0)
    except (PeerUnavailableError, PeerRefusal):
        return None
    finally:
        client.close()


def voters(peer: str) -> set[str]:
    """Return the hosts that vote according to the asked one."""
    known = status(peer)
    replicas = known.replicas if known else []
    return {item.replica_id.partition("/")[0] for item in replicas if item.voter}


def join(system: PlatformSystem, name: str) -> tuple[Host, str]:
    """Start a control host that no seed names; return it and its peer address."""
    peer, http_address = free_address(), free_address()
    settings = system.control_settings(name, peer, http_address, may_found=False)
    host = Host(system.folder, name, "control", settings)
    system.controls.append(host)
    system.control_http.append(http_address)
    host.start()
    return host, peer


class TestHostOutsideTheSeeds:
    def test_joins_and_votes(self, tmp_path: Path) -> None:
        with PlatformSystem(tmp_path, 3, 0) as system:
            system.put_until_accepted(configuration(1, ROUTES, [PLAIN]))
            join(system, "control-9")
            wait_until(
                lambda: "control-9" in voters(system.seeds[0]), "the fourth host votes"
            )

    def test_replaces_a_lost_host(self, tmp_path: Path) -> None:
        """A host is permanently replaced by an empty one at another address.

        If the old one stayed a voter, a second loss would leave no majority.
        """
        with PlatformSystem(tmp_path, 3, 0) as system:
            system.put_until_accepted(configuration(1, ROUTES, [PLAIN]))
            system.controls[0].kill()
            shutil.rmtree(system.folder / "control-0")
            join(system, "control-9")
            expected = {"control-1", "control-2", "control-9"}
            wait_until(lambda: voters(system.seeds[1]) == expected, "it is replaced")
            system.controls[1].kill()
            wait_until(
                lambda: system.put(configuration(2, ROUTES, [PLAIN]), 2) == 200,
                "accepted after a second loss",
            )


class TestLostDisk:
    def test_host_joins_again_and_nothing_is_lost(self, tmp_path: Path) -> None:
        with PlatformSystem(tmp_path, 3, 0) as system:
            system.put_until_accepted(configuration(5, ROUTES, [PLAIN]))
            lost = system.controls[0]
            lost.kill()
            shutil.rmtree(system.folder / "control-0")
            lost.settings_path.write_text(
                system.control_settings(
                    "control-0", system.seeds[0], system.control_http[0], False
                )
            )
            lost.start()
            wait_until(
                lambda: voters(system.seeds[0]) == {f"control-{n}" for n in range(3)},
                "the host votes again",
            )
            wait_until(lambda: system.read(0)[0] == 200, "the configuration is read")
            assert system.read(0)[1]["version"] == 5
