"""Playing days, and what each play gave."""

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

# Where a play's report names its entry in the journal.
ENTRY_PATTERN = re.compile(r"^snapshot ([0-9a-f]+)$", re.MULTILINE)


class PlayError(Exception):
    """A play that gave no result, with what to look at."""


@dataclass(frozen=True)
class Play:
    """What one play of a day on a site gave."""

    site: str
    day: str
    kind: str
    variant: str
    strikes: int
    seed: int
    # Names of the rules that were broken.
    rules: tuple[str, ...] = ()
    # What made the day invalid, such as processes that ended by themselves.
    fault: str = ""
    worth: float | None = None
    # Why there is no result; the day doesn't fit the site, for one.
    not_played: str = ""

    @property
    def key(self) -> tuple[str, str, int]:
        """What tells this play from others."""
        return (self.site, self.day, self.seed)


@dataclass(frozen=True)
class Player:
    """Plays days with a given program, and keeps each result as a line of a file."""

    program: Path
    # The repository whose journal takes the entries.
    root: Path
    # Copies of it to play in, one for each play at once.
    copies: tuple[Path, ...]
    # Where day files, reports and results go.
    directory: Path

    @property
    def results(self) -> Path:
        """The file with a line for each play."""
        return self.directory / "results.jsonl"

    def play_all(
        self, days: Iterable[Day], sites: Iterable[Path], seeds: Iterable[int]
    ) -> tuple[Play, ...]:
        """Play each day on each site with each seed, but for what has its result."""
        known = {play.key for play in read_plays(self.results)}
        self.directory.mkdir(parents=True, exist_ok=True)
        wanted = [
            (day, site, seed)
            for seed, day, site in product(seeds, days, sites)
            if (site.stem, day.name, seed) not in known
        ]
        return play_in_copies(
            self.copies,
            wanted,
            lambda copy, one: self._play(copy, *one),
            self.results,
            lambda play: json.dumps(asdict(play)),
        )

    def _play(self, copy: Path, day: Day, site: Path, seed: int) -> Play:
        file = self.directory / f"{day.name}.toml"
        file.write_text(day.text)
        command = [str(self.program), "run", str(site), str(file), "--seed", str(seed)]
        command += ["--why", f"each kind of trouble by itself: {day.name}"]
        done = subprocess.run(
            command,
            cwd=copy,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        report = self.directory / f"{day.name}-{site.stem}-{seed}.txt"
        report.write_text(done.stdout)
        copy_journal_entries(copy, self.root)
        play = Play(
            site=site.stem,
            day=day.name,
            kind=day.trouble.name,
            variant=day.trouble.variant,
            strikes=day.strikes,
            seed=seed,
        )
        return _with_result(play, done.stdout, copy / JOURNAL)


def read_plays(results: Path) -> tuple[Play, ...]:
    """Return the plays that the file lists; none if there is no file."""
    if not results.exists():
        return ()
    lines = [json.loads(line) for line in results.read_text().splitlines()]
    return tuple(Play(**line | {"rules": tuple(line["rules"])}) for line in lines)


def _with_result(play: Play, report: str, journal: Path) -> Play:
    """Return the play with what its journal entry says."""
    found = ENTRY_PATTERN.search(report)
    if not found:
        return replace(play, not_played=_last_line(report))
    entries = list(journal.glob(f"*-{found[1]}.json"))
    if not entries:
        raise PlayError(f"{journal} has no entry {found[1]}; see the play's report.")
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
