"""Tells a control host at once of crashes that this host has seen."""

from __future__ import annotations

import logging
import threading
from typing import Any

from jujubeslip.discovery import ControlFollowers
from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.kernel import Deadline, Process
from jujubeslip.peers import CrashRecord
from jujubeslip.quarantine import CrashBook, to_crash_record

logger = logging.getLogger(__name__)

MILLISECONDS = 1000
# How long a control host may take to answer before the next one is told, in seconds.
ANSWER_SECONDS = 0.25


class CrashNews:
    """Tells of crashes before the next watch, which may wait for most of a second.

    One control host is enough: it tells those that watch it, and these are all hosts
    that it reaches. Hosts that it doesn't reach hear of the crashes by other watches.
    """

    def __init__(
        self,
        process: Process,
        host_id: str,
        crash_book: CrashBook,
        followers: ControlFollowers,
        contact: LeaderContact,
    ) -> None:
        self._process = process
        self._host_id = host_id
        self._crash_book = crash_book
        self._followers = followers
        self._contact = contact
        self._told_version = 0
        self._is_telling = False
        self._lock = threading.Lock()

    def tell(self) -> None:
        """Tell what is new, in a task of its own; returns at once."""
        with self._lock:
            if self._is_telling:
                return
            self._is_telling = True
        self._process.start_task(self._run)

    def _run(self) -> None:
        while self._has_more():
            version, histories = self._crash_book.changes_since(self._told_version)
            self._tell_one([to_crash_record(history) for history in histories])
            self._told_version = version

    def _has_more(self) -> bool:
        """Say whether there is something to tell; the task ends otherwise."""
        with self._lock:
            self._is_telling = self._crash_book.version > self._told_version
            return self._is_telling

    def _tell_one(self, crashes: list[CrashRecord]) -> None:
        """Tell the first control host that answers; without one, watches tell later."""
        begun = Deadline.after(0)

        def ask(peer: Any) -> bool:
            peer.tell_crashes(self._host_id, crashes)
            return True

        reached = filter(self._followers.reaches, self._followers.addresses())
        told = next(
            (
                address
                for address in reached
                if self._contact.call_control_host(address, ANSWER_SECONDS, ask)
            ),
            "",
        )
        extra = {
            "address": told,
            "contents": len(crashes),
            "took_ms": int(begun.overdue() * MILLISECONDS),
        }
        logger.info("crashes told", extra=extra)
