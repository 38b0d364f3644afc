"""Polls an endpoint's status and cache events over a persistent connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from jujubeslip.endpoints._answer_reader import AnswerHead
from jujubeslip.endpoints._bounded_reader import never_interrupted
from jujubeslip.endpoints._connections import EndpointConnection
from jujubeslip.endpoints._errors import (
    EndpointAnswerError,
    EndpointError,
    EndpointRefusedError,
)
from jujubeslip.endpoints._http import parse_object
from jujubeslip.endpoints._models import CacheEvent, EndpointStatus
from jujubeslip.endpoints._status import cache_events_from_json, status_from_json
from jujubeslip.kernel import Deadline

HTTP_OK = 200

T = TypeVar("T")
Parse = Callable[[dict[str, Any]], T]


class EndpointMonitor:
    """Polls one endpoint; not thread-safe.

    Opening a connection for each request would cost a home most of its processor time.
    The connection is reused only after its answer was read completely. A request that
    fails on it is retried once over a new one, since a kept connection may have become
    permanently silent while new ones work.

    These answers name no request. On a kept connection, one is used only if nothing
    came before the request and nothing follows the answer: of two answers, the first
    may be a late one to an earlier request.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._kept: EndpointConnection | None = None

    def status(self, deadline: Deadline) -> EndpointStatus:
        """Return the status that the endpoint reports."""
        return self._get(
            "/v1/status",
            lambda answer: status_from_json(answer, self.address),
            deadline,
        )

    def events(
        self, after: int, deadline: Deadline
    ) -> tuple[tuple[CacheEvent, ...], int]:
        """Return the cache events after a number, and the number for the next call."""
        return self._get(
            f"/v1/events?after={after}",
            lambda answer: cache_events_from_json(answer, after, self.address),
            deadline,
        )

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._kept is not None:
            self._kept.close()
            self._kept = None

    def _get(self, path: str, parse: Parse[T], deadline: Deadline) -> T:
        kept = self._take_kept()
        if kept is not None:
            try:
                half = Deadline.after(deadline.remaining() / 2)
                return self._request(kept, path, parse, half)
            except EndpointRefusedError:
                raise
            except EndpointError:
                pass
        connection = EndpointConnection(self.address)
        return self._request(connection, path, parse, deadline)

    def _take_kept(self) -> EndpointConnection | None:
        kept, self._kept = self._kept, None
        if kept is None or kept.is_clean():
            return kept
        kept.close()
        return None

    def _request(
        self,
        connection: EndpointConnection,
        path: str,
        parse: Parse[T],
        deadline: Deadline,
    ) -> T:
        try:
            head, body = self._exchange(connection, path, deadline)
            if head.status != HTTP_OK:
                raise EndpointRefusedError(head.status, path, may_have_run=False)
            return parse(parse_object(body, self.address))
        except EndpointAnswerError:
            self.close()
            raise

    def _exchange(
        self, connection: EndpointConnection, path: str, deadline: Deadline
    ) -> tuple[AnswerHead, bytes]:
        """Return a whole answer, and keep the connection only if it can be reused."""
        headers = [("Host", self.address), ("Accept-Encoding", "identity")]
        try:
            connection.watch(deadline, never_interrupted)
            connection.send("GET", path, headers, b"")
            head = connection.read_head()
            body = connection.read_rest(head)
            can_be_kept = not head.will_close and connection.is_clean()
            if connection.used and not (can_be_kept or head.will_close):
                raise EndpointAnswerError(f"{self.address}: more follows the answer.")
        except EndpointError:
            connection.close()
            raise
        if can_be_kept:
            connection.used = True
            self._kept = connection
        else:
            connection.close()
        return head, body
