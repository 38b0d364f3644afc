"""Keeps the route table that is in force on this host up to date."""

from __future__ import annotations

import logging
import threading
import zlib

from returns.result import Failure

from jujubeslip.discovery import ControlUpdate
from jujubeslip.interfaces import Interface
from jujubeslip.kernel import Deadline, PeerUnavailableError, steady_seconds
from jujubeslip.peers import ControlClients, PeerIdentity, PeerRefusal
from jujubeslip.routes import RouteTable

logger = logging.getLogger(__name__)

# Timeout of a call for a configuration that a control host announced, in seconds.
FETCH_SECONDS = 0.6


class RoutesFollower:
    """Fetches each newer version that a control host announces.

    The version only grows, so that a control host that lags or was cut off can't
    restore an older configuration.
    """

    def __init__(self, interface: Interface, identity: PeerIdentity) -> None:
        self._interface = interface
        self._clients = ControlClients(identity)
        self._lock = threading.Lock()
        self._table: RouteTable | None = None
        self._has_table = threading.Event()
        self._in_force_since = steady_seconds()

    @property
    def table(self) -> RouteTable | None:
        """Return the table in force, None before the first one."""
        return self._table

    def has_accounts(self) -> bool:
        """Return whether the configuration in force has client accounts."""
        table = self._table
        return table is not None and table.accounts is not None

    def first_table(self, deadline: Deadline) -> RouteTable | None:
        """Return the table in force, after waiting for the first one if necessary."""
        self._has_table.wait(deadline.remaining())
        return self._table

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first one."""
        table = self._table
        return table.version if table else 0

    @property
    def age_seconds(self) -> float:
        """Return how long the version has been in force on this host."""
        return steady_seconds() - self._in_force_since

    def apply_update(self, update: ControlUpdate) -> None:
        """Fetch the version that a control host announced, if it is newer."""
        with self._lock:
            if update.configuration_version > self.version:
                self._fetch(update.address)

    def _fetch(self, address: str) -> None:
        version = self.version
        try:
            fetched = self._clients.get(address).call(
                lambda peer: peer.get_packed_configuration(version), FETCH_SECONDS
            )
        except (PeerUnavailableError, PeerRefusal) as error:
            extra = {"address": address, "error": str(error)}
            logger.warning("configuration not fetched", extra=extra)
            return
        if fetched.revision <= version:
            return
        try:
            content = zlib.decompress(fetched.packed_declaration).decode()
        except (zlib.error, UnicodeDecodeError) as error:
            extra = {"address": address, "error": str(error)}
            logger.warning("configuration not unpacked", extra=extra)
            return
        self._put_in_force(fetched.revision, content)

    def _put_in_force(self, version: int, content: str) -> None:
        parsed = self._interface.read_routes(content)
        if isinstance(parsed, Failure):
            extra = {"version": version, "problem": parsed.failure()}
            logger.error("configuration not usable", extra=extra)
            return
        self._table = parsed.unwrap()
        self._has_table.set()
        self._in_force_since = steady_seconds()
        extra = {"version": version, "routes": len(self._table.routes)}
        logger.info("configuration in force", extra=extra)
