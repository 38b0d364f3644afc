"""The HTTP server that every process uses."""

from jujubeslip.http_server._server import HttpServer, HttpServerOptions

__all__ = ["HttpServer", "HttpServerOptions"]
