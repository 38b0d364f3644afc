"""What a replica reports to operators about the membership."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from jujubeslip.control._handler import ControlHandler
from jujubeslip.control._membership import with_promoted
from jujubeslip.control._membership_changes import MembershipChanges
from jujubeslip.control._receiver import Receiver
from jujubeslip.control._replica import Replica
from jujubeslip.control._storage import Storage
from jujubeslip.control._watches import Watches
from jujubeslip.discovery import EndpointRegistry
from jujubeslip.kernel import Deadline, Process
from tests.control.test_membership_planner import LEARNER, Subject


class ReportingSubject(Subject):
    """A leader of two voters and a learner, asked for its status."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.lead(2, learners=1)
        self.commit()

    def commit(self) -> None:
        with self.replica.disk_lock, self.replica.lock:
            self.replica.write_pending()
            self.replica.commit_to(self.replica.log.last_index)

    def promote_learner(self) -> None:
        """Append the promotion to the log of this replica alone."""
        with self.replica.lock:
            self.replica.submit(with_promoted(self.replica.membership, LEARNER))

    def reported_voter_ids(self) -> set[str]:
        return reported_voter_ids(self.replica)


def reported_voter_ids(replica: Replica) -> set[str]:
    handler = ControlHandler(
        replica,
        Receiver(replica),
        MembershipChanges(replica),
        Watches(replica, EndpointRegistry(), list),
    )
    return {item.replica_id for item in handler.status().replicas if item.voter}


@pytest.fixture
def subject(tmp_path: Path) -> Iterator[ReportingSubject]:
    subject = ReportingSubject(tmp_path / "data")
    yield subject
    subject.replica.storage.close()


class TestPromotion:
    """Guards against a repair that is reported and then lost with the leader."""

    def test_is_not_reported_before_it_is_committed(
        self, subject: ReportingSubject
    ) -> None:
        before = subject.voter_ids()
        subject.promote_learner()
        assert subject.voter_ids() == before | {LEARNER}
        assert subject.reported_voter_ids() == before

    def test_is_reported_once_it_is_committed(self, subject: ReportingSubject) -> None:
        before = subject.voter_ids()
        subject.promote_learner()
        subject.commit()
        assert subject.reported_voter_ids() == before | {LEARNER}


class TestRestartWithoutAQuorum:
    """Guards against a status without members while no leader can be elected."""

    def test_reports_the_members_in_the_log(self, tmp_path: Path) -> None:
        subject = ReportingSubject(tmp_path / "data")
        before, settings = subject.voter_ids(), subject.replica.settings
        subject.replica.storage.close()
        storage = Storage(tmp_path / "data", settings.host_id)
        restarted = Replica(settings, storage, Process("test"))
        restarted.heard_leader_until = Deadline.after(0)
        assert reported_voter_ids(restarted) == before
        storage.close()
