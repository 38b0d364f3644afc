"""Contents of requests that crash the endpoints which run them.

Each host keeps a book of crashes, and hosts tell each other what is new in it when
they watch control hosts. It needs no leader and no majority.
"""

from jujubeslip.quarantine._book import CrashBook
from jujubeslip.quarantine._fingerprints import fingerprint_of
from jujubeslip.quarantine._harmless import HarmlessContents
from jujubeslip.quarantine._models import Crash, CrashHistory
from jujubeslip.quarantine._records import to_crash_record, usable_histories

__all__ = [
    "Crash",
    "CrashBook",
    "CrashHistory",
    "HarmlessContents",
    "fingerprint_of",
    "to_crash_record",
    "usable_histories",
]
