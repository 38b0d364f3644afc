"""Commands that change the replicas, and recover from a lost quorum."""

from __future__ import annotations

import json
from pathlib import Path

from click.testing import CliRunner, Result

from jujubeslip.cli import main
from tests.control.cluster import ControlCluster


def run(*arguments: str) -> Result:
    return CliRunner().invoke(main, list(arguments))


def control_options(cluster: ControlCluster) -> list[str]:
    options = ["--peer-secret", cluster.secret]
    for host in cluster.hosts:
        options += ["--control", host.address]
    return options


class TestReplicaCommands:
    def test_remove_that_loses_the_quorum_is_refused(self, tmp_path: Path) -> None:
        """Guards against an operator's removal of the wrong replica.

        One replica is lost, and the operator removes a living one instead. Without it
        no change could be accepted any more, so the command is refused with a remedy
        and changes nothing.
        """
        with ControlCluster(tmp_path, 3) as cluster:
            cluster.apply(1, 0)
            leader = cluster.leader()
            lost, living = cluster.others(leader)
            options = control_options(cluster)
            added = run("replica", "add", "control-9", *options)
            assert added.exit_code == 0, added.output
            lost.kill()
            refused = run("replica", "remove", living.host_id, *options)
            assert refused.exit_code == 1, refused.output
            assert refused.stderr.startswith("quorum_would_be_lost: ")
            assert cluster.client.status().leader_id

    def test_recover_changes_nothing_unless_confirmed(self, tmp_path: Path) -> None:
        """Operators first compare the survivors, to recover the most recent one."""
        with ControlCluster(tmp_path, 3) as cluster:
            cluster.apply(1, 0)
            survivor = cluster.leader()
            for host in cluster.hosts:
                host.kill()
            command = ["replica", "recover", "--settings", str(survivor.settings_path)]
            for _ in range(2):
                result = run(*command, "--json")
                assert result.exit_code == 0, result.output
                assert json.loads(result.stdout)["recovered"] is False
            recovered = run(*command, "--confirm", "--json")
            assert json.loads(recovered.stdout)["recovered"] is True
