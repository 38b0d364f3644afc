"""Measurements for docs/CAPACITY.md; each prints one JSON line per size."""
