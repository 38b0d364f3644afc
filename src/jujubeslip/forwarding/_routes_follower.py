"""The route table in force on this host."""

from __future__ import annotations

import logging
import threading
import zlib

from returns.result import Failure

from jujubeslip.discovery import News
from jujubeslip.interfaces import Interface
from jujubeslip.kernel import Deadline, PeerUnavailableError, steady_seconds
from jujubeslip.peers import ControlClients, PeerIdentity, PeerRefusal
from jujubeslip.routes import RouteTable

logger = logging.getLogger(__name__)

# How long a control host may take to send a configuration that it told of, in seconds.
FETCH_SECONDS = 0.6


class RoutesFollower:
    """Fetches each newer version that a control host tells of.

    The version only grows, so that a control host that lags, or was cut off, can't
    bring an older configuration back.
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
        """Say whether the configuration in force has client accounts."""
        table = self._table
        return table is not None and table.accounts is not None

    def first_table(self, deadline: Deadline) -> RouteTable | None:
        """Return the table in force, after waiting for the first one if need be."""
        self._has_table.wait(deadline.remaining())
        return self._table

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first one."""
        table = self._table
        return table.version if table else 0

    @property
    def age_seconds(self) -> float:
        """Return for how long the version has been in force here."""
        return steady_seconds() - self._in_force_since

    def take(self, news: News) -> None:
        """Fetch the version that a control host told of, if it is newer."""
        with self._lock:
            if news.configuration_version > self.version:
                self._fetch(news.address)

    def _fetch(self, address: str) -> None:
        version = self.version
        try:
            found = self._clients.get(address).call(
                lambda peer: peer.get_packed_configuration(version), FETCH_SECONDS
            )
        except (PeerUnavailableError, PeerRefusal) as error:
            extra = {"address": address, "error": str(error)}
            logger.warning("configuration not fetched", extra=extra)
            return
        if found.revision <= version:
            return
        try:
            content = zlib.decompress(found.packed_declaration).decode()
        except (zlib.error, UnicodeDecodeError) as error:
            extra = {"address": address, "error": str(error)}
            logger.warning("configuration not unpacked", extra=extra)
            return
        self._put_in_force(found.revision, content)

    def _put_in_force(self, version: int, content: str) -> None:
        read = self._interface.read_routes(content)
        if isinstance(read, Failure):
            extra = {"version": version, "problem": read.failure()}
            logger.error("configuration not usable", extra=extra)
            return
        self._table = read.unwrap()
        self._has_table.set()
        self._in_force_since = steady_seconds()
        extra = {"version": version, "routes": len(self._table.routes)}
        logger.info("configuration in force", extra=extra)
