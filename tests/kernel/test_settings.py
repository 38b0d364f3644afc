"""Reading settings files: every error is reported, with its remedy."""

from __future__ import annotations

from pathlib import Path

import pytest

from jujubeslip.kernel import (
    SettingsProblem,
    load_control_settings,
    load_entry_settings,
)
from tests.fakes.processes import ROOT

VALID = """
host_id = "entry-1"
availability_zone = "regina-hall"
region = "prairie-west"
http_address = "127.0.0.1:8101"
peer_address = "127.0.0.1:8201"
peer_secret = "a-secret-of-tests"
endpoint_secret = "another-secret"
"""


def problems_of(folder: Path, text: str) -> tuple[SettingsProblem, ...]:
    path = folder / "entry.toml"
    path.write_text(text)
    return load_entry_settings(path).failure()


class TestEntrySettings:
    """Guards against a mistyped key that is ignored, and errors that show one by one.

    A process that ignores the key runs with the default value, possibly for weeks. One
    that reports only the first error needs a restart for each.
    """

    def test_are_read(self, tmp_path: Path) -> None:
        path = tmp_path / "entry.toml"
        path.write_text(VALID)
        assert load_entry_settings(path).unwrap().host_id == "entry-1"

    def test_name_the_nearest_key_for_an_unknown_one(self, tmp_path: Path) -> None:
        (problem,) = problems_of(tmp_path, f"http_thread = 20\n{VALID}")
        assert problem.key == "http_thread"
        assert problem.remedy == "Did you mean 'http_threads'?"

    def test_name_the_nearest_key_inside_a_list(self, tmp_path: Path) -> None:
        peer = '[[entry_peers]]\nhost_id = "entry-2"\nadress = "127.0.0.1:1"\n'
        problems = problems_of(tmp_path, VALID + peer)
        by_key = {problem.key: problem for problem in problems}
        assert "'address'" in by_key["entry_peers[0].adress"].remedy
        assert "entry_peers[0].address" in by_key

    def test_report_all_errors_at_once(self, tmp_path: Path) -> None:
        text = VALID.replace("127.0.0.1:8101", "localhost").replace(
            'region = "prairie-west"\n', ""
        )
        keys = {problem.key for problem in problems_of(tmp_path, text)}
        assert keys == {"http_address", "region"}

    @pytest.mark.parametrize(
        ("line", "key"),
        [
            ("http_threads = 2", "http_threads"),
            ('[[entry_peers]]\nhost_id = "e"\naddress = "10.0.0.256:1"',
             "entry_peers[0].address"),
            ('[[entry_peers]]\nhost_id = "e"\naddress = "10.0.0.2:65536"',
             "entry_peers[0].address"),
            ('http_threads = "many"', "http_threads"),
            ("receive_timeout_ms = 0", "receive_timeout_ms"),
            ('[telemetry]\nlog_format = "xml"', "telemetry.log_format"),
        ],
    )  # fmt: skip
    def test_refuse_values_out_of_range(
        self, tmp_path: Path, line: str, key: str
    ) -> None:
        (problem,) = problems_of(tmp_path, f"{VALID}{line}\n")
        assert problem.key == key
        assert problem.message and problem.remedy

    def test_never_show_a_secret(self, tmp_path: Path) -> None:
        text = VALID.replace("a-secret-of-tests", "short")
        (problem,) = problems_of(tmp_path, text)
        assert problem.key == "peer_secret"
        assert "short" not in f"{problem.message} {problem.remedy}".replace(
            "shorter", ""
        )

    @pytest.mark.parametrize("text", ["host_id = ", "a = 1\na = 2\n", "\x00"])
    def test_report_a_file_that_is_not_toml(self, tmp_path: Path, text: str) -> None:
        (problem,) = problems_of(tmp_path, text)
        assert problem.remedy == "Correct the TOML syntax."

    def test_report_a_missing_file(self, tmp_path: Path) -> None:
        (problem,) = load_entry_settings(tmp_path / "none.toml").failure()
        assert problem.file.endswith("none.toml")
        assert problem.remedy == "Give the path of the file."

    def test_report_a_file_that_is_not_text(self, tmp_path: Path) -> None:
        path = tmp_path / "entry.toml"
        path.write_bytes(b"\xff\xfe")
        (problem,) = load_entry_settings(path).failure()
        assert problem.remedy == "Correct the TOML syntax."


class TestExamples:
    @pytest.mark.parametrize("deployment", ["northvane", "glanmor"])
    def test_are_valid(self, deployment: str) -> None:
        folder = ROOT / "examples" / deployment
        entries = sorted(folder.glob("entry-*.toml"))
        controls = sorted(folder.glob("control-*.toml"))
        assert (len(entries), len(controls)) == (7, 3)
        hosts = {load_entry_settings(path).unwrap().host_id for path in entries}
        assert len(hosts) == 7
        for path in controls:
            assert len(load_control_settings(path).unwrap().replicas) == 3
