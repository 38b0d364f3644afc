"""Generates, plays and tabulates days that each have one kind of trouble.

`python -m tools.troubles write DIR` writes a day file for each kind and variant, with
one strike and with two; `play` plays the days on sites and records the result of each
play; `table` prints the results. `kinds.toml` in this folder defines the kinds.
"""

from tools.troubles._copies import copy_journal_entries, make_copies, play_in_copies
from tools.troubles._days import Day, days_of
from tools.troubles._kinds import KINDS, KindsError, Trouble, read_kinds
from tools.troubles._plays import Play, Player, PlayError, read_plays
from tools.troubles._table import table_of

__all__ = [
    "KINDS",
    "Day",
    "KindsError",
    "Play",
    "PlayError",
    "Player",
    "Trouble",
    "copy_journal_entries",
    "days_of",
    "make_copies",
    "play_in_copies",
    "read_kinds",
    "read_plays",
    "table_of",
]
