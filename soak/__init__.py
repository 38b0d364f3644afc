"""A soak test: real processes under random faults, and checks of the guarantees."""

from soak._regressions import RegressionSeed, read_regressions
from soak._run import SoakOptions, run_soak
from soak._schedule import describe, make_schedule

__all__ = [
    "RegressionSeed",
    "SoakOptions",
    "describe",
    "make_schedule",
    "read_regressions",
    "run_soak",
]
