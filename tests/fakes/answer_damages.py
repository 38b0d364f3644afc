"""Copies of answers that hypothesis damages in their framing."""

from __future__ import annotations

from hypothesis import assume
from hypothesis import strategies as st

from tests.fakes.drawn_answers import (
    LINE_END,
    DrawnAnswer,
    Ends,
    Kind,
    Piece,
    joined,
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


@st.composite
def broken_copies(draw: st.DrawFn, answer: DrawnAnswer) -> bytes:
    """Draw a copy in which one piece is no longer what an answer may have there."""
    pieces = list(answer.pieces)
    places = [
        index
        for index, piece in enumerate(pieces)
        if piece.kind is not Kind.BODY and piece.sent
    ]
    is_framed = answer.ends in (Ends.LENGTH, Ends.CHUNKS)
    if is_framed and draw(st.integers(0, 7)) == 0:
        second = draw(st.sampled_from(SECOND_FRAMINGS))
        before_end = joined(answer.head[:-1])
        return before_end + second + joined([LINE_END, *answer.rest])
    index = draw(st.sampled_from(places))
    piece = pieces[index]
    form = draw(st.sampled_from(BREAKS_BY_KIND[piece.kind]))
    # Before a body that begins with a line feed, it ends the head one byte later.
    is_end = index == len(answer.head) - 1 and answer.read.body.startswith(b"\n")
    assume(not (is_end and form == b"\r"))
    pieces[index] = Piece(piece.kind, form.replace(b"%b", piece.sent))
    return joined(pieces)


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
    places = [0]
    for piece in answer.pieces:
        places.append(places[-1] + len(piece.sent))
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
