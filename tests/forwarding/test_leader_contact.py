"""Calls to a leader that does not answer, refuses, or is replaced."""

from __future__ import annotations

import logging
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.forwarding._leader_pauses import (
    FREQUENT_PROBES,
    LAPSED_PAUSE_SECONDS,
    MAXIMUM_LAPSED_PAUSE_SECONDS,
    PAUSE_SECONDS,
)
from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import NotLeader, PeerIdentity, PeerRefusal
from tests.fakes.clock import Clock

LEADER = "10.0.0.1:7000"
TIMEOUT = 0.45


class Peer:
    """Stands in for the connections to the leader."""

    def __init__(self) -> None:
        self.error: Exception | None = PeerUnavailableError("No answer.")
        self.calls = 0
        self.addresses_during_calls: list[str | None] = []
        """The leader address that other requests get during each call."""
        self.contact: LeaderContact | None = None

    def call_within(self, rpc: object, timeout: float) -> str:
        assert self.contact is not None
        self.calls += 1
        self.addresses_during_calls.append(self.contact.address())
        if self.error is not None:
            raise self.error
        return "granted"


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(
        "jujubeslip.kernel._deadlines.steady_seconds", clock.steady_seconds
    )
    return clock


@pytest.fixture
def peer() -> Peer:
    return Peer()


@pytest.fixture
def contact(peer: Peer) -> LeaderContact:
    contact = LeaderContact(PeerIdentity("host", 1, "secret-of-tests"), lambda _: True)
    clients: Any = SimpleNamespace(get=lambda _: peer)
    contact._clients = clients
    update: Any = SimpleNamespace(
        address="10.0.0.2:7000", leader_address=LEADER, leader_term=0
    )
    contact.apply_update(update)
    peer.contact = contact
    return contact


def call_leader(contact: LeaderContact) -> str | None:
    """Return the leader's answer, None if it is skipped or does not answer."""
    address = contact.address()
    if address is None:
        return None
    return contact.call_within(address, "r-1", TIMEOUT, lambda _: "granted")


class TestLeaderBeyondAPartition:
    """Guards against many requests that wait for an unreachable leader at once.

    The hosts of a zone that is cut off know after 2.3 s that the leader is lost. Until
    then, all requests that came after a pause called it at the same time and waited
    for 0.95 s: of 14 streams in the zone, seven got capacity after 0.8 to 0.96 s.
    """

    def test_is_not_called_for_a_while(
        self, contact: LeaderContact, peer: Peer, clock: Clock
    ) -> None:
        assert call_leader(contact) is None
        clock.now += PAUSE_SECONDS - 0.1
        assert call_leader(contact) is None
        assert peer.calls == 1

    def test_is_called_by_one_request_after_the_pause(
        self, contact: LeaderContact, peer: Peer, clock: Clock
    ) -> None:
        call_leader(contact)
        clock.now += PAUSE_SECONDS + 0.1
        call_leader(contact)
        assert peer.calls == 2
        # During the first call no request knows of the failure; during the second one
        # the other requests skip the leader.
        assert peer.addresses_during_calls == [LEADER, None]

    def test_is_called_by_all_once_it_has_answered(
        self, contact: LeaderContact, peer: Peer, clock: Clock
    ) -> None:
        call_leader(contact)
        clock.now += PAUSE_SECONDS + 0.1
        peer.error = None
        assert call_leader(contact) == "granted"
        assert call_leader(contact) == "granted"
        assert peer.addresses_during_calls[-1] == LEADER


class TestLeaderThatRefuses:
    """A refusal takes only a millisecond, so that all requests may call the leader."""

    def test_is_called_by_all_after_the_pause(
        self, contact: LeaderContact, peer: Peer, clock: Clock
    ) -> None:
        peer.error = PeerRefusal("engines_unknown", "No report yet.", "Wait.", 0)
        call_leader(contact)
        clock.now += PAUSE_SECONDS + 0.1
        call_leader(contact)
        assert peer.addresses_during_calls == [LEADER, LEADER]


class TestNewLeaderThatRefuses:
    """Guards against a request that waits for the previous leader after a refusal.

    Some control hosts still report the previous leader: they can't be reached, or have
    sent no report since the election.
    """

    def test_previous_one_is_not_called_instead(
        self, contact: LeaderContact, peer: Peer
    ) -> None:
        previous, following = LEADER, "10.0.0.2:7000"
        report(contact, previous, previous, 2)
        report(contact, "10.0.0.3:7000", previous, 2)
        report(contact, following, following, 3)
        peer.error = PeerRefusal("engines_unknown", "No report yet.", "Wait.", 0)
        contact.call_within(following, "r-1", TIMEOUT, lambda _: "granted")
        assert contact.address() != previous


class TestNewlyElectedLeader:
    """Guards against a new leader that is skipped for calls before its election."""

    def test_is_called_at_once(self, contact: LeaderContact, peer: Peer) -> None:
        peer.error = NotLeader("", "")
        assert call_leader(contact) is None
        for sender in (LEADER, "10.0.0.2:7000", "10.0.0.3:7000"):
            report(contact, sender, LEADER, 3)
        peer.error = None
        assert call_leader(contact) == "granted"


class TestLeaderOutvotedByOlderReports:
    """Guards against a leader outvoted by reports from before its election."""

    def test_newer_one_is_called(self, contact: LeaderContact, peer: Peer) -> None:
        for sender in (LEADER, "10.0.0.3:7000", "10.0.0.4:7000"):
            report(contact, sender, LEADER, 2)
        following = "10.0.0.2:7000"
        for sender in (following, "10.0.0.5:7000"):
            report(contact, sender, following, 3)
        assert contact.address() == following


