"""Measurements of the choice itself, without any process around it."""
