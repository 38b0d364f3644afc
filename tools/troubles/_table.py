"""The table of plays, with a row for each kind and variant."""

from __future__ import annotations

from collections.abc import Iterable

from tools.troubles._plays import Play

HEAD = (
    "| kind | variant | days played: one strike, two | rules broken, with seed |",
    "|---|---|---|---|",
)


def table_of(plays: Iterable[Play]) -> str:
    """Return the table, sorted by kind and variant."""
    plays_by_variant: dict[tuple[str, str], list[Play]] = {}
    for play in plays:
        plays_by_variant.setdefault((play.kind, play.variant), []).append(play)
    rows = [_row(*key, row) for key, row in sorted(plays_by_variant.items())]
    return "\n".join([*HEAD, *rows])


def _row(kind: str, variant: str, plays: list[Play]) -> str:
    played = [play for play in plays if not play.not_played]
    once = sum(play.strikes == 1 for play in played)
    found = "; ".join(_findings(plays)) or "none"
    variant_text = f"`{variant}`" if variant else "plain"
    return f"| `{kind}` | {variant_text} | {once}, {len(played) - once} | {found} |"


def _findings(plays: list[Play]) -> list[str]:
    findings = []
    for play in plays:
        where = f"{play.site}, `{play.day}`, seed {play.seed}"
        if play.not_played:
            findings.append(f"not played ({play.not_played}): {where}")
        elif play.rules or play.fault:
            findings.append(
                f"{', '.join([*play.rules, play.fault]).strip(', ')}: {where}"
            )
    return findings
