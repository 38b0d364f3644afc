"""Replays loads with slow endpoints, with and without second sends."""
