"""Quarantine of request contents that crash the endpoints that run them.

Each host has a registry of crashes. Hosts exchange the changes of their registries with
the control hosts that they watch; this needs no leader and no majority.
"""

from jujubeslip.quarantine._fingerprints import (
    fingerprint_of,
    part_fingerprint_of,
    part_fingerprints_of,
)
from jujubeslip.quarantine._harmless_contents import HarmlessContents
from jujubeslip.quarantine._models import Crash, CrashHistory
from jujubeslip.quarantine._records import to_crash_record, usable_histories
from jujubeslip.quarantine._registry import CrashRegistry

__all__ = [
    "Crash",
    "CrashRegistry",
    "CrashHistory",
    "HarmlessContents",
    "fingerprint_of",
    "part_fingerprint_of",
    "part_fingerprints_of",
    "to_crash_record",
    "usable_histories",
]
