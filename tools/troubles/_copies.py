"""Copies of the repository to play in, one for each play at once.

A play builds the program into the repository that it runs in. Two plays in one
repository, and a process of one that starts while the other builds, ends at once: its
modules are missing.
"""

from __future__ import annotations

import shutil
import subprocess
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from queue import SimpleQueue
from threading import Lock
from typing import TypeVar

Wanted = TypeVar("Wanted")
Result = TypeVar("Result")

# The program's libraries; a build that finds them installs none.
LIBRARIES = Path("target") / "deps"
JOURNAL = Path("journal")


def make_copies(root: Path, directory: Path, count: int) -> tuple[Path, ...]:
    """Clone what is committed in the repository, in place of earlier copies."""
    copies = tuple(directory / str(number) for number in range(1, count + 1))
    for copy in copies:
        shutil.rmtree(copy, ignore_errors=True)
        clone = ["git", "clone", "--quiet", "--local", str(root), str(copy)]
        subprocess.run(clone, check=True)
        if (root / LIBRARIES).exists():
            shutil.copytree(root / LIBRARIES, copy / LIBRARIES)
    return copies


def copy_journal_entries(copy: Path, root: Path) -> None:
    """Copy the journal's new entries to the repository, with what they refer to."""
    for path in (copy / JOURNAL).rglob("*"):
        target = root / path.relative_to(copy)
        if path.is_file() and not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(path, target)


def play_in_copies(
    copies: Sequence[Path],
    wanted: Iterable[Wanted],
    play: Callable[[Path, Wanted], Result],
    results: Path,
    line_of: Callable[[Result], str],
) -> tuple[Result, ...]:
    """Play all that is wanted, one play at a time in each copy.

    Each result is added to the file as a line at once, so that a run that was cut can
    go on.
    """
    free: SimpleQueue[Path] = SimpleQueue()
    for copy in copies:
        free.put(copy)
    lock = Lock()

    def played(one: Wanted) -> Result:
        copy = free.get()
        try:
            result = play(copy, one)
        finally:
            free.put(copy)
        with lock, results.open("a") as file:
            file.write(line_of(result) + "\n")
        return result

    with ThreadPoolExecutor(len(copies)) as executor:
        return tuple(executor.map(played, wanted))
