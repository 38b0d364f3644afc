"""Days with one kind of trouble each: their files, their plays, and the table."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from tools.troubles import (
    KINDS,
    Day,
    KindsError,
    Play,
    Player,
    PlayError,
    Trouble,
    copy_journal_entries,
    days_of,
    make_copies,
    read_kinds,
    read_plays,
    table_of,
)
from tools.troubles.__main__ import main

TABLE = """
[[kind]]
name = "crash"
fields = { share = 0.3, service = "@s0" }
variants = ["", "dark cold"]

[[kind]]
name = "crash"
on = "core"

[[kind]]
name = "rollout"
planned = true

[[kind]]
name = "blackout"
closing = true
"""

# A fake of the program that plays days. It records its calls; its result depends on the
# day's name: a broken rule for days with `dark`, no result for days with `core`.
PROGRAM = """#!{python}
import json, sys
from pathlib import Path
with Path("calls").open("a") as file:
    file.write(" ".join(sys.argv) + "\\n")
day = Path(sys.argv[3]).stem
if "core" in day:
    sys.exit("no such host here")
entry = format(abs(hash(tuple(sys.argv))), "x")
result = {{"rules": {{"LOST": 1}} if "dark" in day else {{}}, "fault": None, "G": 0.5}}
Path("journal").mkdir(exist_ok=True)
path = Path("journal") / f"20260101-{{entry}}.json"
path.write_text(json.dumps({{"days": [result], "error": None}}))
print("worth 0.5\\nsnapshot " + entry)
"""


@pytest.fixture
def kinds(tmp_path: Path) -> Path:
    path = tmp_path / "kinds.toml"
    path.write_text(TABLE)
    return path


@pytest.fixture
def program(tmp_path: Path) -> Path:
    path = tmp_path / "program"
    path.write_text(PROGRAM.format(python=sys.executable))
    path.chmod(0o700)
    return path


@pytest.fixture
def player(tmp_path: Path, program: Path) -> Player:
    copies = (tmp_path / "copy-1",)
    for copy in copies:
        copy.mkdir()
    return Player(
        program=program,
        root=tmp_path / "root",
        copies=copies,
        directory=tmp_path / "days",
    )


@pytest.fixture
def repository(tmp_path: Path) -> Path:
    """Return a repository with one committed file and a build's libraries."""
    root = tmp_path / "repository"
    root.mkdir()
    (root / "committed").write_text("as committed")
    (root / ".gitignore").write_text("target/\n")
    git = ["git", "-C", str(root), "-c", "user.name=test", "-c", "user.email=test@test"]
    for command in (["init", "--quiet"], ["add", "-A"], ["commit", "-qm", "first"]):
        subprocess.run([*git, *command], check=True)
    libraries = root / "target" / "deps"
    libraries.mkdir(parents=True)
    (libraries / "library.py").write_text("")
    return root


def calls_of(copy: Path) -> list[str]:
    path = copy / "calls"
    return path.read_text().splitlines() if path.exists() else []


def content_of(day: Day) -> dict[str, Any]:
    (content,) = tomllib.loads(day.text)["day"]
    return content


def play_of(**changes: Any) -> Play:
    play = Play(
        site="north", day="crash-once", kind="crash", variant="", strikes=1, seed=1
    )
    return replace(play, **changes)


class TestKinds:
    def test_each_variant_is_a_trouble(self, kinds: Path) -> None:
        names = [(trouble.name, trouble.variant) for trouble in read_kinds(kinds)]
        assert names == [
            ("crash", ""),
            ("crash", "dark cold"),
            ("crash (core)", ""),
            ("rollout", ""),
            ("blackout", ""),
        ]

    def test_error_names_the_unknown_key(self, kinds: Path) -> None:
        kinds.write_text('[[kind]]\nname = "crash"\nvariant = "dark"\n')
        with pytest.raises(KindsError, match="'variant'"):
            read_kinds(kinds)

    def test_name_is_required(self, kinds: Path) -> None:
        kinds.write_text('[[kind]]\non = "core"\n')
        with pytest.raises(KindsError, match="no name"):
            read_kinds(kinds)

    def test_duplicate_variant_is_refused(self, kinds: Path) -> None:
        kinds.write_text('[[kind]]\nname = "crash"\n[[kind]]\nname = "crash"\n')
        with pytest.raises(KindsError, match="twice"):
            read_kinds(kinds)

    def test_file_without_kinds_is_refused(self, kinds: Path) -> None:
        kinds.write_text("name = 1\n")
        with pytest.raises(KindsError, match="kind"):
            read_kinds(kinds)


