"""Which client accounts hold more than their part of a service's engines."""

from __future__ import annotations

import pytest

from jujubeslip.accounts import ClientAccount, ClientAccounts, RateLimit
from jujubeslip.admission._account_shares import (
    TOLERATED_REQUESTS,
    AccountShares,
    GrantKey,
    HeldMemory,
    SharingWeights,
    weights_of,
)
from jujubeslip.admission._priority_order import PriorityOrder
from jujubeslip.admission._waiting_queue import QueueEntry

NOW, SCARCE = 100.0, 30.0
TOKENS = 6000
NAMES = [f"account-{number}" for number in range(16)]
WEIGHTS = dict.fromkeys(NAMES, 1.0)


def shares_of(
    held: dict[str, int], weights: dict[str, float] | None = None
) -> AccountShares:
    """Return the shares with this number of grants for each account."""
    shares = AccountShares(lambda: WEIGHTS if weights is None else weights)
    for name, count in held.items():
        for number in range(count):
            key = GrantKey(f"{name}-{number}", 1)
            shares.note_granted(key, HeldMemory(name, TOKENS))
    return shares


def account(name: str, per_second: float | None, **fields: bool) -> ClientAccount:
    limit = None if per_second is None else RateLimit(per_second, 10.0)
    return ClientAccount(name, (), limit, **fields)


class TestAccountAbovePart:
    """Guards against one account that takes nearly all engines from fifteen others."""

    def test_is_one_that_holds_twice_its_part_while_others_wait(self) -> None:
        shares = shares_of({**dict.fromkeys(NAMES, 1), NAMES[5]: 7})
        assert shares.above_part(set(NAMES)) == {NAMES[5]}
        part = shares.part_of(NAMES[5], set(NAMES))
        assert part.held_tokens == 7 * TOKENS
        assert part.part_tokens == 22 * TOKENS // 16

    def test_is_none_while_one_account_waits_alone(self) -> None:
        shares = shares_of({NAMES[5]: 40})
        assert shares.above_part({NAMES[5]}) == frozenset()

    def test_is_the_one_that_held_everything_once_another_waits(self) -> None:
        shares = shares_of({NAMES[5]: 40})
        assert shares.above_part({NAMES[5], NAMES[0]}) == {NAMES[5]}
        for number in range(37):
            shares.note_ended(GrantKey(f"{NAMES[5]}-{number}", 1))
        assert shares.above_part({NAMES[5], NAMES[0]}) == frozenset()

    def test_is_none_of_those_with_a_few_requests(self) -> None:
        shares = shares_of({NAMES[0]: TOLERATED_REQUESTS})
        assert shares.above_part(set(NAMES)) == frozenset()

    def test_is_none_at_equal_load(self) -> None:
        shares = shares_of(dict.fromkeys(NAMES, 4))
        assert shares.above_part(set(NAMES)) == frozenset()

    def test_follows_the_weights(self) -> None:
        held = {**dict.fromkeys(NAMES, 1), NAMES[5]: 7}
        shares = shares_of(held, {**WEIGHTS, NAMES[5]: 8.0})
        assert shares.above_part(set(NAMES)) == frozenset()

    def test_is_only_one_of_the_configuration(self) -> None:
        shares = shares_of({"unknown": 50, "": 50, NAMES[0]: 1})
        assert shares.above_part({"unknown", "", NAMES[0]}) == frozenset()

    def test_is_none_without_accounts(self) -> None:
        shares = shares_of({"": 50, NAMES[0]: 50}, weights={})
        assert shares.above_part({"", NAMES[0]}) == frozenset()


