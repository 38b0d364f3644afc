"""The control host that leads, as this host knows it, and calls to it."""

from __future__ import annotations

import logging
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from jujubeslip.discovery import News
from jujubeslip.kernel import Deadline, PeerUnavailableError
from jujubeslip.peers import ControlClients, NotLeader, PeerIdentity, PeerRefusal

logger = logging.getLogger(__name__)

T = TypeVar("T")

# How long a host that did not answer, or does not lead, is not asked, in seconds.
PAUSE_SECONDS = 0.7
# The same for one that leads and may promise nothing at the moment, in seconds: its
# followers answer late, and the next answer renews its lease.
LAPSED_PAUSE_SECONDS = 0.1


@dataclass(frozen=True)
class _Word:
    """Who leads, as one control host told last, and in which term."""

    address: str
    term: int


class LeaderContact:
    """Finds the leader among what control hosts tell, and calls it.

    The newest term counts, whoever told it: what others said of an earlier one is over.
    """

    def __init__(self, identity: PeerIdentity, reaches: Callable[[str], bool]) -> None:
        self._reaches = reaches
        self._clients = ControlClients(identity)
        self._word_by_teller: dict[str, _Word] = {}
        self._paused_until_by_address: dict[str, Deadline] = {}
        self._silent_addresses: set[str] = set()
        """Hosts that did not answer when last asked."""
        self._lapsed_addresses: set[str] = set()
        """Leaders that could promise nothing when last asked."""
        self._logged_address: str | None = None
        self._lock = threading.Lock()

    def take(self, news: News) -> None:
        """Note who leads, as one control host sees it."""
        word = _Word(news.leader_address, news.leader_term)
        with self._lock:
            self._take_word(news.address, word)

    def _take_word(self, teller: str, word: _Word) -> None:
        """Note what a host told; needs the lock."""
        if word.term > self._newest_term():
            # It was elected since it was passed over.
            self._forget_failures(word.address)
        before = self._word_by_teller.get(teller)
        if not word.address and before is not None:
            # It hears no leader now; the one of an earlier term leads no more.
            word = _Word("", max(before.term, word.term))
        self._word_by_teller[teller] = word

    def _forget_failures(self, address: str) -> None:
        """Let a host be asked at once; needs the lock."""
        self._paused_until_by_address.pop(address, None)
        self._silent_addresses.discard(address)
        self._lapsed_addresses.discard(address)

    def _newest_words(self) -> list[_Word]:
        """Return what was told of the newest term; needs the lock.

        A word holds while its teller or the host that it names is reached: the control
        hosts may all have been replaced, and count their terms anew.
        """
        words = [
            word
            for teller, word in self._word_by_teller.items()
            if self._reaches(teller) or self._reaches(word.address)
        ]
        newest = max((word.term for word in words), default=0)
        return [word for word in words if word.term == newest]

    def _newest_term(self) -> int:
        return max((word.term for word in self._newest_words()), default=0)

    @property
    def is_late(self) -> bool:
        """Say whether a reachable leader is passed over since an answer was late.

        Its own, or one that renews its lease. It is soon asked again. One beyond a
        network partition isn't reachable.
        """
        with self._lock:
            named = {word.address for word in self._newest_words()}
            named &= self._silent_addresses | self._lapsed_addresses
            return any(self._reaches(address) for address in named)

    def address(self) -> str | None:
        """Return the address of the newest leader, None if it may not be asked.

        One that is cut off from the others may still name the leader of before; most
        of them decide where they tell no terms.
        """
        with self._lock:
            named = Counter(
                word.address
                for word in self._newest_words()
                if word.address and not self._is_paused(word.address)
            )
            # Each request would wait anew for a host beyond a network partition.
            named = Counter({key: n for key, n in named.items() if self._reaches(key)})
            address = named.most_common(1)[0][0] if named else None
            self._log_change(address)
        return address

    def _log_change(self, address: str | None) -> None:
        """Write which host is asked from now on, and what each one told; needs lock."""
        if address == self._logged_address:
            return
        self._logged_address = address
        paused = [
            item for item in self._paused_until_by_address if self._is_paused(item)
        ]
        extra = {
            "address": address or "",
            "told": {
                teller: [word.address, word.term]
                for teller, word in self._word_by_teller.items()
            },
            "paused": paused,
        }
        logger.info("leader to ask changed", extra=extra)

    def call(
        self,
        address: str,
        request_id: str,
        timeout: float,
        ask: Callable[[Any], T],
    ) -> T | None:
        """Return the answer of the host at this address, None if it doesn't lead.

        One that does not answer in time, in seconds, or refuses, is not asked for a
        while either. A connection that stays silent is followed by a fresh one, which
        gets as long, unless another host leads by then.
        """
        client = self._clients.get(address)

        def ask_twice() -> T:
            try:
                return client.call_within(ask, timeout)
            except PeerUnavailableError:
                if not self._is_named(address):
                    raise
            return client.call_within(ask, timeout)

        return self._answer(address, request_id, timeout, ask_twice)

    def _is_named(self, address: str) -> bool:
        with self._lock:
            return address in {word.address for word in self._newest_words()}

    def call_within(
        self,
        address: str,
        request_id: str,
        timeout: float,
        ask: Callable[[Any], T],
    ) -> T | None:
        """Do the same in this time, in seconds, whatever connections do.

        For requests that go on without the leader: beyond a network partition both
        connections are silent, and two waits would take all of a stream's target.
        """
        client = self._clients.get(address)
        return self._answer(
            address, request_id, timeout, lambda: client.call_within(ask, timeout)
        )

    def _answer(
        self, address: str, request_id: str, timeout: float, ask: Callable[[], T]
    ) -> T | None:
        term = self._note_asked(address, timeout)
        try:
            answer = ask()
        except NotLeader as error:
            self._pause_not_leading(address, term, request_id, error)
            if error.leader_address:
                word = _Word(error.leader_address, error.leader_term or 0)
                with self._lock:
                    self._take_word(address, word)
            return None
        except PeerRefusal as error:
            self._pause(address, term, request_id, str(error))
            return None
        except PeerUnavailableError as error:
            self._pause(address, term, request_id, str(error), is_silent=True)
            return None
        self._note_answered(address)
        return answer

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
            tellers = sorted(self._word_by_teller)
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

    def _note_asked(self, address: str, timeout: float) -> int:
        """Let nobody else ask a silent host while one request waits for its answer.

        Return the term in which it is asked.

        A host beyond a network partition is known to be lost after two seconds. Until
        then each request that comes once its pause is over would wait in vain.
        """
        with self._lock:
            if address in self._silent_addresses:
                self._paused_until_by_address[address] = Deadline.after(timeout)
            return self._newest_term()

    def _note_answered(self, address: str) -> None:
        with self._lock:
            if address in self._silent_addresses | self._lapsed_addresses:
                self._forget_failures(address)

    def _pause_not_leading(
        self, address: str, term: int, request_id: str, error: NotLeader
    ) -> None:
        """Pass over a host that says that it doesn't lead.

        One that knows no other leader, and is still named as the newest one, leads
        without a lease: it may be asked again soon.
        """
        is_lapsed = not error.leader_address and self._is_named(address)
        with self._lock:
            if is_lapsed and term == self._newest_term():
                paused = Deadline.after(LAPSED_PAUSE_SECONDS)
                self._paused_until_by_address[address] = paused
                self._lapsed_addresses.add(address)
        if not is_lapsed:
            self._pause(address, term, request_id, "it does not lead")
            return
        extra = {"address": address, "request_id": request_id, "term": term}
        logger.info("leader has no lease", extra=extra)

    def _pause(
        self,
        address: str,
        term: int,
        request_id: str,
        reason: str,
        is_silent: bool = False,
    ) -> None:
        """Pass over a host for what it answered, or not, in this term."""
        with self._lock:
            # It may have been elected while it was asked.
            if term == self._newest_term():
                self._paused_until_by_address[address] = Deadline.after(PAUSE_SECONDS)
                if is_silent:
                    self._silent_addresses.add(address)
        extra = {"address": address, "request_id": request_id, "reason": reason}
        logger.info("leader grants no engines", extra=extra)

    def _is_paused(self, address: str) -> bool:
        paused = self._paused_until_by_address.get(address)
        return paused is not None and not paused.expired
