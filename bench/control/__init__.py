"""Measurements of the control host."""
