"""Decides which content or part of prompts the crash of an endpoint is attributed to.

An endpoint that crashes ends all its requests, so their contents and all parts of their
prompts have a crash in common. Only one of these is the cause.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from jujubeslip.quarantine._models import (
    CERTAIN_CRASHES,
    QUARANTINE_CRASHES,
    SUSPECT_CRASHES,
    CrashHistory,
)


@dataclass(frozen=True)
class _Suspect:
    """A content, or the parts with the same crashes, which nothing distinguishes."""

    start_ids: frozenset[str]
    members: tuple[CrashHistory, ...]

    @property
    def rank(self) -> tuple[bool, int, bool, str]:
        """Return the key by which suspects are sorted, the likeliest cause first.

        What ran shortly before is a less likely cause; then the one with the most
        crashes comes first, and a content before a part.
        """
        first = self.members[0]
        return first.ran_recently, -first.count, first.is_part, first.fingerprint

    @property
    def is_certain(self) -> bool:
        """Return whether narrower parts are no likelier cause of its crashes."""
        return all(
            member.others_ran
            and not member.ran_recently
            and member.count >= CERTAIN_CRASHES
            for member in self.members
        )


@dataclass(frozen=True)
class _PartCrashes:
    """The stored crashes of a part, to be compared with those of others."""

    crashed_at_by_start: dict[str, float]
    complete_since: float
    """The time since which all crashes are stored."""

    @classmethod
    def of(cls, history: CrashHistory) -> _PartCrashes:
        crashed_at = {crash.start_id: crash.crashed_at for crash in history.crashes}
        return cls(crashed_at, history.complete_since)

    def is_narrower_than(self, other: _PartCrashes) -> bool:
        """Return whether this crashed only with the other one, but not always.

        Crashes that one of them no longer stores are left out.
        """
        return not self._has_crash_without(other) and other._has_crash_without(self)

    def _has_crash_without(self, other: _PartCrashes) -> bool:
        missing = self.crashed_at_by_start.keys() - other.crashed_at_by_start.keys()
        return any(
            self.crashed_at_by_start[start_id] > other.complete_since
            for start_id in missing
        )


def attributed(histories: Iterable[CrashHistory]) -> list[CrashHistory]:
    """Return the histories with the crashes that are attributed to others excused."""
    found = _with_excused_answers(list(histories))
    excused_by_part: dict[str, frozenset[str]] = {}
    companions_by_part: dict[str, frozenset[str]] = {}
    explained: set[str] = set()
    parts_by_latest_start = _recurring_parts(found)
    for suspect in sorted(_suspects(found), key=lambda item: item.rank):
        if suspect.members[0].is_part:
            excused = suspect.start_ids & explained
            if not suspect.is_certain:
                excused |= _shared_with_narrower(suspect, parts_by_latest_start)
            for member in suspect.members:
                excused_by_part[member.fingerprint] = excused
                companions_by_part[member.fingerprint] = _others(suspect, member)
            if not _is_still_fatal(suspect, excused):
                continue
        explained |= suspect.start_ids
    return [
        _with_attribution(
            history,
            history.excused | excused_by_part.get(history.fingerprint, frozenset()),
            companions_by_part.get(history.fingerprint, frozenset()),
        )
        for history in found
    ]


def _with_excused_answers(histories: list[CrashHistory]) -> list[CrashHistory]:
    """Excuse requests that were being answered when their endpoint crashed.

    The crash is attributed to what had no answer there yet, provided that this has
    enough such crashes to be a suspect. A single crash is not enough.
    """
    crashed_by_suspects = {
        crash.start_id
        for history in histories
        if len(history.crashes) >= SUSPECT_CRASHES
        and history.unanswered_count >= SUSPECT_CRASHES
        and not (history.is_part and history.ran_recently)
        for crash in history.crashes
        if not crash.answered
    }
    return [
        _with_attribution(
            history,
            frozenset(
                crash.start_id
                for crash in history.crashes
                if crash.answered and crash.start_id in crashed_by_suspects
            ),
            frozenset(),
        )
        for history in histories
    ]


def _with_attribution(
    history: CrashHistory, excused: frozenset[str], companions: frozenset[str]
) -> CrashHistory:
    if (excused, companions) == (history.excused, history.companions):
        return history
    return replace(history, excused=excused, companions=companions)


def _suspects(histories: list[CrashHistory]) -> list[_Suspect]:
    """Return what has enough crashes to be in quarantine."""
    suspects = []
    parts_by_crashes: dict[tuple[bool, frozenset[str]], list[CrashHistory]]
    parts_by_crashes = defaultdict(list)
    for history in histories:
        if len(history.crashes) < QUARANTINE_CRASHES:
            continue
        if not history.is_fatal(history.successive_crashes):
            continue
        start_ids = frozenset(crash.start_id for crash in history.crashes)
        start_ids -= history.excused
        if history.is_part:
            parts_by_crashes[history.ran_recently, start_ids].append(history)
        else:
            suspects.append(_Suspect(start_ids, (history,)))
    for (_, start_ids), parts in parts_by_crashes.items():
        parts.sort(key=lambda part: part.fingerprint)
        suspects.append(_Suspect(start_ids, tuple(parts)))
    return suspects


def _recurring_parts(
    histories: list[CrashHistory],
) -> dict[str, list[_PartCrashes]]:
    """Return the parts that may cause several crashes, by the start that crashed last.

    The registry is locked meanwhile, so that a suspect must not be compared with all of
    them: a narrower part crashed last together with it.
    """
    parts_by_latest_start: dict[str, list[_PartCrashes]] = defaultdict(list)
    for history in histories:
        is_recurring = len(history.crashes) >= SUSPECT_CRASHES
        if history.is_part and is_recurring and not history.ran_recently:
            latest = history.crashes[-1].start_id
            parts_by_latest_start[latest].append(_PartCrashes.of(history))
    return parts_by_latest_start


def _shared_with_narrower(
    suspect: _Suspect, parts_by_latest_start: dict[str, list[_PartCrashes]]
) -> frozenset[str]:
    """Return the starts that crashed with parts which only some of its requests have.

    Several such parts may be the cause, while requests that have none of them are
    harmless.
    """
    wider = _PartCrashes.of(suspect.members[0])
    shared: set[str] = set()
    for start_id in wider.crashed_at_by_start:
        for part in parts_by_latest_start.get(start_id, ()):
            if part.is_narrower_than(wider):
                shared |= part.crashed_at_by_start.keys()
    return suspect.start_ids & shared


def _is_still_fatal(suspect: _Suspect, excused: frozenset[str]) -> bool:
    first = suspect.members[0]
    left = replace(first, excused=first.excused | excused)
    return left.is_fatal(left.successive_crashes)


def _others(suspect: _Suspect, member: CrashHistory) -> frozenset[str]:
    fingerprints = frozenset(part.fingerprint for part in suspect.members)
    return fingerprints - {member.fingerprint}
