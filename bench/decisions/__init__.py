"""Measurements of the scheduling decision alone, in one process."""
