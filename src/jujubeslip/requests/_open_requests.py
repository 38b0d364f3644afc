"""The requests that this process is serving now."""

from __future__ import annotations

import threading
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from jujubeslip.peers import HeldRequest


class OpenRequests:
    """Request ids by when they opened; asked by homes that sweep engine memory."""

    def __init__(self) -> None:
        self._ids: dict[str, None] = {}
        self._changed = threading.Condition()

    @contextmanager
    def serving(self, request_id: str) -> Iterator[None]:
        """Count the request as open inside the block."""
        with self._changed:
            self._ids[request_id] = None
        try:
            yield
        finally:
            with self._changed:
                self._ids.pop(request_id, None)
                self._changed.notify_all()

    @property
    def count(self) -> int:
        """Return how many requests are open."""
        return len(self._ids)

    def closed_among(self, held: Iterable[HeldRequest]) -> list[HeldRequest]:
        """Return those of the held requests that are not open here."""
        with self._changed:
            return [item for item in held if item.request_id not in self._ids]

    def wait_until_none(self) -> None:
        """Wait until no request is open."""
        with self._changed:
            self._changed.wait_for(lambda: not self._ids)
