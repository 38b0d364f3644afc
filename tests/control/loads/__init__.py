"""Recorded loads, to be replayed against decisions."""
