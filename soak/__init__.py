"""A fault soak: real processes under random faults, and checks of what is promised."""

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