class TestDays:
    def test_days_of_the_committed_kinds_have_unique_names(self) -> None:
        days = list(days_of(read_kinds(KINDS)))
        assert len({day.name for day in days}) == len(days)
        for day in days:
            assert content_of(day)["name"] == day.name

    def test_trouble_strikes_once_or_twice_with_its_fields(self) -> None:
        trouble = Trouble("crash", "dark", fields=(("share", 0.3),))
        once, twice = days_of([trouble])
        assert content_of(once)["faults"] == [
            {"at": 4.0, "kind": "crash", "how": "dark", "share": 0.3}
        ]
        strikes = content_of(twice)["faults"]
        assert [strike.pop("at") for strike in strikes] == [4.0, 8.5]
        assert strikes[0] == strikes[1]

    def test_planned_work_is_in_the_plan(self) -> None:
        once, _ = days_of([Trouble("rollout", planned=True)])
        content = content_of(once)
        assert content["faults"] == []
        assert content["plan"][-1] == {"at": 4.0, "kind": "rollout"}

    def test_closing_trouble_strikes_only_at_the_end(self) -> None:
        (day,) = days_of([Trouble("blackout", closing=True)])
        content = content_of(day)
        assert content["closing"] == {"kind": "blackout", "down_s": 1.0}
        assert content["faults"] == []
        assert {entry["kind"] for entry in content["plan"]} == {"config_change"}

    def test_first_variants_come_first(self, kinds: Path) -> None:
        """An interrupted run has then played each kind."""
        names = [day.name for day in days_of(read_kinds(kinds)) if day.strikes == 1]
        assert names == [
            "crash-once",
            "crash-core-once",
            "rollout-once",
            "blackout-once",
            "crash-dark-cold-once",
        ]

    def test_class_of_hosts_is_in_the_entry(self) -> None:
        once, _ = days_of([Trouble("crash", on="core")])
        assert once.name == "crash-core-once"
        assert content_of(once)["faults"][0]["on"] == "core"


class TestPlayer:
    def test_broken_rule_is_recorded_with_its_seed(self, player: Player) -> None:
        days = days_of([Trouble("crash", "dark")])
        player.play_all(days, [Path("north.toml")], [7])
        plays = read_plays(player.results)
        assert [(play.day, play.seed, play.rules) for play in plays] == [
            ("crash-dark-once", 7, ("LOST",)),
            ("crash-dark-twice", 7, ("LOST",)),
        ]

    def test_each_day_is_played_on_each_site(self, player: Player) -> None:
        days = days_of([Trouble("crash")])
        player.play_all(days, [Path("north.toml"), Path("south.toml")], [1])
        sites = [(play.day, play.site) for play in read_plays(player.results)]
        assert sites == [
            ("crash-once", "north"),
            ("crash-once", "south"),
            ("crash-twice", "north"),
            ("crash-twice", "south"),
        ]

    def test_stopped_run_continues_with_the_remaining_days(
        self, player: Player
    ) -> None:
        once, twice = days_of([Trouble("crash")])
        player.play_all([once], [Path("north.toml")], [1])
        player.play_all([once, twice], [Path("north.toml")], [1])
        assert len(calls_of(player.copies[0])) == 2
        assert len(read_plays(player.results)) == 2

    def test_day_without_a_result_has_the_reason(self, player: Player) -> None:
        player.play_all(days_of([Trouble("crash", on="core")]), [Path("n.toml")], [1])
        assert {play.not_played for play in read_plays(player.results)} == {
            "no such host here"
        }

    def test_missing_journal_entry_is_an_error(
        self, player: Player, program: Path
    ) -> None:
        program.write_text("#!/bin/sh\necho snapshot 0abc\n")
        with pytest.raises(PlayError, match="has no entry 0abc"):
            player.play_all(days_of([Trouble("crash")]), [Path("n.toml")], [1])

    def test_journal_entries_are_copied_to_the_repository(self, player: Player) -> None:
        player.play_all(days_of([Trouble("crash")]), [Path("n.toml")], [1])
        assert len(list((player.root / "journal").iterdir())) == 2

    def test_copy_has_one_play_at_a_time(
        self, player: Player, tmp_path: Path, program: Path
    ) -> None:
        """The program fails if another one runs in the same folder."""
        program.write_text(
            program.read_text().replace(
                "day =",
                'import time\nPath("busy").mkdir()\ntime.sleep(0.1)\n'
                'Path("busy").rmdir()\nday =',
                1,
            )
        )
        second = tmp_path / "copy-2"
        second.mkdir()
        concurrent_player = replace(player, copies=(*player.copies, second))
        concurrent_player.play_all(
            days_of([Trouble("crash")]), [Path("n.toml")], [1, 2, 3]
        )
        plays = read_plays(player.results)
        assert [play.not_played for play in plays] == [""] * 6
        assert all(calls_of(copy) for copy in concurrent_player.copies)

    def test_fault_of_an_invalid_day_is_recorded(
        self, player: Player, program: Path
    ) -> None:
        program.write_text(
            program.read_text().replace('"fault": None', '"fault": "too slow"')
        )
        player.play_all(days_of([Trouble("crash")]), [Path("n.toml")], [1])
        assert {play.fault for play in read_plays(player.results)} == {"too slow"}


