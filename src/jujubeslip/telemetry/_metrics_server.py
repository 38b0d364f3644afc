"""HTTP server for the metrics of a process, at an address of its own."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Any

from jujubeslip.http_server import HttpServer, HttpServerOptions
from jujubeslip.kernel import Process, TelemetrySettings
from jujubeslip.telemetry._setup import Telemetry

logger = logging.getLogger(__name__)

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def serve_metrics(
    settings: TelemetrySettings, telemetry: Telemetry, process: Process
) -> None:
    """Serve the metrics as text if the settings contain a metrics address.

    If the address can't be bound, this logs an error and the process continues without
    the server: serving clients doesn't depend on monitoring.
    """
    if not settings.metrics_address:
        return
    options = HttpServerOptions(settings.metrics_address, threads=1)
    try:
        server = HttpServer(options, _MetricsApp(telemetry.metrics_text))
    except OSError as error:
        extra = {"address": settings.metrics_address, "error": str(error)}
        logger.error("metrics not served", extra=extra)
        return
    server.start(process)


class _MetricsApp:
    """WSGI application that answers every request with the current metrics."""

    def __init__(self, metrics_text: Callable[[], str]) -> None:
        self._metrics_text = metrics_text

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Return the current metrics, whatever the method and path."""
        body = self._metrics_text().encode()
        headers = [("Content-Type", CONTENT_TYPE), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]
