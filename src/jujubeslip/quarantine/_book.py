"""What a host knows of the contents whose requests crash endpoints."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import replace

from jujubeslip.kernel import steady_seconds
from jujubeslip.quarantine._models import (
    QUARANTINE_CRASHES,
    QUARANTINE_SECONDS,
    SUSPECT_CRASHES,
    Crash,
    CrashHistory,
)

logger = logging.getLogger(__name__)

# Contents that are remembered at most; those with the fewest crashes give way first.
MAXIMUM_CONTENTS = 500
# Crashes of one content that are remembered, the latest ones.
MAXIMUM_CRASHES = 8
# Contents with too few crashes to be suspected that an entry host is told of with each
# answer at most, the latest ones: any host may have seen them run without harm.
MAXIMUM_TOLD = 20


def _tell_nobody() -> None:
    pass


def _knows_none(fingerprint: str) -> bool:
    return False


class CrashBook:
    """Crash histories by fingerprint, and a version for each change.

    Hosts tell each other what has changed, in any order and more than once: of each
    start the earliest account counts, and a content that was answered whole is cleared
    of the crashes before that. May be used by many threads.
    """

    def __init__(self, on_news: Callable[[], None] = _tell_nobody) -> None:
        self._on_news = on_news
        self._is_harmless: Callable[[str], bool] = _knows_none
        self._on_cleared: Callable[[], None] = _tell_nobody
        self._history_by_fingerprint: dict[str, CrashHistory] = {}
        self._version_by_fingerprint: dict[str, int] = {}
        self._lock = threading.Lock()
        self.version = 0
        """Of the newest change."""
        self.suspects_version = 0
        """Of the newest change that entry hosts are told of."""

    @property
    def is_empty(self) -> bool:
        """Say whether no content is remembered."""
        return not self._history_by_fingerprint

    def clear_harmless(self, is_harmless: Callable[[str], bool]) -> None:
        """Clear what this host has seen run, whenever crashes of it are told.

        What a host has seen run is known to it alone, and crashes are told by another.
        """
        self._is_harmless = is_harmless

    def tell_cleared(self, on_cleared: Callable[[], None]) -> None:
        """Call this whenever this host has cleared a content."""
        self._on_cleared = on_cleared

    def find(self, fingerprint: str) -> CrashHistory | None:
        """Return what is known of a content, None if nothing is."""
        return self._history_by_fingerprint.get(fingerprint)

    def note_crash(self, fingerprint: str, crash: Crash) -> None:
        """Note that an endpoint has ended while it ran a request of this content."""
        self.take([CrashHistory(fingerprint, (crash,))])

    def clear(self, fingerprint: str) -> bool:
        """Note that a content is harmless now; say whether crashes were known of it."""
        with self._lock:
            known = self._history_by_fingerprint.get(fingerprint)
            if known is None or not known.crashes:
                return False
            cleared = CrashHistory(fingerprint, cleared_at=steady_seconds())
            self._store(known, cleared)
            self._excuse()
        self._on_news()
        self._on_cleared()
        return True

    def take(self, told: Iterable[CrashHistory]) -> None:
        """Take over what is new of what another host tells."""
        harmless = []
        with self._lock:
            before = self.version
            for history in told:
                self._take_one(history)
                if history.crashes and self._is_harmless(history.fingerprint):
                    harmless.append(history.fingerprint)
            is_news = self.version > before
            if is_news:
                self._excuse()
        if is_news:
            self._on_news()
        for fingerprint in harmless:
            self.clear(fingerprint)

    def changes_since(
        self, version: int, suspects_only: bool = False
    ) -> tuple[int, list[CrashHistory]]:
        """Return the newest version, and the histories changed since the given one.

        With `suspects_only`, leave out those with too few crashes to be suspected.
        """
        newest, changed = self._changed_since(version)
        if suspects_only:
            changed = list(filter(_concerns_entry_hosts, changed))
        return newest, changed

    def changes_for_entry_host(self, version: int) -> tuple[int, list[CrashHistory]]:
        """Return the same, of those with few crashes the latest ones alone."""
        newest, changed = self._changed_since(version)
        suspects = [history for history in changed if _concerns_entry_hosts(history)]
        others = [history for history in changed if not _concerns_entry_hosts(history)]
        others.sort(key=lambda history: history.latest_at)
        return newest, suspects + others[-MAXIMUM_TOLD:]

    def held_back(self) -> list[CrashHistory]:
        """Return the histories of the contents that are held back now."""
        with self._lock:
            histories = list(self._history_by_fingerprint.values())
        return [
            history
            for history in histories
            if (until := history.held_until) is not None and not until.expired
        ]

    def forget_old(self) -> None:
        """Drop what needs not be known any more."""
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

    def _take_one(self, told: CrashHistory) -> None:
        known = self._history_by_fingerprint.get(told.fingerprint)
        if known is None:
            known = CrashHistory(told.fingerprint)
        merged = _merged(known, told)
        if merged.crashes == known.crashes:
            # A clearing alone is no change: told from host to host, its instant grows
            # by the time on the way, and would be told for ever.
            return
        if merged.says_as_much_as(known):
            self._history_by_fingerprint[told.fingerprint] = merged
        else:
            self._store(known, merged)

    def _excuse(self) -> None:
        """Decide anew which crashes don't count against contents that were answered.

        Such a crash is put down to another content that had not been answered there,
        if that one ended endpoints before: what waits once beside proves nothing.
        """
        histories = list(self._history_by_fingerprint.values())
        ended = {
            crash.start_id
            for history in histories
            if history.unanswered_count >= SUSPECT_CRASHES
            for crash in history.crashes
            if not crash.answered
        }
        for known in histories:
            answering = {crash.start_id for crash in known.crashes if crash.answered}
            history = replace(known, excused=frozenset(answering & ended))
            if history.count > known.count:
                self._store(known, history)
            else:
                self._history_by_fingerprint[known.fingerprint] = history

    def _store(self, known: CrashHistory, history: CrashHistory) -> None:
        fingerprint = history.fingerprint
        self.version += 1
        self._history_by_fingerprint[fingerprint] = history
        self._version_by_fingerprint[fingerprint] = self.version
        if _concerns_entry_hosts(history):
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


def _concerns_entry_hosts(history: CrashHistory) -> bool:
    return history.is_suspect or not history.crashes


def _instant(crash: Crash) -> float:
    return crash.crashed_at


def _merged(known: CrashHistory, told: CrashHistory) -> CrashHistory:
    cleared_at = max(known.cleared_at, told.cleared_at)
    crash_by_start: dict[str, Crash] = {}
    for crash in (*known.crashes, *told.crashes):
        if crash.crashed_at > cleared_at:
            # Instants that are told come out later by the time on the way: the earliest
            # account of a start is the truest.
            other = crash_by_start.get(crash.start_id, crash)
            answered = crash.answered or other.answered
            earliest = min(crash, other, key=_instant)
            crash_by_start[crash.start_id] = replace(earliest, answered=answered)
    crashes = sorted(crash_by_start.values(), key=_instant)
    latest = tuple(crashes[-MAXIMUM_CRASHES:])
    return CrashHistory(known.fingerprint, latest, cleared_at, known.excused)


def _log_change(known: CrashHistory, history: CrashHistory) -> None:
    extra = {
        "fingerprint": history.fingerprint,
        "crashes": history.count,
        "start_ids": [crash.start_id for crash in history.crashes],
    }
    if known.count < QUARANTINE_CRASHES <= history.count:
        logger.warning(
            "content quarantined", extra={**extra, "for_s": QUARANTINE_SECONDS}
        )
    elif known.is_suspect and not history.crashes:
        logger.info("content cleared", extra={**extra, "crashes_before": known.count})
    elif history.is_suspect:
        logger.info("content suspected", extra=extra)
