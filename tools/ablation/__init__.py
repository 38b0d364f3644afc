"""Compares ways to decide: the same days and seeds, played with other settings."""

from tools.ablation._plays import Comparison, Row, Way, read_rows
from tools.ablation._table import table_of

__all__ = ["Comparison", "Row", "Way", "read_rows", "table_of"]
