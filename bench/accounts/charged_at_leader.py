"""The product's policy: charges at the leader, and at pools without one."""

from __future__ import annotations

import random
from functools import partial

from bench.accounts.control_hosts import NEEDED, VOTERS, ControlHosts
from bench.accounts.loads import ACCOUNT, Arrival, Load
from jujubeslip.accounts import AccountLedger, HostSpending, LeaderlessPool
from jujubeslip.control._leader_absence import LeaderAbsence

SETTLE_SECONDS = 1.0
JOIN_SECONDS = 0.25
# Interval at which control hosts that keep pools ask the others for their silence.
ABSENCE_SECONDS = 0.25
# Time until the leader detects that a host is partitioned.
DETECTION_SECONDS = 3.0
INITIAL_TERM_SECONDS = 30.0


class ChargedAtLeader:
    """The leader charges streams and receives the cost of plain requests."""

    def __init__(self, load: Load, randomness: random.Random) -> None:
        self._load = load
        self._randomness = randomness
        self._controls = ControlHosts(load)
        initial_term_began_at = -INITIAL_TERM_SECONDS
        self._spending = [
            self._new_host(initial_term_began_at) for _ in range(load.hosts)
        ]
        self._ledger = AccountLedger(load.bounds, initial_term_began_at)
        self._term_began_at = initial_term_began_at
        self._settle_at = [
            SETTLE_SECONDS * host / load.hosts for host in range(load.hosts)
        ]
        self._restarted_at = 0.0
        self._join_at = 0.0
        self._ask_at = 0.0
        self._hosts = range(load.hosts)
        self._absences = [LeaderAbsence() for _ in VOTERS]
        self._pool_began_at = [0.0 for _ in VOTERS]
        self._pools = [self._new_pool(voter, 0.0) for voter in VOTERS]
        self.calls = 0

    def _new_host(self, began_at: float) -> HostSpending:
        hosts = self._load.hosts
        return HostSpending(self._load.bounds, lambda: hosts, began_at)

    def _new_pool(self, voter: int, now: float) -> LeaderlessPool:
        began_at = self._controls.pool_began_at(voter, now)
        self._pool_began_at[voter] = began_at
        spans = partial(getattr, self._absences[voter], "spans")
        return LeaderlessPool(self._load.bounds, spans, began_at)

    def admits(self, arrival: Arrival) -> bool:
        """See `LimitPolicy`."""
        now, spending = arrival.at, self._spending[arrival.host]
        if not arrival.is_stream:
            charge = spending.spend(ACCOUNT, arrival.cost, now)
            if not charge.asks_leader:
                return charge.wait == 0
        if not self._controls.reaches_leader(arrival.host, now):
            if spending.spend_without_leader(ACCOUNT, arrival.cost, now):
                return True
            return self._charge_at_pool(arrival.host, arrival.cost, now)
        self.calls += not arrival.is_stream
        charged = self._leader(now).charge(
            ACCOUNT, self._load.limit, arrival.cost, self._ledger_time(now)
        )
        if not arrival.is_stream:
            spending.apply_answer(ACCOUNT, charged, now)
        return charged.wait == 0

    def step(self, now: float) -> None:
        """See `LimitPolicy`."""
        for host, due in enumerate(self._settle_at):
            if due <= now:
                self._settle_at[host] = due + SETTLE_SECONDS
                self._settle(host, due)
        if now >= self._ask_at:
            self._ask_at = now + ABSENCE_SECONDS
            self._ask_voters(now)
        if now >= self._join_at:
            self._join_at = now + JOIN_SECONDS
            for host in range(self._load.hosts):
                if not self._controls.reaches_leader(host, now):
                    self._charge_at_pool(host, 0.0, now)
                else:
                    self._spending[host].end_loan()
        self._restart_hosts(now)

    def _ask_voters(self, now: float) -> None:
        """Let the control hosts that keep pools ask the others for their silence."""
        for voter in VOTERS:
            if self._pools[voter].has_members(now):
                reports = self._controls.silence_reports(voter, now)
                self._absences[voter].add_round(reports, self._needed(), now)

    def _needed(self) -> int:
        return NEEDED

    def _charge_at_pool(self, host: int, cost: float, now: float) -> bool:
        """Charge a request at the first control host that answers."""
        for voter in self._controls.pools_of(host, now)[:2]:
            loan = self._spending[host].lend(str(voter), now)
            if loan is None:
                return False
            load, pool = self._load, self._current_pool(voter, now)
            pool.join(str(host), now, loan, load.hosts)
            may_run = cost > 0 and (
                pool.charge(ACCOUNT, load.limit, cost, load.hosts, now).may_run
            )
            if cost == 0 or self._randomness.random() >= load.lost_replies:
                return may_run
        return False

    def _current_pool(self, voter: int, now: float) -> LeaderlessPool:
        if self._controls.pool_began_at(voter, now) != self._pool_began_at[voter]:
            self._absences[voter] = LeaderAbsence()
            self._pools[voter] = self._new_pool(voter, now)
        return self._pools[voter]

    def _settle(self, host: int, now: float) -> None:
        spending = self._spending[host]
        unreported = spending.take_unreported()
        if not unreported:
            return
        if not self._controls.reaches_leader(host, now):
            spending.mark_unconfirmed(unreported)
            return
        self.calls += 1
        ledger = self._leader(now)
        charges = [
            ledger.settle(
                ACCOUNT, self._load.limit, item.amount, self._ledger_time(now)
            )
            for item in unreported
        ]
        if self._randomness.random() < self._load.lost_replies:
            spending.mark_unconfirmed(unreported)
            return
        spending.confirm(unreported)
        for charge in charges:
            spending.apply_answer(ACCOUNT, charge, now)

    def _ledger_time(self, now: float) -> float:
        """Return the leader's time, which stands still while it has no lease."""
        return self._controls.leased_seconds(now)

    def _leader(self, now: float) -> AccountLedger:
        """Return the ledger of the present leader; a new leader starts a new one."""
        term_began_at = self._controls.term_began_at(now)
        if term_began_at is not None and term_began_at > self._term_began_at:
            self._term_began_at = term_began_at
            began_at = self._ledger_time(term_began_at)
            self._ledger = AccountLedger(self._load.bounds, began_at)
        is_detected = self._load.partition.contains(now - DETECTION_SECONDS)
        is_detected = is_detected and self._load.partition.contains(now)
        cut_hosts = self._load.hosts * self._load.partitioned_share
        heard_from = [not (is_detected and host < cut_hosts) for host in self._hosts]
        share = sum(heard_from) / len(heard_from)
        self._ledger.set_heard_share(share, self._ledger_time(now))
        return self._ledger

    def _restart_hosts(self, now: float) -> None:
        expected = self._load.restarts_per_second * (now - self._restarted_at)
        self._restarted_at = now
        if self._randomness.random() < expected:
            host = self._randomness.randrange(self._load.hosts)
            self._spending[host] = self._new_host(now)


class OneSilentVoter(ChargedAtLeader):
    """Broken on purpose: a control host takes its own silence for that of all."""

    def _needed(self) -> int:
        return 1


class ChargedAtLateRates(ChargedAtLeader):
    """Rates count only once a leader must have missed the hosts, as before."""

    def _needed(self) -> int:
        return len(VOTERS) + 1


class LedgerWithoutLease(ChargedAtLeader):
    """Broken on purpose: the ledger fills while the leader has no valid lease."""

    def _ledger_time(self, now: float) -> float:
        return now
