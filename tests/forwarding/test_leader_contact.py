"""What requests do while the leader they know of does not answer."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.forwarding._leader_contact import PAUSE_SECONDS, LeaderContact
from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import NotLeader, PeerIdentity, PeerRefusal
from tests.fakes.clock import Clock

LEADER = "10.0.0.1:7000"
TIMEOUT = 0.45


class Peer:
    """Stands in for the connections to the leader."""

    def __init__(self) -> None:
        self.error: Exception | None = PeerUnavailableError("No answer.")
        self.asked = 0
        self.while_asked: list[str | None] = []
        """What other requests find meanwhile."""
        self.contact: LeaderContact | None = None

    def call_within(self, ask: object, timeout: float) -> str:
        assert self.contact is not None
        self.asked += 1
        self.while_asked.append(self.contact.address())
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
    news: Any = SimpleNamespace(
        address="10.0.0.2:7000", leader_address=LEADER, leader_term=0
    )
    contact.take(news)
    peer.contact = contact
    return contact


def ask(contact: LeaderContact) -> str | None:
    """Return what the leader answers, None where it isn't asked or does not answer."""
    address = contact.address()
    if address is None:
        return None
    return contact.call_within(address, "r-1", TIMEOUT, lambda _: "granted")


class TestLeaderBeyondAPartition:
    """A zone is cut off; its hosts know after 2.3 s that the leader is lost.

    Until then each request that came when a pause was over asked it, all at once, and
    waited for 0.95 s: of 14 streams in the zone seven had room after 0.8 to 0.96 s.
    """

    def test_is_not_asked_for_a_while(
        self, contact: LeaderContact, peer: Peer, clock: Clock
    ) -> None:
        assert ask(contact) is None
        clock.now += PAUSE_SECONDS - 0.1
        assert ask(contact) is None
        assert peer.asked == 1

    def test_is_asked_by_one_request_then(
        self, contact: LeaderContact, peer: Peer, clock: Clock
    ) -> None:
        ask(contact)
        clock.now += PAUSE_SECONDS + 0.1
        ask(contact)
        assert peer.asked == 2
        # The first time nobody could know; the second time the others went on.
        assert peer.while_asked == [LEADER, None]

    def test_is_asked_by_all_once_it_has_answered(
        self, contact: LeaderContact, peer: Peer, clock: Clock
    ) -> None:
        ask(contact)
        clock.now += PAUSE_SECONDS + 0.1
        peer.error = None
        assert ask(contact) == "granted"
        assert ask(contact) == "granted"
        assert peer.while_asked[-1] == LEADER


class TestLeaderThatRefuses:
    """It answers, so that one more request costs a millisecond."""

    def test_is_asked_by_all_after_the_pause(
        self, contact: LeaderContact, peer: Peer, clock: Clock
    ) -> None:
        peer.error = PeerRefusal("engines_unknown", "No report yet.", "Wait.", 0)
        ask(contact)
        clock.now += PAUSE_SECONDS + 0.1
        ask(contact)
        assert peer.while_asked == [LEADER, LEADER]


class TestNextLeaderThatRefuses:
    """Guards against a request that waits for the leader before the one that refused.

    Some control hosts still name that one: they can't be reached, or have told nothing
    since the election.
    """

    def test_one_before_is_not_asked_instead(
        self, contact: LeaderContact, peer: Peer
    ) -> None:
        before, following = LEADER, "10.0.0.2:7000"
        tell(contact, before, before, 2)
        tell(contact, "10.0.0.3:7000", before, 2)
        tell(contact, following, following, 3)
        peer.error = PeerRefusal("engines_unknown", "No report yet.", "Wait.", 0)
        contact.call_within(following, "r-1", TIMEOUT, lambda _: "granted")
        assert contact.address() != before


class TestHostThatBeginsToLead:
    """Guards against a leader that is passed over for what it was before."""

    def test_is_asked_at_once(self, contact: LeaderContact, peer: Peer) -> None:
        peer.error = NotLeader("", "")
        assert ask(contact) is None
        for teller in (LEADER, "10.0.0.2:7000", "10.0.0.3:7000"):
            tell(contact, teller, LEADER, 3)
        peer.error = None
        assert ask(contact) == "granted"


class TestLeaderOutvotedByOlderWords:
    """Guards against a leader outvoted by what hosts said before it was elected."""

    def test_newer_one_is_asked(self, contact: LeaderContact, peer: Peer) -> None:
        for teller in (LEADER, "10.0.0.3:7000", "10.0.0.4:7000"):
            tell(contact, teller, LEADER, 2)
        following = "10.0.0.2:7000"
        for teller in (following, "10.0.0.5:7000"):
            tell(contact, teller, following, 3)
        assert contact.address() == following


def tell(contact: LeaderContact, teller: str, leader: str, term: int) -> None:
    """Let a control host tell who leads, and in which term."""
    news: Any = SimpleNamespace(address=teller, leader_address=leader, leader_term=term)
    contact.take(news)


class TestElectionWhileTheLeaderBeforeIsAsked:
    """Guards against a second wait for a leader that was replaced during the first."""

    @pytest.mark.parametrize("is_elected", [True, False])
    def test_ends_with_the_first_wait(
        self, contact: LeaderContact, peer: Peer, is_elected: bool
    ) -> None:
        successor = "10.0.0.2:7000"
        news: Any = SimpleNamespace(
            address=successor, leader_address=successor, leader_term=7
        )

        def ask(_: object, timeout: float) -> str:
            peer.asked += 1
            if is_elected:
                contact.take(news)
            raise PeerUnavailableError("No answer.")

        peer.call_within = ask  # type: ignore[assignment]
        assert contact.call(LEADER, "r", TIMEOUT, lambda _: "granted") is None
        assert peer.asked == (1 if is_elected else 2)
