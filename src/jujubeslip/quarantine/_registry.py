"""Registry of the contents and prompt parts that crash endpoints, as known here."""

from __future__ import annotations

import logging
import math
import threading
from collections.abc import Callable, Collection, Iterable
from dataclasses import replace
from typing import Any

from jujubeslip.kernel import steady_seconds
from jujubeslip.quarantine._attribution import attributed
from jujubeslip.quarantine._models import (
    MAXIMUM_CRASHES,
    QUARANTINE_SECONDS,
    SUSPECT_CRASHES,
    Crash,
    CrashHistory,
)

logger = logging.getLogger(__name__)

# The maximum number of stored contents and parts; those with the fewest crashes are
# evicted first.
MAXIMUM_CONTENTS = 500
# A later run of a part is reported if the known one is older by this many seconds. A
# reported time grows by the network delay, which must not cause further reports.
RUN_RESOLUTION_SECONDS = 1.0
# The maximum number of contents with too few crashes to be suspected that one reply
# reports to an entry host. The latest ones are reported, since any host may have seen
# them run without a crash.
MAXIMUM_UNSUSPECTED = 20


def _do_nothing() -> None:
    pass


def _never_harmless(fingerprint: str) -> bool:
    return False


def _never_ran(fingerprint: str) -> float:
    return -math.inf


