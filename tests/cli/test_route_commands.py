"""Commands for the routes of a numbered configuration."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from jujubeslip.cli import main
from jujubeslip.interfaces import interfaces
from jujubeslip.kernel import load_plugins
from tests.fakes.platform_system import HOST, PLAIN, configuration, route

ROUTES = [route("short", "/a/", "plain"), route("long", "/a/b/", "plain")]


@pytest.fixture
def path(tmp_path: Path) -> Path:
    path = tmp_path / "routes.json"
    path.write_text(json.dumps(configuration(3, ROUTES, [PLAIN])))
    return path


class TestExplainRoute:
    def test_prints_the_longest_prefix_and_why_others_differ(self, path: Path) -> None:
        arguments = ["explain-route", str(path), "--host", HOST, "--target", "/a/b/c"]
        result = CliRunner().invoke(main, [*arguments, "--json"])
        answer = json.loads(result.output)
        assert (answer["route"], answer["version"]) == ("long", 3)
        assert any("short" in line for line in answer["why"])

    def test_prints_that_no_route_matches(self, path: Path) -> None:
        arguments = ["explain-route", str(path), "--host", HOST, "--target", "/z/"]
        assert "no_route" in CliRunner().invoke(main, arguments).output


class TestInterfaceOption:
    @pytest.fixture
    def another(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Register a second interface."""
        load_plugins()
        (existing,) = interfaces.by_name.values()
        monkeypatch.setitem(interfaces.by_name, "another", existing)

    @pytest.mark.usefixtures("another")
    def test_is_required_with_several_interfaces(self, path: Path) -> None:
        result = CliRunner().invoke(main, ["check", "--kind", "routes", str(path)])
        assert result.exit_code == 2
        assert "--interface" in result.output and "another" in result.output

    @pytest.mark.usefixtures("another")
    def test_selects_the_interface_that_reads_the_routes(self, path: Path) -> None:
        arguments = ["check", "--kind", "routes", "--interface", "another", str(path)]
        assert CliRunner().invoke(main, arguments).exit_code == 0

    def test_has_no_default(self, path: Path) -> None:
        request = ["--host", HOST, "--target", "/a/"]
        arguments_by_command = {"check": [], "explain-route": request}
        for name, arguments in arguments_by_command.items():
            context = main.commands[name].make_context(name, [str(path), *arguments])
            assert context.params["interface"] is None


class TestCheck:
    def test_valid_routes_pass(self, path: Path) -> None:
        result = CliRunner().invoke(main, ["check", "--kind", "routes", str(path)])
        assert result.exit_code == 0

    def test_invalid_routes_are_3_with_the_reason(self, path: Path) -> None:
        path.write_text(json.dumps(configuration(3, ROUTES, [])))
        result = CliRunner().invoke(main, ["check", "--kind", "routes", str(path)])
        assert result.exit_code == 3
        assert "plain" in result.output
