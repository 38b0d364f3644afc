"""The comparison of policies that were played."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from tools.ablation import Policy, Row, table_of

ROW = Row(
    way="as it is",
    revision="abc",
    site="site",
    day="day",
    seed=1,
    worth=0.5,
    in_time=0.8,
    unserved=0.05,
    late=40,
    refused=3,
    failed=10,
    read_for_nothing=0.02,
)


class TestTable:
    def test_compares_the_same_days_and_seeds(self) -> None:
        """Guards against a policy that seems better since it played an easier day."""
        other = replace(ROW, way="other", worth=0.6)
        other_day = replace(other, day="easier", worth=0.9)
        line = table_of([ROW, other, other_day]).splitlines()[-1]
        assert line.startswith("| other abc | 2 | 0.750 | +0.100 |")

    def test_omits_plays_without_a_result(self) -> None:
        assert len(table_of([replace(ROW, worth=None)]).splitlines()) == 2

    def test_shows_the_deviation_of_the_differences(self) -> None:
        rows = [replace(ROW, seed=seed) for seed in (1, 2)]
        other = [
            replace(ROW, way="other", seed=seed, worth=0.5 + 0.1 * seed)
            for seed in (1, 2)
        ]
        assert "| +0.150 | 0.050 |" in table_of([*rows, *other])


class TestPolicy:
    def test_is_selected_by_lines_of_settings(self, tmp_path: Path) -> None:
        (tmp_path / "control.toml").write_text('host_id = "a"\n')
        Policy("careless", ("control.toml:memory_caution = 0.0",)).write_to(tmp_path)
        assert (tmp_path / "control.toml").read_text().splitlines() == [
            "memory_caution = 0.0",
            'host_id = "a"',
        ]
