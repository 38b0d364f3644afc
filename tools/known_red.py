"""Print the pytest options that pass over just the tests listed in KNOWN-RED.txt.

Each line of that file is `TEST; CAUSE; ISSUE`, TEST being a pytest node id that no
other line names. The list goes to standard error, so that nobody takes a passed-over
test for a green one; the options go to standard output.
"""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

FIELDS = ("test", "cause", "issue")


class KnownRedError(Exception):
    """A KNOWN-RED.txt that can't be used, with what to do."""


def read_known_red(path: Path) -> tuple[str, ...]:
    """Return the node ids that the file lists; none if there is no file."""
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
        # An option that pytest does not know ends the run, since the status of a
        # command substitution is lost.
        print("--known-red-is-invalid")
        return 1
    for test in tests:
        print(f"KNOWN RED, passed over: {test}", file=sys.stderr)
    # The shell splits what a command substitution gives, and leaves quotes in it.
    print(" ".join(f"--deselect={test}" for test in tests))
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(__file__).parents[1] / "KNOWN-RED.txt"))
