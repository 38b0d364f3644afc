"""The requests that this process is serving now."""

from __future__ import annotations

import threading
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from jujubeslip.peers import HeldRequest


class OpenRequests:
    """Requests that are open; asked by homes that sweep engine memory.

    Each has the set of what it holds no more: pairs of an attempt and the endpoint
    at which that attempt was given up, while the request goes on elsewhere.
    """

    def __init__(self) -> None:
        self._given_up_by_id: dict[str, set[tuple[int, str]]] = {}
        self._changed = threading.Condition()

    @contextmanager
    def serving(self, request_id: str) -> Iterator[None]:
        """Count the request as open inside the block."""
        with self._changed:
            self._given_up_by_id[request_id] = set()
        try:
            yield
        finally:
            with self._changed:
                self._given_up_by_id.pop(request_id, None)
                self._changed.notify_all()

    def give_up(self, request_id: str, attempt: int, endpoint_id: str) -> None:
        """Note that the request needs nothing more of an attempt at an endpoint."""
        with self._changed:
            given_up = self._given_up_by_id.get(request_id)
            if given_up is not None:
                given_up.add((attempt, endpoint_id))

    @property
    def count(self) -> int:
        """Return how many requests are open."""
        return len(self._given_up_by_id)

    def closed_among(self, held: Iterable[HeldRequest]) -> list[HeldRequest]:
        """Return those of the held requests that nobody here needs."""
        with self._changed:
            return [item for item in held if not self._is_needed(item)]

    def _is_needed(self, item: HeldRequest) -> bool:
        given_up = self._given_up_by_id.get(item.request_id)
        if given_up is None:
            return False
        return (item.attempt, item.endpoint_id) not in given_up

    def wait_until_none(self) -> None:
        """Wait until no request is open."""
        with self._changed:
            self._changed.wait_for(lambda: not self._given_up_by_id)