class TestCopies:
    def test_contain_the_committed_files_and_the_libraries(
        self, repository: Path, tmp_path: Path
    ) -> None:
        (repository / "committed").write_text("changed since")
        (copy,) = make_copies(repository, tmp_path / "copies", 1)
        assert (copy / "committed").read_text() == "as committed"
        assert (copy / "target" / "deps" / "library.py").exists()

    def test_replace_earlier_ones(self, repository: Path, tmp_path: Path) -> None:
        (copy,) = make_copies(repository, tmp_path / "copies", 1)
        (copy / "left").write_text("")
        copies = make_copies(repository, tmp_path / "copies", 2)
        assert copies[0] == copy
        assert not (copy / "left").exists()

    def test_existing_journal_entries_are_not_overwritten(self, tmp_path: Path) -> None:
        copy, root = tmp_path / "copy", tmp_path / "root"
        for folder in (copy / "journal" / "blobs", root / "journal"):
            folder.mkdir(parents=True)
        (copy / "journal" / "blobs" / "new").write_text("new")
        (copy / "journal" / "old").write_text("the copy's")
        (root / "journal" / "old").write_text("ours")
        copy_journal_entries(copy, root)
        assert (root / "journal" / "blobs" / "new").read_text() == "new"
        assert (root / "journal" / "old").read_text() == "ours"


class TestTable:
    def test_row_counts_plays_and_names_broken_rules(self) -> None:
        plays = [
            play_of(),
            play_of(site="south", rules=("BUDGET", "LOST")),
            play_of(day="crash-twice", strikes=2, seed=4, fault="too slow"),
        ]
        row = table_of(plays).splitlines()[-1]
        assert row == (
            "| `crash` | plain | 2, 1 | BUDGET, LOST: south, `crash-once`, seed 1; "
            "too slow: north, `crash-twice`, seed 4 |"
        )

    def test_rows_are_sorted(self) -> None:
        plays = [play_of(kind="rollout"), play_of(variant="dark"), play_of()]
        rows = table_of(plays).splitlines()[2:]
        assert [row.split(" | ")[:2] for row in rows] == [
            ["| `crash`", "plain"],
            ["| `crash`", "`dark`"],
            ["| `rollout`", "plain"],
        ]

    def test_row_without_broken_rules(self) -> None:
        assert table_of([play_of(variant="dark")]).endswith(
            "| `crash` | `dark` | 1, 0 | none |"
        )

    def test_day_that_was_not_played_is_not_counted(self) -> None:
        row = table_of([play_of(not_played="no such host")]).splitlines()[-1]
        assert row == (
            "| `crash` | plain | 0, 0 | not played (no such host): "
            "north, `crash-once`, seed 1 |"
        )


class TestCommand:
    def test_write_creates_a_file_for_each_day(
        self, kinds: Path, tmp_path: Path
    ) -> None:
        folder = tmp_path / "out"
        result = CliRunner().invoke(main, ["--kinds", str(kinds), "write", str(folder)])
        assert result.exit_code == 0, result.output
        assert {path.stem for path in folder.iterdir()} == {
            "crash-once",
            "crash-twice",
            "crash-dark-cold-once",
            "crash-dark-cold-twice",
            "crash-core-once",
            "crash-core-twice",
            "rollout-once",
            "rollout-twice",
            "blackout-once",
        }

    def test_play_prints_the_table(
        self,
        kinds: Path,
        program: Path,
        repository: Path,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.chdir(repository)
        arguments = ["--kinds", str(kinds), "play", str(program), "north.toml"]
        result = CliRunner().invoke(
            main, [*arguments, "--only", "crash-dark", "--jobs", "1"]
        )
        assert result.exit_code == 0, result.output
        assert "| `crash` | `dark cold` | 1, 1 | LOST" in result.output
        assert len(list((repository / "journal").iterdir())) == 2

    def test_table_of_earlier_plays(self, tmp_path: Path) -> None:
        results = tmp_path / "results.jsonl"
        results.write_text(json.dumps(play_of().__dict__) + "\n")
        result = CliRunner().invoke(main, ["table", str(results)])
        assert "| `crash` | plain | 1, 0 | none |" in result.output
