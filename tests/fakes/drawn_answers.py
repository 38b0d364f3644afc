"""Answers of endpoints that hypothesis draws, and what a reader has to make of them."""

from __future__ import annotations

import enum
import itertools
import string
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from hypothesis import strategies as st

CHUNKS_VERSION = b"HTTP/1.1"
STATUSES = (200, 201, 206, 299, 302, 404, 409, 500, 502)
STATUSES_WITHOUT_BODY = (204, 304)
INTERIM_STATUSES = (100, 102, 103)
STAMP = "Server-Stamp"
TOKEN = frozenset(b"!#$%&'*+-.^_`|~" + (string.ascii_letters + string.digits).encode())


class Ends(enum.Enum):
    """What ends a body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    HEAD = "head"


class Kind(enum.Enum):
    """What a piece of an answer is for."""

    VERSION = "version"
    STATUS = "status"
    LINE_END = "line end"
    NAME = "name"
    COLON = "colon"
    LENGTH = "length"
    CODING = "coding"
    SIZE = "size"
    TEXT = "text"
    """A value, a reason or an extension."""
    BODY = "body"


@dataclass(frozen=True)
class Piece:
    """Some bytes of an answer that have one purpose."""

    kind: Kind
    sent: bytes


LINE_END = Piece(Kind.LINE_END, b"\r\n")
KIND_BY_NAME = {"content-length": Kind.LENGTH, "transfer-encoding": Kind.CODING}


@dataclass(frozen=True)
class Read:
    """A whole answer as a reader gives it out."""

    status: int
    fields: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def stamps(self) -> tuple[str, ...]:
        """Return the stamps of the endpoint; there is one."""
        return tuple(value for name, value in self.fields if name == STAMP)


@dataclass(frozen=True)
class DrawnAnswer:
    """An answer in pieces, and what a reader has to make of it."""

    sent: bytes
    head: tuple[Piece, ...]
    """The interim answers, status line and fields, with the empty line."""
    rest: tuple[Piece, ...]
    final_head: int
    """Where the final head begins in `head`, behind the interim ones."""
    ends: Ends
    read: Read

    @property
    def pieces(self) -> tuple[Piece, ...]:
        """Return all pieces in their order."""
        return self.head + self.rest

    @property
    def places(self) -> list[int]:
        """Return where each piece begins, and where the last one ends."""
        sizes = (len(piece.sent) for piece in self.pieces)
        return list(itertools.accumulate(sizes, initial=0))

    @property
    def field_places(self) -> list[int]:
        """Return where the lines of fields and the empty line of the head begin."""
        places = self.places
        return [
            places[index]
            for index in range(self.final_head + 1, len(self.head))
            if self.head[index - 1] is LINE_END
        ]

    @property
    def head_bytes(self) -> int:
        """Return the size of the head."""
        return len(joined(self.head))


def joined(pieces: Sequence[Piece]) -> bytes:
    """Return the bytes of the pieces."""
    return b"".join(piece.sent for piece in pieces)


part_sizes = st.lists(
    st.one_of(st.just(1), st.integers(1, 40), st.just(4096)), min_size=1, max_size=4
)
"""Sizes of the parts in which an answer arrives; they are repeated to its end."""

_visible = "".join(chr(code) for code in [*range(33, 127), *range(128, 256)])
values = st.one_of(
    st.sampled_from(
        ["", "a b", "caf\xe9", "Mon, 01 Jan 10:00:00", "\x85 \xa0", '"a;b"']
    ),
    st.text(_visible + " \t", max_size=12).map(lambda text: text.strip(" \t")),
)
names = st.one_of(
    st.sampled_from(["Date", "Via", "x", "!#$%&'*+-.^_`|~"]),
    st.text("".join(sorted(map(chr, TOKEN))), max_size=6).map("X-".__add__),
)
fields = st.lists(st.tuples(names, values), max_size=2)
_texts_of_framing = st.sampled_from(
    [b"\r\n", b"\n", b"\r", b"0\r\n\r\n", b"5\r\n", b"\r\n\r\n", b"HTTP/1.1 200 OK\r\n"]
)
_parts_of_bodies = st.one_of(st.binary(min_size=1, max_size=30), _texts_of_framing)
_full_bodies = st.lists(_parts_of_bodies, min_size=1, max_size=5).map(b"".join)
bodies = st.tuples(st.integers(0, 4), _full_bodies).map(
    lambda drawn: b"" if drawn[0] == 4 else drawn[1]
)
event_bodies = st.lists(
    st.text(st.sampled_from("ab 0:"), max_size=9), min_size=1, max_size=5
).map(
    lambda texts: b"".join(
        f"id: {number}\ndata: {text}\n\n".encode() for number, text in enumerate(texts)
    )
)
FRAMED = (Ends.LENGTH, Ends.CHUNKS, Ends.HEAD)


@dataclass(frozen=True)
class Form:
    """How an answer is written, where there is a choice."""

    reason: bytes
    before_value: bytes
    after_value: bytes
    size: bytes
    extension: bytes


forms = st.sampled_from(
    [
        Form(b" OK", b" ", b"", b"%x", b""),
        Form(b"", b"", b" ", b"%X", b" "),
        Form(b" ", b"\t", b"", b"%04x", b";name=value"),
        Form(b" Not  \xe9", b"  ", b"\t", b"%x", b' ;a="\xe9 b"'),
    ]
)
zeros = st.sampled_from(["", "00"])


@st.composite
def answers(
    draw: st.DrawFn,
    request_id: str = "9c41",
    ends: Sequence[Ends] = tuple(Ends),
    body: st.SearchStrategy[bytes] = bodies,
) -> DrawnAnswer:
    """Draw a sound answer."""
    end = draw(st.sampled_from(ends))
    version = draw(st.sampled_from([CHUNKS_VERSION, b"HTTP/1.0"]))
    if end is Ends.CHUNKS:
        version = CHUNKS_VERSION
    statuses = STATUSES_WITHOUT_BODY if end is Ends.HEAD else STATUSES
    status = draw(st.sampled_from(statuses))
    content = b"" if end is Ends.HEAD else draw(body)
    shown = [("Request-Id", request_id), (STAMP, f"3e1b.07.{request_id}")]
    shown += [*draw(fields), *_framing_field(draw, end, content)]
    first = draw(st.integers(0, len(shown) - 1))
    shown = shown[first:] + shown[:first]
    form = draw(forms)
    interim: list[Piece] = []
    for code in draw(st.lists(st.sampled_from(INTERIM_STATUSES), max_size=2)):
        interim += _head(form, version, code, draw(fields))
    head = _head(form, version, status, shown)
    rest: tuple[Piece, ...] = (Piece(Kind.BODY, content),)
    if end is Ends.CHUNKS:
        rest = tuple(_chunks(draw, form, content))
    read = Read(status, tuple(shown), content)
    whole_head = (*interim, *head)
    sent = joined(whole_head + rest)
    return DrawnAnswer(sent, whole_head, rest, len(interim), end, read)


def _head(
    form: Form, version: bytes, status: int, shown: Sequence[tuple[str, str]]
) -> list[Piece]:
    lines = [_field_line(form, name, value) for name, value in shown]
    return [
        Piece(Kind.VERSION, version),
        Piece(Kind.TEXT, b" "),
        Piece(Kind.STATUS, b"%d" % status),
        Piece(Kind.TEXT, form.reason),
        LINE_END,
        *itertools.chain.from_iterable(lines),
        LINE_END,
    ]


def _field_line(form: Form, name: str, value: str) -> list[Piece]:
    kind = KIND_BY_NAME.get(name.lower(), Kind.TEXT)
    return [
        Piece(Kind.NAME, name.encode()),
        Piece(Kind.COLON, b":"),
        Piece(Kind.TEXT, form.before_value),
        Piece(kind, value.encode("latin-1")),
        Piece(Kind.TEXT, form.after_value),
        LINE_END,
    ]


def _framing_field(
    draw: st.DrawFn, end: Ends, content: bytes
) -> Iterator[tuple[str, str]]:
    case: Callable[[str], str] = draw(st.sampled_from([str.title, str.lower]))
    if end is Ends.LENGTH:
        yield case("content-length"), draw(zeros) + str(len(content))
    elif end is Ends.CHUNKS:
        yield case("transfer-encoding"), case("chunked")


def _chunks(draw: st.DrawFn, form: Form, content: bytes) -> Iterator[Piece]:
    sizes = itertools.cycle(draw(st.lists(st.integers(1, 40), min_size=1, max_size=4)))
    extension = Piece(Kind.TEXT, form.extension)
    while content:
        size = next(sizes)
        part, content = content[:size], content[size:]
        yield from (Piece(Kind.SIZE, form.size % len(part)), extension, LINE_END)
        yield from (Piece(Kind.BODY, part), LINE_END)
    yield from (Piece(Kind.SIZE, form.size % 0), extension, LINE_END)
    for name, value in draw(fields):
        yield from _field_line(form, name, value)
    yield LINE_END
