"""Warnings about entries of a numbered configuration without effect, and conflicts."""

from __future__ import annotations

from collections.abc import Iterator

from jujubeslip.accounts import ClientAccount
from jujubeslip.kernel import CheckLevel, CheckMessage, register_check
from jujubeslip.routes import Route, RouteKind, RouteTable


@register_check(RouteTable)
def check_entries_have_effect(subject: object) -> Iterator[CheckMessage]:
    """Warn about routes, shares, services and accounts that get no request."""
    assert isinstance(subject, RouteTable)
    for route in subject.routes:
        yield from _unreachable_routes(route)
        for share in route.shares:
            if share.weight == 0:
                yield _warning(
                    "routes.W002",
                    f"route {route.name}",
                    f"The service {share.service_name!r} has weight 0 and gets no "
                    "request of it.",
                    "Give it a weight above 0, or remove it from the route.",
                )
    used = {share.service_name for route in subject.routes for share in route.shares}
    for name in subject.service_by_name.keys() - used:
        yield _warning(
            "routes.W003",
            f"service {name}",
            "No route names it.",
            "Add a route to it, or remove it.",
        )
    accounts = subject.accounts.accounts if subject.accounts else ()
    for account in accounts:
        if not account.key_hashes:
            yield _warning(
                "routes.W004",
                f"account {account.name}",
                "It has no key, so that no request is its.",
                "Add a key, or remove the account.",
            )


def _unreachable_routes(route: Route) -> Iterator[CheckMessage]:
    if not route.path_prefix.startswith("/"):
        yield _warning(
            "routes.W001",
            f"route {route.name}",
            f"It can never match: no path begins with {route.path_prefix!r}.",
            "Begin the path prefix with a slash.",
        )
    elif not route.host:
        yield _warning(
            "routes.W001",
            f"route {route.name}",
            "It can never match: it names no host.",
            "Name the host that clients call.",
        )


@register_check(RouteTable)
def check_limits_agree(subject: object) -> Iterator[CheckMessage]:
    """Warn about limits and times of which one makes another one pointless."""
    assert isinstance(subject, RouteTable)
    for route in subject.routes:
        yield from _conflicts_of_route(route, subject)
    accounts = subject.accounts.accounts if subject.accounts else ()
    for account in accounts:
        yield from _conflicts_of_account(account)


def _conflicts_of_route(route: Route, table: RouteTable) -> Iterator[CheckMessage]:
    place = f"route {route.name}"
    if 0 < route.timeout_ms < route.target_ms:
        yield _warning(
            "routes.W010",
            place,
            f"The timeout of {route.timeout_ms} ms ends before the target of "
            f"{route.target_ms} ms.",
            "Give a timeout of at least the target.",
        )
    if route.maximum_attempts > 1 and not route.repeatable:
        yield _warning(
            "routes.W011",
            place,
            f"It allows {route.maximum_attempts} attempts, but its requests may run "
            "at most once.",
            "Allow one attempt, or change its kind.",
        )
    if route.maximum_attempts == 1 and route.resumable:
        yield _warning(
            "routes.W012",
            place,
            "Its streams may resume at another endpoint, but only one may run them.",
            "Allow two attempts, or make it not resumable.",
        )
    if route.kind is RouteKind.STREAM and route.maximum_gap_ms > route.timeout_ms > 0:
        yield _warning(
            "routes.W013",
            place,
            f"A pause of {route.maximum_gap_ms} ms between events is in time, but the "
            f"timeout is {route.timeout_ms} ms.",
            "Give a shorter pause, or a longer timeout.",
        )
    if route.public and table.accounts is None:
        yield _warning(
            "routes.W014",
            place,
            "It is public, but no request needs a key without accounts.",
            "Add accounts, or remove the mark.",
        )


def _conflicts_of_account(account: ClientAccount) -> Iterator[CheckMessage]:
    limit = account.limit
    if limit is None:
        return
    cost = account.cost_of(None)
    if limit.burst < cost:
        yield _warning(
            "routes.W020",
            f"account {account.name}",
            f"Its burst of {limit.burst:g} is less than one request of {cost:g}, which "
            f"then waits for the rate of {limit.per_second:g} a second.",
            "Give a burst of at least one request.",
        )


def _warning(check_id: str, place: str, message: str, hint: str) -> CheckMessage:
    return CheckMessage(check_id, CheckLevel.WARNING, place, message, hint)
