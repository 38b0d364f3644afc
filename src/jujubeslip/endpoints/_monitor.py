"""Polls an endpoint's status and cache events over a persistent connection."""

from __future__ import annotations

import http.client
import socket
from typing import Any

from jujubeslip.endpoints._errors import (
    AnswerCutError,
    EndpointRefusedError,
    EndpointTimeoutError,
)
from jujubeslip.endpoints._http import parse_object
from jujubeslip.endpoints._models import CacheEvent, EndpointStatus
from jujubeslip.endpoints._status import cache_events_from_json, status_from_json
from jujubeslip.kernel import Deadline

HTTP_OK = 200
MINIMUM_TIMEOUT_SECONDS = 0.001


class EndpointMonitor:
    """Polls one endpoint; not thread-safe.

    Opening a connection for each request would cost a home most of its processor time.
    The connection is reused only after its answer was read completely. A request that
    fails on it is retried once over a new one, since a kept connection may have become
    permanently silent while new ones work.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._connection: http.client.HTTPConnection | None = None

    def status(self, deadline: Deadline) -> EndpointStatus:
        """Return the status that the endpoint reports."""
        return status_from_json(self._get("/v1/status", deadline), self.address)

    def events(
        self, after: int, deadline: Deadline
    ) -> tuple[tuple[CacheEvent, ...], int]:
        """Return the cache events after a number, and the number for the next call."""
        answer = self._get(f"/v1/events?after={after}", deadline)
        return cache_events_from_json(answer, after, self.address)

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _get(self, path: str, deadline: Deadline) -> dict[str, Any]:
        if self._connection is not None:
            kept = Deadline.after(deadline.remaining() / 2)
            try:
                return self._request(path, kept)
            except (AnswerCutError, EndpointTimeoutError):
                self.close()
        return self._request(path, deadline)

    def _request(self, path: str, deadline: Deadline) -> dict[str, Any]:
        connection = self._connection or self._open(deadline)
        self._connection = None
        sock = connection.sock
        try:
            sock.settimeout(max(MINIMUM_TIMEOUT_SECONDS, deadline.remaining()))
            connection.request("GET", path)
            response = connection.getresponse()
            body = response.read()
        except TimeoutError as error:
            connection.close()
            raise EndpointTimeoutError(f"{self.address}: no answer in time.") from error
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise AnswerCutError(f"{self.address}: {error!r}.") from error
        if not response.will_close:
            self._connection = connection
        if response.status != HTTP_OK:
            raise EndpointRefusedError(response.status, path, may_have_run=False)
        return parse_object(body, self.address)

    def _open(self, deadline: Deadline) -> http.client.HTTPConnection:
        host, port = self.address.rsplit(":", 1)
        connection = http.client.HTTPConnection(
            host, int(port), timeout=max(MINIMUM_TIMEOUT_SECONDS, deadline.remaining())
        )
        try:
            connection.connect()
        except OSError as error:
            raise AnswerCutError(f"{self.address}: {error}.") from error
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection
