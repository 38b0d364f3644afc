"""Plays of days with one policy, and the result of each play."""

from __future__ import annotations

import json
import subprocess
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from itertools import product
from pathlib import Path

from tools.troubles import copy_journal_entries, play_in_copies


@dataclass(frozen=True)
class Policy:
    """A policy: a name, and the lines of settings that select it."""

    name: str
    settings: tuple[str, ...]
    """Each `FILE:LINE`; the line is inserted at the beginning of the settings file."""

    def write_to(self, copy: Path) -> None:
        """Select this policy in a copy of the repository."""
        for setting in self.settings:
            file, _, line = setting.partition(":")
            path = copy / file
            path.write_text(f"{line}\n{path.read_text()}")


@dataclass(frozen=True)
class Row:
    """The result of one play; `worth` is None if the play had no result."""

    way: str
    revision: str
    site: str
    day: str
    seed: int
    worth: float | None
    in_time: float
    """Earned share of the total worth of all requests."""
    unserved: float
    """Share of requests that were never served."""
    late: int
    refused: int
    failed: int
    read_for_nothing: float
    """Price of prefills whose results were not used."""
    rules: tuple[str, ...] = ()

    @property
    def comparison_key(self) -> tuple[str, str, int]:
        """The key by which plays of different policies are compared."""
        return (self.site, self.day, self.seed)


@dataclass(frozen=True)
class Comparison:
    """Plays one policy with a given program, and appends each result to a file."""

    program: Path
    root: Path
    """The repository whose journal receives the entries."""
    copies: tuple[Path, ...]
    """Copies of the repository, one for each concurrent play."""
    results: Path
    policy: Policy
    revision: str
    why: str

    def play_all(
        self, site: Path, days: Iterable[str], seeds: Iterable[int]
    ) -> tuple[Row, ...]:
        """Play the days and seeds without a row; this continues an interrupted run."""
        completed_keys = {
            row.comparison_key
            for row in read_rows(self.results)
            if (row.way, row.revision) == (self.policy.name, self.revision)
        }
        pending = [
            (day, seed)
            for seed, day in product(seeds, days)
            if (site.stem, day, seed) not in completed_keys
        ]
        for copy in self.copies:
            self.policy.write_to(copy)
        return play_in_copies(
            self.copies,
            pending,
            lambda copy, day_and_seed: self._play(copy, site, *day_and_seed),
            self.results,
            lambda row: json.dumps(asdict(row)),
        )

    def _play(self, copy: Path, site: Path, day: str, seed: int) -> Row:
        name = f"{self.policy.name}-{self.revision}-{site.stem}-{day}-{seed}"
        report = self.results.parent / f"{name}.json"
        command = [str(self.program), "run", str(site), day, "--no-cpu"]
        command += ["--report", str(report), "--why", f"{self.why}: {self.policy.name}"]
        if seed:
            command += ["--seed", str(seed)]
        with report.with_suffix(".txt").open("w") as output:
            subprocess.run(command, cwd=copy, stdout=output, stderr=output)
        copy_journal_entries(copy, self.root)
        return self._row(report, site, day, seed)

    def _row(self, report: Path, site: Path, day: str, seed: int) -> Row:
        report_fields = json.loads(report.read_text()) if report.exists() else {}
        total = report_fields.get("all", {})
        prices = {label: price for label, _, price in report_fields.get("prices", ())}
        return Row(
            way=self.policy.name,
            revision=self.revision,
            site=site.stem,
            day=day,
            seed=seed,
            worth=report_fields.get("G"),
            in_time=total.get("worth", 0.0),
            unserved=report_fields.get("unserved", 0.0),
            late=total.get("late", 0),
            refused=total.get("refused", 0),
            failed=total.get("failed", 0),
            read_for_nothing=prices.get("1,000 tokens read for nothing", 0.0),
            rules=tuple(sorted(report_fields.get("breaks", ()))),
        )


def read_rows(results: Path) -> tuple[Row, ...]:
    """Return the rows of the file; none if the file doesn't exist."""
    if not results.exists():
        return ()
    lines = [json.loads(line) for line in results.read_text().splitlines()]
    return tuple(Row(**line | {"rules": tuple(line["rules"])}) for line in lines)
