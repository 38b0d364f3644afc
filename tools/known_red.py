"""Print the pytest options that deselect exactly the tests listed in KNOWN-RED.txt.

Each line of that file is `TEST; CAUSE; ISSUE`, where TEST is a pytest node id that no
other line contains. The list is printed to standard error, so that nobody mistakes a
deselected test for a passed one; the options are printed to standard output.
"""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

FIELDS = ("test", "cause", "issue")


class KnownRedError(Exception):
    """KNOWN-RED.txt is invalid; the message contains the remedy."""


def read_known_red(path: Path) -> tuple[str, ...]:
    """Return the node ids of the file; none if the file doesn't exist."""
    if not path.exists():
        return ()
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    tests = tuple(_test_of(path, line) for line in lines)
    for test, times in Counter(tests).items():
        if times > 1:
            raise KnownRedError(
                f"{path.name} lists {test!r} {times} times; leave one line for it."
            )
    return tests


def _test_of(path: Path, line: str) -> str:
    fields = [field.strip() for field in line.split(";")]
    if len(fields) != len(FIELDS) or not all(fields):
        raise KnownRedError(f"{path.name}: write `TEST; CAUSE; ISSUE`, not {line!r}.")
    test = fields[0]
    if len(test.split()) > 1:
        raise KnownRedError(f"{path.name}: {test!r} has a space; list its class.")
    if not (path.parent / test.split("::")[0]).is_file():
        raise KnownRedError(f"{path.name}: there is no test {test!r}; remove the line.")
    return test


def main(path: Path) -> int:
    """Print the options; return an exit status."""
    try:
        tests = read_known_red(path)
    except KnownRedError as error:
        print(error, file=sys.stderr)
        # The shell ignores the exit status of a command substitution. An option that
        # pytest doesn't know makes the run fail.
        print("--known-red-is-invalid")
        return 1
    for test in tests:
        print(f"KNOWN RED, passed over: {test}", file=sys.stderr)
    # The shell splits the output of a command substitution at spaces, and doesn't
    # remove quotes.
    print(" ".join(f"--deselect={test}" for test in tests))
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(__file__).parents[1] / "KNOWN-RED.txt"))
