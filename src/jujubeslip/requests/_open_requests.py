"""The requests that this process is currently serving."""

from __future__ import annotations

import threading
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from jujubeslip.peers import HeldRequest


class OpenRequests:
    """Open requests; homes query them when they sweep engine memory.

    Each open request has the set of its abandoned attempts, as pairs of an attempt and
    the endpoint at which it was abandoned while the request continues elsewhere.
    """

    def __init__(self) -> None:
        self._abandoned_by_request_id: dict[str, set[tuple[int, str]]] = {}
        self._changed = threading.Condition()

    @contextmanager
    def serving(self, request_id: str) -> Iterator[None]:
        """Count the request as open inside the block."""
        with self._changed:
            self._abandoned_by_request_id[request_id] = set()
        try:
            yield
        finally:
            with self._changed:
                self._abandoned_by_request_id.pop(request_id, None)
                self._changed.notify_all()

    def abandon_attempt(self, request_id: str, attempt: int, endpoint_id: str) -> None:
        """Record that the request no longer needs an attempt at an endpoint."""
        with self._changed:
            abandoned = self._abandoned_by_request_id.get(request_id)
            if abandoned is not None:
                abandoned.add((attempt, endpoint_id))

    @property
    def count(self) -> int:
        """Return how many requests are open."""
        return len(self._abandoned_by_request_id)

    def closed_among(self, held: Iterable[HeldRequest]) -> list[HeldRequest]:
        """Return the held requests that no open request of this process needs."""
        with self._changed:
            return [item for item in held if not self._is_needed(item)]

    def _is_needed(self, item: HeldRequest) -> bool:
        abandoned = self._abandoned_by_request_id.get(item.request_id)
        if abandoned is None:
            return False
        return (item.attempt, item.endpoint_id) not in abandoned

    def wait_until_none(self) -> None:
        """Wait until no request is open."""
        with self._changed:
            self._changed.wait_for(lambda: not self._abandoned_by_request_id)
