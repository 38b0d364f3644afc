"""Plays of days in one way to decide, and what each of them gave."""

from __future__ import annotations

import json
import subprocess
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from itertools import product
from pathlib import Path

from tools.troubles import bring_journal, play_in_copies


@dataclass(frozen=True)
class Way:
    """A way to decide: a name, and the lines of settings that choose it."""

    name: str
    settings: tuple[str, ...]
    """Each `FILE:LINE`, put before the first line of the settings file."""

    def write_to(self, copy: Path) -> None:
        """Choose this way in a copy of the repository."""
        for setting in self.settings:
            file, _, line = setting.partition(":")
            path = copy / file
            path.write_text(f"{line}\n{path.read_text()}")


@dataclass(frozen=True)
class Row:
    """What one play gave; no worth where it gave none."""

    way: str
    revision: str
    site: str
    day: str
    seed: int
    worth: float | None
    in_time: float
    """Share of what is owed for all requests that was earned."""
    unserved: float
    """Share of requests that were never served."""
    late: int
    refused: int
    failed: int
    read_for_nothing: float
    """Price of the prompts that were read for nothing."""
    rules: tuple[str, ...] = ()

    @property
    def place(self) -> tuple[str, str, int]:
        """What is the same in all ways that are compared."""
        return (self.site, self.day, self.seed)


@dataclass(frozen=True)
class Comparison:
    """Plays one way with a given program, and adds each result to a file."""

    program: Path
    root: Path
    """The repository whose journal takes the entries."""
    copies: tuple[Path, ...]
    """Copies of it to play in, one for each play at once."""
    results: Path
    way: Way
    revision: str
    why: str

    def play_all(
        self, site: Path, days: Iterable[str], seeds: Iterable[int]
    ) -> tuple[Row, ...]:
        """Play what has no row yet, so that a run that was cut goes on."""
        known = {
            row.place
            for row in read_rows(self.results)
            if (row.way, row.revision) == (self.way.name, self.revision)
        }
        wanted = [
            (day, seed)
            for seed, day in product(seeds, days)
            if (site.stem, day, seed) not in known
        ]
        for copy in self.copies:
            self.way.write_to(copy)
        return play_in_copies(
            self.copies,
            wanted,
            lambda copy, one: self._play(copy, site, *one),
            self.results,
            lambda row: json.dumps(asdict(row)),
        )

    def _play(self, copy: Path, site: Path, day: str, seed: int) -> Row:
        name = f"{self.way.name}-{self.revision}-{site.stem}-{day}-{seed}"
        report = self.results.parent / f"{name}.json"
        command = [str(self.program), "run", str(site), day, "--no-cpu"]
        command += ["--report", str(report), "--why", f"{self.why}: {self.way.name}"]
        if seed:
            command += ["--seed", str(seed)]
        with report.with_suffix(".txt").open("w") as output:
            subprocess.run(command, cwd=copy, stdout=output, stderr=output)
        bring_journal(copy, self.root)
        return self._row(report, site, day, seed)

    def _row(self, report: Path, site: Path, day: str, seed: int) -> Row:
        told = json.loads(report.read_text()) if report.exists() else {}
        total = told.get("all", {})
        prices = {what: price for what, _, price in told.get("prices", ())}
        return Row(
            way=self.way.name,
            revision=self.revision,
            site=site.stem,
            day=day,
            seed=seed,
            worth=told.get("G"),
            in_time=total.get("worth", 0.0),
            unserved=told.get("unserved", 0.0),
            late=total.get("late", 0),
            refused=total.get("refused", 0),
            failed=total.get("failed", 0),
            read_for_nothing=prices.get("1,000 tokens read for nothing", 0.0),
            rules=tuple(sorted(told.get("breaks", ()))),
        )


def read_rows(results: Path) -> tuple[Row, ...]:
    """Return the rows that the file lists; none if there is no file."""
    if not results.exists():
        return ()
    lines = [json.loads(line) for line in results.read_text().splitlines()]
    return tuple(Row(**line | {"rules": tuple(line["rules"])}) for line in lines)
