"""Days with one kind of trouble each: written from a table, played, and listed.

`python -m tools.troubles write DIR` writes a day file for each kind and variant, once
and twice over; `play` plays them on sites and keeps what each play gave; `table` prints
that as a table. The table of kinds is `kinds.toml` beside this module.
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
