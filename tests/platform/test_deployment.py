"""The deploy file, its templates, and the settings that they produce."""

from __future__ import annotations

import json
import re
import tomllib
from pathlib import Path
from typing import Any

import pytest
from returns.result import Success

from jujubeslip.kernel import load_control_settings, load_forward_settings
from tests.fakes.processes import ROOT

DEPLOY = ROOT / "deploy"
# Parameters that the platform passes to a process. Their structure is that of its
# documentation, their values are not.
PARAMETERS: dict[str, Any] = {
    "nodeName": "core-north-1",
    "ip": "10.9.0.1",
    "zone": "north",
    "region": "west",
    "portRange": [7001, 7016],
    "seeds": ["10.9.0.1:9000", "10.9.1.1:9000"],
    "bootstrap": True,
    "dataDir": "/data/x",
    "listen": {
        "front": "10.9.0.1:8001",
        "readyAddr": "10.9.0.1:8002",
        "control": "10.9.0.1:9000",
    },
    "tolerate": {"machines": 2, "zones": 1},
    "bounds": {
        "graceS": 8,
        "retryRatio": 0.2,
        "retryWindowS": 10,
        "retrySlack": 54,
        "leaseMs": 3000,
    },
}


def filled(name: str, parameters: dict[str, Any] = PARAMETERS) -> str:
    """Return a template with its placeholders filled in as the platform does it."""

    def look_up(path: str) -> Any:
        found: Any = parameters
        for part in path.split("."):
            found = found[int(part)] if part.isdigit() else found[part]
        return found

    def section(match: re.Match[str]) -> str:
        try:
            return match.group(2) if look_up(match.group(1)) else ""
        except KeyError:
            return ""

    def value(match: re.Match[str]) -> str:
        path, _, form = match.group(1).partition("|")
        found = look_up(path)
        if form == "json" or isinstance(found, bool):
            return json.dumps(found)
        return str(found)

    text = (DEPLOY / name).read_text()
    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([^}]+)\}\}", value, text)


class TestTemplates:
    def test_entry_hosts_settings_are_read(self, tmp_path: Path) -> None:
        path = tmp_path / "entry.toml"
        path.write_text(filled("entry.toml"))
        read = load_forward_settings(path)
        assert isinstance(read, Success), read
        settings = read.unwrap()
        assert settings.seed_addresses == ("10.9.0.1:7001", "10.9.1.1:7001")
        assert (settings.stop_limit_ms, settings.retry_window_ms) == (8000, 10_000)

    @pytest.mark.parametrize("may_found", [True, False])
    def test_control_hosts_settings_are_read(
        self, tmp_path: Path, may_found: bool
    ) -> None:
        path = tmp_path / "control.toml"
        path.write_text(filled("control.toml", {**PARAMETERS, "bootstrap": may_found}))
        read = load_control_settings(path)
        assert isinstance(read, Success), read
        settings = read.unwrap()
        assert settings.may_found is may_found
        assert settings.tolerated_losses == 2
        assert settings.peer_address in settings.seed_addresses

    @pytest.mark.parametrize("name", ["entry.toml", "control.toml"])
    def test_bounds_of_limits_are_those_of_the_platform(
        self, tmp_path: Path, name: str
    ) -> None:
        path = tmp_path / name
        load = load_forward_settings if "entry" in name else load_control_settings
        quota = {"quotaWindowS": 6, "quotaOverage": 0.2, "quotaSlack": 5000}
        path.write_text(
            filled(name, {**PARAMETERS, "bounds": {**PARAMETERS["bounds"], **quota}})
        )
        with_limits: Any = load(path)
        path.write_text(filled(name))
        without: Any = load(path)
        read = with_limits.unwrap()
        assert read.limit_window_ms == 6000
        assert (read.limit_overage, read.limit_slack) == (0.2, 5000)
        assert without.unwrap().limit_slack == 0

    def test_second_sends_are_off(self, tmp_path: Path) -> None:
        path = tmp_path / "entry.toml"
        path.write_text(filled("entry.toml"))
        assert load_forward_settings(path).unwrap().second_send_share == 0

    def test_second_sends_beyond_the_retry_ratio_are_named_with_the_remedy(
        self, tmp_path: Path
    ) -> None:
        """All repeats together would break the platform's bound otherwise."""
        path = tmp_path / "entry.toml"
        text = filled("entry.toml")
        path.write_text(f"second_send_share = 0.2\n{text}")
        assert isinstance(load_forward_settings(path), Success)
        path.write_text(f"second_send_share = 0.21\n{text}")
        (problem,) = load_forward_settings(path).failure()
        assert problem.key == "second_send_share"
        assert "retry_ratio" in problem.remedy

    def test_setting_that_is_missing_is_named_with_the_remedy(
        self, tmp_path: Path
    ) -> None:
        path = tmp_path / "entry.toml"
        lines = filled("entry.toml").splitlines()
        path.write_text("\n".join(line for line in lines if "http_add" not in line))
        problem = load_forward_settings(path).failure()[0]
        assert (problem.file, problem.key) == (str(path), "http_address")
        assert problem.remedy


class TestDeployFile:
    def test_names_existing_templates(self) -> None:
        system = tomllib.loads((DEPLOY / "system.toml").read_text())
        assert set(system["roles"]) == {"entry", "control"}
        for role in system["roles"].values():
            assert (ROOT / role["template"]).is_file()

    def test_libraries_are_pinned_as_in_the_test_environment(self) -> None:
        locked = set((ROOT / "requirements.lock").read_text().splitlines())
        deployed = (DEPLOY / "requirements.lock").read_text().splitlines()
        assert deployed and set(deployed) <= locked
