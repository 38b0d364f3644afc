"""Replays the load of plain endpoints in virtual time."""
