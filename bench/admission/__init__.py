"""Measurements of the cost of the grant decisions."""
