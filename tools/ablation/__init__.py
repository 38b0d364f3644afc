"""Compares policies: plays the same days and seeds with different settings."""

from tools.ablation._plays import Comparison, Policy, Row, read_rows
from tools.ablation._table import table_of

__all__ = ["Comparison", "Policy", "Row", "read_rows", "table_of"]
