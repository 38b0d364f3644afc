"""Grants at engines: which request gets one, at which engine, and when.

One control host, the leader, gives grants for all entry hosts. It knows each grant as
soon as it is given, while an engine's own report is up to a second old, and it keeps
the requests of all hosts in one queue.
"""

from jujubeslip.admission._account_shares import SharingWeights
from jujubeslip.admission._answer_lengths import AnswerLengths, lengths_of
from jujubeslip.admission._home import AdmissionHome
from jujubeslip.admission._memory_forecast import (
    GrowingAnswer,
    MemoryOptions,
    forecast_peak,
    growth_of,
)
from jujubeslip.admission._models import EngineNeed, EngineUse, WaitingOptions
from jujubeslip.admission._unservable_waits import is_wait_unservable
from jujubeslip.admission._urgency import urgency

__all__ = [
    "AdmissionHome",
    "AnswerLengths",
    "EngineNeed",
    "EngineUse",
    "GrowingAnswer",
    "MemoryOptions",
    "SharingWeights",
    "WaitingOptions",
    "forecast_peak",
    "growth_of",
    "lengths_of",
    "urgency",
    "is_wait_unservable",
]
