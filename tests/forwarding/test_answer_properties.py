"""Properties of exchanges: what a client gets is its own endpoint's whole answer.

What no reader can see is named in tests/endpoints/test_answer_properties.py.
"""

from __future__ import annotations

import enum
import socket
import struct
import threading
from collections.abc import Iterator, Sequence
from contextlib import suppress
from dataclasses import dataclass

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from jujubeslip.endpoints import ConnectionPool, EndpointError
from jujubeslip.forwarding._event_splitter import EventSplitter
from jujubeslip.forwarding._exchange import Exchange
from jujubeslip.kernel import Deadline
from jujubeslip.notices import EndpointNotices
from tests.fakes.answer_damages import broken_copies, damaged_copies
from tests.fakes.answer_meaning import meaning_of
from tests.fakes.drawn_answers import (
    FRAMED,
    STAMP,
    DrawnAnswer,
    Ends,
    Read,
    answers,
    event_bodies,
)
from tests.fakes.endpoint_host import CALL, EndpointHost

WAIT_SECONDS = 20.0
# A busy machine draws slowly.
FIXED = settings(
    derandomize=True,
    deadline=None,
    max_examples=75,
    suppress_health_check=[HealthCheck.too_slow],
)
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
END_OF_EVENT = b"\n\n"
SUCCESS = range(200, 300)
SECOND_MARKS = (b"Server-Stamp: other\r\n", b"Request-Id: first\r\n")


class Ending(enum.Enum):
    """How an endpoint ends a connection."""

    FIN = "fin"
    RESET = "reset"


endings = st.sampled_from(Ending)
CUT_STEP = 13
"""Each answer is cut at each place that is this far from the one before."""
first_cuts = st.integers(0, CUT_STEP - 1)
long_bodies = st.binary(min_size=200, max_size=500)
part_sizes = st.lists(st.integers(1, 60), max_size=4)
"""Sizes of the first parts in which the bytes are sent; the rest is one part."""


@dataclass(frozen=True)
class Script:
    """What an endpoint sends after each request on a connection, and how it ends."""

    sent_by_turn: tuple[bytes, ...]
    ending: Ending = Ending.FIN
    sizes: Sequence[int] = ()


