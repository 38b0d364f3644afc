"""Prompts that their granted reader did not read, and who is asked next."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.endpoints import (
    AnswerCutError,
    EndpointError,
    EndpointRefusedError,
)
from jujubeslip.forwarding._budget import BudgetOptions, RetryBudgets
from jujubeslip.forwarding._grants import Grant
from jujubeslip.forwarding._models import Attempts
from jujubeslip.forwarding._pressure import Pressures
from jujubeslip.forwarding._prompts import PromptReader
from jujubeslip.forwarding._stream_path import StreamPath
from jujubeslip.kernel import Deadline, load_plugins
from jujubeslip.peers import EndpointRole
from tests.fakes.engines import engine
from tests.forwarding.test_starts import book_of, build_sender

REFUSES = EndpointRefusedError(503, "changes its role", may_have_run=False)
CUT = AnswerCutError("closed without answer")


@pytest.fixture(autouse=True, scope="module")
def plugins() -> None:
    load_plugins()


class SentError(Exception):
    """The request was sent to the engine that answers; the test needs no more."""


class Host:
    """A forwarding host whose leader grants one reader after the other."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        outcome_by_reader: dict[str, list[EndpointError | str]],
        budget: float = 100,
    ) -> None:
        readers = [engine(name, EndpointRole.PREFILL) for name in outcome_by_reader]
        budgets = RetryBudgets(BudgetOptions(0.0, 10.0, budget), lambda: 1)
        book = book_of(engine("engine"), *readers)
        sender = replace(build_sender(book), budgets=budgets)
        prompts = PromptReader(sender, True, Pressures())
        self.asked: list[str] = []
        self.granted: list[str] = []

        def ask(_: object, reader: Any, __: object) -> str:
            self.asked.append(reader.endpoint_id)
            outcome = outcome_by_reader[reader.endpoint_id].pop(0)
            if isinstance(outcome, EndpointError):
                raise outcome
            return outcome

        monkeypatch.setattr(prompts, "_ask", ask)
        waiting = list(readers)

        def find(_: object, __: object, reads_itself: bool) -> Grant:
            reader = None if reads_itself or not waiting else waiting.pop(0)
            self.granted.append(reader.endpoint_id if reader else "")
            return Grant(engine("engine"), reader, reads_itself=reads_itself)

        def run(*_: object) -> None:
            raise SentError

        grants: Any = SimpleNamespace(find=find)
        self._path = StreamPath(sender, prompts, grants)
        monkeypatch.setattr(self._path, "_run", run)

    def answer(self) -> None:
        context: Any = SimpleNamespace(
            end_by=Deadline.after(5),
            service_name="model",
            request=SimpleNamespace(prompt="a prompt", request_id="r-1"),
            fingerprint="f-1",
            check_account=lambda: None,
        )
        with pytest.raises(SentError):
            self._path.answer(context, Attempts())


class TestReaderThatRefuses:
    """A reader that changes its role refuses a prompt; another one is idle.

    The host chose a second reader by itself, which was changing its role, too. The
    request then asked for an engine that reads the prompt itself, waited for 3.2 s,
    since that would have stopped the other answers there for too long, and was refused:
    `prompt not read, endpoint_refused` twice, then `no grant in time`.
    """

    def test_is_left_to_the_leader_to_replace(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        host = Host(monkeypatch, {"changing": [REFUSES], "idle": ["handle"]})
        host.answer()
        assert host.asked == ["changing", "idle"]
        assert host.granted == ["changing", "idle"]

    def test_second_refusal_leaves_it_to_the_engine_that_answers(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        refusing: dict[str, list[EndpointError | str]] = {
            "one": [REFUSES],
            "two": [REFUSES],
            "three": ["handle"],
        }
        host = Host(monkeypatch, refusing)
        host.answer()
        assert host.asked == ["one", "two"]
        assert host.granted == ["one", "two", ""]

    def test_without_budget_no_second_reader_is_asked(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        host = Host(monkeypatch, {"one": [REFUSES], "two": ["handle"]}, budget=0)
        host.answer()
        assert host.asked == ["one"]
        assert host.granted == ["one", ""]


class TestReaderWhoseAnswerIsCut:
    """The reader has read the prompt and keeps it; only its answer was lost."""

    def test_is_asked_again(self, monkeypatch: pytest.MonkeyPatch) -> None:
        host = Host(monkeypatch, {"one": [CUT, "handle"], "two": ["handle"]})
        host.answer()
        assert host.asked == ["one", "one"]
        assert host.granted == ["one"]
