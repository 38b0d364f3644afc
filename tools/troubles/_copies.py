"""Copies of the repository, one for each concurrent play.

A play builds the program into the repository that it runs in. If two plays share a
repository, a process of one that starts while the other builds ends at once, since its
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

Item = TypeVar("Item")
Result = TypeVar("Result")

# The program's libraries; a build that finds them doesn't install them again.
LIBRARIES = Path("target") / "deps"
JOURNAL = Path("journal")


def make_copies(root: Path, directory: Path, count: int) -> tuple[Path, ...]:
    """Clone the committed state of the repository, and replace earlier copies."""
    copies = tuple(directory / str(number) for number in range(1, count + 1))
    for copy in copies:
        shutil.rmtree(copy, ignore_errors=True)
        clone = ["git", "clone", "--quiet", "--local", str(root), str(copy)]
        subprocess.run(clone, check=True)
        if (root / LIBRARIES).exists():
            shutil.copytree(root / LIBRARIES, copy / LIBRARIES)
    return copies


def copy_journal_entries(copy: Path, root: Path) -> None:
    """Copy new journal entries, and the files they refer to, to the repository."""
    for path in (copy / JOURNAL).rglob("*"):
        target = root / path.relative_to(copy)
        if path.is_file() and not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(path, target)


def play_in_copies(
    copies: Sequence[Path],
    items: Iterable[Item],
    play: Callable[[Path, Item], Result],
    results: Path,
    line_of: Callable[[Result], str],
) -> tuple[Result, ...]:
    """Make the requested plays, one play at a time in each copy.

    Each result is appended to the file as soon as its play ends, so that an interrupted
    run can continue.
    """
    free_copies: SimpleQueue[Path] = SimpleQueue()
    for copy in copies:
        free_copies.put(copy)
    lock = Lock()

    def run_item(item: Item) -> Result:
        copy = free_copies.get()
        try:
            result = play(copy, item)
        finally:
            free_copies.put(copy)
        with lock, results.open("a") as file:
            file.write(line_of(result) + "\n")
        return result

    with ThreadPoolExecutor(len(copies)) as executor:
        return tuple(executor.map(run_item, items))