def report(contact: LeaderContact, sender: str, leader: str, term: int) -> None:
    """Report a leader and its term on behalf of a control host."""
    update: Any = SimpleNamespace(
        address=sender, leader_address=leader, leader_term=term
    )
    contact.apply_update(update)


class TestElectionDuringACallToThePreviousLeader:
    """Guards against a second wait for a leader that was replaced during the first."""

    @pytest.mark.parametrize("is_elected", [True, False])
    def test_ends_with_the_first_wait(
        self, contact: LeaderContact, peer: Peer, is_elected: bool
    ) -> None:
        successor = "10.0.0.2:7000"
        update: Any = SimpleNamespace(
            address=successor, leader_address=successor, leader_term=7
        )

        def call_within(_: object, timeout: float) -> str:
            peer.calls += 1
            if is_elected:
                contact.apply_update(update)
            raise PeerUnavailableError("No answer.")

        peer.call_within = call_within  # type: ignore[assignment]
        assert contact.call(LEADER, "r", TIMEOUT, lambda _: "granted") is None
        assert peer.calls == (1 if is_elected else 2)


class TestLeaderWithoutALease:
    """Guards against a leader that is skipped too long when its lease has lapsed."""

    def test_is_called_again_soon(
        self, contact: LeaderContact, peer: Peer, clock: Clock
    ) -> None:
        peer.error = NotLeader("", "")
        assert contact.call(LEADER, "r", TIMEOUT, lambda _: "granted") is None
        assert contact.address() is None and contact.has_skipped_leader
        clock.now += LAPSED_PAUSE_SECONDS
        peer.error = None
        assert contact.address() == LEADER
        assert contact.call(LEADER, "r", TIMEOUT, lambda _: "granted") == "granted"
        assert not contact.has_skipped_leader

    def test_that_names_another_one_is_skipped(
        self, contact: LeaderContact, peer: Peer, clock: Clock
    ) -> None:
        peer.error = NotLeader("control-9/disk", "10.0.0.9:7000", 5)
        assert contact.call(LEADER, "r", TIMEOUT, lambda _: "granted") is None
        clock.now += LAPSED_PAUSE_SECONDS
        assert contact.address() == "10.0.0.9:7000"

    def test_is_called_by_few_requests_however_many_come(
        self, contact: LeaderContact, peer: Peer, clock: Clock
    ) -> None:
        """Each request called it, as other control hosts went on naming it."""
        peer.error = NotLeader("", "")
        for _ in range(400):
            call_leader(contact)
            report(contact, "10.0.0.3:7000", LEADER, 0)
            clock.now += 0.01
        assert peer.calls <= FREQUENT_PROBES + 3 / MAXIMUM_LAPSED_PAUSE_SECONDS + 2
        assert not contact.has_leader

    def test_is_logged_once_as_left_and_once_as_found(
        self,
        contact: LeaderContact,
        peer: Peer,
        clock: Clock,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        """Each probe logged that the leader to call changed, and changed back."""
        caplog.set_level(logging.INFO)
        for error in (None, NotLeader("", ""), None):
            peer.error = error
            for _ in range(50):
                call_leader(contact)
                clock.now += 0.01
        logged = [item.__dict__ for item in caplog.records]
        changes = [
            item["address"]
            for item in logged
            if item["msg"] == "leader to call changed"
        ]
        assert changes == [LEADER, "", LEADER]

    def test_calls_under_way_at_the_first_lapse_count_as_one(
        self, contact: LeaderContact, peer: Peer, clock: Clock
    ) -> None:
        peer.error = NotLeader("", "")
        for _ in range(5):
            contact.call(LEADER, "r", TIMEOUT, lambda _: "granted")
        clock.now += LAPSED_PAUSE_SECONDS
        assert contact.address() == LEADER

    def test_is_called_at_once_when_it_reports_that_it_leads(
        self, contact: LeaderContact, peer: Peer
    ) -> None:
        peer.error = NotLeader("", "")
        assert call_leader(contact) is None
        report(contact, "10.0.0.3:7000", LEADER, 0)
        assert contact.address() is None
        report(contact, LEADER, LEADER, 0)
        assert contact.address() == LEADER


class TestLeaderThatHasSteppedDown:
    """Guards against calls to a former leader that others still name.

    Followers name it for an election timeout after its last message; each host called
    it again every tenth of a second, and requests waited for it.
    """

    @pytest.fixture(autouse=True)
    def stepped_down(self, contact: LeaderContact, peer: Peer) -> None:
        report(contact, "10.0.0.3:7000", LEADER, 4)
        peer.error = NotLeader("", "", 4)
        assert call_leader(contact) is None

    def test_is_not_called_for_that_term(
        self, contact: LeaderContact, peer: Peer, clock: Clock
    ) -> None:
        for _ in range(20):
            report(contact, "10.0.0.3:7000", LEADER, 4)
            assert call_leader(contact) is None
            clock.now += PAUSE_SECONDS
        assert peer.calls == 1
        assert not contact.has_skipped_leader

    def test_is_called_in_a_later_term(
        self, contact: LeaderContact, peer: Peer
    ) -> None:
        report(contact, "10.0.0.3:7000", LEADER, 5)
        peer.error = None
        assert call_leader(contact) == "granted"

    def test_that_campaigns_in_that_term_may_still_win_it(
        self, contact: LeaderContact, peer: Peer, clock: Clock
    ) -> None:
        """A candidate names the term before the one in which it may lead."""
        report(contact, LEADER, LEADER, 5)
        peer.error = NotLeader("", "", 4)
        assert call_leader(contact) is None
        clock.now += PAUSE_SECONDS
        assert contact.address() == LEADER
