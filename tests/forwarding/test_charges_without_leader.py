"""Charges at a host whose leader is lost, has no lease or has stepped down."""

from __future__ import annotations

import threading
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.accounts import POOL_USED, ClientAccount, HostSpending, LimitBounds
from jujubeslip.forwarding._account_limits import AccountLimits
from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.forwarding._models import Attempts
from jujubeslip.kernel import Deadline, PeerUnavailableError, RequestRefusedError
from jujubeslip.peers import (
    AccountSpending,
    AccountState,
    NotLeader,
    PeerIdentity,
    PeerRefusal,
)
from tests.fakes.clock import Clock

LEADER, KEEPER = "10.0.0.2:7000", "10.0.0.1:7000"
COST = 200.0
HOSTS = 79
BOUNDS = LimitBounds(8.0, 0.1, 73_000.0)


class Controls:
    """Stands in for the leader and for the control host that keeps the pool."""

    def __init__(self) -> None:
        self.leader_error: NotLeader | None = None
        self.pool_admits = True
        self.leader_calls = 0
        self.pool_calls = 0
        self.joins = 0

    def call_within(self, rpc: Any, timeout: float) -> Any:
        return rpc(self)

    call = call_within

    def charge_account(self, spending: AccountSpending) -> AccountState:
        self.leader_calls += 1
        if self.leader_error is not None:
            raise self.leader_error
        return AccountState(spending.account_name, 0.0, False)

    def charge_alone(self, host_id: str, hosts: int, spending: Any) -> bool:
        self.pool_calls += spending.amount > 0
        self.joins += spending.amount == 0
        return self.pool_admits


class Stopped(threading.Event):
    """Advances the clock instead of waiting."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock

    def wait(self, timeout: float | None = None) -> bool:
        self._clock.now += timeout or 0.0
        return False


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for module in (
        "kernel._deadlines",
        "forwarding._account_limits",
        "forwarding._shared_charges",
    ):
        monkeypatch.setattr(f"jujubeslip.{module}.steady_seconds", clock.steady_seconds)
    return clock


@pytest.fixture
def controls() -> Controls:
    return Controls()


@pytest.fixture
def contact(controls: Controls) -> LeaderContact:
    contact = LeaderContact(PeerIdentity("host", 1, "secret-of-tests"), lambda _: True)
    clients: Any = SimpleNamespace(get=lambda _: controls)
    contact._clients = clients
    for sender in (KEEPER, LEADER):
        update: Any = SimpleNamespace(
            address=sender, leader_address=LEADER, leader_term=3
        )
        contact.apply_update(update)
    return contact


@pytest.fixture
def limits(clock: Clock, contact: LeaderContact) -> AccountLimits:
    process: Any = SimpleNamespace(stopped=Stopped(clock))
    spending = HostSpending(BOUNDS, lambda: HOSTS, began_at=0.0)
    return AccountLimits(
        process, contact, spending, "host", lambda: HOSTS, lambda: True
    )


def context(priority: int = 0, account: ClientAccount | None = None) -> Any:
    request = SimpleNamespace(request_id="r-1", account_name="a")
    return SimpleNamespace(
        cost=COST,
        request=request,
        end_by=Deadline.after(1.5),
        client_disconnected=lambda: False,
        table=SimpleNamespace(
            version=1, routes=[SimpleNamespace(priority=item) for item in (1, 3)]
        ),
        rank=priority if account is None else account.priority or priority,
        account=account,
    )


class TestLeaderWithoutALease:
    """Guards against requests that wait for a leader although the pool admits them.

    While the control hosts were split for 4 s, requests of accounts far below their
    limits waited for half a second and were refused then.
    """

    def test_requests_are_charged_to_the_pool_at_once(
        self, limits: AccountLimits, controls: Controls, clock: Clock
    ) -> None:
        controls.leader_error = NotLeader("", "")
        began_at = clock.now
        for _ in range(20):
            limits.charge(context(), Attempts())
        assert clock.now == began_at
        assert (controls.leader_calls, controls.pool_calls) == (1, 20)

    def test_that_renews_it_charges_the_waiting_request(
        self, limits: AccountLimits, controls: Controls, clock: Clock
    ) -> None:
        controls.leader_error = NotLeader("", "")
        controls.pool_admits = False
        renewed_at = clock.now + 0.3
        waits: Any = limits._process.stopped
        advance = waits.wait

        def wait(timeout: float) -> bool:
            advance(timeout)
            if clock.now >= renewed_at:
                controls.leader_error = None
            return False

        waits.wait = wait
        attempts = Attempts()
        limits.charge(context(), attempts)
        assert attempts.is_charged
        assert clock.now < renewed_at + 0.5


class TestLeaderThatHasSteppedDown:
    """Guards against a refusal after half a second that was certain at once."""

    def test_request_that_the_pool_refuses_is_refused_at_once(
        self, limits: AccountLimits, controls: Controls, clock: Clock
    ) -> None:
        controls.leader_error = NotLeader("", "", 3)
        controls.pool_admits = False
        began_at = clock.now
        for _ in range(3):
            with pytest.raises(RequestRefusedError) as refused:
                limits.charge(context(), Attempts())
            assert refused.value.error_id == "limit_unknown"
        assert clock.now == began_at
        assert controls.leader_calls == 1


class TestPoolThatDoesNotAnswer:
    """Guards against refusals after the host of the pool is lost."""

    def test_next_control_host_is_asked(
        self,
        limits: AccountLimits,
        contact: LeaderContact,
        controls: Controls,
        clock: Clock,
    ) -> None:
        controls.leader_error = NotLeader("", "", 3)
        lost, loans = Controls(), []

        def lose(rpc: Any, timeout: float) -> Any:
            lost.pool_calls += 1
            raise PeerUnavailableError("No answer.")

        def charge_alone(host_id: str, hosts: int, spending: Any) -> bool:
            loans.append(spending.loan)
            return True

        lost.call_within = lose  # type: ignore[method-assign]
        controls.charge_alone = charge_alone  # type: ignore[method-assign]
        clients: Any = SimpleNamespace(
            get=lambda address: lost if address == KEEPER else controls
        )
        contact._clients = clients
        for _ in range(5):
            limits.charge(context(), Attempts())
            clock.now += 0.1
        assert lost.pool_calls == 1
        assert len(loans) == 5
        # The first pool may have spent the share that is lent for a whole window.
        assert all(loan.rate_only for loan in loans)
        assert loans[-1].lent_ms == pytest.approx(400, abs=1)


class TestPriorities:
    """Guards against a pool that is used up by an account's less urgent requests."""

    @pytest.mark.parametrize(
        ("own", "route", "told"), [(None, 1, 0), (None, 3, 2), (2, 3, 0)]
    )
    def test_are_told_to_the_pool(
        self,
        limits: AccountLimits,
        controls: Controls,
        own: int | None,
        route: int,
        told: int,
    ) -> None:
        controls.leader_error = NotLeader("", "", 3)
        priorities = []

        def charge_alone(host_id: str, hosts: int, spending: Any) -> bool:
            priorities.append(spending.priority)
            return True

        controls.charge_alone = charge_alone  # type: ignore[method-assign]
        account = ClientAccount("a", (), priority=own)
        limits.charge(context(route, account), Attempts())
        assert priorities == [told]


