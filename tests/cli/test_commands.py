"""Output and exit codes of the commands."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from jujubeslip.cli import main
from tests.fakes.processes import ROOT, free_address

EXAMPLES = ROOT / "examples"
SECRET = {"JUJUBESLIP_PEER_SECRET": "a-secret-of-tests"}


def run(*arguments: str | Path) -> Result:
    return CliRunner().invoke(main, [str(item) for item in arguments], env=SECRET)


class TestCheck:
    @pytest.mark.parametrize("deployment", ["northvane", "glanmor"])
    def test_examples_are_valid(self, deployment: str) -> None:
        folder = EXAMPLES / deployment
        assert run("check", folder / "declaration.toml").exit_code == 0
        for kind in ("entry", "control"):
            result = run("check", "--kind", kind, folder / f"{kind}-1.toml")
            assert result.exit_code == 0, result.output

    def test_unknown_key_is_3_with_a_remedy(self, tmp_path: Path) -> None:
        path = tmp_path / "declaration.toml"
        path.write_text('[[rule]]\nname = "r"\nthn = {}\n')
        result = run("check", path)
        assert result.exit_code == 3
        assert f"{path}: rule[0].thn: There is no such key." in result.stderr
        assert "Did you mean 'then'?" in result.stderr

    def test_failed_check_is_3(self, tmp_path: Path) -> None:
        path = tmp_path / "declaration.toml"
        path.write_text('[[service]]\nname = "s"\n')
        result = run("check", path)
        assert result.exit_code == 3
        assert "declaration.E004" in result.stderr

    def test_warning_is_shown_and_is_0(self, tmp_path: Path) -> None:
        path = tmp_path / "declaration.toml"
        path.write_text('[[rule]]\nname = "a"\n[[rule]]\nname = "b"\n')
        result = run("check", path)
        assert result.exit_code == 0
        assert "warning rules.W001" in result.stderr

    def test_file_of_another_kind_is_refused(self) -> None:
        """Guards against an entry host that starts with a control host's settings.

        It would never serve a request.
        """
        path = EXAMPLES / "northvane" / "control-1.toml"
        assert run("check", "--kind", "entry", path).exit_code == 3

    @pytest.mark.parametrize("name", ["missing.toml", "."])
    def test_unreadable_path_is_3_with_a_remedy(
        self, tmp_path: Path, name: str
    ) -> None:
        result = run("check", tmp_path / name)
        assert result.exit_code == 3, result.output
        assert "Name a readable file." in result.stderr


class TestStart:
    @pytest.mark.parametrize("command", ["entry", "control"])
    def test_invalid_settings_prevent_the_start(
        self, command: str, tmp_path: Path
    ) -> None:
        path = tmp_path / "settings.toml"
        path.write_text("host_id = 3\n")
        result = run(command, "--settings", path)
        assert result.exit_code == 3
        assert "peer_secret: This key is required." in result.stderr

    def test_address_in_use_is_1_with_a_remedy(self, tmp_path: Path) -> None:
        """Guards against a second start of a host that fails without the reason."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = "{}:{}".format(*listener.getsockname())
            text = (EXAMPLES / "northvane" / "entry-1.toml").read_text()
            path = tmp_path / "entry.toml"
            path.write_text(
                text.replace("127.0.0.1:8101", free_address()).replace(
                    "127.0.0.1:8201", address
                )
            )
            command = [sys.executable, "-m", "jujubeslip.cli"]
            command += ["entry", "--settings", str(path)]
            completed = subprocess.run(
                command, capture_output=True, text=True, timeout=30
            )
        assert completed.returncode == 1
        last_line = completed.stderr.splitlines()[-1]
        assert last_line.startswith("start_failed: Address already in use")


class TestExplain:
    def explain(self, *arguments: str) -> Result:
        path = EXAMPLES / "glanmor" / "declaration.toml"
        return run("explain", path, *arguments)

    def test_prints_the_rule_and_why_earlier_rules_differ(self) -> None:
        result = self.explain("--service", "rota-llm", "--prompt-tokens", "9000")
        assert result.exit_code == 0
        assert "rule: contract-summaries" in result.output
        assert "shift-cover: differs in prompt_tokens_max" in result.output

    def test_prints_one_json_object(self) -> None:
        result = self.explain("--service", "rota-desk", "--not-repeatable", "--json")
        assert json.loads(result.stdout)["rule"] == "shift-confirmations"

    def test_prints_that_no_rule_matches(self, tmp_path: Path) -> None:
        path = tmp_path / "declaration.toml"
        path.write_text('[[rule]]\nname = "r"\nwhen = { client = "c" }\n')
        result = run("explain", path, "--service", "s")
        assert "none (refused as no_rule)" in result.output


class TestExitCodes:
    def test_invalid_command_line_is_2(self) -> None:
        assert run("apply").exit_code == 2
        assert run("status").exit_code == 2

    def test_id_of_an_ended_process_is_2(self) -> None:
        """An operator may take the id from an outdated file."""
        completed = subprocess.Popen([sys.executable, "-c", ""])
        completed.wait()
        result = run("drain", "--pid", str(completed.pid), "--entry", free_address())
        assert result.exit_code == 2, result.output
        assert "no process on this machine" in result.stderr

    def test_unreachable_hosts_are_1_with_a_remedy(self) -> None:
        result = run("status", "--control", free_address())
        assert result.exit_code == 1
        assert result.stderr.startswith("peer_unavailable: ")
        assert "Check that" in result.stderr

    def test_process_writes_nothing_but_the_remedy(self) -> None:
        """Guards against a script that reads a library's message as the first line."""
        command = [sys.executable, "-m", "jujubeslip.cli"]
        command += ["status", "--entry", free_address()]
        completed = subprocess.run(
            command, env={**os.environ, **SECRET}, capture_output=True, text=True
        )
        assert completed.returncode == 1
        assert completed.stderr.startswith("peer_unavailable: ")
        assert completed.stderr.count("\n") == 1

    @pytest.mark.parametrize(
        "arguments",
        [("status", "--entry"), ("show", "--control"), ("history", "--control")],
    )
    def test_invalid_address_is_2(self, arguments: tuple[str, ...]) -> None:
        """Guards against a traceback for a host name or a missing port."""
        result = run(*arguments, "regina-hall")
        assert result.exit_code == 2, result.output
        assert "IP:PORT" in result.output
