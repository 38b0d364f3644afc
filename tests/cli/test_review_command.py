"""The review command as operators and scripts use it."""

from __future__ import annotations

import json
import time
from pathlib import Path

from click.testing import CliRunner, Result

from jujubeslip.cli import main
from tests.fakes.platform_system import PLAIN, configuration, route

SECRET_KEY = "key-of-a-client"
LARGE_BYTES = 4_000_000
LARGE_SECONDS = 2.0


def review(*arguments: str | Path) -> Result:
    return CliRunner().invoke(main, ["review", *map(str, arguments)])


def routes_file(path: Path, *routes: dict[str, object], **fields: object) -> Path:
    content = {**configuration(3, list(routes), [PLAIN]), **fields}
    path.write_text(json.dumps(content))
    return path


def sound_route(name: str, **fields: object) -> dict[str, object]:
    return {**route(name, f"/{name}/", "plain"), **fields}


class TestReview:
    def test_valid_file_without_warnings_exits_with_0(self, tmp_path: Path) -> None:
        path = routes_file(tmp_path / "a.json", sound_route("one"))
        result = review(path, path, "--kind", "routes")
        assert result.exit_code == 0, result.output
        assert "no changes" in result.output

    def test_warnings_and_changes(self, tmp_path: Path) -> None:
        before = routes_file(tmp_path / "a.json", sound_route("one", timeoutMs=900))
        late = sound_route("one", timeoutMs=100, sloMs=150)
        after = routes_file(tmp_path / "b.json", late)
        result = review(after, before, "--kind", "routes", "--output", "json")
        answer = json.loads(result.output)
        assert result.exit_code == 4
        assert [item["id"] for item in answer["messages"]] == ["routes.W010"]
        changed = {item["field"]: item["after"] for item in answer["changes"]}
        assert changed["timeout_ms"] == "100"

    def test_invalid_file_gives_one_line(self, tmp_path: Path) -> None:
        """A file that is no configuration must not end in a traceback."""
        path = tmp_path / "bytes"
        path.write_bytes(b"\xff\xfe\x00")
        for kind in ("routes", "declaration"):
            result = review(path, "--kind", kind)
            assert result.exit_code == 3
            assert len(result.output.strip().splitlines()) == 1, result.output

    def test_prints_no_keys(self, tmp_path: Path) -> None:
        """A report of a review may be kept where keys must not be."""
        accounts = [{"name": "boards", "apiKeys": [SECRET_KEY]}]
        before = routes_file(tmp_path / "a.json", sound_route("one"), tenants=accounts)
        accounts = [{"name": "boards", "apiKeys": [SECRET_KEY, SECRET_KEY + "2"]}]
        after = routes_file(tmp_path / "b.json", sound_route("one"), tenants=accounts)
        for output in ("text", "json"):
            result = review(after, before, "--kind", "routes", "--output", output)
            assert "1 added" in result.output
            assert SECRET_KEY not in result.output

    def test_reviews_a_declaration(self, tmp_path: Path) -> None:
        path = tmp_path / "declaration.toml"
        path.write_text('[[rule]]\nname = "a"\n\n[[rule]]\nname = "b"\n')
        result = review(path)
        assert result.exit_code == 4
        assert "rules.W001: rule b" in result.output

    def test_large_configuration_takes_little_time(self, tmp_path: Path) -> None:
        """An operator waits for the review of thousands of routes."""
        size = len(json.dumps(sound_route("r00000")))
        routes = [sound_route(f"r{number:05}") for number in range(LARGE_BYTES // size)]
        path = routes_file(tmp_path / "large.json", *routes)
        began = time.process_time()
        result = review(path, path, "--kind", "routes")
        assert time.process_time() - began < LARGE_SECONDS
        assert result.exit_code == 0, result.output
