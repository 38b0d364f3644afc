"""The seeds that failed once, and those that CI runs."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path

PATH = Path(__file__).with_name("regressions.toml")


@dataclass(frozen=True)
class RegressionSeed:
    """A run that is repeated; `cause` is what broke it when it did."""

    seed: int
    seconds: float
    promise: str
    cause: str
    open: bool = False
    """Whether nothing has been mended for it yet."""
    ci: bool = False
    """Whether it is short and certain enough for the tests."""


def read_regressions(path: Path = PATH) -> tuple[RegressionSeed, ...]:
    """Return the seeds of the list."""
    listed = tomllib.loads(path.read_text())["seeds"]
    return tuple(RegressionSeed(**item) for item in listed)
