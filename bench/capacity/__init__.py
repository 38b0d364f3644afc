"""Measurements behind docs/CAPACITY.md: each prints one JSON line for each size."""
