"""The ControlPeer service, called by entry hosts, operators and replicas."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from jujubeslip.admission import AdmissionHome
from jujubeslip.control._account_limit_manager import AccountLimitManager
from jujubeslip.control._claims import ClaimsFull
from jujubeslip.control._commands import NoOp
from jujubeslip.control._configurations import ChangeIdReused
from jujubeslip.control._endpoint_limit_manager import EndpointLimitManager
from jujubeslip.control._joining import own_description
from jujubeslip.control._membership_changes import MembershipChanges
from jujubeslip.control._receiver import Receiver
from jujubeslip.control._replica import Replica
from jujubeslip.control._validation import (
    check_claim,
    check_declaration,
    check_removal,
    check_version,
)
from jujubeslip.control._watches import Watches
from jujubeslip.kernel import Deadline
from jujubeslip.peers import (
    AbandonCommand,
    AccountSpending,
    AccountState,
    AccountUse,
    AdmissionNews,
    AdmissionReply,
    AdmissionRequest,
    AppendReply,
    AppendRequest,
    ApplyReply,
    ApplyRequest,
    Configuration,
    ControlStatus,
    CrashRecord,
    EndpointLimitState,
    EndpointRemoval,
    EndpointSpending,
    FinishCommand,
    KeyClaim,
    KeyReply,
    LeaderSilence,
    PackedConfiguration,
    PeerRefusal,
    ReplicaDescription,
    ReplicaStatus,
    SnapshotPiece,
    SnapshotReply,
    VersionedCommand,
    VoteReply,
    VoteRequest,
    WatchReply,
    WatchRequest,
)
from jujubeslip.quarantine import CrashRegistry, to_crash_record, usable_histories

APPLY_SECONDS = 5.0
READ_SECONDS = 2.0
MAXIMUM_WAIT_SECONDS = 30.0
MAXIMUM_HISTORY_REPLY = 100


class ControlHandler:
    """Answers calls on this replica; what changes state goes through the log."""

    def __init__(
        self,
        replica: Replica,
        receiver: Receiver,
        changes: MembershipChanges,
        watches: Watches,
        admissions: AdmissionHome | None = None,
        accounts: AccountLimitManager | None = None,
        crash_registry: CrashRegistry | None = None,
        endpoint_limits: EndpointLimitManager | None = None,
    ) -> None:
        self._endpoint_limits = endpoint_limits
        self._crash_registry = crash_registry or CrashRegistry()
        self._accounts = accounts
        self._replica = replica
        self._receiver = receiver
        self._changes = changes
        self._watches = watches
        self._admissions = admissions

    def get_configuration(self, known_revision: int, wait_ms: int) -> Configuration:
        """Return the configuration applied here, once it is newer than the known one.

        Any replica answers, since a caller only ever moves to a higher revision. With
        a negative known_revision only the leader answers, with the newest one. When
        there is nothing newer, the answer has the revision without the text.
        """
        if known_revision < 0:
            self._ensure_reads_are_current()
        wait = Deadline.from_remaining_ms(wait_ms)
        deadline = wait.earlier_of(Deadline.after(MAXIMUM_WAIT_SECONDS))
        replica = self._replica
        with replica.lock:
            replica.configuration_changed.wait_for(
                lambda: self._current().revision > known_revision, deadline.remaining()
            )
            held = self._current()
        if held.revision > known_revision:
            return held
        # Nothing newer. With the text, each idle poll of each entry host would transfer
        # the whole declaration: 49 KB per second for a declaration of 98 KB.
        return Configuration(held.revision, "", held.change_id, held.operator_name)

    def get_packed_configuration(self, known_revision: int) -> PackedConfiguration:
        """Return the configuration applied here, if it is newer than the known one."""
        with self._replica.lock:
            held = self._replica.machine.configurations.packed_current()
        if held.revision > known_revision:
            return held
        return PackedConfiguration(held.revision, b"")

    def apply_configuration(self, request: ApplyRequest) -> ApplyReply:
        """Accept or refuse a change of the configuration; the decision is final."""
        replica = self._replica
        with replica.lock:
            replica.require_leader()
            if replica.reads_are_current():
                answered = replica.machine.configurations.find_answer(request)
                if answered is not None:
                    return to_reply(answered)
        check_declaration(request)
        return to_reply(replica.propose(request, Deadline.after(APPLY_SECONDS)))

    def put_version(self, command: VersionedCommand, remaining_ms: int) -> int:
        """Commit a configuration that its operator has numbered.

        A version that is not higher than the one in force is answered without a write,
        so that resends after lost replies cause no disk writes.
        """
        check_version(command)
        replica = self._replica
        with replica.lock:
            replica.require_leader()
            if replica.reads_are_current():
                held = int(self._current().revision)
                if held >= command.version:
                    return held
        deadline = Deadline.from_remaining_ms(remaining_ms)
        version: int = to_reply(replica.propose(command, deadline))
        return version

    def record_removal(self, removal: EndpointRemoval, remaining_ms: int) -> None:
        """Commit that an endpoint has left; a known removal causes no write."""
        check_removal(removal)
        replica = self._replica
        with replica.lock:
            stamp_ms = replica.require_leader().stamp_ms()
            is_current = replica.reads_are_current()
            if is_current and replica.machine.removals.holds(removal, stamp_ms):
                return
        replica.propose(removal, Deadline.from_remaining_ms(remaining_ms))

    def watch(self, request: WatchRequest) -> WatchReply:
        """See Watches.answer."""
        return self._watches.answer(request)

    def admit(self, request: AdmissionRequest) -> AdmissionReply:
        """See AdmissionHome.admit; only the leader grants engines."""
        return self._leader_admissions().admit(request)

    def tell_admissions(self, updates: list[AdmissionNews]) -> None:
        """See AdmissionHome.take."""
        self._leader_admissions().take(updates)

    def charge_account(self, spending: AccountSpending) -> AccountState:
        """See AccountLimitManager.charge; only the leader knows what is left."""
        return self._leader_accounts().charge(spending)

    def settle_accounts(self, spent: list[AccountSpending]) -> list[AccountState]:
        """See AccountLimitManager.settle."""
        return self._leader_accounts().settle(spent)

    def charge_alone(
        self, host_id: str, entry_hosts: int, spending: AccountSpending
    ) -> bool:
        """See AccountLimitManager.charge_without_leader; any control host answers."""
        if self._accounts is None:
            raise _limits_not_kept()
        return self._accounts.charge_without_leader(host_id, entry_hosts, spending)

    def charge_endpoint(self, spending: EndpointSpending) -> EndpointLimitState:
        """See EndpointLimitManager.charge; only the leader knows what is left."""
        if self._endpoint_limits is None or self._replica.fence() is None:
            raise self._replica.not_leader()
        return self._endpoint_limits.charge(spending)

    def charge_endpoint_alone(
        self, host_id: str, entry_hosts: int, spending: EndpointSpending
    ) -> bool:
        """See EndpointLimitManager.charge_without_leader; any control host answers."""
        if self._endpoint_limits is None:
            raise _limits_not_kept()
        return self._endpoint_limits.charge_without_leader(
            host_id, entry_hosts, spending
        )

    def _leader_accounts(self) -> AccountLimitManager:
        """Return the manager of account limits, or raise NotLeader.

        Without a valid lease another host may lead, and let the same amount run again.
        """
        if self._accounts is None or self._replica.fence() is None:
            raise self._replica.not_leader()
        return self._accounts

    def _leader_admissions(self) -> AdmissionHome:
        """Return the home that grants engines, or raise NotLeader.

        Without a valid lease another host may lead, and grant the same capacity.
        """
        if self._admissions is None or self._replica.fence() is None:
            raise self._replica.not_leader()
        return self._admissions

    def claim_key(self, claim: KeyClaim, remaining_ms: int) -> KeyReply:
        """Claim (client, key), durably on a quorum before the answer."""
        check_claim(claim)
        deadline = Deadline.from_remaining_ms(remaining_ms)
        replica = self._replica
        with replica.lock:
            replica.require_leader()
            if replica.reads_are_current():
                known = replica.machine.find_claim(claim)
                if known is not None:
                    return known
        return to_reply(replica.propose(claim, deadline))

    def finish_key(self, claim: KeyClaim, outcome: bytes, remaining_ms: int) -> None:
        """Record the outcome of a claim, durably on a quorum before the answer."""
        check_claim(claim)
        command = FinishCommand(claim, outcome)
        self._replica.propose(command, Deadline.from_remaining_ms(remaining_ms))

    def abandon_key(self, claim: KeyClaim, remaining_ms: int) -> None:
        """Release a claim whose request certainly did not run."""
        check_claim(claim)
        command = AbandonCommand(claim)
        self._replica.propose(command, Deadline.from_remaining_ms(remaining_ms))

    def tell_crashes(self, sender: str, crashes: list[CrashRecord]) -> None:
        """Record crashes that an entry host has seen; any control host answers."""
        self._crash_registry.merge(usable_histories(sender, crashes))

    def quarantined(self) -> list[CrashRecord]:
        """Return the quarantined contents that this host knows."""
        return [
            to_crash_record(history)
            for history in self._crash_registry.quarantined_contents()
        ]

    def lift_quarantine(self, fingerprint: str) -> bool:
        """Let a content run again; return False if no crash of it is known."""
        return self._crash_registry.clear(fingerprint)

    def history(self, limit: int) -> list[Configuration]:
        """Return the newest configurations applied here, newest first."""
        with self._replica.lock:
            count = min(limit, MAXIMUM_HISTORY_REPLY)
            return self._replica.machine.configurations.history(count)

    def status(self) -> ControlStatus:
        """Return how this replica sees the cluster; a leader only within its lease."""
        replica = self._replica
        account_uses = self._account_uses()
        with replica.lock:
            snapshot = replica.snapshot
            return ControlStatus(
                replica.replica_id,
                self._known_leader_id(),
                replica.term,
                replica.commit_index,
                replica.applied_index,
                self._current().revision,
                self._replica_statuses(),
                replica.failure,
                len(replica.machine.claims),
                snapshot.header.last_index if snapshot else 0,
                replica.log.base_index + 1,
                account_uses,
            )

    def _account_uses(self) -> list[AccountUse]:
        leads = self._replica.fence() is not None
        return self._accounts.uses() if leads and self._accounts is not None else []

    def leader_silence(self) -> LeaderSilence:
        """Return for how long this replica has prolonged no leader's lease."""
        seconds = self._replica.silent_seconds()
        silent_ms = None if seconds is None else int(seconds * 1000)
        return LeaderSilence(self._replica.replica_id, silent_ms)

    def describe(self) -> ReplicaDescription:
        """Return which replica this is and which cluster it belongs to."""
        return own_description(self._replica)

    def pre_vote(self, request: VoteRequest) -> VoteReply:
        """See Receiver.pre_vote."""
        return self._receiver.pre_vote(request)

    def request_vote(self, request: VoteRequest) -> VoteReply:
        """See Receiver.request_vote."""
        return self._receiver.request_vote(request)

    def append_entries(self, request: AppendRequest) -> AppendReply:
        """See Receiver.append_entries."""
        return self._receiver.append_entries(request)

    def install_snapshot(self, piece: SnapshotPiece) -> SnapshotReply:
        """See Receiver.install_snapshot."""
        return self._receiver.install_snapshot(piece)

    def start_election(self, target_id: str, term: int) -> None:
        """See Receiver.start_election."""
        self._receiver.start_election(target_id, term)

    def join(self, replica: ReplicaDescription) -> None:
        """See MembershipChanges.join."""
        self._changes.join(replica)

    def leave(self, replica_id: str) -> None:
        """See MembershipChanges.leave."""
        self._changes.leave(replica_id)

    def add_replica(self, host_id: str, remaining_ms: int) -> None:
        """See MembershipChanges.add_host."""
        self._changes.add_host(host_id, Deadline.from_remaining_ms(remaining_ms))

    def remove_replica(self, host_id: str, remaining_ms: int) -> None:
        """See MembershipChanges.remove_host."""
        self._changes.remove_host(host_id, Deadline.from_remaining_ms(remaining_ms))

    def _current(self) -> Configuration:
        return self._replica.machine.configurations.current

    def _ensure_reads_are_current(self) -> None:
        """Commit an entry first if the lease alone does not prove the leadership."""
        with self._replica.lock:
            self._replica.require_leader()
            if self._replica.reads_are_current():
                return
        self._replica.propose(NoOp(), Deadline.after(READ_SECONDS))

    def _known_leader_id(self) -> str:
        replica = self._replica
        if replica.leadership is not None:
            return "" if replica.lease().expired else replica.replica_id
        return replica.leader.replica_id if replica.hears_leader else ""

    def _replica_statuses(self) -> list[ReplicaStatus]:
        """Return the members by the newest membership that is known to be committed.

        A newer one may end with its leader. Without a leader, a replica that has
        restarted may know of no committed one, and returns the newest in its log.
        """
        replica = self._replica
        shown = replica.memberships.at(replica.commit_index)
        if not shown.members and not replica.hears_leader:
            shown = replica.membership
        progress_by_id = (
            replica.leadership.progress_by_id if replica.leadership is not None else {}
        )
        statuses = []
        for member in shown.members:
            progress = progress_by_id.get(member.replica_id)
            match_index = progress.match_index if progress else 0
            if member.replica_id == replica.replica_id:
                match_index = replica.written_index
            statuses.append(
                ReplicaStatus(
                    member.replica_id, member.address, member.voter, match_index
                )
            )
        return statuses


def _limits_not_kept() -> PeerRefusal:
    return PeerRefusal(
        "limits_not_kept",
        "This host does not manage limits that hosts share.",
        "Ask another control host.",
        0,
    )


@singledispatch
def to_reply(outcome: Any) -> Any:
    """Return the outcome of a command as the answer, or raise it as a refusal."""
    return outcome


@to_reply.register
def _(outcome: ChangeIdReused) -> Any:
    raise PeerRefusal(
        "change_id_reused",
        f"The change id {outcome.change_id!r} was already used by another change.",
        "Give each change a unique id.",
        0,
    )


@to_reply.register
def _(outcome: ClaimsFull) -> Any:
    raise PeerRefusal(
        "claims_full",
        "The table of claims is full; the request was not run.",
        "Retry later, or mark fewer requests as not repeatable.",
        outcome.retry_after_ms,
    )
