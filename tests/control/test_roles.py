"""Which engine is ordered to another role, and who may order."""

from __future__ import annotations

import json

import pytest

from jujubeslip.control._roles import Engines, wanted_change
from jujubeslip.discovery import Endpoint
from jujubeslip.interfaces import RoleOrder
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRole, ServicePressure
from jujubeslip.platform._endpoint_calls import order_role, read_report


def engine(name: str, role: EndpointRole) -> Endpoint:
    return Endpoint(
        name,
        "model",
        "1.1.1.1:1",
        "zone",
        1,
        False,
        64,
        role,
        steady_seconds(),
        Deadline.after(0),
    )


def engines(prefill: int, decode: int) -> Engines:
    return Engines(
        tuple(engine(f"p-{number}", EndpointRole.PREFILL) for number in range(prefill)),
        tuple(engine(f"d-{number}", EndpointRole.DECODE) for number in range(decode)),
    )


def pressure(waited: int = 10, prompt_ms: int = 500) -> ServicePressure:
    return ServicePressure("model", waited, prompt_ms)


class TestWantedChange:
    """Two engines that answer are lost; two that only read prompts have time to spare.

    Half of the summaries are refused for want of memory, for the rest of the day.
    """

    def test_engine_that_reads_prompts_is_to_answer(self) -> None:
        change = wanted_change(engines(2, 2), pressure(), short_for=2.0)
        assert change is not None
        assert (change[0].endpoint_id, change[1]) == ("p-0", EndpointRole.DECODE)

    @pytest.mark.parametrize(
        ("prefill", "decode", "prompt_ms", "short_for"),
        [
            (2, 2, 500, 0.5),
            (2, 3, 500, 2.0),
            (1, 2, 500, 2.0),
            (2, 2, 900, 2.0),
        ],
        ids=["a moment", "would lack prompts", "the last one", "prompts take it all"],
    )
    def test_is_left_where_it_gains_nothing(
        self, prefill: int, decode: int, prompt_ms: int, short_for: float
    ) -> None:
        told = pressure(prompt_ms=prompt_ms)
        assert wanted_change(engines(prefill, decode), told, short_for) is None

    def test_last_reader_of_prompts_is_replaced(self) -> None:
        change = wanted_change(engines(0, 3), pressure(waited=0), short_for=0.0)
        assert change is not None and change[1] is EndpointRole.PREFILL


class TestOrder:
    def test_carries_its_fencing_number_and_what_is_known(self) -> None:
        order = RoleOrder("e-1", EndpointRole.DECODE, "control-1", 41, 2)
        question = order_role(order)
        assert json.loads(question.body) == {
            "op": "stage",
            "stage": "decode",
            "holder": "control-1",
            "fence": 41,
            "expect": 2,
        }
        assert ("Expect-Instance", "e-1") in question.headers

    def test_report_that_lacks_fields_is_none(self) -> None:
        for body in (b"", b"[]", b"{}", b'{"runs": [[1]]}'):
            assert read_report(body) is None
