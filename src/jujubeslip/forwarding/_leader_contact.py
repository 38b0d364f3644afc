"""Finds the control host that leads, and calls it."""

from __future__ import annotations

import logging
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from jujubeslip.discovery import ControlUpdate
from jujubeslip.kernel import Deadline, PeerUnavailableError
from jujubeslip.peers import ControlClients, NotLeader, PeerIdentity, PeerRefusal

logger = logging.getLogger(__name__)

T = TypeVar("T")

# How long a host that did not answer, or does not lead, is skipped, in seconds.
PAUSE_SECONDS = 0.7
# How long a leader whose lease has lapsed is skipped, in seconds. The pause is short,
# since the next answer of its delayed followers renews the lease.
LAPSED_PAUSE_SECONDS = 0.1


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
        self._paused_until_by_address: dict[str, Deadline] = {}
        self._unresponsive_addresses: set[str] = set()
        """Hosts that did not answer the latest call."""
        self._lapsed_addresses: set[str] = set()
        """Leaders that had no valid lease at the latest call."""
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
            self._forget_failures(report.address)
        before = self._report_by_sender.get(sender)
        if not report.address and before is not None:
            # The sender hears from no leader any more, so the leader that it reported
            # before no longer leads.
            report = _LeaderReport("", max(before.term, report.term))
        self._report_by_sender[sender] = report

    def _forget_failures(self, address: str) -> None:
        """Allow calls to a host at once; the caller holds the lock."""
        self._paused_until_by_address.pop(address, None)
        self._unresponsive_addresses.discard(address)
        self._lapsed_addresses.discard(address)

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
            candidates = {report.address for report in self._newest_reports()}
            candidates &= self._unresponsive_addresses | self._lapsed_addresses
            return any(self._reaches(address) for address in candidates)

    def address(self) -> str | None:
        """Return the address of the newest leader, None if it may not be called.

        A control host that is cut off may still report the previous leader. If reports
        carry no term, the majority decides.
        """
        with self._lock:
            candidates = Counter(
                report.address
                for report in self._newest_reports()
                if report.address and not self._is_paused(report.address)
            )
            # Otherwise each request would wait for a host beyond a network partition.
            candidates = Counter(
                {key: n for key, n in candidates.items() if self._reaches(key)}
            )
            address = candidates.most_common(1)[0][0] if candidates else None
            self._log_change(address)
        return address

    def _log_change(self, address: str | None) -> None:
        """Log which host is called from now on; the caller holds the lock."""
        if address == self._last_logged_address:
            return
        self._last_logged_address = address
        paused = [
            item for item in self._paused_until_by_address if self._is_paused(item)
        ]
        extra = {
            "address": address or "",
            "told": {
                sender: [report.address, report.term]
                for sender, report in self._report_by_sender.items()
            },
            "paused": paused,
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
            return address in {report.address for report in self._newest_reports()}

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
        term = self._record_call(address, timeout)
        try:
            answer = rpc()
        except NotLeader as error:
            self._pause_not_leading(address, term, request_id, error)
            if error.leader_address:
                report = _LeaderReport(error.leader_address, error.leader_term or 0)
                with self._lock:
                    self._record_report(address, report)
            return None
        except PeerRefusal as error:
            self._pause(address, term, request_id, str(error))
            return None
        except PeerUnavailableError as error:
            self._pause(address, term, request_id, str(error), is_unresponsive=True)
            return None
        self._record_answer(address)
        return answer

    def call_control_host(
        self, address: str, timeout: float, rpc: Callable[[Any], T]
    ) -> T | None:
        """Return the answer of any control host, None if it gives none."""
        try:
            return self._clients.get(address).call(rpc, timeout)
        except (PeerUnavailableError, PeerRefusal) as error:
            extra = {"address": address, "error": str(error)}
            logger.info("call to control host failed", extra=extra)
            return None

    def first_reachable(self) -> str | None:
        """Return the first reachable control host, in the order of addresses.

        Hosts that reach the same control hosts choose the same one.
        """
        with self._lock:
            senders = sorted(self._report_by_sender)
        return next((item for item in senders if self._reaches(item)), None)

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

    def _record_call(self, address: str, timeout: float) -> int:
        """Record a call and return the term in which it is made.

        While one request waits for a host that did not answer before, the others skip
        that host. A host beyond a network partition counts as reachable until a watch
        request to it fails, which takes up to two seconds. In that time, each request
        that comes after the pause would wait for a call that cannot succeed.
        """
        with self._lock:
            if address in self._unresponsive_addresses:
                self._paused_until_by_address[address] = Deadline.after(timeout)
            return self._newest_term()

    def _record_answer(self, address: str) -> None:
        with self._lock:
            if address in self._unresponsive_addresses | self._lapsed_addresses:
                self._forget_failures(address)

    def _pause_not_leading(
        self, address: str, term: int, request_id: str, error: NotLeader
    ) -> None:
        """Skip a host that says that it doesn't lead.

        If it knows no other leader and is still reported as the newest one, it leads
        without a valid lease and is called again soon.
        """
        is_lapsed = not error.leader_address and self._is_named(address)
        with self._lock:
            if is_lapsed and term == self._newest_term():
                paused = Deadline.after(LAPSED_PAUSE_SECONDS)
                self._paused_until_by_address[address] = paused
                self._lapsed_addresses.add(address)
        if not is_lapsed:
            self._pause(address, term, request_id, "it does not lead")
            return
        extra = {"address": address, "request_id": request_id, "term": term}
        logger.info("leader has no lease", extra=extra)

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
                self._paused_until_by_address[address] = Deadline.after(PAUSE_SECONDS)
                if is_unresponsive:
                    self._unresponsive_addresses.add(address)
        extra = {"address": address, "request_id": request_id, "reason": reason}
        logger.info("leader skipped after a failed call", extra=extra)

    def _is_paused(self, address: str) -> bool:
        paused = self._paused_until_by_address.get(address)
        return paused is not None and not paused.expired
