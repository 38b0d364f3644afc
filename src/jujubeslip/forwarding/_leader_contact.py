"""Finds the control host that leads, and calls it."""

from __future__ import annotations

import logging
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from jujubeslip.discovery import ControlUpdate
from jujubeslip.forwarding._leader_pauses import LeaderPauses
from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import ControlClients, NotLeader, PeerIdentity, PeerRefusal

logger = logging.getLogger(__name__)

T = TypeVar("T")


@dataclass(frozen=True)
class _LeaderReport:
    """The leader that one control host reported last, and its term."""

    address: str
    term: int


class LeaderContact:
    """Determines the leader from the reports of control hosts, and calls it.

    Only reports of the newest term count, whichever host sent them; reports of earlier
    terms are outdated.
    """

    def __init__(self, identity: PeerIdentity, reaches: Callable[[str], bool]) -> None:
        self._reaches = reaches
        self._clients = ControlClients(identity)
        self._report_by_sender: dict[str, _LeaderReport] = {}
        self._pauses = LeaderPauses()
        self._resigned_term_by_address: dict[str, int] = {}
        """Newest term in which hosts said themselves that they do not lead."""
        self._last_logged_address: str | None = None
        self._lock = threading.Lock()

    def apply_update(self, update: ControlUpdate) -> None:
        """Record the leader that a control host reports."""
        report = _LeaderReport(update.leader_address, update.leader_term)
        with self._lock:
            self._record_report(update.address, report)

    def _record_report(self, sender: str, report: _LeaderReport) -> None:
        """Record what a host reported; the caller holds the lock."""
        if report.term > self._newest_term():
            # The host was elected after calls to it failed.
            self._pauses.forget(report.address)
        elif sender == report.address:
            self._pauses.forget_lapsed(report.address)
        before = self._report_by_sender.get(sender)
        if not report.address and before is not None:
            # The sender hears from no leader any more, so the leader that it reported
            # before no longer leads.
            report = _LeaderReport("", max(before.term, report.term))
        self._report_by_sender[sender] = report

    def _newest_reports(self) -> list[_LeaderReport]:
        """Return the reports of the newest term; the caller holds the lock.

        A report counts while its sender or the leader that it names is reachable.
        Otherwise, if all control hosts were replaced and their terms began at 1 again,
        the reports of the previous ones would still count as the newest.
        """
        reports = [
            report
            for sender, report in self._report_by_sender.items()
            if self._reaches(sender) or self._reaches(report.address)
        ]
        newest = max((report.term for report in reports), default=0)
        return [report for report in reports if report.term == newest]

    def _newest_term(self) -> int:
        return max((report.term for report in self._newest_reports()), default=0)

    @property
    def has_skipped_leader(self) -> bool:
        """Return whether a reachable leader is skipped for the moment.

        Its own answer was late, or it is renewing a lapsed lease; it is called again
        soon. A leader beyond a network partition isn't reachable.
        """
        with self._lock:
            return any(
                self._reaches(address) and self._pauses.has_failed(address)
                for address in self._named_addresses()
            )

    @property
    def has_leader(self) -> bool:
        """Return whether a leader is known that has not failed the latest call."""
        address = self.address()
        with self._lock:
            return address is not None and not self._pauses.has_failed(address)

    def address(self) -> str | None:
        """Return the address of the newest leader, None if it may not be called.

        A control host that is cut off may still report the previous leader. If reports
        carry no term, the majority decides.
        """
        with self._lock:
            candidates = Counter(
                address
                for address in self._named_addresses()
                if not self._pauses.is_paused(address)
            )
            # Otherwise each request would wait for a host beyond a network partition.
            candidates = Counter(
                {key: n for key, n in candidates.items() if self._reaches(key)}
            )
            address = candidates.most_common(1)[0][0] if candidates else None
            # One that has failed is only probed until it answers.
            if address is None or not self._pauses.has_failed(address):
                self._log_change(address)
        return address

    def _named_addresses(self) -> list[str]:
        """Return the hosts that the newest reports name; the caller holds the lock.

        A host that has said itself that it no longer leads in that term is left out,
        although others may go on naming it until they miss it.
        """
        return [
            report.address
            for report in self._newest_reports()
            if report.address and not self._has_resigned(report)
        ]

    def _has_resigned(self, report: _LeaderReport) -> bool:
        resigned_term = self._resigned_term_by_address.get(report.address, 0)
        return 0 < report.term <= resigned_term

    def _log_change(self, address: str | None) -> None:
        """Log which host is called from now on; the caller holds the lock."""
        if address == self._last_logged_address:
            return
        self._last_logged_address = address
        extra = {
            "address": address or "",
            "told": {
                sender: [report.address, report.term]
                for sender, report in self._report_by_sender.items()
            },
            "paused": self._pauses.paused_addresses,
        }
        logger.info("leader to call changed", extra=extra)

    def call(
        self,
        address: str,
        request_id: str,
        timeout: float,
        rpc: Callable[[Any], T],
    ) -> T | None:
        """Return the answer of the host at this address, None if it doesn't lead.

        A host that does not answer within the timeout, in seconds, or that refuses is
        skipped for a while, too. If the connection stays silent, the call is repeated
        once on a new connection with the same timeout, unless another host leads by
        then.
        """
        client = self._clients.get(address)

        def call_with_retry() -> T:
            try:
                return client.call_within(rpc, timeout)
            except PeerUnavailableError:
                if not self._is_named(address):
                    raise
            return client.call_within(rpc, timeout)

        return self._call_and_record(address, request_id, timeout, call_with_retry)

    def _is_named(self, address: str) -> bool:
        with self._lock:
            return address in self._named_addresses()

    def call_within(
        self,
        address: str,
        request_id: str,
        timeout: float,
        rpc: Callable[[Any], T],
    ) -> T | None:
        """Call the host once, without a repetition on a new connection.

        For requests that can proceed without the leader: beyond a network partition
        both connections are silent, and two timeouts would use up a stream's target.
        """
        client = self._clients.get(address)
        return self._call_and_record(
            address, request_id, timeout, lambda: client.call_within(rpc, timeout)
        )

    def _call_and_record(
        self, address: str, request_id: str, timeout: float, rpc: Callable[[], T]
    ) -> T | None:
        with self._lock:
            was_probe = self._pauses.begin_call(address, timeout)
            term = self._newest_term()
        try:
            answer = rpc()
        except NotLeader as error:
            self._record_not_leading(address, term, request_id, error, was_probe)
            return None
        except PeerRefusal as error:
            self._pause(address, term, request_id, str(error))
            return None
        except PeerUnavailableError as error:
            self._pause(address, term, request_id, str(error), is_unresponsive=True)
            return None
        with self._lock:
            self._pauses.forget_answered(address)
        return answer

    def call_control_host(
        self, address: str, timeout: float, rpc: Callable[[Any], T]
    ) -> T | PeerRefusal | None:
        """Return the answer or the refusal of any control host, None if it is silent.

        Between both connections that may be tried, the timeout counts once.
        """
        try:
            return self._clients.get(address).call_within(rpc, timeout)
        except PeerRefusal as refusal:
            return refusal
        except PeerUnavailableError as error:
            extra = {"address": address, "error": str(error)}
            logger.info("call to control host failed", extra=extra)
            return None

    def reachable_control_hosts(self) -> list[str]:
        """Return the reachable control hosts, in the order of addresses.

        Hosts that reach the same control hosts choose the same one.
        """
        with self._lock:
            senders = sorted(self._report_by_sender)
        return [sender for sender in senders if self._reaches(sender)]

    def notify(self, rpc: Callable[[Any], Any], timeout: float) -> str:
        """Send the leader a notification; return why it failed, empty if it did not."""
        address = self.address()
        if address is None:
            return "no leader is known"
        try:
            self._clients.get(address).call(rpc, timeout)
        except (PeerUnavailableError, PeerRefusal, NotLeader) as failure:
            return f"{address}: {failure}"
        return ""

    def _record_not_leading(
        self,
        address: str,
        term: int,
        request_id: str,
        error: NotLeader,
        was_probe: bool,
    ) -> None:
        """Skip a host that says that it doesn't lead.

        If it names neither another leader nor a term and is still reported as the
        newest leader, it leads without a valid lease and is called again soon. With a
        term, it has stepped down, and is called again once it leads in a later one.
        """
        resigned_term = 0 if error.leader_address else error.leader_term or 0
        is_lapsed = not (error.leader_address or resigned_term)
        if is_lapsed and self._is_named(address):
            with self._lock:
                if term == self._newest_term():
                    self._pauses.pause_lapsed(address, was_probe)
            extra = {"address": address, "request_id": request_id, "term": term}
            logger.info("leader has no lease", extra=extra)
            return
        self._pause(address, term, request_id, "it does not lead")
        with self._lock:
            if error.leader_address:
                report = _LeaderReport(error.leader_address, error.leader_term or 0)
                self._record_report(address, report)
            resigned_before = self._resigned_term_by_address.get(address, 0)
            self._resigned_term_by_address[address] = max(
                resigned_before, resigned_term
            )

    def _pause(
        self,
        address: str,
        term: int,
        request_id: str,
        reason: str,
        is_unresponsive: bool = False,
    ) -> None:
        """Skip a host whose call in this term failed."""
        with self._lock:
            # The host may have been elected during the call.
            if term == self._newest_term():
                self._pauses.pause(address, is_unresponsive)
        extra = {"address": address, "request_id": request_id, "reason": reason}
        logger.info("leader skipped after a failed call", extra=extra)
