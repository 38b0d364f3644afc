"""Validation of route tables."""

from __future__ import annotations

from collections.abc import Iterator

from jujubeslip import accounts
from jujubeslip.routes._models import Route, RouteTable


def find_problem(table: RouteTable) -> str:
    """Return a description of the table's first problem, or "" if it is valid."""
    return next(_problems(table), "")


def _problems(table: RouteTable) -> Iterator[str]:
    if table.version < 1:
        yield f"The version is {table.version}; give one of 1 or more."
    place_by_route: dict[tuple[str, str], str] = {}
    for route in table.routes:
        yield from _problems_of(route, table)
        place = (route.host, route.path_prefix)
        if place in place_by_route:
            yield (
                f"Routes {place_by_route[place]!r} and {route.name!r} have the same "
                "host and path prefix; remove one of them."
            )
        place_by_route[place] = route.name
    if table.accounts is not None:
        problem = accounts.find_problem(table.accounts)
        if problem:
            yield problem


def _problems_of(route: Route, table: RouteTable) -> Iterator[str]:
    for share in route.shares:
        if share.service_name not in table.service_by_name:
            yield (
                f"Route {route.name!r} names the service {share.service_name!r}, "
                "which the configuration doesn't have; add it or correct the name."
            )
        if share.weight < 0:
            yield f"Route {route.name!r} has a weight below 0; give 0 or more."
    if sum(share.weight for share in route.shares) <= 0:
        yield f"The weights of route {route.name!r} add up to 0; give one above 0."
    if route.timeout_ms <= 0:
        yield f"The timeout of route {route.name!r} is 0; give one in milliseconds."
    if route.priority < 0:
        yield (
            f"The priority of route {route.name!r} is {route.priority}; give 0, the "
            "highest, or more."
        )
    if route.maximum_attempts < 1:
        yield f"Route {route.name!r} allows no attempt; allow 1 or more."
