"""The control host that leads, as this host knows it, and calls to it."""

from __future__ import annotations

import logging
import threading
from collections import Counter
from collections.abc import Callable
from typing import Any, TypeVar

from jujubeslip.discovery import News
from jujubeslip.kernel import Deadline, PeerUnavailableError
from jujubeslip.peers import ControlClients, NotLeader, PeerIdentity, PeerRefusal

logger = logging.getLogger(__name__)

T = TypeVar("T")

# How long a host that did not answer, or does not lead, is not asked, in seconds.
PAUSE_SECONDS = 0.7


class LeaderContact:
    """Finds the leader among what control hosts tell, and calls it."""

    def __init__(self, identity: PeerIdentity, reaches: Callable[[str], bool]) -> None:
        self._reaches = reaches
        self._clients = ControlClients(identity)
        self._leader_by_teller: dict[str, str] = {}
        self._paused_until_by_address: dict[str, Deadline] = {}
        self._lock = threading.Lock()

    def take(self, news: News) -> None:
        """Note who leads, as one control host sees it."""
        with self._lock:
            self._leader_by_teller[news.address] = news.leader_address

    def address(self) -> str | None:
        """Return the address that most control hosts name, None if none may be asked.

        One that is cut off from the others may still name the leader of before.
        """
        with self._lock:
            named = Counter(
                address
                for address in self._leader_by_teller.values()
                if address and not self._is_paused(address)
            )
            # Each request would wait anew for a host beyond a network partition.
            named = Counter({key: n for key, n in named.items() if self._reaches(key)})
        return named.most_common(1)[0][0] if named else None

    def call(
        self,
        address: str,
        request_id: str,
        timeout: float,
        ask: Callable[[Any], T],
    ) -> T | None:
        """Return the answer of the host at this address, None if it doesn't lead.

        One that does not answer in time, in seconds, or refuses, is not asked for a
        while either.
        """
        try:
            return self._clients.get(address).call(ask, timeout)
        except NotLeader as error:
            self._pause(address, request_id, "it does not lead")
            if error.leader_address:
                with self._lock:
                    self._leader_by_teller[address] = error.leader_address
        except (PeerUnavailableError, PeerRefusal) as error:
            self._pause(address, request_id, str(error))
        return None

    def call_other(
        self, address: str, timeout: float, ask: Callable[[Any], T]
    ) -> T | None:
        """Return the answer of a control host that need not lead, None without one."""
        try:
            return self._clients.get(address).call(ask, timeout)
        except (PeerUnavailableError, PeerRefusal) as error:
            extra = {"address": address, "error": str(error)}
            logger.info("control host not asked", extra=extra)
            return None

    def first_reachable(self) -> str | None:
        """Return the control host that hosts with the same view agree on."""
        with self._lock:
            tellers = sorted(self._leader_by_teller)
        return next((item for item in tellers if self._reaches(item)), None)

    def tell(self, say: Callable[[Any], Any], timeout: float) -> str:
        """Tell the leader something; return why it may not know, empty if it does."""
        address = self.address()
        if address is None:
            return "no leader is known"
        try:
            self._clients.get(address).call(say, timeout)
        except (PeerUnavailableError, PeerRefusal, NotLeader) as failure:
            return f"{address}: {failure}"
        return ""

    def _pause(self, address: str, request_id: str, reason: str) -> None:
        with self._lock:
            self._paused_until_by_address[address] = Deadline.after(PAUSE_SECONDS)
        extra = {"address": address, "request_id": request_id, "reason": reason}
        logger.info("leader grants no engines", extra=extra)

    def _is_paused(self, address: str) -> bool:
        paused = self._paused_until_by_address.get(address)
        return paused is not None and not paused.expired
