"""Copies of answers that hypothesis damages in their framing."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from hypothesis import strategies as st

from tests.fakes.drawn_answers import (
    CHUNKS_VERSION,
    LINE_END,
    DrawnAnswer,
    Ends,
    Kind,
)

# What takes the place of a piece, by its kind; %b stands for the piece. None of them
# leaves an answer.
BREAKS_BY_KIND = {
    Kind.VERSION: (b"", b"HTTP/1.2", b"HTTP/1.11", b"HTTP/2.0", b"http/1.1", b"%b "),
    Kind.STATUS: (b"", b"2", b"20", b"2000", b"2x0", b"099", b"600", b"+20", b"\xb200"),
    Kind.LINE_END: (b"\r", b"\n", b"\n\r", b"\r\r", b"\n\n", b"\0", b"\0%b", b"\r%b"),
    Kind.NAME: (b"", b"%b ", b"%b\t", b" %b", b"%b(", b"%b\0", b"\xe9%b", b"%b\r\n"),
    Kind.COLON: (b" ", b";", b" :", b"\0", b"\r\n", b"\r\n:"),
    Kind.LENGTH: (
        *(b"", b"-%b", b"+%b", b"%b_0", b"0x%b", b"%b, %b", b"%b %b", b"%b.0"),
        *(b"%be0", b"\xb2", b"%bx", b"%b;", b"%b\r", b"9" * 19),
    ),
    Kind.CODING: (
        *(b"", b"chunke", b"gzip, chunked", b"identity", b"%b, %b", b"%b;x", b"%b x"),
        *(b"\xe7hunked", b"%b,", b"gzip"),
    ),
    Kind.SIZE: (b"", b"-%b", b"+%b", b"0x%b", b"%b_0", b" %b", b"%bg", b"\xb2", b"%b,"),
    Kind.TEXT: (b"%b\0", b"%b\n", b"%b\r", b"\x0b%b", b"%b\x7f"),
}
SECOND_FRAMINGS = (
    b"Content-Length: 4\r\n",
    b"content-length: 0\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: identity\r\n",
)


def broken_copies(answer: DrawnAnswer) -> Iterator[bytes]:
    """Yield the copies in which one piece isn't what an answer may have there."""
    if answer.ends in (Ends.LENGTH, Ends.CHUNKS):
        end = answer.head_bytes - len(LINE_END.sent)
        for second in SECOND_FRAMINGS:
            yield answer.sent[:end] + second + answer.sent[end:]
    if answer.ends is Ends.CHUNKS:
        start = answer.places[answer.final_head]
        yield (
            answer.sent[:start]
            + b"HTTP/1.0"
            + answer.sent[start + len(CHUNKS_VERSION) :]
        )
    places = itertools.pairwise(answer.places)
    for piece, (start, end) in zip(answer.pieces, places, strict=True):
        if piece.kind is Kind.BODY or not piece.sent:
            continue
        for form in BREAKS_BY_KIND[piece.kind]:
            # Before a body that begins with a line feed, it still ends the head.
            if form == b"\r" and answer.sent[end:].startswith(b"\n"):
                continue
            broken = form.replace(b"%b", piece.sent)
            yield answer.sent[:start] + broken + answer.sent[end:]


_inserted = st.one_of(
    st.sampled_from(
        [
            *(b"", b"\r", b"\n", b"\r\n", b"\r\n\r\n", b"\0", b" ", b"\t", b":", b";"),
            *(b"0", b"1", b"a", b"-", b"0\r\n", b"5\r\n", b"0\r\n\r\n"),
            *(b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 100 Continue\r\n\r\n", b"chunked"),
            *(b"Content-Length: 4\r\n", b"Transfer-Encoding: chunked\r\n"),
            *(b"Server-Stamp: other\r\n", b"Request-Id: other\r\n"),
        ]
    ),
    st.binary(max_size=3),
)


@st.composite
def damaged_copies(draw: st.DrawFn, answer: DrawnAnswer) -> bytes:
    """Draw a copy with a span removed, replaced or inserted in its structure."""
    places = answer.places
    indexes = [
        index
        for index, piece in enumerate(answer.pieces)
        if piece.kind not in (Kind.BODY, Kind.TEXT)
    ]
    index = draw(st.sampled_from(indexes))
    start = draw(st.integers(places[index], places[index + 1]))
    end = draw(
        st.one_of(st.integers(start, start + 8), st.sampled_from(places[index + 1 :]))
    )
    sent = answer.sent
    return sent[:start] + draw(_inserted) + sent[max(start, end) :]
