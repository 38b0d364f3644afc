"""The HTTP interface (WSGI): clients' requests, announcements, readiness."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

from jujubeslip.declaration import Declaration
from jujubeslip.entry._announcements import AnnouncementReceiver
from jujubeslip.entry._client_call import ClientCall, Serving
from jujubeslip.entry._configuration import ConfigurationFollower
from jujubeslip.entry._responses import (
    Environ,
    StartResponse,
    json_answer,
    refuse,
    require_method,
)
from jujubeslip.kernel import EntrySettings, Process, RequestRefusedError
from jujubeslip.requests import (
    OpenRequests,
    RequestService,
    authenticate,
    parse_request,
)
from jujubeslip.routing import Router
from jujubeslip.telemetry import Meters


class HttpApp:
    """Routes HTTP calls; one thread of the server serves one call to its end."""

    def __init__(
        self,
        settings: EntrySettings,
        process: Process,
        configuration: ConfigurationFollower,
        service: RequestService,
        router: Router,
        open_requests: OpenRequests,
        meters: Meters,
        is_isolated: Callable[[], bool],
    ) -> None:
        self._process = process
        self._configuration = configuration
        self._announcements = AnnouncementReceiver(
            settings, configuration, router, is_isolated
        )
        places = max(1, settings.http_threads - settings.reserved_threads)
        self._serving = Serving(
            service, open_requests, meters, threading.Semaphore(places)
        )

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP call."""
        path = environ.get("PATH_INFO", "")
        try:
            if path == "/v1/ready":
                return self._ready(start_response)
            if path == "/v1/endpoints":
                return self._announcements.answer(environ, start_response)
            return self._request(environ, start_response, _service_name(path))
        except RequestRefusedError as refusal:
            return refuse(start_response, refusal, "")

    def _ready(self, start_response: StartResponse) -> Iterable[bytes]:
        ready = self._configuration.revision > 0 and not self._process.stopping.is_set()
        body = {"ready": ready, "revision": self._configuration.revision}
        return json_answer(start_response, 200 if ready else 503, body)

    def _request(
        self, environ: Environ, start_response: StartResponse, service_name: str
    ) -> Iterable[bytes]:
        require_method(environ, "POST")
        self._refuse_if_not_serving()
        client = authenticate(
            self._declaration(), environ.get("HTTP_AUTHORIZATION", "")
        )
        request = parse_request(
            self._declaration(),
            client,
            service_name,
            environ["wsgi.input"].read(),
            environ.get("HTTP_X_REQUEST_ID", ""),
            environ.get("HTTP_IDEMPOTENCY_KEY", ""),
        )
        call = ClientCall(self._serving, environ, request)
        return call.answer(start_response)

    def _declaration(self) -> Declaration:
        return self._configuration.declaration

    def _refuse_if_not_serving(self) -> None:
        if self._process.stopping.is_set():
            raise RequestRefusedError(
                "stopping", "This entry host is stopping.", retry_after=0.1
            )
        if self._configuration.revision == 0:
            raise RequestRefusedError(
                "no_configuration",
                "This entry host has no configuration yet.",
                retry_after=1.0,
            )


def _service_name(path: str) -> str:
    parts = path.strip("/").split("/")
    if len(parts) == 4 and parts[:2] == ["v1", "services"] and parts[3] == "requests":
        return parts[2]
    raise RequestRefusedError(
        "path_unknown",
        "There is no such path.",
        status=404,
        remedy="POST to /v1/services/NAME/requests.",
    )
