"""The demo, and the list of known failing tests that CI reads."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.fakes.processes import ROOT
from tools.known_red import KnownRedError, main, read_known_red


class TestDemo:
    def test_prints_whole_answers_their_rules_and_spans(self) -> None:
        command = [sys.executable, "-m", "bench.demo"]
        completed = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=120
        )
        assert completed.returncode == 0, completed.stdout + completed.stderr
        assert "'rule': 'board-lines-first'" in completed.stdout
        assert "'rule': 'everything-else'" in completed.stdout
        assert completed.stdout.count("transfer  begins") == 2


class TestKnownRed:
    """Guards against known failing tests that hide other failing ones.

    CI would pass although more and more is broken: someone adds further tests to the
    list, or a line still names a test that was renamed, and nobody notices.
    """

    def write(self, folder: Path, *lines: str) -> Path:
        (folder / "test_it.py").write_text("")
        path = folder / "KNOWN-RED.txt"
        path.write_text("\n".join(lines))
        return path

    def test_deselects_nothing_without_the_file(self, tmp_path: Path) -> None:
        assert read_known_red(tmp_path / "KNOWN-RED.txt") == ()

    def test_deselects_only_the_listed_tests(self, tmp_path: Path) -> None:
        path = self.write(tmp_path, "test_it.py::TestA::test_b; a cause; issue 3", "")
        assert read_known_red(path) == ("test_it.py::TestA::test_b",)

    def test_prints_options_without_quotes(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """A command substitution keeps quotes, so that no test would be deselected."""
        path = self.write(tmp_path, "test_it.py::test_a[1-/x]; a cause; issue 3")
        assert main(path) == 0
        assert capsys.readouterr().out == "--deselect=test_it.py::test_a[1-/x]\n"

    @pytest.mark.parametrize(
        "lines",
        [
            ("test_it.py::test_a; cause; 3",) * 4,
            ("test_it.py::test_a[a b]; cause; 3",),
            ("test_it.py::test_a",),
            ("test_it.py::test_a; cause;",),
            ("gone.py::test_a; cause; 3",),
        ],
    )
    def test_refuses_an_ambiguous_or_invalid_list(
        self, tmp_path: Path, lines: tuple[str, ...]
    ) -> None:
        with pytest.raises(KnownRedError):
            read_known_red(self.write(tmp_path, *lines))
