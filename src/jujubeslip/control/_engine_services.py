"""The services that the configuration in force gives engines."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result

from jujubeslip.control._configurations import ConfigurationTable
from jujubeslip.routes import RouteTable

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class _Known:
    revision: int
    names: frozenset[str]


class EngineServices:
    """Reads each configuration once, when it is first asked about."""

    def __init__(
        self,
        configurations: Callable[[], ConfigurationTable],
        read_routes: Callable[[str], Result[RouteTable, str]],
    ) -> None:
        self._configurations = configurations
        self._read_routes = read_routes
        self._known = _Known(0, frozenset())

    def names(self) -> frozenset[str]:
        """Return the names of the services that have engines; none before the first."""
        current = self._configurations().current
        if current.revision != self._known.revision:
            self._known = _Known(current.revision, self._read(current.declaration))
        return self._known.names

    def _read(self, declaration: str) -> frozenset[str]:
        read = self._read_routes(declaration)
        if isinstance(read, Failure):
            # Names of before go on: without any, no engine would be granted.
            extra = {"problem": read.failure()}
            logger.error("configuration not usable", extra=extra)
            return self._known.names
        services = read.unwrap().service_by_name.values()
        return frozenset(item.name for item in services if item.engine is not None)