class ScriptedEndpoint:
    """Serves one connection after another, each by the next script."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._scripts: list[Script] = []
        threading.Thread(target=self._serve, daemon=True).start()

    def play(self, *scripts: Script) -> None:
        """Set the scripts of the next connections."""
        self._scripts = list(scripts)

    def close(self) -> None:
        """Accept no further connections."""
        self._listener.close()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                connection.settimeout(WAIT_SECONDS)
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                script = self._scripts.pop(0) if self._scripts else Script(())
                with suppress(OSError):
                    self._serve_one(connection, script)

    def _serve_one(self, connection: socket.socket, script: Script) -> None:
        for sent in script.sent_by_turn:
            if not _read_request(connection):
                return
            for size in script.sizes:
                connection.sendall(sent[:size])
                sent = sent[size:]
            connection.sendall(sent)
        if script.ending is Ending.RESET:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            return
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(4096):
            pass


def _read_request(connection: socket.socket) -> bool:
    """Read a request without a body; return False at the end."""
    received = b""
    while not received.endswith(b"\r\n\r\n"):
        part = connection.recv(4096)
        if not part:
            return False
        received += part
    return True


class Host(EndpointHost):
    """The connections of a forwarding host to a scripted endpoint."""

    def __init__(self, endpoint: ScriptedEndpoint) -> None:
        super().__init__(endpoint)
        self.endpoint = endpoint

    def begin(self, *scripts: Script) -> None:
        """Forget all that is known; play these scripts on the next connections."""
        self.pool.close_all()
        self.pool = ConnectionPool()
        self.endpoint.play(*scripts)

    def read(self, request_id: str) -> Read | None:
        """Return the status, stamps and body of a whole answer, None without one."""
        try:
            with self._fresh_exchange(request_id) as exchange:
                head = exchange.call(CALL, Deadline.after(WAIT_SECONDS))
                read = Read(head.status, tuple(head.headers), exchange.read_rest())
        except EndpointError:
            return None
        return _shown(read)

    def read_events(self, request_id: str) -> tuple[bytes, bool]:
        """Return the whole events of a stream, and whether the stream is whole."""
        splitter = EventSplitter()
        events = b""
        try:
            with self._fresh_exchange(request_id) as exchange:
                exchange.call(CALL, Deadline.after(WAIT_SECONDS))
                while part := exchange.read_some():
                    events += splitter.take(part)
        except EndpointError:
            return events, False
        return events, not splitter.has_partial_event

    def _fresh_exchange(self, request_id: str) -> Exchange:
        """Return an exchange that no notice in an earlier answer holds up."""
        self.notices = EndpointNotices()
        return self.exchange(request_id)


def _shown(read: Read) -> Read:
    """Return what a client sees of an answer, without the other headers."""
    return Read(read.status, tuple((STAMP, stamp) for stamp in read.stamps), read.body)


@pytest.fixture(scope="module")
def host() -> Iterator[Host]:
    found = Host(ScriptedEndpoint())
    yield found
    found.begin()
    found.endpoint.close()


class TestSoundAnswer:
    """Guards against sound answers that an exchange refuses or changes."""

    @FIXED
    @given(answers(), part_sizes)
    def test_comes_out_whole(
        self, host: Host, answer: DrawnAnswer, sizes: list[int]
    ) -> None:
        host.begin(Script((answer.sent,), sizes=sizes))
        assert host.read("9c41") == _shown(answer.read)

    @FIXED
    @given(answers("first", ends=FRAMED), answers("second"), part_sizes)
    def test_comes_out_whole_after_another(
        self, host: Host, first: DrawnAnswer, second: DrawnAnswer, sizes: list[int]
    ) -> None:
        host.begin(
            Script((first.sent, second.sent), sizes=sizes), Script((second.sent,))
        )
        assert host.read("first") == _shown(first.read)
        assert host.read("second") == _shown(second.read)


class TestBeginningOfAnswer:
    """Guards against the beginning of an answer that passes for a whole one."""

    @FIXED
    @given(answers(), part_sizes, endings, first_cuts)
    def test_is_never_whole(
        self,
        host: Host,
        answer: DrawnAnswer,
        sizes: list[int],
        ending: Ending,
        first_cut: int,
    ) -> None:
        is_unframed = answer.ends is Ends.CONNECTION and ending is Ending.FIN
        end = answer.head_bytes if is_unframed else len(answer.sent)
        for size in range(first_cut, end, CUT_STEP):
            host.begin(Script((answer.sent[:size],), ending, sizes))
            assert host.read("9c41") is None, size


class TestDamagedAnswer:
    """Guards against damage to the framing that makes another answer of it."""

    @FIXED
    @given(answers(), part_sizes, endings, st.data())
    def test_is_none_if_its_syntax_is_broken(
        self,
        host: Host,
        answer: DrawnAnswer,
        sizes: list[int],
        ending: Ending,
        data: st.DataObject,
    ) -> None:
        copies = list(broken_copies(answer))
        for sent in data.draw(st.lists(st.sampled_from(copies), max_size=9)):
            host.begin(Script((sent,), ending, sizes))
            assert host.read("9c41") is None, sent

    @FIXED
    @given(answers(), part_sizes, endings, st.data())
    def test_passes_for_nothing_that_it_does_not_say(
        self,
        host: Host,
        answer: DrawnAnswer,
        sizes: list[int],
        ending: Ending,
        data: st.DataObject,
    ) -> None:
        sent = data.draw(damaged_copies(answer))
        host.begin(Script((sent,), ending, sizes))
        found = host.read("9c41")
        if found is None:
            return
        said = meaning_of(sent, has_regular_end=ending is Ending.FIN)
        assert said is not None
        assert found == _shown(said)
        assert found.status not in SUCCESS or len(found.stamps) == 1

    @FIXED
    @given(answers(), st.sampled_from(SECOND_MARKS), st.data())
    def test_is_no_success_with_a_second_stamp_or_id(
        self, host: Host, answer: DrawnAnswer, mark: bytes, data: st.DataObject
    ) -> None:
        place = data.draw(st.sampled_from(answer.field_places))
        host.begin(Script((answer.sent[:place] + mark + answer.sent[place:],)))
        found = host.read("9c41")
        assert found is None or found.status not in SUCCESS


class TestSecondAnswerOnKeptConnection:
    """Guards against an answer to an earlier request, whole or not, as this one's."""

    @FIXED
    @given(
        answers("first", ends=FRAMED),
        answers("second"),
        part_sizes,
        endings,
        first_cuts,
    )
    def test_that_is_cut_leaves_no_trace_in_the_next(
        self,
        host: Host,
        first: DrawnAnswer,
        second: DrawnAnswer,
        sizes: list[int],
        ending: Ending,
        first_cut: int,
    ) -> None:
        for size in range(first_cut, len(first.sent) + 1, CUT_STEP):
            sent = first.sent[:size] + second.sent
            script = Script((first.sent, sent), ending, sizes)
            host.begin(script, Script((second.sent,)))
            assert host.read("first") == _shown(first.read)
            assert host.read("second") in (None, _shown(second.read)), size

    @FIXED
    @given(answers("first", ends=FRAMED), answers("second"), endings, first_cuts)
    def test_that_comes_at_once_leaves_no_trace_in_the_next(
        self,
        host: Host,
        first: DrawnAnswer,
        second: DrawnAnswer,
        ending: Ending,
        first_cut: int,
    ) -> None:
        for size in range(first_cut, len(first.sent) + 1, CUT_STEP):
            script = Script((first.sent + first.sent[:size], second.sent), ending)
            host.begin(script, Script((second.sent,)))
            assert host.read("first") == _shown(first.read)
            assert host.read("second") in (None, _shown(second.read)), size

    @FIXED
    @given(answers("first", ends=FRAMED), answers("second"), part_sizes)
    def test_that_is_whole_hides_no_answer(
        self, host: Host, first: DrawnAnswer, second: DrawnAnswer, sizes: list[int]
    ) -> None:
        script = Script((first.sent, first.sent + second.sent), sizes=sizes)
        host.begin(script, Script((second.sent,)))
        assert host.read("first") == _shown(first.read)
        assert host.read("second") == _shown(second.read)