class CrashRegistry:
    """Crash histories by fingerprint, with a version number for each change.

    Contents and parts of prompts are stored alike, as their fingerprints differ. Hosts
    report changes to each other in any order and possibly repeatedly. Of several
    reports of a start's crash the earliest time is used, and a complete answer to a
    content clears the crashes before it. The registry is thread-safe.
    """

    def __init__(self, on_change: Callable[[], None] = _do_nothing) -> None:
        self._on_change = on_change
        self._is_harmless: Callable[[str], bool] = _never_harmless
        self._part_ran_at: Callable[[str], float] = _never_ran
        self._on_cleared: Callable[[], None] = _do_nothing
        self._history_by_fingerprint: dict[str, CrashHistory] = {}
        self._version_by_fingerprint: dict[str, int] = {}
        self._fatal_fingerprints: frozenset[str] = frozenset()
        self._lock = threading.Lock()
        self.version = 0
        """The version of the latest change."""
        self.suspects_version = 0
        """The version of the latest change to a suspected or cleared content."""

    @property
    def is_empty(self) -> bool:
        """Return whether no content is stored."""
        return not self._history_by_fingerprint

    def set_harmless_check(self, is_harmless: Callable[[str], bool]) -> None:
        """Set the check for contents to clear when other hosts report crashes of them.

        Only this host knows which contents it has seen run without a crash, and other
        hosts report the crashes.
        """
        self._is_harmless = is_harmless

    def set_part_runs(self, part_ran_at: Callable[[str], float]) -> None:
        """Set the function that returns when this host has seen a part run last."""
        self._part_ran_at = part_ran_at

    def set_cleared_callback(self, on_cleared: Callable[[], None]) -> None:
        """Set the callback for runs seen by this host that others should know of.

        These have cleared a content or a part, or are evidence about a suspect.
        """
        self._on_cleared = on_cleared

    def find(self, fingerprint: str) -> CrashHistory | None:
        """Return the crash history of a content, or None if it has none."""
        return self._history_by_fingerprint.get(fingerprint)

    def record_crash(self, fingerprint: str, crash: Crash) -> None:
        """Record that an endpoint exited while it ran a request of this content."""
        self.record_crashes([fingerprint], crash)

    def record_crashes(self, fingerprints: Iterable[str], crash: Crash) -> None:
        """Record the crash for a content and the parts of its prompt."""
        self.merge(
            [CrashHistory(fingerprint, (crash,)) for fingerprint in fingerprints]
        )

    def note_run_without(self, parts: Collection[str], service_name: str) -> None:
        """Record a complete run at a service, of a prompt that has these parts.

        It is evidence against the suspected parts that the prompt doesn't have: the
        service's endpoints run what has none of them.
        """
        with self._lock:
            suspects = [
                history
                for fingerprint, history in self._history_by_fingerprint.items()
                if len(history.crashes) >= SUSPECT_CRASHES
                and fingerprint not in parts
                and history.is_part
                and history.is_suspect
                and not history.others_ran
                and service_name in {crash.service_name for crash in history.crashes}
            ]
            for known in suspects:
                self._store(known, replace(known, others_ran_at=steady_seconds()))
            if suspects:
                self._update_attribution()
        if suspects:
            self._on_change()
            self._on_cleared()

    def clear(self, fingerprint: str) -> bool:
        """Clear the crashes of a harmless content; return whether it had any."""
        with self._lock:
            known = self._history_by_fingerprint.get(fingerprint)
            if known is None or not known.crashes:
                return False
            cleared = CrashHistory(fingerprint, cleared_at=steady_seconds())
            self._store(known, cleared)
            self._update_attribution()
        self._on_change()
        self._on_cleared()
        return True

    def merge(self, reported: Iterable[CrashHistory]) -> None:
        """Merge the histories that another host reports."""
        harmless = []
        has_run_news = False
        with self._lock:
            version_before = self.version
            for history in reported:
                has_run_news |= self._merge_one(history)
                if history.crashes and self._is_harmless(history.fingerprint):
                    harmless.append(history.fingerprint)
            is_changed = self.version > version_before
            if is_changed:
                self._update_attribution()
        if is_changed:
            self._on_change()
        if has_run_news:
            self._on_cleared()
        for fingerprint in harmless:
            self.clear(fingerprint)

    def changes_since(
        self, version: int, suspected_or_cleared_only: bool = False
    ) -> tuple[int, list[CrashHistory]]:
        """Return the current version, and the histories changed since the given one.

        With `suspected_or_cleared_only`, contents that have crashes, but too few to be
        suspected, are left out.
        """
        newest, changed = self._changed_since(version)
        if suspected_or_cleared_only:
            changed = list(filter(_is_suspect_or_cleared, changed))
        return newest, changed

    def changes_for_entry_host(self, version: int) -> tuple[int, list[CrashHistory]]:
        """Return the changes since a version that are reported to an entry host.

        These are all changed histories of suspected or cleared contents, and the latest
        MAXIMUM_UNSUSPECTED others.
        """
        newest, changed = self._changed_since(version)
        suspects_and_cleared = [
            history for history in changed if _is_suspect_or_cleared(history)
        ]
        others = [history for history in changed if not _is_suspect_or_cleared(history)]
        others.sort(key=lambda history: history.latest_at)
        return newest, suspects_and_cleared + others[-MAXIMUM_UNSUSPECTED:]

    def count_quarantined(self, is_part: bool) -> int:
        """Return how many parts of prompts, or contents, are currently quarantined."""
        return sum(
            history.is_part == is_part for history in self.quarantined_contents()
        )

    def quarantined_contents(self) -> list[CrashHistory]:
        """Return the histories of the contents and parts that are now quarantined."""
        with self._lock:
            histories = list(self._history_by_fingerprint.values())
        return [
            history
            for history in histories
            if (until := history.quarantined_until) is not None and not until.expired
        ]

    def forget_old(self) -> None:
        """Drop histories that are no longer needed."""
        with self._lock:
            for fingerprint, history in list(self._history_by_fingerprint.items()):
                if history.forgotten_at.expired:
                    self._drop(fingerprint)

    def _changed_since(self, version: int) -> tuple[int, list[CrashHistory]]:
        with self._lock:
            changed = [
                history
                for fingerprint, history in self._history_by_fingerprint.items()
                if self._version_by_fingerprint[fingerprint] > version
            ]
            return self.version, changed

    def _merge_one(self, reported: CrashHistory) -> bool:
        """Merge a history; return whether this host has seen a run to be reported."""
        known = self._history_by_fingerprint.get(reported.fingerprint)
        if known is None:
            known = CrashHistory(reported.fingerprint)
        own_run_at = (
            self._part_ran_at(reported.fingerprint) if reported.is_part else -math.inf
        )
        merged = _merged(known, reported, own_run_at)
        is_run_news = own_run_at > known.cleared_at + RUN_RESOLUTION_SECONDS or any(
            known.cleared_at < crash.crashed_at <= own_run_at
            for crash in reported.crashes
        )
        is_news = is_run_news or _has_new_runs(known, merged)
        if merged.crashes == known.crashes and not is_news:
            # A different clearing time is no change by itself: it grows by the network
            # delay with each report, so it would be reported between hosts forever.
            return False
        if merged.has_same_crashes_as(known) and not is_news:
            self._history_by_fingerprint[reported.fingerprint] = merged
        else:
            self._store(known, merged)
        return is_run_news

    def _update_attribution(self) -> None:
        """Update which crashes are attributed to another content or part."""
        known_histories = list(self._history_by_fingerprint.values())
        for known, history in zip(
            known_histories, attributed(known_histories), strict=True
        ):
            if history is known:
                continue
            if history.count > known.count:
                self._store(known, history)
            else:
                self._history_by_fingerprint[known.fingerprint] = history
        self._log_new_quarantines()

    def _log_new_quarantines(self) -> None:
        fatal_by_fingerprint = {
            fingerprint: history
            for fingerprint, history in self._history_by_fingerprint.items()
            if history.is_fatal(history.successive_crashes)
        }
        for fingerprint, history in fatal_by_fingerprint.items():
            if fingerprint not in self._fatal_fingerprints:
                _log_quarantine(history)
        self._fatal_fingerprints = frozenset(fatal_by_fingerprint)

    def _store(self, known: CrashHistory, history: CrashHistory) -> None:
        fingerprint = history.fingerprint
        self.version += 1
        self._history_by_fingerprint[fingerprint] = history
        self._version_by_fingerprint[fingerprint] = self.version
        if _is_suspect_or_cleared(history):
            self.suspects_version = self.version
        _log_change(known, history)
        if len(self._history_by_fingerprint) > MAXIMUM_CONTENTS:
            self._drop(self._least_suspect())

    def _least_suspect(self) -> str:
        histories = self._history_by_fingerprint.values()
        least = min(histories, key=lambda item: (item.count, item.latest_at))
        return least.fingerprint

    def _drop(self, fingerprint: str) -> None:
        del self._history_by_fingerprint[fingerprint]
        del self._version_by_fingerprint[fingerprint]


