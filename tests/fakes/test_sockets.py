"""What the stand-ins ask of sockets."""

from __future__ import annotations

import fcntl
import resource
import socket
from collections.abc import Iterator

import pytest

from tests.fakes._sockets import is_readable

# Descriptors from here on are beyond what select takes.
FIRST_BEYOND = 1024


@pytest.fixture
def many_descriptors() -> Iterator[None]:
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = max(limits[0], 2 * FIRST_BEYOND)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, limits[1]))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, limits)


class TestSocketWithAHighDescriptor:
    """Guards against large runs in which stand-ins fail for want of descriptors."""

    def test_is_readable_once_bytes_came(self, many_descriptors: None) -> None:
        one, other = socket.socketpair()
        descriptor = fcntl.fcntl(one, fcntl.F_DUPFD, FIRST_BEYOND)
        with one, other, socket.socket(fileno=descriptor) as high:
            assert not is_readable(high, 0)
            other.sendall(b"x")
            assert is_readable(high, 1.0)
