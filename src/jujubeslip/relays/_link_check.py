"""Attempts to open connections to several addresses at once."""

from __future__ import annotations

import errno
import os
import selectors
import socket
from collections.abc import Sequence
from contextlib import ExitStack

from jujubeslip.kernel import Deadline

ACCEPTED = "accepted"
NO_ANSWER = "no answer"
STARTED = (0, errno.EINPROGRESS)


def check_addresses(addresses: Sequence[str], limit: Deadline) -> dict[str, str]:
    """Open a connection to each address and close it again.

    Return the outcome by address: ACCEPTED, NO_ANSWER, or the error. Returns at the
    deadline, or once an address has accepted.
    """
    outcome_by_address = dict.fromkeys(addresses, NO_ANSWER)
    with ExitStack() as stack:
        selector = stack.enter_context(selectors.PollSelector())
        for address in addresses:
            try:
                connection = stack.enter_context(_begin_connect(address))
            except OSError as error:
                outcome_by_address[address] = str(error)
            else:
                selector.register(connection, selectors.EVENT_WRITE, address)
        while selector.get_map() and not limit.expired:
            _take_outcomes(selector, outcome_by_address, limit)
            if ACCEPTED in outcome_by_address.values():
                break
    return outcome_by_address


def _begin_connect(address: str) -> socket.socket:
    """Return a socket that begins to connect, or raise OSError."""
    host, port = address.rsplit(":", 1)
    connection = socket.socket()
    connection.setblocking(False)
    error = connection.connect_ex((host, int(port)))
    if error in STARTED:
        return connection
    connection.close()
    raise OSError(error, os.strerror(error))


def _take_outcomes(
    selector: selectors.BaseSelector,
    outcome_by_address: dict[str, str],
    limit: Deadline,
) -> None:
    for key, _ in selector.select(limit.remaining()):
        connection = key.fileobj
        assert isinstance(connection, socket.socket)
        error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        outcome_by_address[key.data] = os.strerror(error) if error else ACCEPTED
        selector.unregister(connection)
