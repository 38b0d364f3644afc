"""The control hosts of the model: who leads with a lease, and who hears from a leader.

Six voters stand in three zones, two in each. A leader's lease lasts for a while after
the latest answers of a majority; a voter that has answered no leader for longer counts
as silent. The leader is always one of the last voters, whose zone is not partitioned.
"""

from __future__ import annotations

from collections.abc import Iterable

from bench.accounts.loads import Load, Span
from jujubeslip.control._leader_absence import SilenceReport

VOTERS = range(6)
# Voters of the zone that is partitioned, and of each half of a split.
PARTITIONED = frozenset((0, 1))
HALVES = (frozenset((0, 1, 2)), frozenset((3, 4, 5)))
# How many silent voters rule out a lease.
NEEDED = 3
LEASE_SECONDS = 0.63
ELECTION_SECONDS = 0.7
# Time from the end of a split to the lease of the next leader.
TAKEOVER_SECONDS = 0.4
CALL_SECONDS = 0.005


class ControlHosts:
    """The state of the control hosts under a load's faults."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._lost = [
            *load.without_leader,
            *(
                Span(split.begins + LEASE_SECONDS, split.ends + TAKEOVER_SECONDS)
                for split in load.core_splits
            ),
        ]
        self._without_lease = _merged([*self._lost, *load.lapses])
        self._unheard_by_voter = [_merged(self._unheard(voter)) for voter in VOTERS]

    def has_lease(self, now: float) -> bool:
        """Return whether a leader has a valid lease."""
        return not any(span.contains(now) for span in self._without_lease)

    def term_began_at(self, now: float) -> float | None:
        """Return when the newest leader began, None for the first one."""
        ended = [span.ends for span in self._lost if span.ends <= now]
        return max(ended, default=None)

    def leased_seconds(self, now: float) -> float:
        """Return for how long a lease has been valid until now."""
        return now - sum(
            max(0.0, min(now, span.ends) - span.begins) for span in self._without_lease
        )

    def reaches_leader(self, host: int, now: float) -> bool:
        """Return whether a host reaches a leader that has a valid lease."""
        return self.has_lease(now) and 5 in self._reachable(host, now)

    def pools_of(self, host: int, now: float) -> list[int]:
        """Return the control hosts whose pools a host may join, in order."""
        is_lost = any(span.contains(now) for span in self._load.pool_losses)
        reachable = sorted(self._reachable(host, now))
        return [voter for voter in reachable if not (is_lost and voter % 2 == 0)]

    def pool_began_at(self, voter: int, now: float) -> float:
        """Return when the process of a control host began."""
        ended = [span.ends for span in self._load.pool_losses if span.ends <= now]
        return max(ended, default=-60.0) if voter % 2 == 0 else -60.0

    def silence_reports(self, asking: int, now: float) -> list[SilenceReport]:
        """Return the answers of the voters that a control host reaches."""
        reports = []
        for voter in VOTERS:
            silent = self._silent_seconds(voter, now)
            if silent is not None and self._voters_connected(asking, voter, now):
                reports.append(SilenceReport(silent, now - CALL_SECONDS, now))
        return reports

    def _unheard(self, voter: int) -> Iterable[Span]:
        """Yield when a voter answers no leader."""
        load = self._load
        # The lease ends when that of the latest answers does.
        for span in (*load.without_leader, *load.lapses):
            yield Span(span.begins - LEASE_SECONDS, span.ends)
        for split in load.core_splits:
            # The leader goes on for a while on its own side.
            begins = split.begins + (ELECTION_SECONDS if voter in HALVES[1] else 0.0)
            yield Span(begins, split.ends + TAKEOVER_SECONDS)
        if voter in PARTITIONED and load.partitioned_share:
            yield load.partition

    def _silent_seconds(self, voter: int, now: float) -> float | None:
        for span in self._unheard_by_voter[voter]:
            if span.contains(now) and now > span.begins + ELECTION_SECONDS:
                return now - span.begins - ELECTION_SECONDS
        return None

    def _voters_connected(self, one: int, other: int, now: float) -> bool:
        if self._is_partition(now) and (one in PARTITIONED) != (other in PARTITIONED):
            return False
        is_split = any(span.contains(now) for span in self._load.core_splits)
        return not is_split or (one in HALVES[0]) == (other in HALVES[0])

    def _reachable(self, host: int, now: float) -> frozenset[int]:
        load = self._load
        reachable = frozenset(VOTERS)
        if self._is_partition(now):
            is_cut = host < load.hosts * load.partitioned_share
            reachable = PARTITIONED if is_cut else reachable - PARTITIONED
        is_split = any(span.contains(now) for span in load.core_splits)
        if is_split and load.splits_hosts and len(reachable) > len(PARTITIONED):
            reachable &= HALVES[host % 2]
        return reachable

    def _is_partition(self, now: float) -> bool:
        load = self._load
        return bool(load.partitioned_share) and load.partition.contains(now)


def _merged(spans: Iterable[Span]) -> list[Span]:
    merged: list[Span] = []
    for span in sorted(spans, key=lambda item: item.begins):
        if merged and span.begins <= merged[-1].ends:
            ends = max(merged[-1].ends, span.ends)
            merged[-1] = Span(merged[-1].begins, ends)
        else:
            merged.append(span)
    return merged
