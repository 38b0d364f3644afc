"""The list of seeds that failed before, and which of them CI runs."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path

PATH = Path(__file__).with_name("regressions.toml")


@dataclass(frozen=True)
class RegressionSeed:
    """A run that is repeated; `cause` describes the fault that made it fail."""

    seed: int
    seconds: float
    promise: str
    cause: str
    open: bool = False
    """Whether the cause is not fixed yet."""
    ci: bool = False
    """Whether the run is short and reliable enough for the tests."""


def read_regressions(path: Path = PATH) -> tuple[RegressionSeed, ...]:
    """Return the seeds of the list."""
    listed = tomllib.loads(path.read_text())["seeds"]
    return tuple(RegressionSeed(**item) for item in listed)
