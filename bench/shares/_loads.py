"""Loads in which priorities and client accounts compete for too little memory."""

from __future__ import annotations

from dataclasses import dataclass

ENGINES = 10
ENGINE_TOKENS = 70_000
PROMPT_TOKENS, ANSWER_TOKENS = 5_000, 2_400
ANSWER_SECONDS = 3.0
# Share of the engines' memory that requests get before one no longer fits.
USABLE_SHARE = 0.9
ACCOUNTS = 16
# The usual demand of an account falls with its number to this power.
ACCOUNT_SKEW = 0.8
# The limit of an account, as a multiple of its usual demand.
LIMIT_FACTOR = 4.0
# Share of all requests that have the lower priority.
LOWER_PRIORITY_SHARE = 0.15


@dataclass(frozen=True)
class Surge:
    """A span in which accounts or one priority send more; seconds from the start."""

    begins: float
    ends: float
    factor: float
    accounts: tuple[int, ...] = ()
    """The accounts that send more; empty for all."""
    only_lower: bool = False
    """Whether only requests of the lower priority become more."""


@dataclass(frozen=True)
class Load:
    """One load; times are seconds from the start."""

    name: str
    demand: float
    """Tokens that requests hold if all are granted, as a share of the memory."""
    surges: tuple[Surge, ...] = ()
    lost_engines: int = 0
    lost_at: float = 0.0
    lost_seconds: float = 6.0
    new_leader_at: float | None = None
    seconds: float = 20.0

    @property
    def steady(self) -> list[int]:
        """Return the accounts that do not surge by themselves."""
        surging = {account for surge in self.surges for account in surge.accounts}
        return [account for account in range(ACCOUNTS) if account not in surging]


USUAL = 0.75
# An account of medium size: its usual demand is a twentieth of all.
MEDIUM = 5

LOADS = (
    Load("usual demand", USUAL),
    Load("equal load at 1.2 times the memory", 1.2),
    Load("two priorities at 1.5 times the memory", 1.5),
    Load("two priorities at 2 times the memory", 2.0),
    Load(
        "one account at 7 times its usual for 10 s",
        USUAL,
        (Surge(4, 14, 7.0, (MEDIUM,)),),
    ),
    Load(
        "three accounts at 7 times their usual for 10 s",
        USUAL,
        (Surge(4, 14, 7.0, (MEDIUM, MEDIUM + 1, MEDIUM + 2)),),
    ),
    Load(
        "a surge that begins with the loss of a fifth of the engines",
        USUAL,
        (Surge(4, 12, 1.4), Surge(4, 12, 7.0, (MEDIUM,))),
        lost_engines=ENGINES // 5,
        lost_at=4.0,
    ),
    Load(
        "a new leader in the middle of a surge",
        USUAL,
        (Surge(4, 14, 7.0, (MEDIUM,)), Surge(4, 14, 2.2, only_lower=True)),
        new_leader_at=9.0,
    ),
)
