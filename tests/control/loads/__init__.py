"""Recorded loads for replays of the role balance."""
