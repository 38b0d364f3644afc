"""Reports crashes that this host has seen to a control host at once."""

from __future__ import annotations

import logging
import threading
from typing import Any

from jujubeslip.discovery import ControlFollowers
from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.kernel import Deadline, Process
from jujubeslip.peers import CrashRecord
from jujubeslip.quarantine import CrashRegistry, to_crash_record

logger = logging.getLogger(__name__)

MILLISECONDS = 1000
# Timeout of a call to a control host before the next one is called, in seconds.
CALL_TIMEOUT_SECONDS = 0.25


class CrashReporter:
    """Reports crashes before the next watch, which may take most of a second.

    One control host is enough: it notifies the hosts that watch it, which are all hosts
    that it reaches. The others learn of the crashes through other watches.
    """

    def __init__(
        self,
        process: Process,
        host_id: str,
        crash_registry: CrashRegistry,
        followers: ControlFollowers,
        leader_contact: LeaderContact,
    ) -> None:
        self._process = process
        self._host_id = host_id
        self._crash_registry = crash_registry
        self._followers = followers
        self._leader_contact = leader_contact
        self._reported_version = 0
        self._is_reporting = False
        self._lock = threading.Lock()

    def report(self) -> None:
        """Start a task that reports what is new; return at once."""
        with self._lock:
            if self._is_reporting:
                return
            self._is_reporting = True
        self._process.start_task(self._run)

    def _run(self) -> None:
        while self._has_more():
            version, histories = self._crash_registry.changes_since(
                self._reported_version
            )
            self._report_to_first([to_crash_record(history) for history in histories])
            self._reported_version = version

    def _has_more(self) -> bool:
        """Return whether there is something to report; if not, the task ends."""
        with self._lock:
            self._is_reporting = self._crash_registry.version > self._reported_version
            return self._is_reporting

    def _report_to_first(self, crashes: list[CrashRecord]) -> None:
        """Report to the first control host that answers.

        If none answers, the watches report the crashes later.
        """
        started = Deadline.after(0)

        def rpc(peer: Any) -> bool:
            peer.tell_crashes(self._host_id, crashes)
            return True

        reachable = filter(self._followers.reaches, self._followers.addresses())
        reported_to = next(
            (
                address
                for address in reachable
                if self._leader_contact.call_control_host(
                    address, CALL_TIMEOUT_SECONDS, rpc
                )
            ),
            "",
        )
        extra = {
            "address": reported_to,
            "contents": len(crashes),
            "took_ms": int(started.overdue() * MILLISECONDS),
        }
        logger.info("crashes reported", extra=extra)
