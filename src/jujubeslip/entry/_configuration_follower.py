"""The active configuration of this host, fetched from control or from peers."""

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
RETRY_PAUSE_SECONDS = 0.5
PEER_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True)
class ActiveConfiguration:
    """A configuration revision and its parsed declaration."""

    configuration: Configuration
    declaration: Declaration


class ConfigurationFollower:
    """Follows control by long polling, and fetches newer revisions from peers.

    The revision only increases. A reply with an older one is ignored, so that a lagging
    replica or a peer that was partitioned can't restore an old configuration.
    """

    def __init__(self, control: ControlClient | None, clients: PeerClients) -> None:
        self._control = control
        self._clients = clients
        self._active = ActiveConfiguration(Configuration(0, "", "", ""), Declaration())
        self._lock = threading.Lock()

    @property
    def revision(self) -> int:
        """Return the active revision; 0 before the first one."""
        return int(self._active.configuration.revision)

    @property
    def declaration(self) -> Declaration:
        """Return the active declaration."""
        return self._active.declaration

    @property
    def configuration(self) -> Configuration:
        """Return the active configuration in the form that peers exchange."""
        return self._active.configuration

    def start(self, process: Process) -> None:
        """Start the task that polls control."""
        if self._control is not None:
            process.start_task(self._follow, process)

    def _follow(self, process: Process) -> None:
        assert self._control is not None
        while not process.stopped.is_set():
            try:
                configuration = self._control.get_configuration(self.revision, POLL_MS)
            except (PeerUnavailableError, PeerRefusal) as error:
                logger.info(
                    "configuration poll failed: control unavailable",
                    extra={"error": str(error)},
                )
                process.stopped.wait(RETRY_PAUSE_SECONDS)
                continue
            self.apply(configuration)

    def fetch_from_peer(self, address: str) -> None:
        """Fetch a newer configuration that a peer announced by gossip."""
        try:
            configuration = self._clients.get(address).call(
                lambda peer: peer.get_configuration(self.revision), PEER_TIMEOUT_SECONDS
            )
        except (PeerUnavailableError, PeerRefusal) as error:
            logger.info(
                "configuration not fetched from peer", extra={"error": str(error)}
            )
            return
        self.apply(configuration)

    def apply(self, configuration: Configuration) -> None:
        """Activate a configuration if its revision is newer than the active one."""
        if configuration.revision <= self.revision:
            return
        parsed = parse_declaration(configuration.declaration)
        if isinstance(parsed, Failure):
            problems = [str(problem) for problem in parsed.failure()]
            logger.error(
                "configuration rejected: invalid declaration",
                extra={"problems": problems},
            )
            return
        with self._lock:
            if configuration.revision <= self.revision:
                return
            self._active = ActiveConfiguration(configuration, parsed.unwrap())
        extra = {"revision": configuration.revision}
        logger.info("configuration in force", extra=extra)
