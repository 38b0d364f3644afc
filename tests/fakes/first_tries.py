"""Clients that send requests to each entry host and never retry."""

from __future__ import annotations

import itertools
import threading
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

from tests.fakes.platform_system import PROMPT, PlatformSystem

CLIENTS_PER_KIND = 2
PAUSE_SECONDS = 0.15
STREAM_END = b"token-"


@dataclass(frozen=True)
class FirstTry:
    """A request, and what became of it."""

    entry: int
    path: str
    sent_at: float
    seconds: float
    status: int
    """0 if the connection was refused or ended without a status."""
    complete: bool

    @property
    def served(self) -> bool:
        """Return whether the client got a complete answer."""
        return self.status == 200 and self.complete


class FirstTries:
    """Sends requests on some paths to all entry hosts, and records each of them."""

    def __init__(self, system: PlatformSystem, paths: Sequence[str]) -> None:
        self.all: list[FirstTry] = []
        self._system = system
        self._paths = paths

    @contextmanager
    def running(self) -> Iterator[None]:
        """Return a context within which the clients send requests."""
        ended = threading.Event()
        entries = range(len(self._system.entry_http))
        threads = [
            threading.Thread(target=self._send, args=(entry, path, ended), daemon=True)
            for entry, path, _ in itertools.product(
                entries, self._paths, range(CLIENTS_PER_KIND)
            )
        ]
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            ended.set()
            for thread in threads:
                thread.join()

    def _send(self, entry: int, path: str, ended: threading.Event) -> None:
        while not ended.wait(PAUSE_SECONDS):
            sent_at = time.monotonic()
            try:
                reply = self._system.ask(path, headers=PROMPT, entry=entry)
                status, complete = reply.status, reply.complete
            except OSError:
                status, complete = 0, False
            seconds = time.monotonic() - sent_at
            self.all.append(FirstTry(entry, path, sent_at, seconds, status, complete))

    def since(self, moment: float) -> list[FirstTry]:
        """Return the requests that were sent after this time."""
        return [item for item in self.all if item.sent_at >= moment]

    def describe(self, moment: float) -> str:
        """Return the number of requests since then, by host, path and status."""
        counts = Counter((t.entry, t.path, t.status) for t in self.since(moment))
        return "\n".join(f"{key}: {count}" for key, count in sorted(counts.items()))
