"""Tells whether an endpoint's process has ended, by its port."""

from __future__ import annotations

import socket
from collections.abc import Callable

from jujubeslip.endpoints._answer_reader import AnswerHead, Framing
from jujubeslip.endpoints._errors import AnswerCutError

# Timeout for opening a connection, in seconds. The machine of a process that has ended
# refuses connections within a round trip.
END_CHECK_SECONDS = 0.1
# How long an accepted connection is watched, in seconds. A process that ends closes its
# sockets one after the other, and may still listen when others see the first one close.
CLOSING_SECONDS = 0.02


def check_regular_end(
    head: AnswerHead, address: str, process_has_ended: Callable[[], bool]
) -> None:
    """Raise AnswerCutError if the answer may have ended only because its sender did.

    An answer with neither a length nor chunks ends with its connection, also when the
    endpoint's process ends in the middle of it, as that of an endpoint that leaves may.
    """
    if head.framing is Framing.CONNECTION and process_has_ended():
        raise AnswerCutError(f"{address}: ended during its answer.")


def has_ended(address: str) -> bool:
    """Return whether an endpoint's process has ended: its port refuses connections.

    An endpoint that can't be reached at all may still run.
    """
    try:
        with _connect(address) as connection:
            is_closed = _is_closed_soon(connection)
        if is_closed:
            # The process was ending, or it has too many connections.
            _connect(address).close()
    except ConnectionError:
        return True
    except OSError:
        return False
    return False


def _connect(address: str) -> socket.socket:
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)), END_CHECK_SECONDS)


def _is_closed_soon(connection: socket.socket) -> bool:
    connection.settimeout(CLOSING_SECONDS)
    try:
        return not connection.recv(1)
    except TimeoutError:
        return False
    except ConnectionError:
        return True
