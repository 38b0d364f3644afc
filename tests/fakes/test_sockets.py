"""Tests of the socket helpers of the stand-ins."""

from __future__ import annotations

import fcntl
import resource
import socket
from collections.abc import Iterator

import pytest

from tests.fakes._sockets import is_readable

# The first descriptor that select rejects.
SELECT_LIMIT = 1024


@pytest.fixture
def many_descriptors() -> Iterator[None]:
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    raised = max(limits[0], 2 * SELECT_LIMIT)
    resource.setrlimit(resource.RLIMIT_NOFILE, (raised, limits[1]))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, limits)


class TestSocketWithAHighDescriptor:
    """Stand-ins must not fail in large runs, whose descriptors select rejects."""

    def test_is_readable_once_bytes_came(self, many_descriptors: None) -> None:
        one, other = socket.socketpair()
        descriptor = fcntl.fcntl(one, fcntl.F_DUPFD, SELECT_LIMIT)
        with one, other, socket.socket(fileno=descriptor) as high:
            assert not is_readable(high, 0)
            other.sendall(b"x")
            assert is_readable(high, 1.0)
