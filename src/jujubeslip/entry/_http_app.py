"""The WSGI application: client requests, endpoint announcements and readiness."""

from __future__ import annotations

import logging
import threading
from collections.abc import Iterable

from jujubeslip.declaration import Declaration
from jujubeslip.entry._announcements import AnnouncementReceiver
from jujubeslip.entry._client_call import CallServices, ClientCall
from jujubeslip.entry._configuration_follower import ConfigurationFollower
from jujubeslip.entry._responses import (
    Environ,
    StartResponse,
    internal_refusal,
    json_answer,
    refuse,
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

logger = logging.getLogger(__name__)


class HttpApp:
    """Routes HTTP calls; each call occupies one server thread until it ends."""

    def __init__(
        self,
        settings: EntrySettings,
        process: Process,
        configuration: ConfigurationFollower,
        service: RequestService,
        router: Router,
        open_requests: OpenRequests,
        meters: Meters,
    ) -> None:
        self._process = process
        self._configuration = configuration
        self._announcements = AnnouncementReceiver(settings, configuration, router)
        request_slots = max(1, settings.http_threads - settings.reserved_threads)
        self._services = CallServices(
            service,
            open_requests,
            meters,
            threading.Semaphore(request_slots),
            process.abandoning,
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
                _require_method(environ, "POST")
                return self._announcements.receive(environ, start_response)
            return self._request(environ, start_response, _service_name(path))
        except RequestRefusedError as refusal:
            return refuse(start_response, refusal, "")
        except Exception:
            # The HTTP library would answer with a text page that does not tell the
            # client whether the request ran.
            logger.exception("call failed", extra={"path": path[:200]})
            return refuse(start_response, internal_refusal(), "")

    def _ready(self, start_response: StartResponse) -> Iterable[bytes]:
        ready = self._configuration.revision > 0 and not self._process.stopping.is_set()
        body = {"ready": ready, "revision": self._configuration.revision}
        return json_answer(start_response, 200 if ready else 503, body)

    def _declaration(self) -> Declaration:
        return self._configuration.declaration

    # Clients

    def _request(
        self, environ: Environ, start_response: StartResponse, service_name: str
    ) -> Iterable[bytes]:
        _require_method(environ, "POST")
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
        call = ClientCall(self._services, environ, request)
        return call.answer(start_response)

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
        "The path is unknown.",
        status=404,
        remedy="POST to /v1/services/NAME/requests.",
    )


def _require_method(environ: Environ, method: str) -> None:
    if environ.get("REQUEST_METHOD") != method:
        raise RequestRefusedError(
            "method_unknown",
            "The path does not support this method.",
            status=405,
            remedy=f"Use {method}.",
        )
