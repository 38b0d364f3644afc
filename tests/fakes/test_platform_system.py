"""Tests of how the output of a host's process is read."""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import Any

from tests.fakes.platform_system import Host


class TestIncompleteLogLine:
    """A test must not fail on a log line that is only partly written."""

    def test_is_left_out(self, tmp_path: Path) -> None:
        host = Host(tmp_path, "host", "forward", "")
        process: Any = SimpleNamespace(output=lambda: '{"message": "a"}\n{"mess')
        host.process = process
        assert host.output() == '{"message": "a"}\n'