def _is_suspect_or_cleared(history: CrashHistory) -> bool:
    return history.is_suspect or not history.crashes


def _crash_time(crash: Crash) -> float:
    return crash.crashed_at


def _merged(
    known: CrashHistory, reported: CrashHistory, own_run_at: float
) -> CrashHistory:
    cleared_at = max(known.cleared_at, reported.cleared_at, own_run_at)
    crash_by_start: dict[str, Crash] = {}
    for crash in (*known.crashes, *reported.crashes):
        if crash.crashed_at > cleared_at:
            other = crash_by_start.get(crash.start_id)
            crash_by_start[crash.start_id] = (
                crash if other is None else _combined(crash, other)
            )
    crashes = sorted(crash_by_start.values(), key=_crash_time)
    # The first crash tells whether a part ran shortly before the series.
    kept = crashes[:1] + crashes[1:][1 - MAXIMUM_CRASHES :]
    return replace(
        known,
        crashes=tuple(kept),
        cleared_at=cleared_at,
        others_ran_at=max(known.others_ran_at, reported.others_ran_at),
    )


def _combined(one: Crash, other: Crash) -> Crash:
    """Return the crash of a start from two reports, perhaps of two requests."""
    # The network delay makes reported times later, so the earliest report is the most
    # accurate. Of two unlike requests, the one sent last is the likelier cause.
    earliest = min(one, other, key=_crash_time)
    chosen = earliest
    if one.content != other.content:
        chosen = min(one, other, key=_run_seconds)
    return replace(
        chosen,
        sent_at=earliest.crashed_at - _run_seconds(chosen),
        crashed_at=earliest.crashed_at,
        answered=one.answered or other.answered,
    )


def _run_seconds(crash: Crash) -> float:
    return crash.crashed_at - crash.sent_at


def _has_new_runs(known: CrashHistory, merged: CrashHistory) -> bool:
    """Return whether a part was seen to run, or others without it, as not yet known."""
    if not merged.is_part:
        return False
    ran_later = merged.cleared_at > known.cleared_at + RUN_RESOLUTION_SECONDS
    return ran_later or (merged.others_ran and not known.others_ran)


def _log_change(known: CrashHistory, history: CrashHistory) -> None:
    extra = _fields_of(history)
    if known.is_suspect and not history.crashes:
        before = {"is_part": known.is_part, "crashes_before": known.count}
        logger.info("content cleared", extra={**extra, **before})
    elif history.is_suspect:
        logger.info("content suspected", extra=extra)


def _log_quarantine(history: CrashHistory) -> None:
    extra = {**_fields_of(history), "for_s": QUARANTINE_SECONDS}
    if history.is_part:
        companions = sorted(history.companions)
        extra |= {"held_with": companions, "others_ran": history.others_ran}
        logger.warning("prompt part quarantined", extra=extra)
    else:
        logger.warning("content quarantined", extra=extra)


def _fields_of(history: CrashHistory) -> dict[str, Any]:
    return {
        "fingerprint": history.fingerprint,
        "is_part": history.is_part,
        "crashes": history.count,
        "start_ids": [crash.start_id for crash in history.crashes],
    }
