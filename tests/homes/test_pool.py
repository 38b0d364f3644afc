"""Tests of a pool: grants, waiting requests and refusals."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

import pytest

from jujubeslip.endpoints import EndpointStatus, HeldItem
from jujubeslip.homes import Pool, SchedulerOptions
from jujubeslip.homes import _pool as pool_module
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import (
    Announcement,
    EndpointRole,
    Grant,
    GrantProgress,
    ReserveReply,
    ReserveRequest,
    ReserveStatus,
)

URGENT, STANDARD, BULK = 0, 1, 2
ROLE_BY_LETTER = {"p": EndpointRole.PREFILL, "d": EndpointRole.DECODE}


@pytest.fixture(autouse=True)
def _reply_immediately(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool_module, "POLL_SECONDS", 0.0)


def make_pool(
    *names: str, slots: int = 1, options: SchedulerOptions | None = None
) -> Pool:
    """Return a pool of usable endpoints: p1, p2 prefill, d1, d2 decode."""
    pool = Pool("service", "region", options or SchedulerOptions())
    for name in names:
        announce(pool, name, slots)
        observe(pool, name, slots)
    return pool


def announce(
    pool: Pool, name: str, slots: int = 1, incarnation: int = 1, leaving: bool = False
) -> None:
    pool.announce(
        Announcement(
            name,
            incarnation,
            "127.0.0.1:1",
            "zone",
            "service",
            ROLE_BY_LETTER[name[0]],
            "model",
            slots,
            leaving,
        )
    )


def observe(
    pool: Pool,
    name: str,
    slots: int = 1,
    held: Sequence[HeldItem] = (),
    incarnation: int = 1,
    leaving: bool = False,
) -> None:
    role = ROLE_BY_LETTER[name[0]]
    status = EndpointStatus(name, incarnation, role, leaving, slots, tuple(held), 0, 0)
    pool.observe(name, status, steady_seconds())


def reserve(
    pool: Pool,
    request_id: str,
    priority: int = STANDARD,
    first_token_ms: int = 60_000,
    prompt_tokens: int = 100,
    **fields: object,
) -> ReserveReply:
    return pool.reserve(
        ReserveRequest(
            request_id=request_id,
            attempt=1,
            owner="host/1",
            service_name="service",
            priority=priority,
            first_token_remaining_ms=first_token_ms,
            wait_remaining_ms=60_000,
            prompt_tokens=prompt_tokens,
            output_tokens=100,
            prefix_hashes=fields.get("prefix_hashes", []),
            avoid_endpoint_ids=fields.get("avoid_endpoint_ids", []),
            prefill_endpoint_id=fields.get("prefill_endpoint_id", ""),
        )
    )


def granted(reply: ReserveReply) -> Grant:
    assert reply.status == ReserveStatus.GRANTED, reply
    assert reply.grant is not None
    return reply.grant


def release(pool: Pool, grant: Grant, failed: str = "") -> None:
    pool.progress(GrantProgress(grant.grant_id, True, True, True, 100, 0, failed))


class TestReservation:
    def test_no_prefill_begins_without_a_decode_slot(self) -> None:
        """Guards against a wasted prefill of a prompt that gets no decode slot.

        Two prefill endpoints are idle; the only decode slot is used for 30 s.
        """
        pool = make_pool("p1", "p2", "d1")
        first = granted(reserve(pool, "a"))
        pool.progress(GrantProgress(first.grant_id, True, True, False, 100, 0, ""))
        record = pool.scheduler.grants.by_id[first.grant_id]
        record.releases_at = _in_30_seconds()
        assert reserve(pool, "b").status == ReserveStatus.PENDING
        release(pool, first)
        granted(reserve(pool, "b"))

    def test_slots_granted_by_previous_home_count_as_used(self) -> None:
        """A home dies; the next one knows no grants, but the engine's slots are in use.

        Granting them again would send prompts to a decode endpoint without capacity.
        """
        pool = make_pool("p1", "d1")
        held = HeldItem("old", 1, "host/1", "decode", 10, 5000)
        observe(pool, "d1", held=[held])
        assert reserve(pool, "a").status == ReserveStatus.PENDING
        observe(pool, "d1")
        granted(reserve(pool, "a"))

    def test_status_read_before_release_uses_no_slot(self) -> None:
        """The status was read before the release, and still lists the request."""
        pool = make_pool("p1", "d1")
        first = granted(reserve(pool, "a"))
        release(pool, first)
        observe(pool, "d1", held=[HeldItem("a", 1, "host/1", "decode", 10, 100)])
        granted(reserve(pool, "b"))

    def test_the_same_attempt_gets_the_same_grant(self) -> None:
        """The reply with the grant was lost, and the entry host calls again."""
        pool = make_pool("p1", "d1", slots=2)
        first = granted(reserve(pool, "a"))
        assert granted(reserve(pool, "a")).grant_id == first.grant_id

    def test_withdrawn_request_releases_its_grant(self) -> None:
        """A caller disconnects while its request waits, just before the grant is made.

        The grant reaches no entry host, and its slot would stay in use.
        """
        pool = make_pool("p1", "d1")
        granted(reserve(pool, "a"))
        pool.withdraw(ReserveRequest(request_id="a", attempt=1))
        granted(reserve(pool, "b"))

    def test_a_grant_whose_owner_died_is_dropped(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """An entry host is killed after it got a grant, and never reports a release.

        The slot would stay in use although the engine does not list the request.
        """
        monkeypatch.setattr(pool_module, "GRANT_SILENCE_SECONDS", 0.0)
        pool = make_pool("p1", "d1")
        granted(reserve(pool, "a"))
        observe(pool, "p1")
        observe(pool, "d1")
        granted(reserve(pool, "b"))


class TestOrder:
    def test_urgent_requests_overtake_waiting_ones(self) -> None:
        pool = make_pool("p1", "d1")
        first = granted(reserve(pool, "a"))
        pool.scheduler.grants.by_id[first.grant_id].releases_at = _in_30_seconds()
        assert reserve(pool, "bulk", BULK).status == ReserveStatus.PENDING
        assert reserve(pool, "urgent", URGENT).status == ReserveStatus.PENDING
        release(pool, first)
        granted(reserve(pool, "urgent", URGENT))
        assert reserve(pool, "bulk", BULK).status == ReserveStatus.PENDING

    def test_the_earlier_deadline_is_first_within_a_class(self) -> None:
        pool = make_pool("p1", "d1")
        first = granted(reserve(pool, "a"))
        pool.scheduler.grants.by_id[first.grant_id].releases_at = _in_30_seconds()
        reserve(pool, "late", first_token_ms=600_000)
        reserve(pool, "soon", first_token_ms=300_000)
        release(pool, first)
        granted(reserve(pool, "soon", first_token_ms=300_000))


class TestRefusal:
    def test_request_that_would_be_late_is_refused_immediately(self) -> None:
        """Guards against callers that wait for a first token that cannot be in time."""
        pool = make_pool("p1", "d1")
        first = granted(reserve(pool, "a"))
        pool.scheduler.grants.by_id[first.grant_id].releases_at = _in_30_seconds()
        reply = reserve(pool, "b", first_token_ms=1000)
        assert reply.status == ReserveStatus.REFUSED
        # The first token is 29 s late, and two requests in 5 s demand 40% of the slot.
        assert 45_000 < reply.retry_after_ms < 50_000

    def test_new_home_does_not_refuse_for_lack_of_endpoints(self) -> None:
        """A home takes over and has no announcements of its endpoints yet."""
        pool = make_pool()
        assert reserve(pool, "a").status == ReserveStatus.PENDING
        pool.discovered_by = Deadline.after(0)
        assert reserve(pool, "b").status == ReserveStatus.REFUSED


class TestLeaving:
    def test_leaving_endpoint_gets_no_requests(self) -> None:
        pool = make_pool("p1", "d1", "d2")
        announce(pool, "d1", leaving=True)
        assert granted(reserve(pool, "a")).decode.endpoint_id == "d2"

    def test_late_announcement_does_not_revoke_leaving(self) -> None:
        """A delayed announcement arrives after "leaving" and must not revoke it."""
        pool = make_pool("p1", "d1")
        announce(pool, "d1", leaving=True)
        announce(pool, "d1", leaving=False)
        assert reserve(pool, "a").status == ReserveStatus.PENDING

    def test_endpoint_without_status_gets_no_requests(self) -> None:
        """A new home gets a delayed announcement of an endpoint that has since left.

        Only the endpoint's own status makes it usable, and that says "leaving".
        """
        pool = make_pool("p1")
        announce(pool, "d1")
        assert reserve(pool, "a").status == ReserveStatus.PENDING
        observe(pool, "d1", leaving=True)
        assert reserve(pool, "a").status == ReserveStatus.PENDING

    def test_a_later_incarnation_is_another_endpoint(self) -> None:
        pool = make_pool("p1", "d1")
        announce(pool, "d1", leaving=True)
        announce(pool, "d1", incarnation=2)
        observe(pool, "d1", incarnation=2)
        assert granted(reserve(pool, "a")).decode.incarnation == 2


class TestFailures:
    def test_failing_endpoint_is_skipped(self) -> None:
        pool = make_pool("p1", "d1", "d2")
        first = granted(reserve(pool, "a"))
        release(pool, first, failed=first.decode.endpoint_id)
        second = granted(reserve(pool, "b"))
        assert second.decode.endpoint_id != first.decode.endpoint_id

    def test_endpoints_are_used_if_all_have_failed(self) -> None:
        """A network fault makes every endpoint fail; requests must still be served."""
        pool = make_pool("p1", "d1")
        first = granted(reserve(pool, "a"))
        release(pool, first, failed="d1")
        granted(reserve(pool, "b"))

    def test_retry_uses_endpoint_that_computed_its_prompt(self) -> None:
        pool = make_pool("p1", "p2", "p3", "d1", slots=8)
        grant = granted(reserve(pool, "a", prefill_endpoint_id="p2"))
        assert grant.prefill is not None
        assert grant.prefill.endpoint_id == "p2"


class TestAffinity:
    def test_request_goes_to_endpoint_with_cached_prefix(self) -> None:
        pool = make_pool("p1", "p2", "d1", slots=8)
        first = granted(reserve(pool, "a", prefix_hashes=["h"], prompt_tokens=5000))
        release(pool, first)
        assert first.prefill is not None
        for number in range(5):
            reply = reserve(pool, f"b{number}", prefix_hashes=["h"], prompt_tokens=5000)
            second = granted(reply)
            assert second.prefill is not None
            assert second.prefill.endpoint_id == first.prefill.endpoint_id
            release(pool, second)


class TestConcurrency:
    def test_slots_are_never_granted_twice(self) -> None:
        """Many entry hosts request the last slots concurrently."""
        pool = make_pool("p1", "p2", "d1", "d2", slots=3)

        def ask(number: int) -> bool:
            reply = reserve(pool, f"r{number}", first_token_ms=600_000)
            return bool(reply.status == ReserveStatus.GRANTED)

        with ThreadPoolExecutor(16) as executor:
            list(executor.map(ask, range(64)))
        now = steady_seconds()
        for record in pool.scheduler.record_by_id.values():
            assert record.free_slots_at(now, now) >= 0


def _in_30_seconds() -> Deadline:
    return Deadline.after(30)
