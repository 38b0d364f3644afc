"""Invalid values for the fields of messages that other programs send."""

from __future__ import annotations

import copy
import json
from dataclasses import dataclass
from enum import Enum
from typing import Any

from hypothesis import strategies as st
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize


class Missing(Enum):
    """The marker of a field that is left out."""

    MISSING = "missing"


MISSING = Missing.MISSING
# JSON can escape a lone surrogate, which cannot be encoded as UTF-8 or sent to a host.
LONE_SURROGATE = b'{"service": "\\ud800"}'

INVALID_NUMBERS: tuple[Any, ...] = (
    "1",
    "",
    True,
    False,
    None,
    [],
    [1],
    {},
    1.5,
    1.0,
    1e300,
    float("nan"),
    -1,
    2**63,
    10**30,
)
INVALID_TEXTS: tuple[Any, ...] = (
    "",
    1,
    0,
    True,
    None,
    [],
    ["text"],
    {},
    1.5,
    "x" * 3000,
)
INVALID_FLAGS: tuple[Any, ...] = ("true", "", 0, 1, None, [], {}, 1.5)
INVALID_LISTS: tuple[Any, ...] = ("", "[]", 1, True, None, {}, [1], [None], [[]])
INVALID_WORDS: tuple[Any, ...] = (*INVALID_TEXTS, "Ready", "READY", "ready ", "unknown")
INVALID_ADDRESSES: tuple[Any, ...] = (
    *INVALID_TEXTS,
    "10.0.0.1",
    "10.0.0.1:",
    ":80",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:\u0668\u0660",
    "10.0.0.256:80",
    "10.0.0.1:80\r\nX: y",
    "10.0.0.1:80\n",
    "host.example:80",
)
# Bodies that are no JSON object with valid text.
UNREADABLE_BODIES: tuple[bytes, ...] = (
    b"",
    b"\xff\xfe\x00",
    b"null",
    b"1",
    b'"text"',
    b"[]",
    b"{",
    b'{"seq": 1',
    b"{}{}",
    b"[" * 10_000,
    b'{"a":' * 10_000,
    b"\x00" * 1000,
    LONE_SURROGATE,
)


@dataclass(frozen=True)
class BrokenField:
    """One field with one invalid value."""

    path: tuple[str | int, ...]
    value: Any

    def __str__(self) -> str:
        """Return a short name for the id of a test."""
        return f"{'.'.join(map(str, self.path))}={ascii(self.value)[:24]}"

    @property
    def field(self) -> str:
        """Return the name of the field at the top level."""
        return str(self.path[0])

    def apply(self, message: dict[str, Any]) -> bytes:
        """Return the encoded message with this field replaced or left out."""
        broken = copy.deepcopy(message)
        holder: Any = broken
        for key in self.path[:-1]:
            holder = holder[key]
        if self.value is MISSING:
            del holder[self.path[-1]]
        else:
            holder[self.path[-1]] = self.value
        return json.dumps(broken).encode()


def broken_field_cases(
    values_by_path: dict[tuple[str | int, ...], tuple[Any, ...]],
    optional: frozenset[str] = frozenset(),
) -> list[BrokenField]:
    """Return each field with each value, and each required field left out."""
    found = [
        BrokenField(path, value)
        for path, values in values_by_path.items()
        for value in values
    ]
    found += [
        BrokenField(path, MISSING)
        for path in values_by_path
        if isinstance(path[-1], str) and path[-1] not in optional
    ]
    return found


def received(message: Any) -> Any:
    """Return a peer message as the receiving host decodes it."""
    protocol = TBinaryProtocolAcceleratedFactory()
    return deserialize(type(message)(), serialize(message, protocol), protocol)


# Values for fields that the platform's interface does not define yet.
json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(st.characters(codec="utf-8"), max_size=10),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(st.characters(codec="utf-8"), max_size=5), inner)
    ),
    max_leaves=5,
)
