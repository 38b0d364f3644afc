"""Second sends: a slow request that may be repeated goes to another endpoint, too.

The decisions are pure code, to which times and counts are handed in; `SendRace` alone
runs threads.
"""

from jujubeslip.hedging._answer_times import AnswerTimes
from jujubeslip.hedging._budget import RecentSends, SecondSendBudget
from jujubeslip.hedging._decision import (
    KeptBack,
    SecondSendOptions,
    Situation,
    reason_to_keep_back,
    wait_before_second_send,
)
from jujubeslip.hedging._race import Finished, SendRaces
from jujubeslip.hedging._refusals import ServiceRefusals

__all__ = [
    "AnswerTimes",
    "Finished",
    "KeptBack",
    "RecentSends",
    "SecondSendBudget",
    "SecondSendOptions",
    "SendRaces",
    "ServiceRefusals",
    "Situation",
    "reason_to_keep_back",
    "wait_before_second_send",
]