class TestAccountThatHeldEverything:
    """Guards against an account that keeps all engines after others come."""

    def test_is_back_at_its_part_once_its_answers_have_ended(self) -> None:
        order = PriorityOrder(0.1)
        busy, held = NAMES[5], 40
        shares = shares_of({busy: held})
        running = [GrantKey(f"{busy}-{number}", 1) for number in range(held)]
        for number in range(held):
            for name in NAMES:
                # Its own requests have the earliest targets.
                target = NOW + 1 + number / held + (name != busy)
                order.add(QueueEntry(target, f"{name}-{number}-2", 1, TOKENS, name))
        for _ in range(held):
            shares.note_ended(running.pop(0))
            (first,) = order.head(NOW, 1, SCARCE, shares.above_part(set(NAMES)))
            order.remove(first)
            running.append(GrantKey(first.request_id, 1))
            shares.note_granted(running[-1], HeldMemory(first.account_name, TOKENS))
        part = shares.part_of(busy, set(NAMES))
        assert part.held_tokens <= 2 * part.part_tokens


class TestHeldMemory:
    """Guards against accounts that are charged for what engines no longer hold."""

    def test_ends_once(self) -> None:
        shares = shares_of({NAMES[0]: 9})
        for _ in range(3):
            shares.note_ended(GrantKey(f"{NAMES[0]}-0", 1))
        assert shares.part_of(NAMES[0], ()).held_tokens == 8 * TOKENS

    def test_of_a_repeated_grant_counts_once(self) -> None:
        shares = shares_of({NAMES[0]: 1})
        shares.note_granted(
            GrantKey(f"{NAMES[0]}-0", 1), HeldMemory(NAMES[0], 2 * TOKENS)
        )
        assert shares.part_of(NAMES[0], ()).held_tokens == 2 * TOKENS

    def test_at_lost_engines_is_dropped(self) -> None:
        shares = shares_of({NAMES[0]: 9, NAMES[1]: 2})
        shares.retain_only({(f"{NAMES[1]}-0", 1)})
        assert shares.part_of(NAMES[0], ()).held_tokens == 0
        assert shares.part_of(NAMES[1], ()).held_tokens == TOKENS


class TestWeights:
    def test_are_in_proportion_to_limits(self) -> None:
        accounts = [account("a", 100.0), account("b", 300.0), account("c", None)]
        assert weights_of(accounts) == {"a": 100.0, "b": 300.0, "c": 200.0}

    @pytest.mark.parametrize(
        "accounts",
        [
            [account("a", None), account("b", None)],
            [account("a", 100.0), account("b", 3.0, counts_tokens=False)],
        ],
        ids=["no limits", "limits of different units"],
    )
    def test_are_equal_if_limits_do_not_compare(
        self, accounts: list[ClientAccount]
    ) -> None:
        assert weights_of(accounts) == {"a": 1.0, "b": 1.0}

    def test_are_computed_once_for_a_configuration(self) -> None:
        """Thousands of accounts must not be read at each report of an engine."""
        many = ClientAccounts(tuple(account(f"a-{n}", 1.0) for n in range(5000)))
        current: list[ClientAccounts | None] = [many]
        weights = SharingWeights(lambda: current[0])
        assert len(weights()) == 5000
        assert weights() is weights()
        current[0] = None
        assert weights() == {}


class TestOrderWithAccounts:
    def entry(self, name: str, target: float, account_name: str) -> QueueEntry:
        return QueueEntry(target, name, 1, TOKENS, account_name)

    def order(self) -> PriorityOrder:
        order = PriorityOrder(0.1)
        order.add(self.entry("a", NOW + 1, "busy"))
        order.add(self.entry("b", NOW + 2, "quiet"))
        order.add(self.entry("late a", NOW - 2, "busy"))
        order.add(self.entry("late b", NOW - 1, "quiet"))
        return order

    def test_puts_accounts_above_their_part_after_others(self) -> None:
        head = self.order().head(NOW, 9, SCARCE, {"busy"})
        assert [item.request_id for item in head] == ["b", "a", "late b", "late a"]
        for position, item in enumerate(head):
            assert self.order().count_ahead(item, NOW, {"busy"}) == position

    def test_is_by_target_while_all_start_in_time(self) -> None:
        head = self.order().head(NOW, 2, 0.1, {"busy"})
        assert [item.request_id for item in head] == ["a", "b"]
