"""The configuration in force on this host, learned from control or from peers."""

from __future__ import annotations

import logging
import threading
from dataclasses import dataclass

from returns.result import Failure

from jujubeslip.control import ControlClient
from jujubeslip.declaration import Declaration, parse_declaration
from jujubeslip.kernel import PeerUnavailableError, Process
from jujubeslip.membership import PeerClients
from jujubeslip.peers import Configuration, PeerRefusal

logger = logging.getLogger(__name__)

POLL_MS = 2000
RETRY_PAUSE = 0.5
PEER_TIMEOUT = 1.0


@dataclass(frozen=True)
class InForce:
    """One revision, parsed."""

    configuration: Configuration
    declaration: Declaration


class ConfigurationFollower:
    """Follows control by long poll, and any peer that has a newer revision.

    The revision only grows: an answer with an older one is passed over, so a replica
    that lags, or a peer that was cut off, can't bring an old configuration back.
    """

    def __init__(self, control: ControlClient | None, clients: PeerClients) -> None:
        self._control = control
        self._clients = clients
        self._in_force = InForce(Configuration(0, "", "", ""), Declaration())
        self._lock = threading.Lock()

    @property
    def revision(self) -> int:
        """Return the revision in force here; 0 before the first one."""
        return int(self._in_force.configuration.revision)

    @property
    def declaration(self) -> Declaration:
        """Return the declaration in force here."""
        return self._in_force.declaration

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force here, for peers."""
        return self._in_force.configuration

    def start(self, process: Process) -> None:
        """Start the task that follows control."""
        if self._control is not None:
            process.start_task(self._follow, process)

    def _follow(self, process: Process) -> None:
        assert self._control is not None
        while not process.stopped.is_set():
            try:
                configuration = self._control.get_configuration(self.revision, POLL_MS)
            except (PeerUnavailableError, PeerRefusal) as error:
                logger.info("control unavailable", extra={"error": str(error)})
                process.stopped.wait(RETRY_PAUSE)
                continue
            self.take(configuration)

    def fetch_from_peer(self, address: str) -> None:
        """Take over a newer configuration that a peer's gossip told of."""
        try:
            configuration = self._clients.get(address).call(
                lambda peer: peer.get_configuration(self.revision), PEER_TIMEOUT
            )
        except (PeerUnavailableError, PeerRefusal) as error:
            logger.info("configuration not fetched", extra={"error": str(error)})
            return
        self.take(configuration)

    def take(self, configuration: Configuration) -> None:
        """Put a newer configuration in force."""
        if configuration.revision <= self.revision:
            return
        parsed = parse_declaration(configuration.declaration)
        if isinstance(parsed, Failure):
            problems = [str(problem) for problem in parsed.failure()]
            logger.error("declaration not usable", extra={"problems": problems})
            return
        with self._lock:
            if configuration.revision <= self.revision:
                return
            self._in_force = InForce(configuration, parsed.unwrap())
        extra = {"revision": configuration.revision}
        logger.info("configuration in force", extra=extra)