class TestSecondAnswerWithinTheNext:
    """Guards against a body that holds an answer to an earlier request."""

    @FIXED
    @given(
        answers("first", ends=FRAMED), answers("second", body=long_bodies), first_cuts
    )
    def test_is_no_part_of_it(
        self, host: Host, first: DrawnAnswer, second: DrawnAnswer, first_cut: int
    ) -> None:
        end = len(second.sent) - first.head_bytes
        for size in range(second.head_bytes + first_cut, end + 1, CUT_STEP):
            _check_second_within_next(host, first, second, size)

    @FIXED
    @given(
        answers("first", ends=FRAMED), answers("second", body=long_bodies), first_cuts
    )
    def test_is_no_part_of_it_if_it_only_begins_there(
        self, host: Host, first: DrawnAnswer, second: DrawnAnswer, first_cut: int
    ) -> None:
        begin = max(second.head_bytes, len(second.sent) - first.head_bytes)
        for size in range(begin + first_cut, len(second.sent), CUT_STEP):
            _check_second_within_next(host, first, second, size)


def _check_second_within_next(
    host: Host, first: DrawnAnswer, second: DrawnAnswer, size: int
) -> None:
    sent = second.sent[:size] + first.sent + second.sent[size:]
    host.begin(Script((first.sent, sent)), Script((second.sent,)))
    assert host.read("first") == _shown(first.read)
    assert host.read("second") in (None, _shown(second.read)), size


class TestStream:
    """Guards against streams that are cut and look whole, and parts of events."""

    @FIXED
    @given(answers(body=event_bodies), part_sizes, endings, first_cuts)
    def test_that_is_cut_is_never_whole(
        self,
        host: Host,
        answer: DrawnAnswer,
        sizes: list[int],
        ending: Ending,
        first_cut: int,
    ) -> None:
        for size in range(first_cut, len(answer.sent), CUT_STEP):
            sent = answer.sent[:size]
            host.begin(Script((sent,), ending, sizes))
            events, is_whole = host.read_events("9c41")
            assert answer.read.body.startswith(events)
            assert not events or events.endswith(END_OF_EVENT)
            # Such an end can only be told by the end of the endpoint's process.
            is_between_events = (
                answer.ends is Ends.CONNECTION
                and ending is Ending.FIN
                and size >= answer.head_bytes
                and sent[answer.head_bytes :] == events
            )
            assert is_whole is is_between_events, size

    @FIXED
    @given(answers(body=event_bodies), part_sizes)
    def test_that_is_sound_is_whole(
        self, host: Host, answer: DrawnAnswer, sizes: list[int]
    ) -> None:
        host.begin(Script((answer.sent,), sizes=sizes))
        assert host.read_events("9c41") == (answer.read.body, True)
