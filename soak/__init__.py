"""A fault soak: real processes under random faults, and checks of what is promised."""

from soak._run import SoakOptions, run_soak
from soak._schedule import describe, make_schedule

__all__ = ["SoakOptions", "describe", "make_schedule", "run_soak"]
