"""Registry of the request contents that crash endpoints, as known to this host."""

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

# The maximum number of stored contents; those with the fewest crashes are evicted
# first.
MAXIMUM_CONTENTS = 500
# The maximum number of stored crashes per content; the latest ones are kept.
MAXIMUM_CRASHES = 8
# The maximum number of contents with too few crashes to be suspected that one reply
# reports to an entry host. The latest ones are reported, since any host may have seen
# them run without a crash.
MAXIMUM_UNSUSPECTED = 20


def _do_nothing() -> None:
    pass


def _never_harmless(fingerprint: str) -> bool:
    return False


class CrashRegistry:
    """Crash histories by fingerprint, with a version number for each change.

    Hosts report changes to each other in any order and possibly repeatedly. Of several
    reports of a start's crash the earliest time is used, and a complete answer to a
    content clears the crashes before it. The registry is thread-safe.
    """

    def __init__(self, on_change: Callable[[], None] = _do_nothing) -> None:
        self._on_change = on_change
        self._is_harmless: Callable[[str], bool] = _never_harmless
        self._on_cleared: Callable[[], None] = _do_nothing
        self._history_by_fingerprint: dict[str, CrashHistory] = {}
        self._version_by_fingerprint: dict[str, int] = {}
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

    def set_cleared_callback(self, on_cleared: Callable[[], None]) -> None:
        """Set the callback for when this host has cleared a content."""
        self._on_cleared = on_cleared

    def find(self, fingerprint: str) -> CrashHistory | None:
        """Return the crash history of a content, or None if it has none."""
        return self._history_by_fingerprint.get(fingerprint)

    def record_crash(self, fingerprint: str, crash: Crash) -> None:
        """Record that an endpoint exited while it ran a request of this content."""
        self.merge([CrashHistory(fingerprint, (crash,))])

    def clear(self, fingerprint: str) -> bool:
        """Clear the crashes of a harmless content; return whether it had any."""
        with self._lock:
            known = self._history_by_fingerprint.get(fingerprint)
            if known is None or not known.crashes:
                return False
            cleared = CrashHistory(fingerprint, cleared_at=steady_seconds())
            self._store(known, cleared)
            self._update_excused()
        self._on_change()
        self._on_cleared()
        return True

    def merge(self, reported: Iterable[CrashHistory]) -> None:
        """Merge the histories that another host reports."""
        harmless = []
        with self._lock:
            version_before = self.version
            for history in reported:
                self._merge_one(history)
                if history.crashes and self._is_harmless(history.fingerprint):
                    harmless.append(history.fingerprint)
            is_changed = self.version > version_before
            if is_changed:
                self._update_excused()
        if is_changed:
            self._on_change()
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

    def quarantined_contents(self) -> list[CrashHistory]:
        """Return the histories of the contents that are currently quarantined."""
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

    def _merge_one(self, reported: CrashHistory) -> None:
        known = self._history_by_fingerprint.get(reported.fingerprint)
        if known is None:
            known = CrashHistory(reported.fingerprint)
        merged = _merged(known, reported)
        if merged.crashes == known.crashes:
            # A different clearing time is no change by itself: it grows by the network
            # delay with each report, so it would be reported between hosts forever.
            return
        if merged.has_same_crashes_as(known):
            self._history_by_fingerprint[reported.fingerprint] = merged
        else:
            self._store(known, merged)

    def _update_excused(self) -> None:
        """Update which crashes of each content are attributed to another content.

        If a request was already being answered when its endpoint crashed, the crash is
        attributed to a content that had no answer there yet, provided that this content
        has enough crashes without an answer to be a suspect. A single crash is not
        enough.
        """
        histories = list(self._history_by_fingerprint.values())
        starts_crashed_by_suspects = {
            crash.start_id
            for history in histories
            if history.unanswered_count >= SUSPECT_CRASHES
            for crash in history.crashes
            if not crash.answered
        }
        for known in histories:
            answering = {crash.start_id for crash in known.crashes if crash.answered}
            history = replace(
                known, excused=frozenset(answering & starts_crashed_by_suspects)
            )
            if history.count > known.count:
                self._store(known, history)
            else:
                self._history_by_fingerprint[known.fingerprint] = history

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


def _merged(known: CrashHistory, reported: CrashHistory) -> CrashHistory:
    cleared_at = max(known.cleared_at, reported.cleared_at)
    crash_by_start: dict[str, Crash] = {}
    for crash in (*known.crashes, *reported.crashes):
        if crash.crashed_at > cleared_at:
            # The network delay makes reported times later, so the earliest report of a
            # start's crash is the most accurate.
            other = crash_by_start.get(crash.start_id, crash)
            answered = crash.answered or other.answered
            earliest = min(crash, other, key=_crash_time)
            crash_by_start[crash.start_id] = replace(earliest, answered=answered)
    crashes = sorted(crash_by_start.values(), key=_crash_time)
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
