"""Runs a program of the system with some of its outgoing connections redirected.

`python -m tests.fakes.routed_host ROUTES ARGUMENTS` runs `jujubeslip ARGUMENTS`. ROUTES
is a JSON file that is read for each new connection: `{"IP:port": "IP:port"}`. It stands
for the network of one host, which can thus be disturbed without that of other hosts.
"""

from __future__ import annotations

import json
import runpy
import socket
import sys
from pathlib import Path
from typing import Any

_connect = socket.socket.connect
_connect_ex = socket.socket.connect_ex


def redirect_connections(routes: Path) -> None:
    """Redirect the connections of this process as the file says."""

    def route(address: Any) -> Any:
        target = json.loads(routes.read_text()).get(f"{address[0]}:{address[1]}")
        if target is None:
            return address
        host, _, port = target.rpartition(":")
        return host, int(port)

    def connect(sock: socket.socket, address: Any) -> None:
        _connect(sock, route(address))

    def connect_ex(sock: socket.socket, address: Any) -> int:
        return _connect_ex(sock, route(address))

    socket.socket.connect = connect  # type: ignore[assignment, method-assign]
    socket.socket.connect_ex = connect_ex  # type: ignore[assignment, method-assign]


if __name__ == "__main__":
    redirect_connections(Path(sys.argv[1]))
    del sys.argv[1]
    runpy.run_module("jujubeslip.cli", run_name="__main__", alter_sys=True)
