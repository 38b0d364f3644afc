"""Socket helpers of the stand-ins."""

from __future__ import annotations

import select
import socket

MILLISECONDS = 1000


def is_readable(source: socket.socket, timeout: float) -> bool:
    """Wait up to `timeout` seconds; return whether bytes, an end or an error came.

    Uses poll, since large runs have descriptors above 1,023, which select rejects.
    """
    poll = select.poll()
    poll.register(source, select.POLLIN)
    return bool(poll.poll(timeout * MILLISECONDS))
