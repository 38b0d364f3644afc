"""Prompts that the granted prefill engine did not prefill, and who is asked next."""

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
from jujubeslip.forwarding._grants import Grant
from jujubeslip.forwarding._models import Attempts
from jujubeslip.forwarding._prefill import Prefiller
from jujubeslip.forwarding._pressure import Pressures
from jujubeslip.forwarding._retry_budgets import BudgetOptions, RetryBudgets
from jujubeslip.forwarding._stream_path import StreamPath
from jujubeslip.kernel import Deadline, load_plugins
from jujubeslip.peers import EndpointRole
from tests.fakes.engines import engine
from tests.forwarding.test_endpoint_starts import build_sender, registry_of

REFUSES = EndpointRefusedError(503, "changes its role", may_have_run=False)
CUT = AnswerCutError("closed without answer")


@pytest.fixture(autouse=True, scope="module")
def plugins() -> None:
    load_plugins()


class SentError(Exception):
    """The request was sent to the decode engine, where these tests end."""


class Host:
    """A forwarding host whose leader grants one prefill engine after another."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        outcomes_by_engine: dict[str, list[EndpointError | str]],
        budget: float = 100,
    ) -> None:
        prefill_engines = [
            engine(name, EndpointRole.PREFILL) for name in outcomes_by_engine
        ]
        budgets = RetryBudgets(BudgetOptions(0.0, 10.0, budget), lambda: 1)
        registry = registry_of(engine("engine"), *prefill_engines)
        sender = replace(build_sender(registry), budgets=budgets)
        prefiller = Prefiller(sender, True, Pressures())
        self.asked: list[str] = []
        self.granted: list[str] = []

        def ask(_: object, prefill_engine: Any, __: object) -> str:
            self.asked.append(prefill_engine.endpoint_id)
            outcome = outcomes_by_engine[prefill_engine.endpoint_id].pop(0)
            if isinstance(outcome, EndpointError):
                raise outcome
            return outcome

        monkeypatch.setattr(prefiller, "_ask", ask)
        not_granted = list(prefill_engines)

        def find(_: object, __: object, reads_itself: bool) -> Grant:
            prefill_engine = (
                None if reads_itself or not not_granted else not_granted.pop(0)
            )
            self.granted.append(prefill_engine.endpoint_id if prefill_engine else "")
            return Grant(engine("engine"), prefill_engine, reads_itself=reads_itself)

        def run(*_: object) -> None:
            raise SentError

        grants: Any = SimpleNamespace(find=find)
        self._path = StreamPath(sender, prefiller, grants)
        monkeypatch.setattr(self._path, "_run", run)

    def answer(self) -> None:
        context: Any = SimpleNamespace(
            end_by=Deadline.after(5),
            service_name="model",
            request=SimpleNamespace(prompt="a prompt", request_id="r-1"),
            fingerprint="f-1",
            part_fingerprints=(),
            check_account=lambda: None,
            endpoint_priority=None,
        )
        with pytest.raises(SentError):
            self._path.answer(context, Attempts())


class TestPrefillEngineThatRefuses:
    """Guards against a second prefill engine that the host chooses by itself.

    A prefill engine that changes its role refuses a prompt while another one is idle.
    The second engine, chosen by the host, was changing its role, too. The request then
    waited 3.2 s for a decode engine that prefills the prompt itself, since that would
    have stalled the other streams there for too long, and was refused:
    `prompt not read, endpoint_refused` twice, then `no grant in time`.
    """

    def test_leader_grants_another_one(self, monkeypatch: pytest.MonkeyPatch) -> None:
        host = Host(monkeypatch, {"changing": [REFUSES], "idle": ["handle"]})
        host.answer()
        assert host.asked == ["changing", "idle"]
        assert host.granted == ["changing", "idle"]

    def test_after_two_refusals_the_decode_engine_prefills(
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

    def test_without_retry_budget_no_second_one_is_asked(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        host = Host(monkeypatch, {"one": [REFUSES], "two": ["handle"]}, budget=0)
        host.answer()
        assert host.asked == ["one"]
        assert host.granted == ["one", ""]


class TestPrefillEngineWhoseAnswerIsCut:
    """Guards against a second prefill where the first engine still has the prompt.

    The engine has prefilled the prompt and keeps it; only its answer was lost.
    """

    def test_is_asked_again(self, monkeypatch: pytest.MonkeyPatch) -> None:
        host = Host(monkeypatch, {"one": [CUT, "handle"], "two": ["handle"]})
        host.answer()
        assert host.asked == ["one", "one"]
        assert host.granted == ["one"]
