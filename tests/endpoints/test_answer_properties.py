"""Properties of the reader of answers: whole ones come out, and nothing else does.

A reader can't be asked for three things. Bytes that change within a value or a body
and leave the framing as it is can't be seen by any reader. Damage whose result is an
answer by the grammar says something else, and passes for what it says: a length that
names another number, a line end that is removed as a whole so that two lines are one.
And an answer with neither length nor chunks has the end of its connection as its only
end: whether that end came too early, by FIN and not by RST, shows only in whether the
endpoint's process has ended, which the forwarding host checks by itself. Everything
else holds.
"""

from __future__ import annotations

import enum
import io
import itertools
from collections.abc import Sequence
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from jujubeslip.endpoints import AnswerReader, EndpointError, never_interrupted
from jujubeslip.endpoints._bounded_reader import BoundedReader
from jujubeslip.kernel import Deadline
from tests.fakes.answer_damages import broken_copies, damaged_copies
from tests.fakes.answer_meaning import meaning_of
from tests.fakes.drawn_answers import (
    FRAMED,
    DrawnAnswer,
    Ends,
    Read,
    answers,
    part_sizes,
)

SECONDS = 60.0
# A busy machine draws slowly.
FIXED = settings(
    derandomize=True,
    deadline=None,
    max_examples=100,
    suppress_health_check=[HealthCheck.too_slow],
)
# For properties that try many copies of each answer.
FIXED_MANY = settings(FIXED, max_examples=35)


class Ending(enum.Enum):
    """How a connection ends."""

    FIN = "fin"
    RESET = "reset"


endings = st.sampled_from(Ending)


class ScriptedSocket:
    """Receives these bytes in parts of these sizes, and then the end."""

    def __init__(self, sent: bytes, sizes: Sequence[int], ending: Ending) -> None:
        self._rest = sent
        self._sizes = itertools.cycle(sizes)
        self._has_reset = ending is Ending.RESET

    def gettimeout(self) -> float:
        return SECONDS

    def recv_into(self, buffer: memoryview) -> int:
        if self._rest:
            size = min(next(self._sizes), len(buffer))
            part, self._rest = self._rest[:size], self._rest[size:]
            buffer[: len(part)] = part
            return len(part)
        if self._has_reset:
            # A socket reports this once, and the end of the stream from then on.
            self._has_reset = False
            raise ConnectionResetError
        return 0


def read(sent: bytes, sizes: Sequence[int], ending: Ending) -> Read | None:
    """Return what the reader gives out as a whole answer, None if nothing."""
    scripted: Any = ScriptedSocket(sent, sizes, ending)
    raw = BoundedReader(scripted)
    raw.watch(Deadline.after(SECONDS), never_interrupted)
    reader = AnswerReader(io.BufferedReader(raw), "endpoint")
    try:
        head = reader.read_head("POST")
        body = b"".join(iter(reader.read_some, b""))
    except EndpointError:
        return None
    return Read(head.status, head.headers, body)


class TestSoundAnswer:
    """Guards against sound answers that a strict reader refuses or changes."""

    @FIXED
    @given(answers(), part_sizes)
    def test_comes_out_whole(self, answer: DrawnAnswer, sizes: list[int]) -> None:
        assert read(answer.sent, sizes, Ending.FIN) == answer.read

    @FIXED
    @given(answers(ends=FRAMED), part_sizes, st.binary(max_size=40), endings)
    def test_comes_out_whole_whatever_follows(
        self, answer: DrawnAnswer, sizes: list[int], following: bytes, ending: Ending
    ) -> None:
        assert read(answer.sent + following, sizes, ending) == answer.read

    @FIXED
    @given(answers(), st.booleans())
    def test_is_what_the_grammar_says(
        self, answer: DrawnAnswer, is_reset: bool
    ) -> None:
        is_whole = answer.ends is not Ends.CONNECTION or not is_reset
        said = meaning_of(answer.sent, has_regular_end=not is_reset)
        assert said == (answer.read if is_whole else None)


class TestBeginningOfAnswer:
    """Guards against the beginning of an answer that passes for a whole one."""

    @FIXED_MANY
    @given(answers(ends=FRAMED), part_sizes, endings)
    def test_is_never_whole(
        self, answer: DrawnAnswer, sizes: list[int], ending: Ending
    ) -> None:
        for size in range(len(answer.sent)):
            assert read(answer.sent[:size], sizes, ending) is None

    @FIXED_MANY
    @given(answers(ends=[Ends.CONNECTION]), part_sizes, endings)
    def test_is_never_whole_within_the_head_of_an_unframed_one(
        self, answer: DrawnAnswer, sizes: list[int], ending: Ending
    ) -> None:
        for size in range(answer.head_bytes):
            assert read(answer.sent[:size], sizes, ending) is None

    @FIXED_MANY
    @given(answers(ends=[Ends.CONNECTION]), part_sizes)
    def test_is_never_whole_if_an_unframed_one_is_reset(
        self, answer: DrawnAnswer, sizes: list[int]
    ) -> None:
        for size in range(answer.head_bytes, len(answer.sent) + 1):
            assert read(answer.sent[:size], sizes, Ending.RESET) is None


class TestDamagedAnswer:
    """Guards against damage to the framing that makes another answer of it."""

    @FIXED_MANY
    @given(answers(), part_sizes, endings)
    def test_is_none_if_its_syntax_is_broken(
        self, answer: DrawnAnswer, sizes: list[int], ending: Ending
    ) -> None:
        for sent in broken_copies(answer):
            assert read(sent, sizes, ending) is None, sent

    @FIXED_MANY
    @given(answers(), part_sizes, endings, st.data())
    def test_passes_for_nothing_that_it_does_not_say(
        self, answer: DrawnAnswer, sizes: list[int], ending: Ending, data: st.DataObject
    ) -> None:
        for sent in data.draw(st.lists(damaged_copies(answer), max_size=10)):
            found = read(sent, sizes, ending)
            said = meaning_of(sent, has_regular_end=ending is Ending.FIN)
            assert found is None or found == said, sent

    @FIXED_MANY
    @given(answers(), part_sizes, endings, st.data())
    def test_passes_for_nothing_that_it_does_not_say_if_it_is_cut_too(
        self, answer: DrawnAnswer, sizes: list[int], ending: Ending, data: st.DataObject
    ) -> None:
        damaged = data.draw(damaged_copies(answer))
        for size in range(len(damaged)):
            found = read(damaged[:size], sizes, ending)
            said = meaning_of(damaged[:size], has_regular_end=ending is Ending.FIN)
            assert found is None or found == said, damaged[:size]


class TestAnswerBehindTheBeginningOfAnother:
    """Guards against two answers that are read as one."""

    @FIXED_MANY
    @given(answers("first"), answers("second"), part_sizes, endings)
    def test_never_gives_its_stamp_to_the_other(
        self,
        first: DrawnAnswer,
        second: DrawnAnswer,
        sizes: list[int],
        ending: Ending,
    ) -> None:
        for size in range(first.head_bytes):
            found = read(first.sent[:size] + second.sent, sizes, ending)
            assert found is None or found == second.read, first.sent[:size]
