"""The hosts that have lent their shares to a pool, and for which times.

A host is the authority on when its shares were lent to which pool: it reports for how
long it has lent them, so that a message that is handled late adds no time in which they
were lent elsewhere, or a leader granted them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

Spans = Sequence[tuple[float, float]]

# How long a host must have been without a leader before its equal share of the rate
# counts although a leader may grant, in seconds. By then the leader, whose
# WATCHER_TIMEOUT_SECONDS is shorter, counts the host as partitioned and withholds that
# share. The share counts until RATE_DURATION_SECONDS, which is shorter than
# ENTRY_HOST_RETENTION_SECONDS, after which the leader no longer withholds it.
RATE_DELAY_SECONDS = 3.5
RATE_DURATION_SECONDS = 300.0
# A host that has not joined again for this long no longer counts, in seconds. Hosts
# join several times as often.
JOIN_LIFETIME_SECONDS = 2.0
# A host that joins again after a longer pause than this had a leader in between, in
# seconds: hosts without one join several times as often.
REJOIN_SECONDS = 1.0
# How long ago a time without a leader may have ended if it is expected to continue, in
# seconds; control hosts ask each other several times as often.
CONTINUES_SECONDS = 0.6


@dataclass(frozen=True)
class Loan:
    """A host's shares of all limits, lent to one pool from some time on."""

    loan_id: int
    """Distinguishes the loans of a host."""
    lent_seconds: float
    """For how long the shares have been lent, by the host's clock."""
    has_base: bool = True
    """Whether the share of the overage and the slack is lent, too, not only the rate.

    A host that moves to another pool lends that share only a window later.
    """


@dataclass
class _Member:
    loan: Loan
    began_at: float
    last_join_at: float
    hosts: int
    is_reported: bool
    """Whether the host reports itself for how long its shares were lent."""

    def lent_span(self, now: float) -> tuple[float, float]:
        """Return from when until when the shares are known to be lent here."""
        if not self.is_reported:
            return self.began_at, now
        return self.began_at, min(now, self.began_at + self.loan.lent_seconds)


class PoolMembers:
    """The hosts that have joined a pool; times are those of the pool's host."""

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._member_by_host: dict[str, _Member] = {}
        self._ended_spans: deque[tuple[float, float]] = deque()
        """When shares were lent in loans that others have followed."""

    def join(self, host_id: str, now: float, loan: Loan | None, hosts: int) -> None:
        """Add a host's shares, or renew them; hosts of older builds report no loan."""
        self._remove_expired(now)
        before = self._member_by_host.get(host_id)
        is_reported = loan is not None
        loan = loan or _assumed_loan(before, now)
        began_at = now - loan.lent_seconds
        if before is None:
            self._member_by_host[host_id] = _Member(
                loan, began_at, now, hosts, is_reported
            )
        elif before.loan.loan_id == loan.loan_id:
            before.loan = max(before.loan, loan, key=lambda item: item.lent_seconds)
            before.began_at = min(before.began_at, began_at)
            before.last_join_at, before.hosts = now, hosts
        elif before.loan.loan_id < loan.loan_id:
            ended_at = before.lent_span(now)[1]
            if before.is_reported:
                self._ended_spans.append((before.began_at, ended_at))
                began_at = max(began_at, ended_at)
            self._member_by_host[host_id] = _Member(
                loan, began_at, now, hosts, is_reported
            )

    def count(self, now: float) -> int:
        """Return the number of hosts that lend their shares."""
        return len(self._live(now))

    def lent_bases(self, now: float) -> int:
        """Return the number of hosts that lend more than their share of the rate."""
        return sum(member.loan.has_base for member in self._live(now))

    def most_known_hosts(self, now: float) -> int:
        """Return the largest number of hosts that a host with a loan knows."""
        reported = [member for member in self._live(now) if member.is_reported]
        return max([1, len(reported), *(member.hosts for member in reported)])

    def counted_spans(
        self, leaderless_spans: Spans, window: tuple[float, float]
    ) -> list[tuple[float, float]]:
        """Return the times until now for which a host's rate counts, for all hosts."""
        now = window[1]
        self._remove_expired(now)
        while self._ended_spans and self._ended_spans[0][1] < window[0]:
            self._ended_spans.popleft()
        lent = [member.lent_span(now) for member in self._member_by_host.values()]
        spans = [span for span in leaderless_spans if span[1] > window[0]]
        return [
            counted
            for span in (*lent, *self._ended_spans)
            for counted in _counted_spans(span, spans, window)
        ]

    def rate_growth(self, leaderless_spans: Spans, now: float) -> float:
        """Return by how much these seconds grow each second as far as is known."""
        live = self._live(now)
        if leaderless_spans and leaderless_spans[-1][1] >= now - CONTINUES_SECONDS:
            return float(len(live))
        return float(
            sum(now - member.began_at >= RATE_DELAY_SECONDS for member in live)
        )

    def _live(self, now: float) -> list[_Member]:
        oldest = now - JOIN_LIFETIME_SECONDS
        return [
            member
            for member in self._member_by_host.values()
            if member.last_join_at >= oldest
        ]

    def _remove_expired(self, now: float) -> None:
        """Remove hosts that have left; reported loans count for the window."""
        for host_id, member in list(self._member_by_host.items()):
            kept = self._window_seconds if member.is_reported else 0.0
            if member.last_join_at < now - JOIN_LIFETIME_SECONDS - kept:
                del self._member_by_host[host_id]


def _assumed_loan(before: _Member | None, now: float) -> Loan:
    """Return the loan of a host that reports nothing about it."""
    if before is None:
        return Loan(0, 0.0)
    if before.last_join_at < now - REJOIN_SECONDS:
        # It had a leader in between, which granted the whole rate.
        return Loan(before.loan.loan_id + 1, 0.0)
    return Loan(before.loan.loan_id, now - before.began_at)


def _counted_spans(
    lent: tuple[float, float], leaderless_spans: Spans, window: tuple[float, float]
) -> Iterator[tuple[float, float]]:
    """Yield the times of the window in which a host's rate counts.

    It counts while it is lent and no leader can grant, or a leader that could would
    have missed the host.
    """
    missed = (lent[0] + RATE_DELAY_SECONDS, lent[0] + RATE_DURATION_SECONDS)
    for span in (missed, *_without(leaderless_spans, missed)):
        begin = max(span[0], lent[0], window[0])
        end = min(span[1], lent[1], window[1])
        if begin < end:
            yield begin, end


def _without(
    spans: Spans, removed: tuple[float, float]
) -> Iterator[tuple[float, float]]:
    """Yield what is left of the spans without another one."""
    for begin, end in spans:
        yield begin, min(end, removed[0])
        yield max(begin, removed[1]), end
