"""Replays loads in which priorities and client accounts compete for engines."""
