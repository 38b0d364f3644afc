"""The HTTP server that every process uses."""

from jujubeslip.http_server._server import (
    AnswerAbandonedError,
    HttpServer,
    HttpServerOptions,
)

__all__ = ["AnswerAbandonedError", "HttpServer", "HttpServerOptions"]
