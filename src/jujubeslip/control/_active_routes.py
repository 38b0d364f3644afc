"""The services and client accounts of the configuration in force."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result

from jujubeslip.accounts import ClientAccounts
from jujubeslip.control._configurations import ConfigurationTable
from jujubeslip.routes import RouteTable

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class _ReadRoutes:
    revision: int
    table: RouteTable | None


class ActiveRoutes:
    """Parses each configuration once, at first use."""

    def __init__(
        self,
        configurations: Callable[[], ConfigurationTable],
        read_routes: Callable[[str], Result[RouteTable, str]],
    ) -> None:
        self._configurations = configurations
        self._read_routes = read_routes
        self._last_read = _ReadRoutes(0, None)

    def engine_services(self) -> frozenset[str]:
        """Return the names of the services with engines, none without configuration."""
        table = self._table()
        services = table.service_by_name.values() if table else ()
        return frozenset(item.name for item in services if item.engine is not None)

    def accounts(self) -> ClientAccounts | None:
        """Return the client accounts, None if requests need no key."""
        table = self._table()
        return table.accounts if table else None

    def _table(self) -> RouteTable | None:
        current = self._configurations().current
        if current.revision != self._last_read.revision:
            self._last_read = _ReadRoutes(
                current.revision, self._read(current.declaration)
            )
        return self._last_read.table

    def _read(self, declaration: str) -> RouteTable | None:
        read = self._read_routes(declaration)
        if isinstance(read, Failure):
            # Keep the last valid routes: without any, no engine would be granted.
            extra = {"problem": read.failure()}
            logger.error(
                "invalid configuration ignored; the last valid one stays in use",
                extra=extra,
            )
            return self._last_read.table
        return read.unwrap()