class TestPoolThatIsUsed:
    def test_request_waits_if_enough_will_be_free_soon(
        self, limits: AccountLimits, controls: Controls, clock: Clock
    ) -> None:
        controls.leader_error = NotLeader("", "", 3)
        free_at = clock.now + 0.2

        def charge_alone(host_id: str, hosts: int, spending: Any) -> bool:
            if clock.now < free_at:
                wait_ms = int((free_at - clock.now) * 1000) + 1
                raise PeerRefusal(POOL_USED, "Too little left.", "Wait.", wait_ms)
            return True

        controls.charge_alone = charge_alone  # type: ignore[method-assign]
        limits.charge(context(), Attempts())
        assert clock.now <= free_at + 0.05

    def test_request_is_refused_at_once_if_not(
        self, limits: AccountLimits, controls: Controls, clock: Clock
    ) -> None:
        controls.leader_error = NotLeader("", "", 3)

        def charge_alone(host_id: str, hosts: int, spending: Any) -> bool:
            raise PeerRefusal(POOL_USED, "Too little left.", "Wait.", 2000)

        controls.charge_alone = charge_alone  # type: ignore[method-assign]
        began_at = clock.now
        with pytest.raises(RequestRefusedError) as refused:
            limits.charge(context(), Attempts())
        assert clock.now == began_at
        assert refused.value.retry_after is not None
        assert refused.value.retry_after >= 2


class TestJoiningThePool:
    """Guards against a pool that lacks the shares of hosts that were about to ask."""

    def test_continues_while_the_leader_has_no_lease(
        self, limits: AccountLimits, controls: Controls, clock: Clock
    ) -> None:
        controls.leader_error = NotLeader("", "")
        limits.charge(context(), Attempts())
        for _ in range(8):
            clock.now += 0.25
            limits._join_pool()
        assert controls.joins == 8
