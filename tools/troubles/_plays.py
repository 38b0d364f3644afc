"""Plays of days, and the result of each play."""

from __future__ import annotations

import json
import re
import subprocess
from collections.abc import Iterable
from dataclasses import asdict, dataclass, replace
from itertools import product
from pathlib import Path

from tools.troubles._copies import JOURNAL, copy_journal_entries, play_in_copies
from tools.troubles._days import Day

# The line of a play's report that contains the id of its journal entry.
ENTRY_PATTERN = re.compile(r"^snapshot ([0-9a-f]+)$", re.MULTILINE)


class PlayError(Exception):
    """A play has no result; the message says where to look for the reason."""


@dataclass(frozen=True)
class Play:
    """The result of one play of a day on a site."""

    site: str
    day: str
    kind: str
    variant: str
    strikes: int
    seed: int
    # Names of the rules that were broken.
    rules: tuple[str, ...] = ()
    # Why the day is invalid, such as processes that ended unexpectedly.
    fault: str = ""
    worth: float | None = None
    # Why there is no result, for example since the day doesn't fit the site.
    not_played: str = ""

    @property
    def key(self) -> tuple[str, str, int]:
        """The key that identifies this play."""
        return (self.site, self.day, self.seed)


@dataclass(frozen=True)
class Player:
    """Plays days with a given program, and writes each result as a line of a file."""

    program: Path
    # The repository whose journal receives the entries.
    root: Path
    # Copies of the repository, one for each concurrent play.
    copies: tuple[Path, ...]
    # The folder of day files, reports and results.
    directory: Path

    @property
    def results(self) -> Path:
        """Path of the file with a line for each play."""
        return self.directory / "results.jsonl"

    def play_all(
        self, days: Iterable[Day], sites: Iterable[Path], seeds: Iterable[int]
    ) -> tuple[Play, ...]:
        """Play each day on each site with each seed, except plays with a result."""
        completed_keys = {play.key for play in read_plays(self.results)}
        self.directory.mkdir(parents=True, exist_ok=True)
        pending = [
            (day, site, seed)
            for seed, day, site in product(seeds, days, sites)
            if (site.stem, day.name, seed) not in completed_keys
        ]
        return play_in_copies(
            self.copies,
            pending,
            lambda copy, item: self._play(copy, *item),
            self.results,
            lambda play: json.dumps(asdict(play)),
        )

    def _play(self, copy: Path, day: Day, site: Path, seed: int) -> Play:
        file = self.directory / f"{day.name}.toml"
        file.write_text(day.text)
        command = [str(self.program), "run", str(site), str(file), "--seed", str(seed)]
        command += ["--why", f"each kind of trouble by itself: {day.name}"]
        completed = subprocess.run(
            command,
            cwd=copy,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        report = self.directory / f"{day.name}-{site.stem}-{seed}.txt"
        report.write_text(completed.stdout)
        copy_journal_entries(copy, self.root)
        play = Play(
            site=site.stem,
            day=day.name,
            kind=day.trouble.name,
            variant=day.trouble.variant,
            strikes=day.strikes,
            seed=seed,
        )
        return _with_result(play, completed.stdout, copy / JOURNAL)


def read_plays(results: Path) -> tuple[Play, ...]:
    """Return the plays of the file; none if the file doesn't exist."""
    if not results.exists():
        return ()
    lines = [json.loads(line) for line in results.read_text().splitlines()]
    return tuple(Play(**line | {"rules": tuple(line["rules"])}) for line in lines)


def _with_result(play: Play, report: str, journal: Path) -> Play:
    """Return the play with the result from its journal entry."""
    match = ENTRY_PATTERN.search(report)
    if not match:
        return replace(play, not_played=_last_line(report))
    entries = list(journal.glob(f"*-{match[1]}.json"))
    if not entries:
        raise PlayError(f"{journal} has no entry {match[1]}; see the play's report.")
    entry = json.loads(entries[0].read_text())
    if not entry["days"]:
        return replace(play, not_played=entry["error"] or _last_line(report))
    result = entry["days"][0]
    return replace(
        play,
        rules=tuple(sorted(result["rules"])),
        fault=result["fault"] or "",
        worth=result["G"],
    )


def _last_line(report: str) -> str:
    lines = report.strip().splitlines()
    return lines[-1] if lines else "no output"
