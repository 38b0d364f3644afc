"""What the configuration in force says of services and client accounts."""

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
class _Known:
    revision: int
    table: RouteTable | None


class RoutesInForce:
    """Reads each configuration once, when it is first asked about."""

    def __init__(
        self,
        configurations: Callable[[], ConfigurationTable],
        read_routes: Callable[[str], Result[RouteTable, str]],
    ) -> None:
        self._configurations = configurations
        self._read_routes = read_routes
        self._known = _Known(0, None)

    def engine_services(self) -> frozenset[str]:
        """Return the names of the services that have engines; none before the first."""
        table = self._table()
        services = table.service_by_name.values() if table else ()
        return frozenset(item.name for item in services if item.engine is not None)

    def accounts(self) -> ClientAccounts | None:
        """Return the client accounts, None where requests need no key."""
        table = self._table()
        return table.accounts if table else None

    def _table(self) -> RouteTable | None:
        current = self._configurations().current
        if current.revision != self._known.revision:
            self._known = _Known(current.revision, self._read(current.declaration))
        return self._known.table

    def _read(self, declaration: str) -> RouteTable | None:
        read = self._read_routes(declaration)
        if isinstance(read, Failure):
            # What was known before goes on: without any, no engine would be granted.
            extra = {"problem": read.failure()}
            logger.error("configuration not usable", extra=extra)
            return self._known.table
        return read.unwrap()
