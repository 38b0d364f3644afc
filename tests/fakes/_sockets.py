"""What the stand-ins ask of sockets."""

from __future__ import annotations

import select
import socket

MILLISECONDS = 1000


def is_readable(source: socket.socket, timeout: float) -> bool:
    """Wait for bytes, an end or an error for so many seconds; say whether one came.

    By poll, as select takes no descriptor beyond 1,023, of which large runs have more.
    """
    poll = select.poll()
    poll.register(source, select.POLLIN)
    return bool(poll.poll(timeout * MILLISECONDS))
